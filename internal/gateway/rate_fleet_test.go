package gateway

import (
	"flag"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/lending"
	"peridotrail/internal/routing"
)

const (
	rateWindow = 5 * time.Second // over which the platform counts the requests of an account
	rateExcess = 0.1
	rateSlack  = 20.0
	rateKey    = "clinic"
	// overload is the demand relative to the rate.
	overload = 4.0
	// leaveTime is how long a host serves after it has begun to leave.
	leaveTime = 2700 * time.Millisecond
	maxPause  = 8 * time.Second
)

// rateMutation puts a fault back that spent an account's rate more than once.
type rateMutation int

const (
	noRateMutation     rateMutation = iota
	claimsAreNotShared              // a host that starts takes all shares, since it knows no other host
	leavingHostsSpend               // a host that leaves goes on to use its shares
)

// rateFleet is a model of hosts that spend the rate of one client account in virtual time.
// They lend each other tokens by messages that are delayed and lost.
type rateFleet struct {
	*coldFleet
	account   routing.Account
	mutation  rateMutation
	byAddress map[netip.AddrPort]*modelHost
	paused    map[*modelHost]boottime.Instant // until when
	busy      []*modelHost                    // hosts that get the requests
	demand    float64                         // relative to the rate
	rounds    int                             // of asking other hosts that a request waits for
	admitted  []boottime.Instant
	asked     int
}

func newRateFleet(hosts int, rate, burst float64, seed uint64, mutation rateMutation) *rateFleet {
	account := routing.Account{Name: rateKey, Rate: rate, Burst: burst}
	domains := min(hosts, 6)
	shape := newShape(fmt.Sprintf("%d hosts", hosts), domains, hosts/domains, 1, 4, 1, 1, 0)
	shape.regions, shape.addedHosts, shape.accounts = min(domains, 3), hosts%domains, []routing.Account{account}
	f := &rateFleet{demand: overload, account: account, mutation: mutation, byAddress: map[netip.AddrPort]*modelHost{}, paused: map[*modelHost]boottime.Instant{}}
	f.coldFleet = newColdFleet(shape, seed)
	for i, h := range f.hosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 1)
		h.peerAddress = address.String()
		f.byAddress[address] = h
		f.restart(h, 0) // registers with its address
	}
	f.busy = f.hosts
	f.runFor(4 * time.Second)
	f.admitted, f.asked = nil, 0
	return f
}

// restart starts the process of a host again.
func (f *rateFleet) restart(h *modelHost, down time.Duration) {
	f.stopHost(h, down)
	h.leaving = false
	delete(f.paused, h)
}

func (f *rateFleet) runFor(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step(0)
	}
}

// step advances the time and sends the requests.
func (f *rateFleet) step(float64) {
	f.now = f.now.Add(modelStep)
	f.store.now = f.now
	f.store.expire()
	for _, do := range f.pending[f.now] {
		do()
	}
	delete(f.pending, f.now)
	for _, h := range f.hosts {
		if f.now < f.paused[h] {
			continue
		}
		started := h.state
		f.runHost(h)
		if h.state != started && h.state != nil {
			h.state.limits.requestTokens = f.lender(h)
		}
	}
	for mean := f.account.Rate * f.demand * modelStep.Seconds(); mean > 0; mean-- {
		if f.random.Float64() < mean {
			f.ask(f.busy[f.random.IntN(len(f.busy))])
		}
	}
}

// takeAll gives a host all shares, as if it were the only one and the store were not asked.
func (f *rateFleet) takeAll(h *modelHost) {
	if f.now.Sub(boottime.Instant(h.incarnation)) > time.Second {
		return
	}
	h.state.shares.SetHosts([]catalog.Host{{Name: h.name, FailureDomain: h.domain, Region: f.domains[h.domain]}}, f.now.Add(-time.Minute))
	for transaction, due := h.state.shares.Next(f.now); due; transaction, due = h.state.shares.Next(f.now) {
		h.state.shares.Finish(transaction, nil, f.now)
	}
}

