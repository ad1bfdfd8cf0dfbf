package configuration

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/go-faster/errors"

	"peridotrail/internal/kvstore"
)

func randomOperationID() OperationID { return OperationID(rand.Text()) }

// Commit makes c the next revision if the stored revision is still base, and
// returns the new revision. A configuration equal to the stored one is not
// committed again; its revision is returned.
//
// It fails with an *InvalidError, a *ConflictError or an *OutcomeError, or with
// the store's error if nothing has taken effect. Only after an *OutcomeError may
// the stored configuration have changed.
func (r *Repository) Commit(ctx context.Context, base Revision, c *Configuration) (Revision, error) {
	return r.CommitAbove(ctx, base, 0, c)
}

// CommitAbove is like Commit, but the new revision is also greater than floor. It
// repairs a store that has lost revisions which hosts still have in force: hosts
// accept only greater revisions than their own. A configuration equal to the
// stored one is committed again unless the stored revision is greater than floor.
func (r *Repository) CommitAbove(ctx context.Context, base, floor Revision, c *Configuration) (Revision, error) {
	if err := Validate(c); err != nil {
		return 0, err
	}
	encoded, err := Encode(c)
	if err != nil {
		return 0, err
	}
	current, expected, err := r.Root(ctx)
	if err != nil {
		return 0, err
	}
	if current != nil && current.Revision > floor && current.Digest == encoded.Digest() {
		return current.Revision, nil
	}
	if revisionOfRoot(current) != base {
		return 0, r.conflictError(ctx, base, current, encoded, c)
	}
	revision, err := r.commit(ctx, storedRoot{manifest: current, revision: expected}, floor, encoded)
	if kvstore.IsKind(err, kvstore.KindConflict) || isMissingChunk(err) {
		latest, _, rootErr := r.Root(ctx)
		if rootErr != nil {
			return 0, rootErr
		}
		if isMissingChunk(err) && revisionOfRoot(latest) == base {
			return 0, err // the store has lost a chunk of the current revision
		}
		return 0, r.conflictError(ctx, base, latest, encoded, c)
	}
	return revision, err
}

// storedRoot is the root document with the revision of its key in the store.
type storedRoot struct {
	manifest *Manifest // nil if the store holds no configuration
	revision kvstore.Revision
}

// commit writes the chunks and replaces the root. It returns a store error of
// KindConflict or a *ChunkError if another commit replaced the root first.
func (r *Repository) commit(ctx context.Context, current storedRoot, floor Revision, encoded Encoded) (Revision, error) {
	referenced, err := r.referencedChunks(ctx, current.manifest, encoded.Index)
	if err != nil {
		return 0, err
	}
	if err := r.writeChunks(ctx, referenced, encoded.All()); err != nil {
		return 0, err
	}
	stored := r.sweepIfDue(ctx, current.manifest)
	now := r.config.Now()
	plan := planGarbageCollection(current.manifest, referenced, references(encoded.All()), stored, now, r.config.GarbageGrace)
	expired, err := r.chunkRevisions(ctx, plan.expired)
	if err != nil {
		return 0, err
	}
	next := current.manifest.next(r.config.NewOperation(), floor, references(encoded.Index), now, plan)
	if err := r.swapRoot(ctx, next, current.revision); err != nil {
		return 0, err
	}
	r.deleteChunks(ctx, expired)
	return next.Revision, nil
}

func revisionOfRoot(m *Manifest) Revision {
	if m == nil {
		return 0
	}
	return m.Revision
}

// conflictError returns a *ConflictError with the difference from the stored
// configuration. The difference is empty if the stored configuration cannot be
// read.
func (r *Repository) conflictError(ctx context.Context, base Revision, current *Manifest, encoded Encoded, c *Configuration) error {
	conflict := &ConflictError{Base: base, Current: revisionOfRoot(current)}
	if current == nil {
		conflict.Difference = Compare(nil, c)
		return conflict
	}
	if stored, err := r.assembleSnapshot(ctx, current, encoded.All()); err == nil {
		conflict.Difference = Compare(stored.Configuration, c)
	}
	return conflict
}

