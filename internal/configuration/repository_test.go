package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/fake/store"
	"peridotrail/internal/kvstore"
)

func regionsOf(names ...string) *Configuration {
	c := &Configuration{}
	for _, name := range names {
		c.Regions = append(c.Regions, Region{Name: name})
	}
	return c
}

func TestCommitRevisionsAndConflict(t *testing.T) {
	ctx := t.Context()
	r := NewRepository(RepositoryConfig{Store: store.New()})
	loaded, err := r.Load(ctx)
	require.NoError(t, err)
	require.Nil(t, loaded)

	one, err := r.Commit(ctx, 0, regionsOf("a"))
	require.NoError(t, err)
	require.Equal(t, Revision(1), one)
	again, err := r.Commit(ctx, 0, regionsOf("a"))
	require.NoError(t, err)
	require.Equal(t, one, again, "an equal configuration is not committed twice")
	two, err := r.Commit(ctx, 1, regionsOf("a", "b"))
	require.NoError(t, err)
	require.Equal(t, Revision(2), two)

	_, err = r.Commit(ctx, 1, regionsOf("a", "c"))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, Revision(1), conflict.Base)
	require.Equal(t, Revision(2), conflict.Current)
	require.Equal(t, "- regions b: {\"name\":\"b\"}\n+ regions c: {\"name\":\"c\"}", conflict.Difference.String())

	_, err = r.Commit(ctx, 2, regionsOf("a", "a"))
	var refused *InvalidError
	require.ErrorAs(t, err, &refused)
	loaded, err = r.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, two, loaded.Revision)
	require.Equal(t, regionsOf("a", "b").Regions, loaded.Regions)
}

func TestCommitWithLostResponses(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				r := NewRepository(RepositoryConfig{Store: s})
				s.LoseNextAnswers(lost)
				revision, err := r.Commit(t.Context(), 0, regionsOf("a"))
				require.NoError(t, err)
				require.Equal(t, Revision(1), revision)
				loaded, err := r.Load(t.Context())
				require.NoError(t, err)
				require.Equal(t, Revision(1), loaded.Revision)
			})
		})
	}
}

// rootSwapHook calls after once, after the first swap of the root, and then replaces
// the response to the swap by an error with unknown outcome.
type rootSwapHook struct {
	kvstore.Store
	once  sync.Once
	after func()
}

func (h *rootSwapHook) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	entry, err := h.Store.CompareAndSwap(ctx, w)
	if w.Key == RootKey {
		h.once.Do(func() {
			h.after()
			entry = kvstore.Entry{}
			err = &kvstore.Error{Kind: kvstore.KindUnknownOutcome, Op: "compareAndSwap", Key: w.Key}
		})
	}
	return entry, err
}

func TestCommitWithLostResponseFindsItselfInHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		other := NewRepository(RepositoryConfig{Store: s})
		hook := &rootSwapHook{Store: s, after: func() {
			_, err := other.Commit(t.Context(), 1, regionsOf("a", "b"))
			require.NoError(t, err)
		}}
		revision, err := NewRepository(RepositoryConfig{Store: hook}).Commit(t.Context(), 0, regionsOf("a"))
		require.NoError(t, err)
		require.Equal(t, Revision(1), revision)
	})
}

func TestCommitReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		hook := &rootSwapHook{Store: s, after: func() { s.SetDown(true) }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := NewRepository(RepositoryConfig{Store: hook}).Commit(ctx, 0, regionsOf("a"))
		var outcome *OutcomeError
		require.ErrorAs(t, err, &outcome)
	})
}

func TestGarbageIsDeletedAfterGraceOnly(t *testing.T) {
	ctx := t.Context()
	s := store.New()
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	r := NewRepository(RepositoryConfig{Store: s, Now: func() time.Time { return now }})
	orphan := newChunk(ChunkObjects, []byte("orphan of a failed commit"))
	require.NoError(t, r.writeChunk(ctx, orphan))
	chunksAfter := func(base Revision, c *Configuration) int {
		_, err := r.Commit(ctx, base, c)
		require.NoError(t, err)
		entries, err := s.List(ctx, ChunkPrefix)
		require.NoError(t, err)
		return len(entries)
	}
	const perRevision = 2 // a content chunk and an index chunk
	require.Equal(t, 1+perRevision, chunksAfter(0, regionsOf("a")), "with the orphan")
	old, _, err := r.Root(ctx)
	require.NoError(t, err)
	require.Equal(t, 1+2*perRevision, chunksAfter(1, regionsOf("b")))
	_, err = r.assembleSnapshot(ctx, old, nil)
	require.NoError(t, err, "a reader of the previous root can still fetch its chunks")
	now = now.Add(DefaultGarbageGrace + time.Second)
	require.Equal(t, 1+2*perRevision, chunksAfter(2, regionsOf("c")), "the chunks of a are deleted")
	_, err = r.assembleSnapshot(ctx, old, nil)
	require.True(t, isMissingChunk(err))
	now = now.Add(DefaultSweepInterval)
	require.Equal(t, 1+2*perRevision, chunksAfter(3, regionsOf("d")), "the chunks of b are deleted; the sweep lists the orphan as garbage")
	now = now.Add(DefaultGarbageGrace + time.Second)
	require.Equal(t, 2*perRevision, chunksAfter(4, regionsOf("e")), "the chunks of c and the orphan are deleted, those of d are within the grace period")
	loaded, err := r.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, Revision(5), loaded.Revision)
}

