package quota

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
)

// holdersIn returns hosts, as many in each failure domain as named; two domains
// make a region.
func holdersIn(counts ...int) []Holder {
	var all []Holder
	for d, n := range counts {
		for i := range n {
			all = append(all, Holder{
				Name: fmt.Sprintf("h-%d-%d", d, i), FailureDomain: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d/2),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(d), byte(i)}), 1),
			})
		}
	}
	return all
}

func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := holdersIn(rapid.SliceOfN(rapid.IntRange(1, 12), 1, 9).Draw(t, "hosts")...)
		account := rapid.Uint64().Draw(t, "account")
		rate := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		sum := 0.0
		for _, self := range hosts {
			part := NewDivision(self, hosts).Part(account, rate)
			sum += part
			near, far := NewDivision(self, hosts).Lenders(account, rate)
			require.NotContains(t, append(near, far...), self.Address)
			if part == 0 {
				require.NotEmpty(t, append(near, far...), "a host without a part has a lender")
			}
			require.Positive(t, NewDivision(self, hosts).Pool(account, rate), "each region has a part")
		}
		require.InDelta(t, 1, sum, 1e-9)
	})
}

func TestParts(t *testing.T) {
	hosts := holdersIn(2, 2, 1)
	tests := []struct {
		name  string
		hosts []Holder
		rate  float64
		want  []float64 // of h-0-0 and h-0-1, in any order
	}{
		{"a large account", hosts, 100, []float64{1.0 / 6, 1.0 / 6}},
		{"a part for one host of the domain", hosts, 20, []float64{0, 1.0 / 3}},
		{"one host of a region", holdersIn(2, 0, 1), 0.1, []float64{0, 1.0 / 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []float64
			for _, self := range test.hosts[:2] {
				got = append(got, NewDivision(self, test.hosts).Part(7, test.rate))
			}
			require.ElementsMatch(t, test.want, got)
		})
	}
}

// A host that does not see itself yet takes part all the same.
func TestPartOfAHostThatIsNotRegistered(t *testing.T) {
	hosts := holdersIn(2)
	self := Holder{Name: "new", FailureDomain: "d0", Region: "r0"}
	require.InDelta(t, 1.0/3, NewDivision(self, hosts).Part(7, 100), 1e-9)
	require.InDelta(t, 1, NewDivision(self, nil).Part(7, 100), 1e-9)
	self.FailureDomain = "elsewhere"
	require.InDelta(t, 1.0/2, NewDivision(self, hosts).Part(7, 100), 1e-9)
}

func TestLendersAreNearestFirst(t *testing.T) {
	hosts := holdersIn(2, 1, 1)
	near, far := NewDivision(hosts[0], hosts).Lenders(7, 100)
	require.Equal(t, []netip.AddrPort{hosts[1].Address}, near)
	require.Equal(t, []netip.AddrPort{hosts[2].Address, hosts[3].Address}, far)
}

// A host with one token lends it.
func TestTheLastTokenIsLent(t *testing.T) {
	b := &Bucket{}
	now := boottime.Instant(time.Hour)
	b.SetLimit(0.5, 1, now)
	b.Demand(now)
	require.InDelta(t, 1, b.Lend(1, now.Add(4*time.Second)), 0)
}

// crowd replays one account's requests over many hosts in virtual time. Questions
// are answered at once; a request asks two hosts in each of three rounds, as a
// gateway does within its wait.
type crowd struct {
	now     boottime.Instant
	hosts   []Holder
	buckets map[netip.AddrPort]*Bucket
	lenders map[netip.AddrPort][]netip.AddrPort // in the order in which they are asked
}

func newCrowd(hosts []Holder, rate float64, divide func(self Holder) (float64, []netip.AddrPort)) *crowd {
	c := &crowd{now: boottime.Instant(time.Hour), hosts: hosts, buckets: map[netip.AddrPort]*Bucket{}, lenders: map[netip.AddrPort][]netip.AddrPort{}}
	for _, h := range hosts {
		part, lenders := divide(h)
		b := &Bucket{}
		if part > 0 {
			b.SetLimit(rate*part, max(rate*part, 3), c.now)
		} else {
			b.SetLimit(0, 0, c.now)
		}
		c.buckets[h.Address], c.lenders[h.Address] = b, lenders
	}
	return c
}

func (c *crowd) request(random *rand.Rand) bool {
	at := c.hosts[random.IntN(len(c.hosts))].Address
	own := c.buckets[at]
	own.Demand(c.now)
	if ok, _ := own.Take(c.now); ok {
		return true
	}
	lenders := c.lenders[at]
	for round := range 3 {
		for i := range 2 {
			if n := 2*round + i; n < len(lenders) {
				own.Borrow(c.buckets[lenders[n]].Lend(own.Wanted(c.now), c.now), c.now)
			}
		}
		if ok, _ := own.Take(c.now); ok {
			return true
		}
	}
	return false
}

// served returns the part of the requests that are admitted at a load, a part of the
// rate, after ten seconds to fill.
func (c *crowd) served(rate, load float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	admitted, all := 0, 0
	for begin := c.now; c.now.Sub(begin) < 70*time.Second; {
		c.now = c.now.Add(time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second)))
		ok := c.request(random)
		if c.now.Sub(begin) < 10*time.Second {
			continue
		}
		all++
		if ok {
			admitted++
		}
	}
	return float64(admitted) / float64(all)
}

// The load of a small account whose requests come to all of 83 hosts in nine
// failure domains, within its rate, against one bucket for all of them, which
// refuses only what exceeds the burst. Before, each host had an equal part.
func TestSmallAccountOnManyHosts(t *testing.T) {
	hosts := holdersIn(9, 9, 9, 9, 9, 9, 9, 10, 10)
	for _, rate := range []float64{5, 15, 40} {
		const load = 0.62
		divided := newCrowd(hosts, rate, func(self Holder) (float64, []netip.AddrPort) {
			d := NewDivision(self, hosts)
			near, far := d.Lenders(7, rate)
			return d.Part(7, rate), append(near, far...)
		}).served(rate, load)
		order := rand.New(rand.NewPCG(3, 4))
		equal := newCrowd(hosts, rate, func(self Holder) (float64, []netip.AddrPort) {
			var lenders []netip.AddrPort
			for _, i := range order.Perm(len(hosts)) {
				if hosts[i].Name != self.Name {
					lenders = append(lenders, hosts[i].Address)
				}
			}
			return 1 / float64(len(hosts)), lenders
		}).served(rate, load)
		one := newCrowd(hosts[:1], rate, func(Holder) (float64, []netip.AddrPort) { return 1, nil }).served(rate, load)
		t.Logf("rate %v: served %.3f, with one bucket %.3f, with equal parts %.3f", rate, divided, one, equal)
		assert.Greater(t, divided, one-0.01, "rate %v", rate)
	}
}
