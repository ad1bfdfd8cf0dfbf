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

// accepted holds the content of each revision that an operator was told of.
type accepted map[Revision]string

func (a accepted) add(t *rapid.T, revision Revision, content string) {
	if earlier, made := a[revision]; made {
		require.Equal(t, earlier, content, "revision %d has two contents", revision)
	}
	a[revision] = content
}

func contentOf(c *Configuration) string {
	content := ""
	for _, region := range c.Regions {
		content += region.Name
	}
	return content
}

// smallConfiguration draws from few contents, so that chunks which have become
// garbage are named again.
func smallConfiguration(t *rapid.T) *Configuration {
	names := []string{"a", "b", "c"}
	kept := rapid.IntRange(1, len(names)).Draw(t, "regions")
	return regionsOf(names[:kept]...)
}

// Two operators swap between few contents while chunks are collected: what is
// loaded is always what was accepted under its revision, and no chunk that a
// root names is ever missing.
func TestRacingOperatorsAndGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			ctx := context.Background()
			s := store.New()
			s.LoseResponses(rapid.Float64Range(0, 0.4).Draw(t, "lost answers"), rapid.Uint64().Draw(t, "seed"))
			s.SetDelay(5 * time.Millisecond)
			clock := time.Unix(1_800_000_000, 0)
			r := NewRepository(RepositoryConfig{Store: s, Now: func() time.Time { return clock }})
			made := accepted{}
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				clock = clock.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "minutes")) * time.Minute)
				base := Revision(0)
				if current, err := r.Load(ctx); current != nil {
					require.NoError(t, err)
					require.Equal(t, made[current.Revision], contentOf(current.Configuration))
					base = current.Revision
				}
				raceOnce(ctx, t, r, base, made)
			}
			final, err := r.Load(ctx)
			require.NoError(t, err)
			require.Equal(t, made[final.Revision], contentOf(final.Configuration))
			require.Len(t, made, int(final.Revision), "every revision was accepted from an operator")
		})
	})
}

// raceOnce commits two configurations on the same base at nearly the same time.
func raceOnce(ctx context.Context, t *rapid.T, r *Repository, base Revision, made accepted) {
	var revisions [2]Revision
	var errs [2]error
	var running sync.WaitGroup
	var offered [2]*Configuration
	for i := range offered {
		offered[i] = smallConfiguration(t)
		head := time.Duration(rapid.IntRange(0, 40).Draw(t, fmt.Sprintf("start %d", i))) * time.Millisecond
		running.Go(func() {
			time.Sleep(head)
			revisions[i], errs[i] = r.Commit(ctx, base, offered[i])
		})
	}
	running.Wait()
	for i, err := range errs {
		if err == nil {
			made.add(t, revisions[i], contentOf(offered[i]))
			continue
		}
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
	}
}
