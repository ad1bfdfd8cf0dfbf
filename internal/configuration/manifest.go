package configuration

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/kvstore"
)

// Keys under which the store holds the configuration.
const (
	RootKey     = "peridotrail/configuration/root"
	ChunkPrefix = "peridotrail/configuration/chunk/"
)

// ChunkKey returns the key under which the store holds a chunk.
func ChunkKey(digest Digest) string { return ChunkPrefix + digest.String() }

// OperationID identifies one commit, so that a commit whose response was lost is
// recognised and not applied twice.
type OperationID string

// Manifest is the root document: it describes one revision and lists its index
// chunks.
type Manifest struct {
	Revision Revision         `cbor:"1,keyasint"`
	Digest   Digest           `cbor:"2,keyasint"`
	Index    []ChunkReference `cbor:"3,keyasint"`
	History  []Operation      `cbor:"4,keyasint"`           // newest first; History[0] created this revision
	Garbage  []Garbage        `cbor:"5,keyasint,omitempty"` // chunks that are no longer referenced but not yet deleted
	SweptAt  time.Time        `cbor:"6,keyasint"`           // last sweep of the store for chunks of failed commits
}

// Operation records which commit created a revision.
type Operation struct {
	ID       OperationID `cbor:"1,keyasint"`
	Revision Revision    `cbor:"2,keyasint"`
}

// Garbage is a chunk that is no longer referenced. It is deleted after a grace
// period in which readers of older roots can still fetch it.
type Garbage struct {
	Digest Digest    `cbor:"1,keyasint"`
	Since  time.Time `cbor:"2,keyasint"` // when the chunk was found to be unreferenced
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

// Encode returns the stored form of the manifest. It fails with a *ManifestError.
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

// DecodeManifest decodes the stored form of a manifest and checks its digest. It
// fails with a *ManifestError.
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

// Check returns an error if Index refers to chunks of another kind or Digest does
// not match the index chunks.
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

// hasOperation reports whether the history contains the operation. The manifest may
// be nil.
func (m *Manifest) hasOperation(id OperationID) bool {
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

// historyExcludes reports whether revision is so old that its operation may have
// been dropped from the history. The manifest may be nil.
func (m *Manifest) historyExcludes(revision Revision) bool {
	return m != nil && revision+historyLength <= m.Revision
}

// historyLength is the number of operations in the history. A commit whose response
// was lost finds out that it succeeded as long as fewer later commits have followed.
const historyLength = 32

// next returns the successor of m, which is nil if the store holds no configuration.
// The new revision is greater than that of m and greater than floor.
func (m *Manifest) next(id OperationID, floor Revision, index []ChunkReference, now time.Time, plan garbagePlan) *Manifest {
	next := &Manifest{
		Revision: floor + 1,
		Digest:   DigestOfChunks(index),
		Index:    index,
		Garbage:  plan.retained,
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

// garbagePlan is the outcome of planning one garbage collection.
type garbagePlan struct {
	retained []Garbage // unreferenced chunks to list in the next root
	expired  []Digest  // chunks to delete after the next root is written
	swept    bool      // whether the plan covers all chunks of the store
}

// planGarbageCollection determines which chunks become garbage when the root is
// replaced by one that references refs, and which have been garbage for longer than
// grace. dropped lists the chunks that the current root references. stored lists
// all chunks of the store after a sweep and is nil otherwise.
func planGarbageCollection(current *Manifest, dropped, refs []ChunkReference, stored []Digest, now time.Time, grace time.Duration) garbagePlan {
	plan := garbagePlan{swept: stored != nil}
	excluded := make(map[Digest]bool, len(refs))
	for _, ref := range refs {
		excluded[ref.Digest] = true
	}
	add := func(g Garbage) {
		if excluded[g.Digest] {
			return
		}
		excluded[g.Digest] = true
		if now.Sub(g.Since) > grace {
			plan.expired = append(plan.expired, g.Digest)
			return
		}
		plan.retained = append(plan.retained, g)
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
