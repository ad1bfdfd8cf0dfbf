package configuration

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/go-faster/errors"

	"peridotrail/internal/kvstore"
)

func randomOperation() OperationID { return OperationID(rand.Text()) }

// Commit makes c the next revision if the stored revision is still base, and
// returns the new revision. A configuration equal to the stored one is not
// committed again; its revision is returned.
//
// It fails with a *InvalidError, a *ConflictError or a *OutcomeError, or with
// the store's error if nothing has taken effect. What is in force stays in force
// after every failure but a *OutcomeError.
func (r *Repository) Commit(ctx context.Context, base Revision, c *Configuration) (Revision, error) {
	return r.CommitAbove(ctx, base, 0, c)
}

// CommitAbove is Commit with a revision that is also greater than floor. It is
// for a store that has lost revisions which hosts still have in force: they take
// in greater revisions only. With a floor, a configuration equal to the stored
// one is committed again unless its revision is greater.
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
		return 0, r.conflict(ctx, base, current, encoded, c)
	}
	revision, err := r.commit(ctx, root{manifest: current, revision: expected}, floor, encoded)
	if kvstore.IsKind(err, kvstore.KindConflict) || isMissing(err) {
		latest, _, rootErr := r.Root(ctx)
		if rootErr != nil {
			return 0, rootErr
		}
		if isMissing(err) && revisionOfRoot(latest) == base {
			return 0, err // the store has lost a chunk of the current revision
		}
		return 0, r.conflict(ctx, base, latest, encoded, c)
	}
	return revision, err
}

// root is the root document with the store's revision of it.
type root struct {
	manifest *Manifest // nil if there is none
	revision kvstore.Revision
}

// commit writes the chunks and replaces the root. It returns a store error of
// KindConflict or a *ChunkError if another commit was first.
func (r *Repository) commit(ctx context.Context, current root, floor Revision, encoded Encoded) (Revision, error) {
	named, err := r.named(ctx, current.manifest, encoded.Index)
	if err != nil {
		return 0, err
	}
	if err := r.writeChunks(ctx, named, encoded.All()); err != nil {
		return 0, err
	}
	stored := r.sweep(ctx, current.manifest)
	now := r.config.Now()
	plan := planCollection(current.manifest, named, references(encoded.All()), stored, now, r.config.GarbageGrace)
	doomed, err := r.revisions(ctx, plan.remove)
	if err != nil {
		return 0, err
	}
	next := current.manifest.next(r.config.NewOperation(), floor, references(encoded.Index), now, plan)
	if err := r.swapRoot(ctx, next, current.revision); err != nil {
		return 0, err
	}
	r.remove(ctx, doomed)
	return next.Revision, nil
}

func revisionOfRoot(m *Manifest) Revision {
	if m == nil {
		return 0
	}
	return m.Revision
}

// conflict describes what differs from the stored configuration. The difference
// is left out if the stored configuration cannot be read.
func (r *Repository) conflict(ctx context.Context, base Revision, current *Manifest, encoded Encoded, c *Configuration) error {
	conflict := &ConflictError{Base: base, Current: revisionOfRoot(current)}
	if current == nil {
		conflict.Difference = Compare(nil, c)
		return conflict
	}
	if stored, err := r.snapshot(ctx, current, encoded.All()); err == nil {
		conflict.Difference = Compare(stored.Configuration, c)
	}
	return conflict
}

// writeChunks writes the chunks that the current root does not name. A chunk
// that the store already holds is written again, so that a garbage collection
// that has chosen it fails to delete it.
func (r *Repository) writeChunks(ctx context.Context, current []ChunkReference, chunks []Chunk) error {
	named := make(map[Digest]bool, len(current))
	for _, ref := range current {
		named[ref.Digest] = true
	}
	var fresh []Chunk
	for _, chunk := range chunks {
		if !named[chunk.Reference.Digest] {
			named[chunk.Reference.Digest] = true
			fresh = append(fresh, chunk)
		}
	}
	return r.each(ctx, len(fresh), func(ctx context.Context, i int) error {
		return r.writeChunk(ctx, fresh[i])
	})
}

func (r *Repository) writeChunk(ctx context.Context, chunk Chunk) error {
	write := kvstore.Write{Key: ChunkKey(chunk.Reference.Digest), Value: chunk.Data}
	if err := r.pace.Wait(ctx); err != nil {
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
			return errRace
		}
		return err
	})
}

// swapRoot writes the root. After a lost answer it writes again with the same
// expected revision, so that at most one of the attempts takes effect, and
// recognises its own success by the operation ID.
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
		if latest.made(operation) {
			return nil
		}
		uncertain = latest.forgot(next.Revision)
		return err
	})
	if err != nil && uncertain {
		return &OutcomeError{Operation: operation, Revision: next.Revision, Err: err}
	}
	return err
}

// each runs work for 0 to n-1 with bounded parallelism and returns the first
// error.
func (r *Repository) each(ctx context.Context, n int, work func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	indexes := make(chan int)
	failures := make(chan error, r.config.Parallel)
	var workers sync.WaitGroup
	for range min(r.config.Parallel, n) {
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
	feed(ctx, indexes, n)
	workers.Wait()
	close(failures)
	for err := range failures {
		if !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return ctx.Err()
}

// feed sends 0 to n-1 and closes the channel. It stops when ctx ends.
func feed(ctx context.Context, indexes chan<- int, n int) {
	defer close(indexes)
	for i := range n {
		select {
		case indexes <- i:
		case <-ctx.Done():
			return
		}
	}
}
