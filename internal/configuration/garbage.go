package configuration

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"peridotrail/internal/kvstore"
)

// storedChunk is a chunk with the store's revision of it.
type storedChunk struct {
	digest   Digest
	revision kvstore.Revision
}

// sweep lists the chunks of the store if the last search is old, to find those
// that failed commits left behind. It returns nil if no search is due or it
// fails; a later commit searches again.
//
// A commit in flight whose chunks are found here fails, because the root changes
// before its own swap, and writes its chunks again when it is repeated.
func (r *Repository) sweep(ctx context.Context, current *Manifest) []Digest {
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

// revisions returns the store's revisions of chunks that are to be deleted. They
// are read before the root is replaced: a later commit that names such a chunk
// writes it again, which changes its revision and makes the deletion fail.
func (r *Repository) revisions(ctx context.Context, digests []Digest) ([]storedChunk, error) {
	doomed := make([]storedChunk, len(digests))
	err := r.each(ctx, len(digests), func(ctx context.Context, i int) error {
		return retry(ctx, func() error {
			entry, err := r.config.Store.Get(ctx, ChunkKey(digests[i]))
			doomed[i] = storedChunk{digest: digests[i], revision: entry.Revision}
			return err
		})
	})
	return doomed, err
}

// remove deletes chunks on a best effort basis. What is left behind is found by
// the next sweep.
func (r *Repository) remove(ctx context.Context, doomed []storedChunk) {
	_ = r.each(ctx, len(doomed), func(ctx context.Context, i int) error {
		if doomed[i].revision == 0 {
			return nil
		}
		_, _ = r.config.Store.CompareAndSwap(ctx, kvstore.Write{
			Key:      ChunkKey(doomed[i].digest),
			Expected: doomed[i].revision,
			Delete:   true,
		})
		return nil
	})
}

func isMissing(err error) bool {
	var failure *ChunkError
	return errors.As(err, &failure) && failure.Reason == ChunkMissing
}