// writeChunks writes the chunks that the current root does not reference. A chunk
// that the store already holds is written again: this changes its revision, so
// that a garbage collection that has selected the chunk fails to delete it.
func (r *Repository) writeChunks(ctx context.Context, current []ChunkReference, chunks []Chunk) error {
	present := make(map[Digest]bool, len(current))
	for _, ref := range current {
		present[ref.Digest] = true
	}
	var unwritten []Chunk
	for _, chunk := range chunks {
		if !present[chunk.Reference.Digest] {
			present[chunk.Reference.Digest] = true
			unwritten = append(unwritten, chunk)
		}
	}
	return r.forEach(ctx, len(unwritten), func(ctx context.Context, i int) error {
		return r.writeChunk(ctx, unwritten[i])
	})
}

func (r *Repository) writeChunk(ctx context.Context, chunk Chunk) error {
	write := kvstore.Write{Key: ChunkKey(chunk.Reference.Digest), Value: chunk.Data}
	if err := r.chunkLimiter.Wait(ctx); err != nil {
		return &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "compareAndSwap", Key: write.Key, Err: err}
	}
	return retry(ctx, func() error {
		entry, err := r.config.Store.CompareAndSwap(ctx, write)
		if kvstore.IsKind(err, kvstore.KindConflict) {
			write.Expected = entry.Revision
			entry, err = r.config.Store.CompareAndSwap(ctx, write)
		}
		if kvstore.IsKind(err, kvstore.KindConflict) {
			write.Expected = entry.Revision
			return errConcurrentWrite
		}
		return err
	})
}

// swapRoot writes the root. If the response is lost, it writes again with the same
// expected revision, so that at most one of the attempts takes effect, and it
// detects that an earlier attempt succeeded by the operation ID in the history.
func (r *Repository) swapRoot(ctx context.Context, next *Manifest, expected kvstore.Revision) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	operation := next.History[0].ID
	uncertain := false
	err = retry(ctx, func() error {
		_, err := r.config.Store.CompareAndSwap(ctx, kvstore.Write{Key: RootKey, Value: value, Expected: expected})
		if kvstore.IsKind(err, kvstore.KindUnknownOutcome) {
			uncertain = true
		}
		if !uncertain || !kvstore.IsKind(err, kvstore.KindConflict) {
			return err
		}
		latest, _, rootErr := r.Root(ctx)
		if rootErr != nil {
			return rootErr
		}
		if latest.hasOperation(operation) {
			return nil
		}
		uncertain = latest.historyExcludes(next.Revision)
		return err
	})
	if err != nil && uncertain {
		return &OutcomeError{Operation: operation, Revision: next.Revision, Err: err}
	}
	return err
}

// forEach calls work for 0 to n-1 with at most config.Parallelism calls at a time.
// It stops after the first error and returns it.
func (r *Repository) forEach(ctx context.Context, n int, work func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	indexes := make(chan int)
	failures := make(chan error, r.config.Parallelism)
	var workers sync.WaitGroup
	for range min(r.config.Parallelism, n) {
		workers.Go(func() {
			for i := range indexes {
				if err := work(ctx, i); err != nil {
					failures <- err
					cancel()
					return
				}
			}
		})
	}
	sendIndexes(ctx, indexes, n)
	workers.Wait()
	close(failures)
	for err := range failures {
		if !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return ctx.Err()
}

// sendIndexes sends 0 to n-1 and closes the channel. It stops early when ctx ends.
func sendIndexes(ctx context.Context, indexes chan<- int, n int) {
	defer close(indexes)
	for i := range n {
		select {
		case indexes <- i:
		case <-ctx.Done():
			return
		}
	}
}
