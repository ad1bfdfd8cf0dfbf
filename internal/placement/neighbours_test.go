package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

func TestToldRequestsCountAsLoadForAWhile(t *testing.T) {
	const now = t0
	p := poolOf(nil, entry("a", "a1"), entry("b", "a1"))
	occupancy := func(at boottime.Instant) float64 { return p.upstreams["a"].occupancy(at) }
	p.Tell("h-1", map[string]int{"a": 3, "unknown": 4}, now)
	p.Tell("h-2", map[string]int{"a": 2}, now)
	require.InDelta(t, 5, occupancy(now), 0)
	p.Tell("h-1", map[string]int{"b": 1}, now)
	require.InDelta(t, 2, occupancy(now), 0, "the last word of a host counts")
	require.InDelta(t, 0, occupancy(now.Add(tellTerm+1)), 0, "silent hosts are forgotten")
	p.Tell("h-1", nil, now.Add(tellTerm+1))
	require.InDelta(t, 0, occupancy(now.Add(tellTerm+1)), 0)
}
