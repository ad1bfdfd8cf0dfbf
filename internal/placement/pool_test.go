package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

const t0 = boottime.Instant(time.Hour)

var testRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// regionsFrom returns a Settings.Regions that reads a map.
func regionsFrom(regions map[string]string) func(string) string {
	return func(domain string) string { return regions[domain] }
}

func entry(id, domain string) catalog.Upstream {
	return catalog.Upstream{ID: id, Service: "s", Address: id, FailureDomain: domain, Slots: 4}
}

// limitOf allows n requests to each cold upstream.
func limitOf(n int) func(catalog.Upstream, boottime.Instant) (int, bool) {
	return func(catalog.Upstream, boottime.Instant) (int, bool) { return n, true }
}

// allUnits lets the host send all requests that an upstream accepts.
func allUnits(_ catalog.Upstream, requests int, _ time.Duration, _ boottime.Instant) int {
	return requests
}

func poolOf(change func(*Settings), entries ...catalog.Upstream) *Pool {
	s := Settings{
		FailureDomain: "a1", Region: "a", Regions: regionsFrom(testRegions), LateScore: 0.2, CrossDomainCost: 0.03, CrossRegionCost: 0.03,
		RegionRoundTrip: 24 * time.Millisecond, MaxShift: 0.1,
		ViewProof: func() boottime.Instant { return math.MaxInt64 }, ColdLimit: limitOf(3), LimitUnits: allUnits, LimitRecordDelay: func(catalog.Upstream) time.Duration { return 0 }, ColdStart: func(string) time.Duration { return 3 * time.Second },
	}
	if change != nil {
		change(&s)
	}
	p := NewPool(s)
	p.SetUpstreams(entries, nil, t0)
	return p
}

