package configuration

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Assembler keeps verified chunks and joins them into configurations. A chunk
// that stays from one revision to the next is decoded once. It is not safe for
// concurrent use.
type Assembler struct {
	chunks   map[Digest]*heldChunk
	interned *interner
}

// heldChunk is a verified chunk. One of index, objects and blocks is set.
type heldChunk struct {
	data    []byte
	index   []ChunkReference
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
	case ChunkIndex:
		held.index, err = decodeIndex(data)
	case ChunkBlocks:
		held.blocks, err = decodeBlocks(data, a.interned)
	default:
		err = &UnknownChunkKindError{Kind: kind}
	}
	return held, err
}

func decodeIndex(data []byte) ([]ChunkReference, error) {
	var refs []ChunkReference
	if err := decodeMode.Unmarshal(data, &refs); err != nil {
		return nil, err
	}
	for _, ref := range refs {
		if ref.Kind == ChunkIndex {
			return nil, &UnknownChunkKindError{Kind: ref.Kind}
		}
	}
	return refs, nil
}

// Data returns the content of a chunk, or nil if it is not held.
func (a *Assembler) Data(digest Digest) []byte {
	if held := a.chunks[digest]; held != nil {
		return held.data
	}
	return nil
}

// Wanted returns the chunks of m that are not held, as far as they are known:
// index chunks first. It is empty once the configuration can be assembled.
func (a *Assembler) Wanted(m *Manifest) []ChunkReference {
	if missing := a.missing(m.Index); len(missing) > 0 {
		return missing
	}
	return a.missing(a.content(m))
}

// Named returns all chunks of m, index and content. All index chunks must be held.
func (a *Assembler) Named(m *Manifest) []ChunkReference {
	return slices.Concat(m.Index, a.content(m))
}

// content joins the index chunks that are held.
func (a *Assembler) content(m *Manifest) []ChunkReference {
	var refs []ChunkReference
	for _, ref := range m.Index {
		if held := a.chunks[ref.Digest]; held != nil {
			refs = append(refs, held.index...)
		}
	}
	return refs
}

// missing returns the references whose chunks are not held.
func (a *Assembler) missing(refs []ChunkReference) []ChunkReference {
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

// Snapshot assembles the configuration of a manifest. It fails with a
// *ChunkError if a chunk is missing.
func (a *Assembler) Snapshot(m *Manifest) (*Snapshot, error) {
	if wanted := a.Wanted(m); len(wanted) > 0 {
		return nil, &ChunkError{Digest: wanted[0].Digest, Reason: ChunkMissing}
	}
	c, err := a.assemble(a.content(m))
	if err != nil {
		return nil, err
	}
	return newSnapshot(m.Revision, c, m.Digest), nil
}

// assemble joins content chunks in the order of refs.
func (a *Assembler) assemble(refs []ChunkReference) (*Configuration, error) {
	c := &Configuration{}
	for _, ref := range refs {
		held := a.chunks[ref.Digest]
		switch {
		case held == nil:
			return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkMissing}
		case held.blocks != nil:
			c.packed = append(c.packed, held.blocks)
		case held.objects != nil:
			c.appendObjects(held.objects)
		default:
			return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkGarbled}
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