func TestGarbagePlanExcludesReferencedChunks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	chunk := newChunk(ChunkObjects, []byte("x"))
	current := &Manifest{Garbage: []Garbage{{Digest: chunk.Reference.Digest, Since: now.Add(-2 * time.Hour)}}}
	plan := planGarbageCollection(current, nil, []ChunkReference{chunk.Reference}, nil, now, time.Hour)
	require.Empty(t, plan.expired)
	require.Empty(t, plan.retained)
}

func TestCommitAboveLostRevision(t *testing.T) {
	ctx := t.Context()
	r := NewRepository(RepositoryConfig{Store: store.New()})
	revision, err := r.CommitAbove(ctx, 0, 50, regionsOf("a"))
	require.NoError(t, err)
	require.Equal(t, Revision(51), revision)
	revision, err = r.CommitAbove(ctx, 51, 60, regionsOf("a"))
	require.NoError(t, err)
	require.Equal(t, Revision(61), revision, "the same content in a greater revision")
	revision, err = r.CommitAbove(ctx, 61, 60, regionsOf("a"))
	require.NoError(t, err)
	require.Equal(t, Revision(61), revision)
	revision, err = r.Commit(ctx, 61, regionsOf("b"))
	require.NoError(t, err)
	require.Equal(t, Revision(62), revision)
}

// operator commits configurations that extend the one it last read by a region.
type operator struct {
	repository *Repository
	base       Revision
	seen       []string
}

func (o *operator) commit(ctx context.Context, name string) (Revision, error) {
	next := append(append([]string{}, o.seen...), name)
	revision, err := o.repository.Commit(ctx, o.base, regionsOf(next...))
	if err == nil {
		o.base, o.seen = revision, next
	}
	return revision, err
}

func (o *operator) refresh(ctx context.Context) error {
	s, err := o.repository.Load(ctx)
	if err != nil || s == nil {
		return err
	}
	o.base, o.seen = s.Revision, nil
	for _, region := range s.Regions {
		o.seen = append(o.seen, region.Name)
	}
	return nil
}

// tbWithoutDeadline hides the Deadline method of testing.T, which must not be called
// in a synctest bubble.
type tbWithoutDeadline struct {
	rapid.TB
}

// Two operators commit concurrently while the store loses responses. No accepted
// change may be lost or applied twice, no rejected change may be stored, and each
// revision may be created only once.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(tbWithoutDeadline{t}, func(t *rapid.T) {
			ctx := context.Background()
			s := store.New()
			s.LoseAnswers(rapid.Float64Range(0, 0.6).Draw(t, "lost answers"), rapid.Uint64().Draw(t, "seed"))
			clock := time.Unix(1_800_000_000, 0)
			var operators [2]*operator
			for i := range operators {
				operators[i] = &operator{repository: NewRepository(RepositoryConfig{Store: s, Now: func() time.Time { return clock }})}
			}
			accepted := map[string]bool{}
			committed := map[Revision]bool{}
			steps := rapid.IntRange(1, 8).Draw(t, "steps")
			for step := range steps {
				clock = clock.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "hours")) * time.Hour)
				s.SetSlow(time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond)
				var revisions [2]Revision
				var errs [2]error
				var running sync.WaitGroup
				for i, o := range operators {
					if rapid.Bool().Draw(t, "refresh") {
						require.NoError(t, o.refresh(ctx))
					}
					startDelay := time.Duration(rapid.IntRange(0, 30).Draw(t, "start")) * time.Millisecond
					running.Go(func() {
						time.Sleep(startDelay)
						revisions[i], errs[i] = o.commit(ctx, fmt.Sprintf("r%d-%d", step, i))
					})
				}
				running.Wait()
				for i, err := range errs {
					if err != nil {
						var conflict *ConflictError
						require.ErrorAs(t, err, &conflict)
						continue
					}
					require.False(t, committed[revisions[i]], "revision %d was made twice", revisions[i])
					committed[revisions[i]] = true
					accepted[fmt.Sprintf("r%d-%d", step, i)] = true
				}
			}
			checkStored(t, operators[0].repository, accepted, len(committed))
		})
	})
}

func checkStored(t *rapid.T, r *Repository, accepted map[string]bool, commits int) {
	final, err := r.Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, Revision(commits), final.Revision)
	stored := map[string]bool{}
	for _, region := range final.Regions {
		stored[region.Name] = true
	}
	require.Equal(t, accepted, stored)
}

// deleteHook calls before once, before the first deletion.
type deleteHook struct {
	kvstore.Store
	once   sync.Once
	before func()
}

func (h *deleteHook) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	if w.Delete {
		h.once.Do(h.before)
	}
	return h.Store.CompareAndSwap(ctx, w)
}

func TestDelayedDeletionKeepsRewrittenChunk(t *testing.T) {
	ctx := t.Context()
	s := store.New()
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	clock := func() time.Time { return now }
	other := NewRepository(RepositoryConfig{Store: s, Now: clock})
	hook := &deleteHook{Store: s, before: func() {
		_, err := other.Commit(ctx, 3, regionsOf("a"))
		require.NoError(t, err)
	}}
	collecting := NewRepository(RepositoryConfig{Store: hook, Now: clock})
	for i, name := range []string{"a", "b"} {
		_, err := collecting.Commit(ctx, Revision(i), regionsOf(name))
		require.NoError(t, err)
	}
	now = now.Add(DefaultGarbageGrace + time.Second)
	_, err := collecting.Commit(ctx, 2, regionsOf("c"))
	require.NoError(t, err)
	loaded, err := other.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, Revision(4), loaded.Revision)
	require.Equal(t, "a", loaded.Regions[0].Name)
}
