package configuration

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"peridotrail/internal/kvstore"
)

// ConflictError reports that the revision in the store is not the one on which a
// change is based.
type ConflictError struct {
	Base       Revision
	Current    Revision
	Difference Difference // from the stored configuration to the rejected one
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
	Revision  Revision // revision that the commit creates if it takes effect
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
	DefaultGarbageGrace    = time.Hour
	DefaultSweepInterval   = 24 * time.Hour
	DefaultParallelism     = 4
	DefaultChunksPerSecond = 100 // chunk reads and writes per second
	chunkBurst             = 50  // chunk reads and writes
)

// RepositoryConfig holds the dependencies of a Repository.
type RepositoryConfig struct {
	Store kvstore.Store
	Now   func() time.Time // wall clock; time.Now if nil
	// NewOperation returns a unique ID for a commit; random if nil.
	NewOperation  func() OperationID
	GarbageGrace  time.Duration // time after which an unreferenced chunk is deleted
	SweepInterval time.Duration // time between sweeps of the store for chunks of failed commits
	Parallelism   int           // chunks read or written concurrently
	// ChunksPerSecond limits the rate of chunk reads and writes, so that the
	// transfer of a complete configuration does not starve other users of the
	// store. A burst of a few dozen chunks is not delayed.
	ChunksPerSecond float64
}

// Repository reads and writes the configuration in the platform's store. It is safe
// for concurrent use.
type Repository struct {
	config       RepositoryConfig
	chunkLimiter *rate.Limiter // limits chunk reads and writes
}

// NewRepository returns a repository. Zero fields of config are set to their
// defaults.
func NewRepository(config RepositoryConfig) *Repository {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.NewOperation == nil {
		config.NewOperation = randomOperationID
	}
	if config.GarbageGrace == 0 {
		config.GarbageGrace = DefaultGarbageGrace
	}
	if config.SweepInterval == 0 {
		config.SweepInterval = DefaultSweepInterval
	}
	if config.Parallelism == 0 {
		config.Parallelism = DefaultParallelism
	}
	if config.ChunksPerSecond == 0 {
		config.ChunksPerSecond = DefaultChunksPerSecond
	}
	return &Repository{
		config:       config,
		chunkLimiter: rate.NewLimiter(rate.Limit(config.ChunksPerSecond), chunkBurst),
	}
}

// Root returns the root document and the revision of its key in the store. The
// manifest is nil if the store holds none. Transient failures are retried until ctx
// ends.
func (r *Repository) Root(ctx context.Context) (*Manifest, kvstore.Revision, error) {
	var entry kvstore.Entry
	err := retry(ctx, func() (err error) {
		entry, err = r.config.Store.Get(ctx, RootKey)
		return err
	})
	if err != nil || !entry.Exists() {
		return nil, kvstore.Revision{}, err
	}
	manifest, err := DecodeManifest(entry.Value)
	return manifest, entry.Revision, err
}

// Chunk returns the data of a chunk. It fails with a *ChunkError if the store does
// not hold the chunk, which normally means that a newer root has replaced the one
// that references it. Transient failures are retried until ctx ends.
func (r *Repository) Chunk(ctx context.Context, ref ChunkReference) ([]byte, error) {
	if err := r.chunkLimiter.Wait(ctx); err != nil {
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
	return r.LoadReusing(ctx, nil)
}

// LoadReusing is like Load, but reads only those chunks from the store that cached
// does not have in common with the stored configuration. cached may be nil.
func (r *Repository) LoadReusing(ctx context.Context, cached *Configuration) (*Snapshot, error) {
	var cachedChunks []Chunk
	if cached != nil {
		encoded, err := Encode(cached)
		if err != nil {
			return nil, err
		}
		cachedChunks = encoded.All()
	}
	for {
		manifest, _, err := r.Root(ctx)
		if err != nil || manifest == nil {
			return nil, err
		}
		snapshot, err := r.assembleSnapshot(ctx, manifest, cachedChunks)
		if !isMissingChunk(err) {
			return snapshot, err
		}
		latest, _, rootErr := r.Root(ctx)
		if rootErr != nil || latest == nil || latest.Revision == manifest.Revision {
			return nil, err
		}
	}
}

// assembleSnapshot assembles the configuration of a manifest from cachedChunks and
// fetches the other chunks from the store.
func (r *Repository) assembleSnapshot(ctx context.Context, manifest *Manifest, cachedChunks []Chunk) (*Snapshot, error) {
	assembler, err := newAssemblerWith(cachedChunks)
	if err != nil {
		return nil, err
	}
	for {
		missing := assembler.MissingChunks(manifest)
		if len(missing) == 0 {
			return assembler.Snapshot(manifest)
		}
		if err := r.fetchChunks(ctx, assembler, missing); err != nil {
			return nil, err
		}
	}
}

// referencedChunks returns the references of all index and content chunks of the
// manifest, which may be nil. It fetches index chunks that are not in cachedChunks.
func (r *Repository) referencedChunks(ctx context.Context, manifest *Manifest, cachedChunks []Chunk) ([]ChunkReference, error) {
	if manifest == nil {
		return nil, nil
	}
	assembler, err := newAssemblerWith(cachedChunks)
	if err != nil {
		return nil, err
	}
	if err := r.fetchChunks(ctx, assembler, assembler.withoutData(manifest.Index)); err != nil {
		return nil, err
	}
	return assembler.ReferencedChunks(manifest), nil
}

func newAssemblerWith(chunks []Chunk) (*Assembler, error) {
	assembler := NewAssembler()
	for _, chunk := range chunks {
		if err := assembler.Add(chunk.Reference, chunk.Data); err != nil {
			return nil, err
		}
	}
	return assembler, nil
}

// fetchChunks reads chunks from the store and adds them to the assembler.
func (r *Repository) fetchChunks(ctx context.Context, assembler *Assembler, refs []ChunkReference) error {
	data := make([][]byte, len(refs))
	err := r.forEach(ctx, len(refs), func(ctx context.Context, i int) (err error) {
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
