package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// The sums that are kept per upstream equal those of all valid reports, through random
// histories of reports, silent hosts and upstreams that leave, return and restart.
func TestPeerRequestsEqualTheSumOfValidReports(t *testing.T) {
	const validFor = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		pool, now := NewPool(Settings{Host: "h", FailureDomain: "w1", Region: "west", Regions: regionsFrom(map[string]string{"w1": "west"})}), boottime.Instant(time.Second)
		type report struct {
			at     boottime.Instant
			counts map[string]int
		}
		last := map[string]report{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				var entries []catalog.Upstream
				for i := range 4 {
					if rapid.Bool().Draw(t, "present") {
						entries = append(entries, catalog.Upstream{
							ID: fmt.Sprint(i), Service: "s", Address: "127.0.0.1:1", FailureDomain: "w1", Slots: 9,
							Incarnation: int64(rapid.IntRange(0, 1).Draw(t, "incarnation")),
						})
					}
				}
				pool.SetUpstreams(entries, nil, now)
				continue
			}
			counts := map[string]int{}
			for i := range 4 {
				if n := rapid.IntRange(0, 3).Draw(t, "count"); n > 0 {
					counts[fmt.Sprint(i)] = n
				}
			}
			host := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "host"))
			pool.SetPeerInflightCounts(host, counts, validFor, now)
			last[host] = report{now, counts}
			for id, u := range pool.upstreams {
				least, most := 0, 0
				for _, r := range last {
					if now.Sub(r.at) <= validFor {
						least += r.counts[id]
					}
					if now.Sub(r.at) <= validFor+peerExpiryInterval {
						most += r.counts[id]
					}
				}
				require.GreaterOrEqual(t, u.peerRequests, float64(least))
				require.LessOrEqual(t, u.peerRequests, float64(most))
			}
		}
	})
}
