package leasedshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// However the shares of a group are divided, the units of all hosts add up to the
// limit.
func TestUnitsOfDisjointSetsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(-1, 100).Draw(t, "limit")
		start := rapid.Uint64().Draw(t, "start")
		var sets [5]Set
		for share := range SharesPerGroup {
			sets[rapid.IntRange(0, len(sets)-1).Draw(t, "host")] |= 1 << share
		}
		total := 0
		for _, s := range sets {
			units := s.Units(limit, start)
			require.GreaterOrEqual(t, units, 0)
			total += units
		}
		require.Equal(t, max(limit, 0), total)
	})
}

func TestKeysOfShares(t *testing.T) {
	for _, key := range []string{"", "hosts/a/1", "shares/a", "shares/a/", "shares/a/x", "shares/a/-1", "shares/a/16"} {
		_, ok := parseKey(key)
		require.False(t, ok, key)
	}
	want := share{group: "west-a", index: 15}
	got, ok := parseKey(want.key())
	require.True(t, ok)
	require.Equal(t, want, got)
}

func hostNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("h-%d", i))
	}
	return names
}

func TestAssignmentIsEven(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 16, 33} {
		counts := map[string]int{}
		for _, host := range assign("west-a", hostNames(n)) {
			counts[host]++
		}
		for host, count := range counts {
			require.LessOrEqual(t, count, (SharesPerGroup+n-1)/n, "%s of %d hosts", host, n)
		}
	}
}

// A host that leaves or joins moves few shares besides its own.
func TestAssignmentIsStable(t *testing.T) {
	before, after := assign("west-a", hostNames(9)), assign("west-a", hostNames(10))
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 6)
}
