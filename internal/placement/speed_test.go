package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream on a machine that is slow for the moment got as many requests as the others.
func TestReportedSlowdownCountsWhileItIsRecent(t *testing.T) {
	p := poolOf(nil, entry("x", "a1"), entry("y", "a1"))
	for _, id := range []string{"x", "y"} {
		p.upstreams[id].served = true
		p.upstreams[id].recordLoad(Load{Slots: 4}, t0)
	}
	p.upstreams["x"].recordLoad(Load{Slots: 4, Slowdown: 2.5}, t0)
	require.InDelta(t, 2.5, p.upstreams["x"].currentSlowdown(t0), 0.01)
	require.Greater(t, p.upstreams["x"].currentSlowdown(t0.Add(100*time.Millisecond)), 1.8)
	require.InDelta(t, 1, p.upstreams["x"].currentSlowdown(t0.Add(1500*time.Millisecond)), 0.05, "it changes several times a second")
	counts, _ := placeMany(p, 4, t0.Add(20*time.Millisecond))
	require.Equal(t, 4, counts["y"])
}

// A response that took long because its machine was slow also counted as a slowdown of the
// upstream for seconds.
func TestReportedSlowdownIsNotLearnedTwice(t *testing.T) {
	learned := func(slowdown float64) float64 {
		p := poolOf(nil, entry("x", "a1"))
		now := t0
		for range 20 {
			placed, err := p.Place(requestAt(now), now)
			require.NoError(t, err)
			now = now.Add(500 * time.Millisecond)
			placed.Done(Report{Outcome: OutcomeAnswered, Load: &Load{Slots: 4, Slowdown: slowdown}, Kilobytes: 1}, now)
		}
		return p.upstreams["x"].currentSlowdown(now.Add(2 * time.Second))
	}
	require.Greater(t, learned(1), 1.2, "slow by itself")
	require.InDelta(t, 1, learned(2.5), 0.15, "slow because of its machine")
}

// In an overload, the time in queues was learned as the time in the slot, and objects that upstreams
// held as not held, so that requests went to upstreams that did not hold them.
func TestTimeInQueuesIsNotLearnedAsServiceTime(t *testing.T) {
	p := poolOf(nil, entry("x", "a1"))
	before := *p.routeEstimate(&Request{Route: "r", LatencyObjective: 500 * time.Millisecond})
	now := t0
	for range 20 {
		placed, err := p.Place(requestAt(now), now)
		require.NoError(t, err)
		now = now.Add(900 * time.Millisecond)
		placed.Done(Report{Outcome: OutcomeAnswered, Load: &Load{Running: 4, Waiting: 6, Slots: 4}, Kilobytes: 1}, now)
		now = now.Add(20 * time.Second) // the load is forgotten
	}
	after := p.routeEstimate(&Request{Route: "r"})
	require.InDelta(t, before.cachedMS, after.cachedMS, 1e-9)
	require.InDelta(t, before.uncachedMS, after.uncachedMS, 1e-9)
}
