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

// ChunkKind says how a chunk is encoded.
type ChunkKind uint8

// Kinds of chunk.
const (
	ChunkObjects ChunkKind = iota + 1 // JSON of a Configuration that holds a run of one collection
	ChunkBlocks                       // packed client blocks, sorted by prefix
	ChunkIndex                        // references of content chunks
)

// Sizes of chunks. Boundaries follow from the content, so that a change of one
// entry leaves all chunks but its own as they are.
const (
	maxChunkBytes      = 768 << 10
	maxRunBytes        = 512 << 10 // a run is cut when it is longer
	meanObjectsInChunk = 64
	meanBlocksInChunk  = 1024

	meanReferencesInChunk = 64
)

// Chunk is one piece of an encoded configuration.
type Chunk struct {
	Reference ChunkReference
	Data      []byte
}

// ChunkReference names a chunk by its content.
type ChunkReference struct {
	Kind   ChunkKind `cbor:"1,keyasint"`
	Digest Digest    `cbor:"2,keyasint"` // SHA-256 of the chunk's data
	Size   int       `cbor:"3,keyasint"` // bytes
}

// ChunkError reports a chunk that cannot be encoded or decoded.
type ChunkError struct {
	Digest Digest
	Reason ChunkFailure
	Err    error // may be nil
}

// ChunkFailure classifies a ChunkError.
type ChunkFailure string

// Failures of chunks.
const (
	ChunkTooLarge ChunkFailure = "exceeds the size limit"
	ChunkMissing  ChunkFailure = "is missing"
	ChunkCorrupt  ChunkFailure = "does not match its digest"
	ChunkGarbled  ChunkFailure = "cannot be decoded"
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

// Verify reports whether data is the content that the reference names.
func (r ChunkReference) Verify(data []byte) error {
	if len(data) != r.Size || Digest(sha256.Sum256(data)) != r.Digest {
		return &ChunkError{Digest: r.Digest, Reason: ChunkCorrupt}
	}
	return nil
}

// Encoded is a configuration as chunks. The index chunks name the content
// chunks, so that a change of one entry changes one of each.
type Encoded struct {
	Index   []Chunk
	Content []Chunk
}

// All returns the content chunks and the index chunks.
func (e Encoded) All() []Chunk { return slices.Concat(e.Content, e.Index) }

// Digest identifies the configuration.
func (e Encoded) Digest() Digest { return DigestOfChunks(references(e.Index)) }

// Encode splits c into chunks. Equal configurations give equal chunks.
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
// that has no encoding, which validation refuses.
func DigestOf(c *Configuration) Digest {
	encoded, err := Encode(c)
	if err != nil {
		panic(err)
	}
	return encoded.Digest()
}

// encodeIndex splits the list of content chunks.
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
			return nil, &ChunkError{Reason: ChunkGarbled, Err: err}
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

// DigestOfChunks returns the digest of the configuration with these index chunks.
func DigestOfChunks(refs []ChunkReference) Digest {
	hash := sha256.New()
	for _, ref := range refs {
		hash.Write([]byte{byte(ref.Kind)})
		hash.Write(ref.Digest[:])
	}
	return Digest(hash.Sum(nil))
}

// encodeObjects encodes every field but the client blocks.
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

// encodeField encodes the field of Configuration with the given index.
func encodeField(value reflect.Value, index int) ([]Chunk, error) {
	var chunks []Chunk
	start, size := 0, 0
	for i := range value.Len() {
		data, err := json.Marshal(value.Index(i).Interface())
		if err != nil {
			return nil, &ChunkError{Reason: ChunkGarbled, Err: err}
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

// appendRun encodes a Configuration that holds only value in one of its fields.
func appendRun(chunks []Chunk, value reflect.Value, index int) ([]Chunk, error) {
	var run Configuration
	reflect.ValueOf(&run).Elem().Field(index).Set(value)
	data, err := json.Marshal(&run)
	if err != nil {
		return nil, &ChunkError{Reason: ChunkGarbled, Err: err}
	}
	return appendChunk(chunks, newChunk(ChunkObjects, data))
}

func appendChunk(chunks []Chunk, chunk Chunk) ([]Chunk, error) {
	if len(chunk.Data) > maxChunkBytes {
		return nil, &ChunkError{Digest: chunk.Reference.Digest, Reason: ChunkTooLarge}
	}
	return append(chunks, chunk), nil
}

// UnknownChunkKindError reports a chunk of a kind that this version cannot read.
type UnknownChunkKindError struct {
	Kind ChunkKind
}

// Error implements error.
func (e *UnknownChunkKindError) Error() string {
	return "chunk kind " + string('0'+rune(e.Kind)) + " is unknown"
}
