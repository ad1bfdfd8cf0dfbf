package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

func TestPeerRequestsCountUntilReportExpires(t *testing.T) {
	const now = t0
	p := poolOf(nil, entry("a", "a1"), entry("b", "a1"))
	occupancy := func(at boottime.Instant) float64 { return p.upstreams["a"].occupancy(at) }
	p.SetPeerInflightCounts("h-1", map[string]int{"a": 3, "unknown": 4}, now)
	p.SetPeerInflightCounts("h-2", map[string]int{"a": 2}, now)
	require.InDelta(t, 5, occupancy(now), 0)
	p.SetPeerInflightCounts("h-1", map[string]int{"b": 1}, now)
	require.InDelta(t, 2, occupancy(now), 0, "a report replaces the earlier one of the host")
	require.InDelta(t, 0, occupancy(now.Add(peerReportTTL+1)), 0, "expired reports are dropped")
	p.SetPeerInflightCounts("h-1", nil, now.Add(peerReportTTL+1))
	require.InDelta(t, 0, occupancy(now.Add(peerReportTTL+1)), 0)
}
