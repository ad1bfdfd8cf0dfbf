package configuration

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/kvstore"
)

// Keys of the store that hold the configuration.
const (
	RootKey     = "peridotrail/configuration/root"
	ChunkPrefix = "peridotrail/configuration/chunk/"
)

// ChunkKey returns the key under which the store holds a chunk.
func ChunkKey(digest Digest) string { return ChunkPrefix + digest.String() }

// OperationID identifies one commit, so that a commit whose answer was lost is
// recognised and never applied twice.
type OperationID string

// Manifest is the root document: it names one revision and its index chunks.
type Manifest struct {
	Revision Revision         `cbor:"1,keyasint"`
	Digest   Digest           `cbor:"2,keyasint"`
	Index    []ChunkReference `cbor:"3,keyasint"`
	History  []Operation      `cbor:"4,keyasint"`           // newest first; History[0] made this revision
	Garbage  []Garbage        `cbor:"5,keyasint,omitempty"` // chunks that no revision since names
	SweptAt  time.Time        `cbor:"6,keyasint"`           // last search for chunks of failed commits
}

// Operation records which commit made a revision.
type Operation struct {
	ID       OperationID `cbor:"1,keyasint"`
	Revision Revision    `cbor:"2,keyasint"`
}

// Garbage is a chunk that will be deleted once readers of older roots are done.
type Garbage struct {
	Digest Digest    `cbor:"1,keyasint"`
	Since  time.Time `cbor:"2,keyasint"`
}

// ManifestError reports a root document that cannot be encoded or decoded.
type ManifestError struct {
	Size int // bytes
	Err  error
}

// Error implements error.
func (e *ManifestError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("manifest of %d bytes exceeds %d bytes", e.Size, kvstore.MaxValueSize)
	}
	return fmt.Sprintf("manifest of %d bytes: %v", e.Size, e.Err)
}

// Unwrap returns the underlying failure.
func (e *ManifestError) Unwrap() error { return e.Err }

// Encode returns the stored form of the manifest.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, &ManifestError{Err: err}
	}
	if len(data) > kvstore.MaxValueSize {
		return nil, &ManifestError{Size: len(data)}
	}
	return data, nil
}

// DecodeManifest reads the stored form of a manifest and checks its digest.
func DecodeManifest(data []byte) (*Manifest, error) {
	var m Manifest
	if err := decodeMode.Unmarshal(data, &m); err != nil {
		return nil, &ManifestError{Size: len(data), Err: err}
	}
	if err := m.Check(); err != nil {
		return nil, &ManifestError{Size: len(data), Err: err}
	}
	return &m, nil
}

// Check reports whether the digest matches the index chunks.
func (m *Manifest) Check() error {
	for _, ref := range m.Index {
		if ref.Kind != ChunkIndex {
			return &UnknownChunkKindError{Kind: ref.Kind}
		}
	}
	if DigestOfChunks(m.Index) != m.Digest {
		return &ChunkError{Digest: m.Digest, Reason: ChunkCorrupt}
	}
	return nil
}

// made reports whether the operation is in the history.
func (m *Manifest) made(id OperationID) bool {
	if m == nil {
		return false
	}
	for _, operation := range m.History {
		if operation.ID == id {
			return true
		}
	}
	return false
}

// forgot reports whether revision is too old for the history.
func (m *Manifest) forgot(revision Revision) bool {
	return m != nil && revision+historyLength <= m.Revision
}

// historyLength bounds how many later commits may come before an operator whose
// answer was lost looks again.
const historyLength = 32

// next returns the manifest that follows m, which is nil before the first. Its
// revision is greater than those of m and floor.
func (m *Manifest) next(id OperationID, floor Revision, index []ChunkReference, now time.Time, plan collection) *Manifest {
	next := &Manifest{
		Revision: floor + 1,
		Digest:   DigestOfChunks(index),
		Index:    index,
		Garbage:  plan.keep,
		SweptAt:  now,
	}
	var history []Operation
	if m != nil {
		next.Revision = max(m.Revision, floor) + 1
		next.SweptAt = m.SweptAt
		history = m.History[:min(len(m.History), historyLength-1)]
	}
	if plan.swept {
		next.SweptAt = now
	}
	next.History = append([]Operation{{ID: id, Revision: next.Revision}}, history...)
	return next
}

// collection is the plan of one garbage collection.
type collection struct {
	keep   []Garbage // to be listed in the next root
	remove []Digest  // to be deleted after the next root is written
	swept  bool      // all chunks of the store were looked at
}

// planCollection decides which chunks become garbage with a root that names
// refs and which have been garbage for longer than grace. Dropped lists the
// chunks that the current root names, stored those of the store if it was
// searched and is nil otherwise.
func planCollection(current *Manifest, dropped, refs []ChunkReference, stored []Digest, now time.Time, grace time.Duration) collection {
	plan := collection{swept: stored != nil}
	known := make(map[Digest]bool, len(refs))
	for _, ref := range refs {
		known[ref.Digest] = true
	}
	add := func(g Garbage) {
		if known[g.Digest] {
			return
		}
		known[g.Digest] = true
		if now.Sub(g.Since) > grace {
			plan.remove = append(plan.remove, g.Digest)
			return
		}
		plan.keep = append(plan.keep, g)
	}
	if current != nil {
		for _, garbage := range current.Garbage {
			add(garbage)
		}
	}
	for _, ref := range dropped {
		add(Garbage{Digest: ref.Digest, Since: now})
	}
	for _, digest := range stored {
		add(Garbage{Digest: digest, Since: now})
	}
	return plan
}
