package configuration

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"peridotrail/internal/kvstore"
)

// ConflictError reports that the revision in the store is not the one on which
// the operator based a change.
type ConflictError struct {
	Base       Revision
	Current    Revision
	Difference Difference // from the stored configuration to the refused one
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in the store, but the change is based on revision %d; %d entries differ",
		e.Current, e.Base, len(e.Difference.Changes))
}

// OutcomeError reports a commit that may or may not have taken effect, because
// the store did not answer until the context ended. Committing the same
// configuration again is safe.
type OutcomeError struct {
	Operation OperationID
	Revision  Revision // that the commit would have made
	Err       error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("the commit of revision %d may have taken effect: %v", e.Revision, e.Err)
}

// Unwrap returns the underlying failure.
func (e *OutcomeError) Unwrap() error { return e.Err }

// Defaults of RepositoryConfig.
const (
	DefaultGarbageGrace  = time.Hour
	DefaultSweepInterval = 24 * time.Hour
	DefaultParallel      = 4
	DefaultChunkRate     = 100 // calls per second
	chunkBurst           = 50  // calls
)

// RepositoryConfig holds the dependencies of a Repository.
type RepositoryConfig struct {
	Store kvstore.Store
	Now   func() time.Time // wall clock; time.Now if nil
	// NewOperation returns a unique ID for a commit; random if nil.
	NewOperation  func() OperationID
	GarbageGrace  time.Duration // age at which an unused chunk is deleted
	SweepInterval time.Duration // time between searches for chunks of failed commits
	Parallel      int           // chunks read or written at the same time
	// ChunksPerSecond bounds the calls for chunks, so that a first configuration
	// leaves the store room for others. A few dozen chunks go without a wait.
	ChunksPerSecond float64
}

// Repository keeps the configuration in the platform's store.
type Repository struct {
	config RepositoryConfig
	pace   *rate.Limiter // of calls for chunks
}

// NewRepository returns a repository. Zero fields of config take their defaults.
func NewRepository(config RepositoryConfig) *Repository {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.NewOperation == nil {
		config.NewOperation = randomOperation
	}
	if config.GarbageGrace == 0 {
		config.GarbageGrace = DefaultGarbageGrace
	}
	if config.SweepInterval == 0 {
		config.SweepInterval = DefaultSweepInterval
	}
	if config.Parallel == 0 {
		config.Parallel = DefaultParallel
	}
	if config.ChunksPerSecond == 0 {
		config.ChunksPerSecond = DefaultChunkRate
	}
	return &Repository{
		config: config,
		pace:   rate.NewLimiter(rate.Limit(config.ChunksPerSecond), chunkBurst),
	}
}

// Root returns the root document with the store's revision of it. The manifest
// is nil if there is none. Transient failures are retried until ctx ends.
func (r *Repository) Root(ctx context.Context) (*Manifest, kvstore.Revision, error) {
	var entry kvstore.Entry
	err := retry(ctx, func() (err error) {
		entry, err = r.config.Store.Get(ctx, RootKey)
		return err
	})
	if err != nil || !entry.Exists() {
		return nil, 0, err
	}
	manifest, err := DecodeManifest(entry.Value)
	return manifest, entry.Revision, err
}

// Chunk returns the data of a chunk. It fails with a *ChunkError if the store
// does not hold it, which means that a newer root has replaced the one read.
func (r *Repository) Chunk(ctx context.Context, ref ChunkReference) ([]byte, error) {
	if err := r.pace.Wait(ctx); err != nil {
		return nil, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "get", Key: ChunkKey(ref.Digest), Err: err}
	}
	var entry kvstore.Entry
	err := retry(ctx, func() (err error) {
		entry, err = r.config.Store.Get(ctx, ChunkKey(ref.Digest))
		return err
	})
	if err != nil {
		return nil, err
	}
	if !entry.Exists() {
		return nil, &ChunkError{Digest: ref.Digest, Reason: ChunkMissing}
	}
	return entry.Value, ref.Verify(entry.Value)
}

// Load returns the stored configuration, or nil if there is none.
func (r *Repository) Load(ctx context.Context) (*Snapshot, error) {
	return r.LoadLike(ctx, nil)
}

// LoadLike is Load for a caller that holds a similar configuration: only chunks
// that differ are read. Similar may be nil.
func (r *Repository) LoadLike(ctx context.Context, similar *Configuration) (*Snapshot, error) {
	var known []Chunk
	if similar != nil {
		encoded, err := Encode(similar)
		if err != nil {
			return nil, err
		}
		known = encoded.All()
	}
	for {
		manifest, _, err := r.Root(ctx)
		if err != nil || manifest == nil {
			return nil, err
		}
		snapshot, err := r.snapshot(ctx, manifest, known)
		if !isMissing(err) {
			return snapshot, err
		}
		latest, _, rootErr := r.Root(ctx)
		if rootErr != nil || latest == nil || latest.Revision == manifest.Revision {
			return nil, err
		}
	}
}

// snapshot assembles the configuration of a manifest from known chunks and those
// of the store.
func (r *Repository) snapshot(ctx context.Context, manifest *Manifest, known []Chunk) (*Snapshot, error) {
	assembler, err := newAssemblerWith(known)
	if err != nil {
		return nil, err
	}
	for {
		wanted := assembler.Wanted(manifest)
		if len(wanted) == 0 {
			return assembler.Snapshot(manifest)
		}
		if err := r.fetch(ctx, assembler, wanted); err != nil {
			return nil, err
		}
	}
}

// named returns all chunks that the manifest names, index and content. The
// manifest may be nil.
func (r *Repository) named(ctx context.Context, manifest *Manifest, known []Chunk) ([]ChunkReference, error) {
	if manifest == nil {
		return nil, nil
	}
	assembler, err := newAssemblerWith(known)
	if err != nil {
		return nil, err
	}
	if err := r.fetch(ctx, assembler, assembler.missing(manifest.Index)); err != nil {
		return nil, err
	}
	return assembler.Named(manifest), nil
}

func newAssemblerWith(known []Chunk) (*Assembler, error) {
	assembler := NewAssembler()
	for _, chunk := range known {
		if err := assembler.Add(chunk.Reference, chunk.Data); err != nil {
			return nil, err
		}
	}
	return assembler, nil
}

// fetch reads chunks of the store into the assembler.
func (r *Repository) fetch(ctx context.Context, assembler *Assembler, refs []ChunkReference) error {
	data := make([][]byte, len(refs))
	err := r.each(ctx, len(refs), func(ctx context.Context, i int) (err error) {
		data[i], err = r.Chunk(ctx, refs[i])
		return err
	})
	if err != nil {
		return err
	}
	for i, ref := range refs {
		if err := assembler.Add(ref, data[i]); err != nil {
			return err
		}
	}
	return nil
}
