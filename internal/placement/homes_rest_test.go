package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/catalog"
)

// A request with homes was refused although one upstream of its homes did not rest: the sample held resting ones of its homes and,
// as preferred upstreams of its object, others outside that don't rest, so that it was not widened.
func TestRequestWithHomesFindsTheUpstreamThatDoesNotRest(t *testing.T) {
	const all, homes = 60, 20
	var entries []catalog.Upstream
	for i, n := range rand.New(rand.NewPCG(1, 0)).Perm(all) {
		domain := "a1"
		if i < homes {
			domain = "b1"
		}
		entries = append(entries, entry(fmt.Sprintf("u%03d", n), domain))
	}
	for _, sticky := range []bool{false, true} {
		t.Run(fmt.Sprintf("sticky %t", sticky), func(t *testing.T) {
			p := poolOf(nil, entries...)
			request := func(object string) Request {
				r := requestAt(t0)
				r.Sticky, r.Object = sticky, object
				r.RegionAllowed = func(region string) bool { return region == "b" }
				return r
			}
			working := 0
			for _, u := range p.upstreams {
				if u.region == "b" {
					if working++; working > 1 {
						u.announced.restUntil, u.announced.resumesAt = t0.Add(10*time.Second), t0.Add(10*time.Second)
					}
				}
			}
			refused := 0
			for n := range 200 {
				one, err := p.Place(request(fmt.Sprint("x", n)), t0.Add(time.Millisecond))
				if err != nil {
					refusal := refusalOf(t, err)
					if refusal.Reason == ReasonRest { // other reasons concern the upstream that does not rest
						refused++
					}
					continue
				}
				require.Equal(t, "b", one.Region)
				one.Done(Report{Outcome: OutcomeCancelled}, t0)
			}
			assert.Zero(t, refused, "of 200")
		})
	}
}
