package configuration

import (
	"encoding/json"
	"reflect"
)

// Assembler keeps verified chunks and joins them into configurations. A chunk
// that stays from one revision to the next is decoded once. It is not safe for
// concurrent use.
type Assembler struct {
	chunks   map[Digest]*heldChunk
	interned *interner
}

// heldChunk is a verified chunk. One of objects and blocks is set.
type heldChunk struct {
	data    []byte
	objects *Configuration
	blocks  *packedRun
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{chunks: map[Digest]*heldChunk{}, interned: newInterner()}
}

// Add verifies and decodes a chunk. It fails with a *ChunkError.
func (a *Assembler) Add(ref ChunkReference, data []byte) error {
	if a.chunks[ref.Digest] != nil {
		return nil
	}
	if err := ref.Verify(data); err != nil {
		return err
	}
	held, err := a.decode(ref.Kind, data)
	if err != nil {
		return &ChunkError{Digest: ref.Digest, Reason: ChunkGarbled, Err: err}
	}
	a.chunks[ref.Digest] = held
	return nil
}

func (a *Assembler) decode(kind ChunkKind, data []byte) (*heldChunk, error) {
	held := &heldChunk{data: data}
	var err error
	switch kind {
	case ChunkObjects:
		held.objects = &Configuration{}
		err = json.Unmarshal(data, held.objects)
	case ChunkBlocks:
		held.blocks, err = decodeBlocks(data, a.interned)
	default:
		err = &UnknownChunkKindError{Kind: kind}
	}
	return held, err
}

// Data returns the content of a chunk, or nil if it is not held.
func (a *Assembler) Data(digest Digest) []byte {
	if held := a.chunks[digest]; held != nil {
		return held.data
	}
	return nil
}

// Missing returns the references whose chunks are not held.
func (a *Assembler) Missing(refs []ChunkReference) []ChunkReference {
	var missing []ChunkReference
	for _, ref := range refs {
		if a.chunks[ref.Digest] == nil {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Retain drops all chunks that none of the references names.
func (a *Assembler) Retain(refs []ChunkReference) {
	kept := make(map[Digest]*heldChunk, len(refs))
	for _, ref := range refs {
		if held := a.chunks[ref.Digest]; held != nil {
			kept[ref.Digest] = held
		}
	}
	a.chunks = kept
}

// Assemble joins the chunks in the order of refs. It fails with a *ChunkError if
// one is missing.
func (a *Assembler) Assemble(refs []ChunkReference) (*Configuration, error) {
	c := &Configuration{}
	for _, ref := range refs {
		held := a.chunks[ref.Digest]
		switch {
		case held == nil:
			return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkMissing}
		case held.blocks != nil:
			c.packed = append(c.packed, held.blocks)
		default:
			c.appendObjects(held.objects)
		}
	}
	return c, nil
}

// appendObjects appends the collections of run to those of c.
func (c *Configuration) appendObjects(run *Configuration) {
	from := reflect.ValueOf(run).Elem()
	into := reflect.ValueOf(c).Elem()
	for i := range from.NumField() {
		if from.Type().Field(i).IsExported() {
			into.Field(i).Set(reflect.AppendSlice(into.Field(i), from.Field(i)))
		}
	}
}
