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
)

// committedContents holds the content of each revision whose commit succeeded.
type committedContents map[Revision]string

func (a committedContents) add(t *rapid.T, revision Revision, content string) {
	if earlier, made := a[revision]; made {
		require.Equal(t, earlier, content, "revision %d has two contents", revision)
	}
	a[revision] = content
}

func regionNames(c *Configuration) string {
	content := ""
	for _, region := range c.Regions {
		content += region.Name
	}
	return content
}

// smallConfiguration draws one of a few configurations, so that chunks that have
// become garbage are often referenced again.
func smallConfiguration(t *rapid.T) *Configuration {
	names := []string{"a", "b", "c"}
	kept := rapid.IntRange(1, len(names)).Draw(t, "regions")
	return regionsOf(names[:kept]...)
}

// Two operators concurrently commit configurations from a small set while unreferenced
// chunks are collected. Load must return the content that was committed under its
// revision, and no chunk that a root references may be missing.
func TestRacingOperatorsAndGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(tbWithoutDeadline{t}, func(t *rapid.T) {
			ctx := context.Background()
			s := store.New()
			s.LoseAnswers(rapid.Float64Range(0, 0.4).Draw(t, "lost answers"), rapid.Uint64().Draw(t, "seed"))
			s.SetSlow(5 * time.Millisecond)
			clock := time.Unix(1_800_000_000, 0)
			r := NewRepository(RepositoryConfig{Store: s, Now: func() time.Time { return clock }})
			committed := committedContents{}
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				clock = clock.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "minutes")) * time.Minute)
				base := Revision(0)
				if current, err := r.Load(ctx); current != nil {
					require.NoError(t, err)
					require.Equal(t, committed[current.Revision], regionNames(current.Configuration))
					base = current.Revision
				}
				commitConcurrently(ctx, t, r, base, committed)
			}
			final, err := r.Load(ctx)
			require.NoError(t, err)
			require.Equal(t, committed[final.Revision], regionNames(final.Configuration))
			require.Len(t, committed, int(final.Revision), "every revision was accepted from an operator")
		})
	})
}

// commitConcurrently commits two configurations on the same base almost simultaneously.
// Each commit must succeed or fail with a *ConflictError.
func commitConcurrently(ctx context.Context, t *rapid.T, r *Repository, base Revision, committed committedContents) {
	var revisions [2]Revision
	var errs [2]error
	var running sync.WaitGroup
	var offered [2]*Configuration
	for i := range offered {
		offered[i] = smallConfiguration(t)
		startDelay := time.Duration(rapid.IntRange(0, 40).Draw(t, fmt.Sprintf("start %d", i))) * time.Millisecond
		running.Go(func() {
			time.Sleep(startDelay)
			revisions[i], errs[i] = r.Commit(ctx, base, offered[i])
		})
	}
	running.Wait()
	for i, err := range errs {
		if err == nil {
			committed.add(t, revisions[i], regionNames(offered[i]))
			continue
		}
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
	}
}
