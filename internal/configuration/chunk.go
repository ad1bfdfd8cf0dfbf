package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ChunkKind identifies the encoding of a chunk.
type ChunkKind uint8

// Kinds of chunk.
const (
	ChunkObjects ChunkKind = iota + 1 // JSON of a Configuration that holds a run of consecutive entries of one collection
	ChunkBlocks                       // packed client blocks, sorted by prefix
	ChunkIndex                        // CBOR array of references to content chunks
)

// Sizes of chunks. Chunk boundaries are defined by the content, so that changing
// one entry changes only the chunk that holds it. The means are the average
// distances between boundaries.
const (
	maxChunkBytes      = 768 << 10
	maxRunBytes        = 512 << 10 // a longer run ends its chunk
	meanObjectsInChunk = 64
	meanBlocksInChunk  = 1024

	meanReferencesInChunk = 64
)

// Chunk is one piece of an encoded configuration.
type Chunk struct {
	Reference ChunkReference
	Data      []byte
}

// ChunkReference identifies a chunk by the digest of its content.
type ChunkReference struct {
	Kind   ChunkKind `cbor:"1,keyasint"`
	Digest Digest    `cbor:"2,keyasint"` // SHA-256 of the chunk's data
	Size   int       `cbor:"3,keyasint"` // bytes
}

// ChunkError reports a chunk that is missing or that cannot be encoded, verified
// or decoded.
type ChunkError struct {
	Digest Digest
	Reason ChunkFailure
	Err    error // may be nil
}

// ChunkFailure classifies a ChunkError.
type ChunkFailure string

// Reasons of a ChunkError. The value completes a sentence that begins with the
// digest of the chunk.
const (
	ChunkTooLarge  ChunkFailure = "exceeds the size limit"
	ChunkMissing   ChunkFailure = "is missing"
	ChunkCorrupt   ChunkFailure = "does not match its digest"
	ChunkMalformed ChunkFailure = "cannot be decoded"
)

// Error implements error.
func (e *ChunkError) Error() string {
	text := "chunk " + e.Digest.String() + " " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying failure.
func (e *ChunkError) Unwrap() error { return e.Err }

func newChunk(kind ChunkKind, data []byte) Chunk {
	return Chunk{
		Reference: ChunkReference{Kind: kind, Digest: sha256.Sum256(data), Size: len(data)},
		Data:      data,
	}
}

// Verify returns a *ChunkError if data does not have the size and digest of the
// reference.
func (r ChunkReference) Verify(data []byte) error {
	if len(data) != r.Size || Digest(sha256.Sum256(data)) != r.Digest {
		return &ChunkError{Digest: r.Digest, Reason: ChunkCorrupt}
	}
	return nil
}

// Encoded is a configuration split into chunks. The index chunks list the content
// chunks, so that changing one entry changes one chunk of each.
type Encoded struct {
	Index   []Chunk
	Content []Chunk
}

// All returns the content chunks and the index chunks.
func (e Encoded) All() []Chunk { return slices.Concat(e.Content, e.Index) }

// Digest returns the digest that identifies the configuration.
func (e Encoded) Digest() Digest { return DigestOfChunks(references(e.Index)) }

// Encode splits c into chunks. Equal configurations result in equal chunks. It
// fails with a *ChunkError or a *BlockRunError.
func Encode(c *Configuration) (Encoded, error) {
	content, err := encodeObjects(c)
	if err != nil {
		return Encoded{}, err
	}
	blocks, err := encodeBlocks(c)
	if err != nil {
		return Encoded{}, err
	}
	content = append(content, blocks...)
	index, err := encodeIndex(references(content))
	return Encoded{Index: index, Content: content}, err
}

// DigestOf returns the digest that identifies c. It panics if c holds a value
// that cannot be encoded; a validated configuration holds none.
func DigestOf(c *Configuration) Digest {
	encoded, err := Encode(c)
	if err != nil {
		panic(err)
	}
	return encoded.Digest()
}

// encodeIndex splits the list of content chunks into index chunks.
func encodeIndex(refs []ChunkReference) ([]Chunk, error) {
	var chunks []Chunk
	start := 0
	for i, ref := range refs {
		last := i == len(refs)-1
		if !last && binary.BigEndian.Uint64(ref.Digest[:])%meanReferencesInChunk != 0 {
			continue
		}
		data, err := cbor.Marshal(refs[start : i+1])
		if err != nil {
			return nil, &ChunkError{Reason: ChunkMalformed, Err: err}
		}
		if chunks, err = appendChunk(chunks, newChunk(ChunkIndex, data)); err != nil {
			return nil, err
		}
		start = i + 1
	}
	return chunks, nil
}

func references(chunks []Chunk) []ChunkReference {
	refs := make([]ChunkReference, len(chunks))
	for i, chunk := range chunks {
		refs[i] = chunk.Reference
	}
	return refs
}

// DigestOfChunks returns the digest of the configuration whose index chunks are
// refs.
func DigestOfChunks(refs []ChunkReference) Digest {
	hash := sha256.New()
	for _, ref := range refs {
		hash.Write([]byte{byte(ref.Kind)})
		hash.Write(ref.Digest[:])
	}
	return Digest(hash.Sum(nil))
}

// encodeObjects encodes every collection except the client blocks.
func encodeObjects(c *Configuration) ([]Chunk, error) {
	var chunks []Chunk
	source := reflect.ValueOf(c).Elem()
	for i := range source.NumField() {
		field := source.Type().Field(i)
		if !field.IsExported() || field.Name == "ClientBlocks" {
			continue
		}
		encoded, err := encodeField(source.Field(i), i)
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, encoded...)
	}
	return chunks, nil
}

// encodeField splits value, the collection in the field of Configuration with the
// given index, into chunks.
func encodeField(value reflect.Value, index int) ([]Chunk, error) {
	var chunks []Chunk
	start, size := 0, 0
	for i := range value.Len() {
		data, err := json.Marshal(value.Index(i).Interface())
		if err != nil {
			return nil, &ChunkError{Reason: ChunkMalformed, Err: err}
		}
		size += len(data)
		last := i == value.Len()-1
		if last || size > maxRunBytes || xxhash.Sum64(data)%meanObjectsInChunk == 0 {
			if chunks, err = appendRun(chunks, value.Slice(start, i+1), index); err != nil {
				return nil, err
			}
			start, size = i+1, 0
		}
	}
	return chunks, nil
}

// appendRun appends a chunk with a Configuration in which only the field with the
// given index is set, to value.
func appendRun(chunks []Chunk, value reflect.Value, index int) ([]Chunk, error) {
	var run Configuration
	reflect.ValueOf(&run).Elem().Field(index).Set(value)
	data, err := json.Marshal(&run)
	if err != nil {
		return nil, &ChunkError{Reason: ChunkMalformed, Err: err}
	}
	return appendChunk(chunks, newChunk(ChunkObjects, data))
}

func appendChunk(chunks []Chunk, chunk Chunk) ([]Chunk, error) {
	if len(chunk.Data) > maxChunkBytes {
		return nil, &ChunkError{Digest: chunk.Reference.Digest, Reason: ChunkTooLarge}
	}
	return append(chunks, chunk), nil
}

// UnknownChunkKindError reports a chunk kind that this version does not support or
// that is not allowed where it occurs.
type UnknownChunkKindError struct {
	Kind ChunkKind
}

// Error implements error.
func (e *UnknownChunkKindError) Error() string {
	return "chunk kind " + string('0'+rune(e.Kind)) + " is unknown"
}
