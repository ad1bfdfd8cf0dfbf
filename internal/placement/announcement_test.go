package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// askForRest lets an upstream turn a request away and ask for rest.
func askForRest(t *testing.T, p *Pool, id string, rest time.Duration, now boottime.Instant) {
	t.Helper()
	for range 100 {
		placed, err := p.Place(requestAt(now), now)
		require.NoError(t, err)
		if placed.Upstream.ID != id {
			placed.Done(Report{Outcome: OutcomeFailed}, now) // until the other one is chosen
			continue
		}
		placed.Rest(rest, now)
		placed.Done(Report{Outcome: OutcomeRest}, now)
		return
	}
	require.Fail(t, "the upstream is not chosen")
}

func TestRestingUpstreamGetsNothing(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"), entry("v", "a1"))
	askForRest(t, p, "u", 2*time.Second, t0)
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		counts, _ := placeMany(p, 3, t0.Add(at))
		require.Zero(t, counts["u"], "%v", at)
	}
	counts, _ := placeMany(p, 40, t0.Add(10*time.Second))
	require.NotZero(t, counts["u"])
}

// Callers were told to return long before any upstream accepts a request.
func TestRefusalNamesTheEndOfTheFirstRest(t *testing.T) {
	p := poolOf(func(s *Settings) { s.Host = "h" }, entry("u", "a1"), entry("v", "a1"))
	askForRest(t, p, "u", 5*time.Second, t0)
	askForRest(t, p, "v", 3*time.Second, t0)
	seen := map[time.Duration]bool{}
	for range 50 {
		_, err := p.Place(requestAt(t0), t0.Add(time.Second))
		refused := refusalOf(t, err)
		require.Equal(t, ReasonRest, refused.Reason)
		require.GreaterOrEqual(t, refused.RetryAfter, 2*time.Second)
		require.LessOrEqual(t, refused.RetryAfter, 2*time.Second+restSpread+maxRestRetrySpread)
		require.False(t, refused.AllUnreachable(), "the upstreams are reachable")
		seen[refused.RetryAfter.Round(10*time.Millisecond)] = true
	}
	require.Greater(t, len(seen), 25, "callers must not return together")
	require.NoError(t, errorOf(p.Place(requestAt(t0.Add(4*time.Second)), t0.Add(4*time.Second))), "the first rest is over")
}

func errorOf(_ Placement, err error) error { return err }

func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	first, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	second, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	first.Rest(4*time.Second, t0)
	first.Done(Report{Outcome: OutcomeRest}, t0)
	second.Rest(time.Second, t0.Add(time.Second))
	second.Done(Report{Outcome: OutcomeRest}, t0.Add(time.Second))
	require.Equal(t, ReasonRest, refusalAt(t, p, t0.Add(3*time.Second)))
}

// refusalAt returns why a request is refused that arrives at an instant.
func refusalAt(t *testing.T, p *Pool, now boottime.Instant) Reason {
	t.Helper()
	_, err := p.Place(requestAt(now), now)
	return refusalOf(t, err).Reason
}

func TestRestEndsWithTheProcess(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	askForRest(t, p, "u", time.Minute, t0)
	p.SetUpstreams([]catalog.Upstream{entry("u", "a1")}, nil, t0)
	require.Equal(t, ReasonRest, refusalAt(t, p, t0))
	again := entry("u", "a1")
	again.Incarnation++
	p.SetUpstreams([]catalog.Upstream{again}, nil, t0)
	require.NoError(t, errorOf(p.Place(requestAt(t0), t0)))
}

// The entry of an upstream may vanish and return during an outage of the store.
func TestRestOutlivesAVanishedEntry(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	askForRest(t, p, "u", 10*time.Second, t0)
	p.SetUpstreams(nil, nil, t0.Add(time.Second))
	p.SetUpstreams([]catalog.Upstream{entry("u", "a1")}, nil, t0.Add(2*time.Second))
	require.Equal(t, ReasonRest, refusalAt(t, p, t0.Add(3*time.Second)))
	p.SetUpstreams(nil, nil, t0.Add(4*time.Second))
	p.SetUpstreams(nil, nil, t0.Add(4*time.Second+announcementCleanupDelay+time.Second))
	require.Empty(t, p.announcements)
}