// ask lets a host decide about one request.
func (f *rateFleet) ask(h *modelHost) {
	if h.state == nil || f.now < f.paused[h] || !h.online(f.now) && f.now.Sub(h.offlineSince) > modelMaxKeyAge {
		return
	}
	f.asked++
	if f.mutation == claimsAreNotShared {
		f.takeAll(h)
	}
	for round := 0; round <= f.rounds; round++ {
		if h.state.limits.tryToken(accountHash(rateKey), round == 0).ok {
			f.admitted = append(f.admitted, f.now)
			return
		}
	}
}

// lendAtOnce makes hosts ask two others at a time, which reply without delay.
func (f *rateFleet) lendAtOnce() {
	for _, h := range f.hosts {
		next := 0
		h.state.limits.requestTokens = func(account uint64, want float64, near, far []netip.AddrPort) bool {
			all := append(append([]netip.AddrPort{}, near...), far...)
			peers := lending.Fanout(want, len(all))
			for range peers {
				next++
				lender := f.byAddress[all[next%len(all)]].state.limits
				h.state.limits.Receive(account, lender.Lend(account, math.Ceil(want/float64(peers))))
			}
			return len(all) > 0
		}
	}
}

// lender returns the function with which a host asks others for tokens.
func (f *rateFleet) lender(h *modelHost) requestTokensFunc {
	borrower := h.state
	return func(account uint64, want float64, near, far []netip.AddrPort) bool {
		all := append(append([]netip.AddrPort{}, near...), far...)
		if len(all) == 0 {
			return false
		}
		peer := f.byAddress[all[f.random.IntN(len(all))]]
		if peer.state == nil || f.now < f.paused[peer] || f.random.IntN(50) == 0 {
			return false
		}
		granted := peer.state.limits.Lend(account, want)
		if f.random.IntN(50) > 0 {
			f.after(f.randomTime(2*time.Millisecond, 90*time.Millisecond), func() {
				if h.state == borrower && f.now >= f.paused[h] {
					borrower.limits.Receive(account, granted)
				}
			})
		}
		return true
	}
}

// leave lets a host leave as after SIGTERM, and start again later.
func (f *rateFleet) leave(h *modelHost, down time.Duration) {
	if h.state == nil || h.leaving {
		return
	}
	h.leaving = true
	f.store.endLease(h.lease)
	if f.mutation == leavingHostsSpend {
		h.state.shares.SetLease(h.lease, f.now.Add(leaveTime), f.now)
		h.nextSync = f.now.Add(leaveTime) // else it reads that its claims are gone
	} else {
		h.state.shares.SetLease(kvstore.LeaseID{}, 0, f.now)
	}
	f.after(leaveTime, func() { f.restart(h, down) })
}

// disturb lets one of the events happen that change who holds shares.
func (f *rateFleet) disturb(kept *copies) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(9) {
	case 0: // all hosts lose power, some for longer than their leases last
		down := f.randomTime(200*time.Millisecond, 6*time.Second)
		for _, each := range f.hosts {
			f.restart(each, down+f.randomTime(0, 600*time.Millisecond))
		}
	case 1: // some hosts
		for _, each := range f.hosts {
			if f.random.IntN(3) == 0 {
				f.restart(each, f.randomTime(200*time.Millisecond, 5*time.Second))
			}
		}
	case 2:
		f.leave(h, f.randomTime(200*time.Millisecond, 2*time.Second))
	case 3: // all hosts leave in turn
		for i, each := range f.hosts {
			f.after(time.Duration(i)*time.Second, func() { f.leave(each, 500*time.Millisecond) })
		}
	case 4:
		f.paused[h] = f.now.Add(f.randomTime(100*time.Millisecond, maxPause))
	case 5:
		for _, each := range f.hosts {
			if f.random.IntN(3) == 0 {
				each.offlineSince, each.offlineUntil = f.now, f.now.Add(f.randomTime(500*time.Millisecond, 8*time.Second))
			}
		}
	case 6:
		if f.store.revision.Era.Named() && len(kept.all) > 0 {
			f.rollBack(kept.all[f.random.IntN(len(kept.all))])
		}
	default: // demand moves
		f.busy = f.hosts[f.random.IntN(len(f.hosts)):]
	}
}

