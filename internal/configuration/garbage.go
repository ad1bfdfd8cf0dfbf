package configuration

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"peridotrail/internal/kvstore"
)

// storedChunk identifies a chunk and the revision of its key in the store.
type storedChunk struct {
	digest   Digest
	revision kvstore.Revision
}

// sweepIfDue lists all chunks of the store if the sweep interval has passed, to
// find chunks that failed commits left behind. It returns nil if no sweep is due
// or the listing fails; a later commit tries again.
//
// The listing may include chunks of a concurrent commit. That commit fails, because
// the root changes before it swaps it, and writes its chunks again when it is
// repeated.
func (r *Repository) sweepIfDue(ctx context.Context, current *Manifest) []Digest {
	if current == nil || r.config.Now().Sub(current.SweptAt) < r.config.SweepInterval {
		return nil
	}
	entries, err := r.config.Store.List(ctx, ChunkPrefix)
	if err != nil {
		return nil
	}
	stored := make([]Digest, 0, len(entries))
	for _, entry := range entries {
		var digest Digest
		name := strings.TrimPrefix(entry.Key, ChunkPrefix)
		if digest.UnmarshalText([]byte(name)) == nil {
			stored = append(stored, digest)
		}
	}
	return stored
}

// chunkRevisions returns the store's revisions of chunks that are to be deleted.
// They are read before the root is replaced: a later commit that references such a
// chunk writes it again, which changes its revision and makes the deletion fail.
func (r *Repository) chunkRevisions(ctx context.Context, digests []Digest) ([]storedChunk, error) {
	expired := make([]storedChunk, len(digests))
	err := r.forEach(ctx, len(digests), func(ctx context.Context, i int) error {
		return retry(ctx, func() error {
			entry, err := r.config.Store.Get(ctx, ChunkKey(digests[i]))
			expired[i] = storedChunk{digest: digests[i], revision: entry.Revision}
			return err
		})
	})
	return expired, err
}

// deleteChunks deletes chunks and ignores failures. The next sweep finds chunks
// that were not deleted.
func (r *Repository) deleteChunks(ctx context.Context, expired []storedChunk) {
	_ = r.forEach(ctx, len(expired), func(ctx context.Context, i int) error {
		if expired[i].revision.IsZero() {
			return nil
		}
		_, _ = r.config.Store.CompareAndSwap(ctx, kvstore.Write{
			Key:      ChunkKey(expired[i].digest),
			Expected: expired[i].revision,
			Delete:   true,
		})
		return nil
	})
}

func isMissingChunk(err error) bool {
	var failure *ChunkError
	return errors.As(err, &failure) && failure.Reason == ChunkMissing
}
