package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

func coldEntry(until boottime.Instant) catalog.Upstream {
	u := entry("u", "a1")
	u.ColdUntil = until
	return u
}

// A request that waits for a connection reaches the upstream later than it was
// placed.
func TestColdRequestCountsUntilASecondAfterItWasSent(t *testing.T) {
	p := poolOf(func(s *Settings) { s.ColdLimit = limitOf(1) }, coldEntry(t0.Add(5*time.Second)))
	placed, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	for _, after := range []time.Duration{10 * time.Millisecond, 1200 * time.Millisecond} {
		_, err = p.Place(requestAt(t0.Add(after)), t0.Add(after))
		require.Equal(t, ReasonCold, refusalOf(t, err).Reason, "not sent yet, after %v", after)
	}
	sent := t0.Add(1300 * time.Millisecond)
	placed.Sent(sent)
	placed.Sent(sent.Add(500 * time.Millisecond))
	placed.Done(Report{Outcome: OutcomeAnswered}, sent.Add(600*time.Millisecond))
	_, err = p.Place(requestAt(sent.Add(950*time.Millisecond)), sent.Add(950*time.Millisecond))
	require.Equal(t, ReasonCold, refusalOf(t, err).Reason)
	_, err = p.Place(requestAt(sent.Add(1100*time.Millisecond)), sent.Add(1100*time.Millisecond))
	require.NoError(t, err)
}

// An entry may vanish and return during an outage of the store.
func TestVanishedEntryDoesNotResetTheCount(t *testing.T) {
	p := poolOf(nil, coldEntry(t0.Add(5*time.Second)))
	counts, _ := placeMany(p, 20, t0)
	require.Equal(t, 3, counts["u"])
	p.SetUpstreams(nil, nil, t0.Add(100*time.Millisecond))
	p.SetUpstreams([]catalog.Upstream{coldEntry(t0.Add(5 * time.Second))}, nil, t0.Add(200*time.Millisecond))
	counts, _ = placeMany(p, 20, t0.Add(300*time.Millisecond))
	require.Zero(t, counts["u"])
	counts, _ = placeMany(p, 20, t0.Add(1200*time.Millisecond))
	require.Equal(t, 3, counts["u"])
}

func TestHostWithoutUnitsSendsNothingToAColdUpstream(t *testing.T) {
	p := poolOf(func(s *Settings) { s.ColdLimit = limitOf(0) }, coldEntry(t0.Add(5*time.Second)))
	_, err := p.Place(requestAt(t0), t0)
	require.Equal(t, ReasonCold, refusalOf(t, err).Reason)
}

// Hosts that learn later that an upstream turned cold still send to it as before.
func TestKnownUpstreamThatTurnsColdGetsNothingForASecond(t *testing.T) {
	restarted := coldEntry(t0.Add(4 * time.Second))
	restarted.Incarnation = 2
	for name, turned := range map[string]catalog.Upstream{"same process": coldEntry(t0.Add(4 * time.Second)), "restarted": restarted} {
		p := poolOf(nil, entry("u", "a1"))
		p.SetUpstreams([]catalog.Upstream{turned}, nil, t0)
		counts, _ := placeMany(p, 5, t0.Add(900*time.Millisecond))
		require.Zero(t, counts["u"], name)
		counts, _ = placeMany(p, 5, t0.Add(1100*time.Millisecond))
		require.Equal(t, 3, counts["u"], name)
	}
}

// An upstream may turn cold during an evacuation, and its entry may say so late.
func TestUpstreamIsLimitedAfterItsEvacuation(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	p.SetUpstreams([]catalog.Upstream{entry("u", "a1")}, map[string]bool{"a1": true}, t0)
	p.SetUpstreams([]catalog.Upstream{entry("u", "a1")}, nil, t0)
	counts, _ := placeMany(p, 20, t0)
	require.Equal(t, 3, counts["u"])
	counts, _ = placeMany(p, 20, t0.Add(1600*time.Millisecond))
	require.Equal(t, 20, counts["u"])
}

// A host that can't read the store does not learn when an upstream that refused a
// connection has started again.
func TestRefusedUpstreamStaysColdUntilTheViewIsCurrent(t *testing.T) {
	proof := t0
	p := poolOf(func(s *Settings) { s.ViewProof = func() boottime.Instant { return proof } }, entry("u", "a1"))
	placed, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	placed.Done(Report{Outcome: OutcomeRefused}, t0)
	counts, _ := placeMany(p, 20, t0.Add(6*time.Second))
	require.Equal(t, 3, counts["u"])
	proof = t0.Add(3100 * time.Millisecond)
	counts, _ = placeMany(p, 20, t0.Add(6*time.Second))
	require.Equal(t, 20, counts["u"])
}
