package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/knownfailure"
)

// Hosts that get few requests each must not move a larger fraction of the region's
// requests to another region than hosts that get many.
func TestShiftOfHostsWithFewRequestsStaysUnderTheCap(t *testing.T) {
	knownfailure.SkipIfListed(t)
	const maxShift, fraction = 0.15, 0.75 // of the requests of a region, and of the cap that hosts use
	for _, hosts := range []int{4, 28, 100, 300} {
		random := rand.New(rand.NewPCG(1, 1))
		limiters := make([]*shiftLimiter, hosts)
		for i := range limiters {
			limiters[i] = &shiftLimiter{maxGrowth: maxShift * fraction}
		}
		const perSecond = 250
		remote := make([]bool, 0, 10*perSecond) // of each request of the region
		for n := range 10 * perSecond {
			now := t0.Add(time.Duration(n) * time.Second / perSecond)
			l := limiters[random.IntN(hosts)]
			moves := n > 4*perSecond && l.allows(now) // the region is full from then on
			l.count(moves, now)
			remote = append(remote, moves)
		}
		previous, window := 0, int(shiftWindow/time.Second)*perSecond
		for start := 0; start+window <= len(remote); start += window {
			moved := 0
			for _, r := range remote[start : start+window] {
				if r {
					moved++
				}
			}
			require.LessOrEqual(t, float64(moved-previous)/float64(window), maxShift, "%d hosts, window from %v", hosts, time.Duration(start)*time.Second/perSecond)
			previous = moved
		}
	}
}