// mostInWindow returns the most requests admitted within a window, and the bound.
func (f *rateFleet) mostInWindow() (most int, allowed float64) {
	first := 0
	for last := range f.admitted {
		for f.admitted[last].Sub(f.admitted[first]) >= rateWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, (f.account.Rate*rateWindow.Seconds()+f.account.Burst)*(1+rateExcess) + rateSlack
}

var (
	rateHistories = flag.Int("rate.histories", 3, "number of random histories of the rate of an account, for each size of fleet")
	rateSeed      = flag.Uint64("rate.seed", 1, "seed of the first of these histories")
)

// An account got more than its rate while hosts started, left, were paused, were cut off from
// the store, or while the store returned from an older copy.
func TestRateOfAnAccountHoldsWhateverHostsDo(t *testing.T) {
	for _, hosts := range []int{1, 8, 83, 300} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			if hosts == 300 && testing.Short() {
				t.Skip("takes long under the race detector")
			}
			for n := range *rateHistories {
				seed := *rateSeed + uint64(n)
				rate, length := []float64{200, 40, 6}[seed%3], 60*time.Second
				if hosts > 50 {
					length = 20 * time.Second
				}
				f := newRateFleet(hosts, rate, []float64{20, 40, 6}[seed%3], seed, noRateMutation)
				if seed%2 == 0 {
					f.store.nameEras()
				}
				var kept copies
				for range length / modelStep {
					f.step(0)
					kept.take(f.store, f.now)
					if f.random.IntN(250) == 0 {
						f.disturb(&kept)
					}
				}
				most, allowed := f.mostInWindow()
				require.LessOrEqual(t, float64(most), allowed, "seed %d: %d of %d requests admitted", seed, len(f.admitted), f.asked)
			}
		})
	}
}

// Each fault of the past is found by the model.
func TestRateModelFindsPastFaults(t *testing.T) {
	t.Run("hosts that start together each take the whole rate", func(t *testing.T) {
		f := newRateFleet(8, 200, 20, 1, claimsAreNotShared)
		f.powerLoss(6 * time.Second)
		f.runFor(8 * time.Second)
		most, allowed := f.mostInWindow()
		require.Greater(t, float64(most), allowed)
	})
	t.Run("a host that leaves spends its shares beside the next holder", func(t *testing.T) {
		f := newRateFleet(6, 200, 20, 1, leavingHostsSpend)
		f.runFor(4 * time.Second)
		for _, h := range f.hosts {
			f.leave(h, 300*time.Millisecond)
			f.runFor(time.Second)
		}
		f.runFor(4 * time.Second)
		most, allowed := f.mostInWindow()
		require.Greater(t, float64(most), allowed)
	})
}

func (f *rateFleet) powerLoss(down time.Duration) {
	for _, h := range f.hosts {
		f.restart(h, down)
	}
	f.runFor(down)
}

// After a loss of power, callers within the rate were refused for seconds.
func TestRateIsAvailableSoonAfterAStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		down    time.Duration
		from    time.Duration // after the start
		minimum float64       // of the rate, from then on
	}{
		{"registrations still exist", 1500 * time.Millisecond, time.Second, 0.8},
		{"registrations have ended", 5 * time.Second, 2 * time.Second, 0.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRateFleet(83, 200, 20, 1, noRateMutation)
			f.powerLoss(c.down)
			f.runFor(c.from)
			f.admitted = nil
			f.runFor(3 * time.Second)
			require.GreaterOrEqual(t, float64(len(f.admitted)), c.minimum*f.account.Rate*3)
		})
	}
}

// Requests of a small account that arrive at all of 83 hosts were refused, though its load is
// within its rate, because each host had a small share. The division must admit nearly as many as
// a single host with the whole rate, which refuses only what exceeds the burst.
func TestSmallAccountOnManyHosts(t *testing.T) {
	for _, rate := range []float64{5, 15, 40} {
		admitted := func(hosts int) float64 {
			f := newRateFleet(hosts, rate, max(rate, 3), 1, noRateMutation)
			f.lendAtOnce()
			f.demand, f.rounds = 0.62, 3
			f.runFor(10 * time.Second) // the buckets fill
			f.admitted, f.asked = nil, 0
			f.runFor(40 * time.Second)
			return float64(len(f.admitted)) / float64(f.asked)
		}
		single, divided := admitted(1), admitted(83)
		t.Logf("rate %v: admitted %.3f, by a single host %.3f", rate, divided, single)
		require.Greater(t, divided, single-0.01, "rate %v", rate)
	}
}