// A request that was placed before the upstream asked for rest was written after it.
func TestPlacedRequestIsWithheldFromARestingUpstream(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	first, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	second, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	require.NoError(t, second.CheckSend(t0))
	first.Rest(time.Second, t0)
	var withheld *WithheldError
	require.ErrorAs(t, second.CheckSend(t0), &withheld)
	require.Equal(t, ReasonRest, withheld.Reason)
	require.NoError(t, second.CheckSend(t0.Add(time.Second)))
}

func TestRestIsNoFailureOfTheUpstream(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	askForRest(t, p, "u", time.Second, t0)
	require.EqualValues(t, 1, p.upstreams["u"].currentSuccessProbability(t0))
}

// After a rest, a host sent all its requests to the upstream at once.
func TestRequestsGrowSlowlyAfterARest(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	askForRest(t, p, "u", 2*time.Second, t0)
	resumed := p.upstreams["u"].announced.resumesAt
	require.NoError(t, errorOf(p.Place(requestAt(resumed), resumed)))
	require.Equal(t, ReasonRest, refusalAt(t, p, resumed))
	later := resumed.Add(restRamp / 2)
	for range 2 {
		require.NoError(t, errorOf(p.Place(requestAt(later), later)))
	}
	require.Equal(t, ReasonRest, refusalAt(t, p, later))
	require.NoError(t, errorOf(p.Place(requestAt(resumed.Add(restRamp)), resumed.Add(restRamp))))
}

// Hosts return from rests that began together at different instants.
func TestHostsResumeAtDifferentInstants(t *testing.T) {
	resumes := map[boottime.Instant]bool{}
	for i := range 83 {
		p := poolOf(func(s *Settings) { s.Host = fmt.Sprintf("h-%d", i) }, entry("u", "a1"))
		askForRest(t, p, "u", 2*time.Second, t0)
		at := p.upstreams["u"].announced.resumesAt
		require.GreaterOrEqual(t, at, t0.Add(2*time.Second))
		require.LessOrEqual(t, at, t0.Add(2*time.Second+restSpread))
		resumes[at] = true
	}
	require.Greater(t, len(resumes), 80)
}

// A service too large to consider all its upstreams was refused while some did not rest.
func TestRestOfAFewUpstreamsDoesNotRefuseALargeService(t *testing.T) {
	var entries []catalog.Upstream
	for i := range 100 {
		entries = append(entries, entry(fmt.Sprintf("u-%d", i), "b1"))
	}
	p := poolOf(nil, entries...)
	for id, u := range p.upstreams {
		if id != "u-42" {
			u.announced.restUntil, u.announced.resumesAt = t0.Add(time.Second), t0.Add(time.Second)
		}
	}
	for range 3 {
		placed, err := p.Place(requestAt(t0), t0)
		require.NoError(t, err)
		require.Equal(t, "u-42", placed.Upstream.ID)
	}
}

func TestLeavingUpstreamGetsNothingUntilItsProcessHasEnded(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"), entry("v", "a1"))
	placedAt := func(id string) Placement {
		for {
			placed, err := p.Place(requestAt(t0), t0)
			require.NoError(t, err)
			if placed.Upstream.ID == id {
				return placed
			}
			placed.Done(Report{Outcome: OutcomeFailed}, t0)
		}
	}
	first, second := placedAt("u"), placedAt("u")
	first.Leave()
	var withheld *WithheldError
	require.ErrorAs(t, second.CheckSend(t0), &withheld)
	require.Equal(t, ReasonLeaving, withheld.Reason)
	require.True(t, p.Leaving("u"))
	counts, _ := placeMany(p, 40, t0)
	require.Zero(t, counts["u"])

	p.SetUpstreams([]catalog.Upstream{entry("v", "a1")}, nil, t0)
	p.SetUpstreams([]catalog.Upstream{entry("u", "a1"), entry("v", "a1")}, nil, t0.Add(time.Second))
	counts, _ = placeMany(p, 40, t0.Add(5*time.Second))
	require.Zero(t, counts["u"], "its entry came back")

	again := entry("u", "a1")
	again.Incarnation++
	p.SetUpstreams([]catalog.Upstream{again, entry("v", "a1")}, nil, t0.Add(6*time.Second))
	counts, _ = placeMany(p, 40, t0.Add(10*time.Second))
	require.NotZero(t, counts["u"])
	second.Leave()
	require.False(t, p.Leaving("u"), "an earlier process said so")
}
