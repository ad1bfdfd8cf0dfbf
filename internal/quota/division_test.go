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

// testHolders returns the given number of hosts for each failure domain. Two domains
// make a region.
func testHolders(counts ...int) []Holder {
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

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHolders(rapid.SliceOfN(rapid.IntRange(1, 12), 1, 9).Draw(t, "hosts")...)
		account := rapid.Uint64().Draw(t, "account")
		rate := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		sum := 0.0
		for _, self := range hosts {
			share := NewDivision(self, hosts).Share(account, rate)
			sum += share
			near, far := NewDivision(self, hosts).Lenders(account, rate)
			require.NotContains(t, append(near, far...), self.Address)
			if share == 0 {
				require.NotEmpty(t, append(near, far...), "a host without a share has a lender")
			}
			require.Positive(t, NewDivision(self, hosts).RegionShare(account, rate), "each region has a share")
		}
		require.InDelta(t, 1, sum, 1e-9)
	})
}

func TestShares(t *testing.T) {
	hosts := testHolders(2, 2, 1)
	tests := []struct {
		name  string
		hosts []Holder
		rate  float64
		want  []float64 // shares of h-0-0 and h-0-1, in any order
	}{
		{"a large account", hosts, 100, []float64{1.0 / 6, 1.0 / 6}},
		{"a share for one host of the domain", hosts, 20, []float64{0, 1.0 / 3}},
		{"one host of a region", testHolders(2, 0, 1), 0.1, []float64{0, 1.0 / 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []float64
			for _, self := range test.hosts[:2] {
				got = append(got, NewDivision(self, test.hosts).Share(7, test.rate))
			}
			require.ElementsMatch(t, test.want, got)
		})
	}
}

// A host that is not among the known hosts yet gets a share nevertheless.
func TestShareOfUnregisteredHost(t *testing.T) {
	hosts := testHolders(2)
	self := Holder{Name: "new", FailureDomain: "d0", Region: "r0"}
	require.InDelta(t, 1.0/3, NewDivision(self, hosts).Share(7, 100), 1e-9)
	require.InDelta(t, 1, NewDivision(self, nil).Share(7, 100), 1e-9)
	self.FailureDomain = "elsewhere"
	require.InDelta(t, 1.0/2, NewDivision(self, hosts).Share(7, 100), 1e-9)
}

func TestNearestLendersComeFirst(t *testing.T) {
	hosts := testHolders(2, 1, 1)
	near, far := NewDivision(hosts[0], hosts).Lenders(7, 100)
	require.Equal(t, []netip.AddrPort{hosts[1].Address}, near)
	require.Equal(t, []netip.AddrPort{hosts[2].Address, hosts[3].Address}, far)
}

// A lender's reserve must not keep back its only token.
func TestLastTokenIsLent(t *testing.T) {
	b := &Bucket{}
	now := boottime.Instant(time.Hour)
	b.SetLimit(0.5, 1, now)
	b.RecordDemand(now)
	require.InDelta(t, 1, b.Lend(1, now.Add(4*time.Second)), 0)
}

// replay replays the requests of one account to many hosts in virtual time. Lenders
// reply without delay. A request asks two lenders in each of three rounds, as many as
// a gateway can ask while the request waits.
type replay struct {
	now     boottime.Instant
	hosts   []Holder
	buckets map[netip.AddrPort]*Bucket
	lenders map[netip.AddrPort][]netip.AddrPort // by borrower, in the order in which they are asked
}

func newReplay(hosts []Holder, rate float64, divide func(self Holder) (float64, []netip.AddrPort)) *replay {
	r := &replay{now: boottime.Instant(time.Hour), hosts: hosts, buckets: map[netip.AddrPort]*Bucket{}, lenders: map[netip.AddrPort][]netip.AddrPort{}}
	for _, h := range hosts {
		share, lenders := divide(h)
		b := &Bucket{}
		if share > 0 {
			b.SetLimit(rate*share, max(rate*share, 3), r.now)
		} else {
			b.SetLimit(0, 0, r.now)
		}
		r.buckets[h.Address], r.lenders[h.Address] = b, lenders
	}
	return r
}

func (r *replay) request(random *rand.Rand) bool {
	address := r.hosts[random.IntN(len(r.hosts))].Address
	bucket := r.buckets[address]
	bucket.RecordDemand(r.now)
	if ok, _ := bucket.Take(r.now); ok {
		return true
	}
	lenders := r.lenders[address]
	for round := range 3 {
		for i := range 2 {
			if n := 2*round + i; n < len(lenders) {
				bucket.Borrow(r.buckets[lenders[n]].Lend(bucket.TokensToBorrow(r.now), r.now), r.now)
			}
		}
		if ok, _ := bucket.Take(r.now); ok {
			return true
		}
	}
	return false
}

// admittedFraction returns the fraction of requests that are admitted in the 60 s
// after the first 10 s, in which the buckets fill. load is a fraction of the rate.
func (r *replay) admittedFraction(rate, load float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	admitted, total := 0, 0
	for begin := r.now; r.now.Sub(begin) < 70*time.Second; {
		r.now = r.now.Add(time.Duration(random.ExpFloat64() / (rate * load) * float64(time.Second)))
		ok := r.request(random)
		if r.now.Sub(begin) < 10*time.Second {
			continue
		}
		total++
		if ok {
			admitted++
		}
	}
	return float64(admitted) / float64(total)
}

// Equal shares on all hosts refuse requests of a small account that arrive at all of
// 83 hosts in nine failure domains, though its load is within its rate. The division
// must admit nearly as many as a single bucket for all hosts, which refuses only what
// exceeds the burst. The fraction that equal shares admit is logged for comparison.
func TestSmallAccountOnManyHosts(t *testing.T) {
	hosts := testHolders(9, 9, 9, 9, 9, 9, 9, 10, 10)
	for _, rate := range []float64{5, 15, 40} {
		const load = 0.62
		divided := newReplay(hosts, rate, func(self Holder) (float64, []netip.AddrPort) {
			d := NewDivision(self, hosts)
			near, far := d.Lenders(7, rate)
			return d.Share(7, rate), append(near, far...)
		}).admittedFraction(rate, load)
		order := rand.New(rand.NewPCG(3, 4))
		equal := newReplay(hosts, rate, func(self Holder) (float64, []netip.AddrPort) {
			var lenders []netip.AddrPort
			for _, i := range order.Perm(len(hosts)) {
				if hosts[i].Name != self.Name {
					lenders = append(lenders, hosts[i].Address)
				}
			}
			return 1 / float64(len(hosts)), lenders
		}).admittedFraction(rate, load)
		single := newReplay(hosts[:1], rate, func(Holder) (float64, []netip.AddrPort) { return 1, nil }).admittedFraction(rate, load)
		t.Logf("rate %v: admitted %.3f, with a single bucket %.3f, with equal shares %.3f", rate, divided, single, equal)
		assert.Greater(t, divided, single-0.01, "rate %v", rate)
	}
}
