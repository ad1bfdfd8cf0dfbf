package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallRegionFleet has three regions with the same demand, whose peaks follow each other. One has
// a tenth of the upstreams. They hold all objects, but have the slots for half of its demand.
func smallRegionFleet() loadPattern {
	return loadPattern{
		domains:   map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		upstreams: map[string]int{"a1": 35, "a2": 35, "b1": 7, "b2": 7, "c1": 29, "c2": 29},
		slots:     4, cacheSize: 27, objects: 307, hostsPerDomain: 14, peerReportInterval: 100 * time.Millisecond,
		cachedServiceTime: 192 * time.Millisecond, uncachedServiceTime: 640 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond,
		duration: 30 * time.Second, rate: regionalPeaks(205, 0.55),
	}
}

// The callers of a region with few upstreams waited for these, while those of other regions
// had room and held the same objects.
func TestSimulatedRegionWithFewUpstreams(t *testing.T) {
	placed, away := map[int]float64{}, map[int]float64{} // of the small region, by window
	r := simulateRegionsWith(t, smallRegionFleet(), func(s *simulation, j *job, domain string) *server {
		u := poolPolicy(s, j, domain)
		if window := int(s.now.Sub(simulationStart) / shiftWindow); u != nil && domain[0] == 'b' {
			placed[window]++
			if u.region != "b" {
				away[window]++
			}
		}
		return u
	})
	for window := 1; window < len(placed); window++ {
		require.InDelta(t, away[window-1]/placed[window-1], away[window]/placed[window], 0.15, "requests that changed their region in window %d", window)
	}
	require.Greater(t, r.worstDomainRatio, 0.75, "those of the other regions are at 0.73 to 0.78")
}

// Requests with large responses waited for the single upstream of their failure domain, because the
// cost of the traffic to another one had no bound.
func TestSimulatedLargeResponsesLeaveAFullDomain(t *testing.T) {
	p := smallRegionFleet()
	p.upstreams = map[string]int{"a1": 5, "a2": 5, "b1": 1, "b2": 1, "c1": 4, "c2": 4}
	p.cacheSize, p.objects, p.kilobytes = 34, 54, 90
	p.cachedServiceTime, p.uncachedServiceTime, p.deadline = 156*time.Millisecond, 520*time.Millisecond, 2500*time.Millisecond
	p.rate = regionalPeaks(36, 0.55)
	r := simulateRegions(t, p)
	require.Greater(t, r.worstDomainRatio, 0.6, "requests with small responses are at 0.61")
}

func simulateRegions(t *testing.T, p loadPattern) *simulationResult {
	t.Helper()
	return simulateRegionsWith(t, p, poolPolicy)
}

func simulateRegionsWith(t *testing.T, p loadPattern, choose policy) *simulationResult {
	t.Helper()
	r := simulate(p, choose)
	ratio := func(domain string) float64 { return float64(r.perDomain[domain][1]) / float64(r.perDomain[domain][0]) }
	t.Logf("on time %.3f, worst domain %.3f (a1 %.3f b1 %.3f c1 %.3f) late %d refused %d expired %d crossed %d of %d",
		r.onTimeRatio(), r.worstDomainRatio, ratio("a1"), ratio("b1"), ratio("c1"), r.late, r.refused, r.expired, r.crossDomain, r.requests)
	return r
}

// After a start of the whole fleet, with all caches cold, each host tried each upstream of its
// failure domain once, and most responses of the first seconds were late.
func TestSimulatedStartWithColdCaches(t *testing.T) {
	p := smallRegionFleet()
	p.duration = 4 * time.Second
	r := simulateRegions(t, p)
	require.Greater(t, r.onTimeRatio(), 0.5, "the median response is on time")
}

// In a burst to twice the usual load, which the slots can serve, each of 14 hosts of a failure domain
// saw a fourteenth of the responses, and nothing of the requests from the other domain of its region.
// Hosts sent to full upstreams while others were free.
func TestSimulatedBurstWithManyHosts(t *testing.T) {
	p := smallRegionFleet()
	p.rate = regionalPeaks(400, 0.55)
	p.duration = 12 * time.Second
	alone := simulateRegions(t, p)
	p.shareLoads = true
	sharing := simulateRegions(t, p)
	require.Greater(t, sharing.onTimeRatio(), alone.onTimeRatio())
	require.Greater(t, sharing.onTimeRatio(), 0.6, "as on a usual day before, with half the load")
}
