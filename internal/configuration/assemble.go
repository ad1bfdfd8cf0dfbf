package configuration

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Assembler caches verified chunks and assembles configurations from them. A
// chunk that several revisions share is decoded only once. It is not safe for
// concurrent use.
type Assembler struct {
	chunks   map[Digest]*decodedChunk
	interned *listInterner
}

// decodedChunk is a verified chunk. Its kind determines which of index, objects and
// blocks is set.
type decodedChunk struct {
	data    []byte
	index   []ChunkReference
	objects *Configuration
	blocks  *packedBlocks
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{chunks: map[Digest]*decodedChunk{}, interned: newListInterner()}
}

// Add verifies, decodes and caches a chunk. Adding a cached chunk again does
// nothing. It fails with a *ChunkError.
func (a *Assembler) Add(ref ChunkReference, data []byte) error {
	if a.chunks[ref.Digest] != nil {
		return nil
	}
	if err := ref.Verify(data); err != nil {
		return err
	}
	chunk, err := a.decode(ref.Kind, data)
	if err != nil {
		return &ChunkError{Digest: ref.Digest, Reason: ChunkMalformed, Err: err}
	}
	a.chunks[ref.Digest] = chunk
	return nil
}

func (a *Assembler) decode(kind ChunkKind, data []byte) (*decodedChunk, error) {
	chunk := &decodedChunk{data: data}
	var err error
	switch kind {
	case ChunkObjects:
		chunk.objects = &Configuration{}
		err = json.Unmarshal(data, chunk.objects)
	case ChunkIndex:
		chunk.index, err = decodeIndex(data)
	case ChunkBlocks:
		chunk.blocks, err = decodeBlocks(data, a.interned)
	default:
		err = &UnknownChunkKindError{Kind: kind}
	}
	return chunk, err
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

// Data returns the content of a chunk, or nil if the chunk is not cached.
func (a *Assembler) Data(digest Digest) []byte {
	if chunk := a.chunks[digest]; chunk != nil {
		return chunk.data
	}
	return nil
}

// MissingChunks returns the chunks of m that are not cached: the missing index
// chunks if there are any, otherwise the missing content chunks. It returns none
// once the configuration can be assembled.
func (a *Assembler) MissingChunks(m *Manifest) []ChunkReference {
	if missing := a.withoutData(m.Index); len(missing) > 0 {
		return missing
	}
	return a.withoutData(a.contentReferences(m))
}

// ReferencedChunks returns the references of all index and content chunks of m.
// All index chunks must be cached.
func (a *Assembler) ReferencedChunks(m *Manifest) []ChunkReference {
	return slices.Concat(m.Index, a.contentReferences(m))
}

// contentReferences returns the content chunks that the cached index chunks of m
// refer to.
func (a *Assembler) contentReferences(m *Manifest) []ChunkReference {
	var refs []ChunkReference
	for _, ref := range m.Index {
		if chunk := a.chunks[ref.Digest]; chunk != nil {
			refs = append(refs, chunk.index...)
		}
	}
	return refs
}

// withoutData returns the references whose chunks are not cached.
func (a *Assembler) withoutData(refs []ChunkReference) []ChunkReference {
	var missing []ChunkReference
	for _, ref := range refs {
		if a.chunks[ref.Digest] == nil {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Retain drops all cached chunks that refs does not list.
func (a *Assembler) Retain(refs []ChunkReference) {
	kept := make(map[Digest]*decodedChunk, len(refs))
	for _, ref := range refs {
		if chunk := a.chunks[ref.Digest]; chunk != nil {
			kept[ref.Digest] = chunk
		}
	}
	a.chunks = kept
}

// Snapshot assembles the configuration of a manifest. It fails with a
// *ChunkError if a chunk is missing.
func (a *Assembler) Snapshot(m *Manifest) (*Snapshot, error) {
	if missing := a.MissingChunks(m); len(missing) > 0 {
		return nil, &ChunkError{Digest: missing[0].Digest, Reason: ChunkMissing}
	}
	c, err := a.assemble(a.contentReferences(m))
	if err != nil {
		return nil, err
	}
	return newSnapshot(m.Revision, c, m.Digest), nil
}

// assemble concatenates content chunks in the order of refs.
func (a *Assembler) assemble(refs []ChunkReference) (*Configuration, error) {
	c := &Configuration{}
	for _, ref := range refs {
		chunk := a.chunks[ref.Digest]
		switch {
		case chunk == nil:
			return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkMissing}
		case chunk.blocks != nil:
			c.packedClientBlocks = append(c.packedClientBlocks, chunk.blocks)
		case chunk.objects != nil:
			c.appendObjects(chunk.objects)
		default:
			return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkMalformed}
		}
	}
	return c, nil
}

// appendObjects appends the entries of every collection of run to c.
func (c *Configuration) appendObjects(run *Configuration) {
	from := reflect.ValueOf(run).Elem()
	into := reflect.ValueOf(c).Elem()
	for i := range from.NumField() {
		if from.Type().Field(i).IsExported() {
			into.Field(i).Set(reflect.AppendSlice(into.Field(i), from.Field(i)))
		}
	}
}