func requestAt(now boottime.Instant) Request {
	return Request{
		Service: "s", Route: "r", LatencyObjective: 500 * time.Millisecond,
		Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

func refusalOf(t *testing.T, err error) *RefusedError {
	t.Helper()
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)
	return refused
}

// An upstream whose entry changed its failure domain alone, or whose failure domain was moved to another region, kept
// its former region: requests went outside their homes.
func TestUpstreamThatMovesIsInItsNewRegion(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	p := poolOf(func(s *Settings) { s.Regions = regionsFrom(regions) }, entry("u", "b1"))
	request := requestAt(t0)
	request.RegionAllowed = func(region string) bool { return region == "b" }
	place := func() (Placement, bool) {
		placed, err := p.Place(request, t0)
		return placed, err == nil
	}
	waiting, ok := place()
	require.True(t, ok)
	require.Equal(t, "b", waiting.Region)
	p.SetUpstreams([]catalog.Upstream{entry("u", "a2")}, nil, t0)
	var withheld *WithheldError
	require.ErrorAs(t, waiting.CheckSend(t0), &withheld)
	require.Equal(t, ReasonMoved, withheld.Reason)
	_, ok = place()
	require.False(t, ok, "the entry moved to another failure domain")
	p.SetUpstreams([]catalog.Upstream{entry("u", "b1")}, nil, t0)
	_, ok = place()
	require.True(t, ok)
	regions["b1"] = "a"
	p.SetUpstreams([]catalog.Upstream{entry("u", "b1")}, nil, t0)
	_, ok = place()
	require.False(t, ok, "the failure domain moved to another region")
}

// An upstream whose address had gone to another one, perhaps in another region, was sent a request again after each
// change of any entry, and those that waited for a connection to it.
func TestAddressOfAnotherUpstreamIsNotUsedAgainSoon(t *testing.T) {
	all := []catalog.Upstream{entry("u", "a1")}
	p := poolOf(nil, all...)
	place := func(now boottime.Instant) (Placement, error) {
		request := requestAt(now)
		request.RegionAllowed = func(region string) bool { return region == "a" }
		return p.Place(request, now)
	}
	first, err := place(t0)
	require.NoError(t, err)
	waiting, err := place(t0)
	require.NoError(t, err)
	require.NoError(t, waiting.CheckSend(t0))
	first.Done(Report{Outcome: OutcomeMoved}, t0)
	var withheld *WithheldError
	require.ErrorAs(t, waiting.CheckSend(t0), &withheld)
	p.SetUpstreams(all, nil, t0.Add(movedMemory-1))
	_, err = place(t0.Add(movedMemory - 1))
	require.Error(t, err)
	p.SetUpstreams(all, nil, t0.Add(movedMemory))
	again, err := place(t0.Add(movedMemory))
	require.NoError(t, err, "a 421 may have been wrong")
	p.SetUpstreams(nil, nil, t0.Add(movedMemory))
	require.ErrorAs(t, again.CheckSend(t0.Add(movedMemory)), &withheld, "its entry is gone")
	again.request.RegionAllowed = nil
	require.NoError(t, again.CheckSend(t0.Add(movedMemory)), "a request without homes")
}

// A request whose homes were in other regions than its host was refused whenever the sample of a large service had no
// upstream there.
func TestRequestWithHomesIsOfferedToUpstreamsOfItsHomes(t *testing.T) {
	for _, share := range []int{2, 3, 12} { // one in so many upstreams is in the home
		var entries []catalog.Upstream
		for i, n := range rand.New(rand.NewPCG(1, 0)).Perm(144) {
			domain := "a1"
			if i%share == 0 {
				domain = "b1"
			}
			entries = append(entries, entry(fmt.Sprintf("u%03d", n), domain))
		}
		p := poolOf(nil, entries...)
		refused, used := 0, map[string]bool{}
		for range 600 {
			request := requestAt(t0)
			request.RegionAllowed = func(region string) bool { return region == "b" }
			placed, err := p.Place(request, t0)
			if err != nil {
				refused++
				continue
			}
			require.Equal(t, "b", placed.Region)
			used[placed.Upstream.ID] = true
			placed.Done(Report{Outcome: OutcomeCancelled}, t0)
		}
		assert.Zero(t, refused, "one upstream in %d is in the home", share)
		assert.Greater(t, len(used), 144/share*2/3, "the sample rotates")
	}
}

// placeMany places n requests at one instant, cancels each of them at once and
// counts them by upstream.
func placeMany(p *Pool, n int, now boottime.Instant) (counts map[string]int, refused int) {
	counts = map[string]int{}
	for range n {
		placed, err := p.Place(requestAt(now), now)
		if err != nil {
			refused++
			continue
		}
		counts[placed.Upstream.ID]++
		placed.Done(Report{Outcome: OutcomeCancelled}, now)
	}
	return counts, refused
}

func TestColdUpstreamRateIsLimited(t *testing.T) {
	cold := entry("u", "a1")
	cold.ColdUntil = t0.Add(3 * time.Second)
	p := poolOf(nil, cold)
	for second := range 2 {
		sent := 0
		for step := range 40 {
			now := t0.Add(time.Duration(second)*time.Second + time.Duration(step)*25*time.Millisecond)
			counts, _ := placeMany(p, 1, now)
			sent += counts["u"]
		}
		require.LessOrEqual(t, sent, 3+1, "in second %d", second)
		require.GreaterOrEqual(t, sent, 2, "in second %d", second)
	}
	_, err := p.Place(requestAt(t0.Add(1999*time.Millisecond)), t0.Add(1999*time.Millisecond))
	require.Equal(t, ReasonCold, refusalOf(t, err).Reason)
	counts, _ := placeMany(p, 50, t0.Add(4*time.Second))
	require.Equal(t, 50, counts["u"], "after the cold start")
}

func TestColdUpstreamOfAnotherRegionGetsNothing(t *testing.T) {
	cold := entry("u", "b1")
	cold.ColdUntil = t0.Add(3 * time.Second)
	_, err := poolOf(nil, cold).Place(requestAt(t0), t0)
	require.Equal(t, ReasonCold, refusalOf(t, err).Reason)
}

// A refused connection means that no process is listening. The upstream is treated
// as starting, also by a host that can't read its entry in the store.
func TestUpstreamThatRefusedConnectionsIsTreatedAsCold(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	placed, err := p.Place(requestAt(t0), t0)
	require.NoError(t, err)
	placed.Done(Report{Outcome: OutcomeRefused}, t0)
	counts, _ := placeMany(p, 50, t0.Add(10*time.Millisecond))
	require.LessOrEqual(t, counts["u"], 3)
}

func TestDrainingEvacuatedAndTriedUpstreamsAreNotChosen(t *testing.T) {
	draining := entry("d", "a1")
	draining.Draining = true
	p := poolOf(nil, draining, entry("e", "a2"), entry("t", "a1"), entry("ok", "a1"))
	p.SetUpstreams([]catalog.Upstream{draining, entry("e", "a2"), entry("t", "a1"), entry("ok", "a1")}, map[string]bool{"a2": true}, t0)
	for range 50 {
		request := requestAt(t0)
		request.Tried = []string{"t"}
		placed, err := p.Place(request, t0)
		require.NoError(t, err)
		require.Equal(t, "ok", placed.Upstream.ID)
		placed.Done(Report{Outcome: OutcomeCancelled}, t0)
	}
}

func TestHomeRegionsRestrictPlacement(t *testing.T) {
	p := poolOf(nil, entry("near", "a1"), entry("far", "b1"))
	request := requestAt(t0)
	request.RegionAllowed = func(region string) bool { return region == "b" }
	placed, err := p.Place(request, t0)
	require.NoError(t, err)
	require.Equal(t, "far", placed.Upstream.ID)
	request.RegionAllowed = func(string) bool { return false }
	_, err = p.Place(request, t0)
	require.Equal(t, ReasonNoUpstream, refusalOf(t, err).Reason)
}

// The fraction of requests that leave the region grows by at most MaxShift from one
// window to the next, even if the upstream of this region stays full.
func TestShiftToAnotherRegionGrowsSlowly(t *testing.T) {
	p := poolOf(nil, entry("near", "a1"), entry("far-1", "b1"), entry("far-2", "b1"))
	const (
		perWindow = 400
		step      = 5 * time.Millisecond
		runSteps  = 20 // steps that a request runs at the upstream of this region
	)
	var running []Placement
	previous := 0.0
	for window := range 8 {
		remote, placements := 0, 0
		for i := range perWindow {
			now := t0.Add(time.Duration(window*perWindow+i) * step)
			if len(running) > 0 && now.Sub(running[0].start) >= runSteps*step {
				running[0].Done(Report{Outcome: OutcomeCancelled}, now)
				running = running[1:]
			}
			placed, err := p.Place(requestAt(now), now)
			if err != nil {
				continue
			}
			placements++
			if placed.Remote {
				remote++
				placed.Done(Report{Outcome: OutcomeCancelled}, now)
				continue
			}
			running = append(running, placed)
		}
		fraction := float64(remote) / float64(placements)
		require.LessOrEqual(t, fraction, previous+0.1+2/float64(placements), "window %d", window)
		previous = fraction
	}
	require.Greater(t, previous, 0.3)
}

func TestShiftIsNotLimitedWithoutLocalUpstreams(t *testing.T) {
	counts, refused := placeMany(poolOf(nil, entry("far", "b1")), 100, t0)
	require.Equal(t, 100, counts["far"])
	require.Zero(t, refused)
}

// A request that can't be answered on time is refused at once, with a retry time.
func TestFullUpstreamRefusesWithRetryAfter(t *testing.T) {
	p := poolOf(nil, entry("u", "a1"))
	var err error
	for range 200 {
		if _, err = p.Place(requestAt(t0), t0); err != nil {
			break
		}
	}
	refused := refusalOf(t, err)
	require.Contains(t, []Reason{ReasonQueue, ReasonDeadline}, refused.Reason)
	require.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	require.Less(t, refused.RetryAfter, 3*time.Second)
}

func TestFailedUpstreamGetsNoRequestsUntilItRecovers(t *testing.T) {
	p := poolOf(nil, entry("good", "a1"), entry("bad", "a1"))
	now := t0
	for range 40 {
		placed, err := p.Place(requestAt(now), now)
		require.NoError(t, err)
		outcome := OutcomeAnswered
		if placed.Upstream.ID == "bad" {
			outcome = OutcomeFailed
		}
		now = now.Add(20 * time.Millisecond)
		placed.Done(Report{Outcome: outcome}, now)
	}
	counts, _ := placeMany(p, 20, now)
	require.Zero(t, counts["bad"])
	require.InDelta(t, 1, p.upstreams["bad"].currentSuccessProbability(now.Add(30*time.Second)), 0.01)
}

func TestUpstreamLoadIncludesRequestsOfOtherHosts(t *testing.T) {
	p := poolOf(nil, entry("x", "a1"), entry("y", "a1"))
	for _, id := range []string{"x", "y"} {
		p.upstreams[id].served = true
	}
	p.upstreams["x"].recordLoad(Load{Running: 4, Waiting: 8, Slots: 4}, t0)
	counts, _ := placeMany(p, 20, t0.Add(50*time.Millisecond))
	require.Equal(t, 20, counts["y"])
}

// Hosts with the same set of upstreams choose the same one for an object.
func TestHostsAgreeOnPreferredUpstreams(t *testing.T) {
	var entries []catalog.Upstream
	for i := range 6 {
		entries = append(entries, entry(fmt.Sprintf("u%d", i), []string{"a1", "a2"}[i%2]))
	}
	first, second := poolOf(nil, entries...), poolOf(func(s *Settings) { s.FailureDomain = "a2" }, entries...)
	for i := range 100 {
		object := fmt.Sprint(i)
		preferred1, preferred2 := first.service("s").preferredFor(object), second.service("s").preferredFor(object)
		require.Len(t, preferred1.byRegion, 1)
		require.Equal(t, preferred1.byRegion[0].ID, preferred2.byRegion[0].ID)
	}
}

func TestSendHistoryReuseDistance(t *testing.T) {
	var history sendHistory
	for _, object := range []objectID{1, 2, 3, 1} {
		history.record(object)
	}
	for object, want := range map[objectID]int{1: 0, 3: 1, 2: 2} {
		distance, ok := history.reuseDistance(object)
		require.True(t, ok)
		require.Equal(t, want, distance)
	}
	_, ok := history.reuseDistance(9)
	require.False(t, ok)
	for i := range objectID(2 * maxHistoryObjects) {
		history.record(100 + i)
	}
	require.Len(t, history.recent, maxHistoryObjects)
}

func TestCacheModelLearnsCapacity(t *testing.T) {
	model := newCacheModel()
	for i := range 4000 {
		distance := i % 40
		model.learn(regionPreferred, distance, true, distance < 12)
	}
	require.InDelta(t, 12, model.capacity, 3)
	require.Greater(t, model.hitProbability[regionPreferred][model.distanceClass(1, true)], 0.9)
	require.Less(t, model.hitProbability[regionPreferred][model.distanceClass(35, true)], 0.1)
}
