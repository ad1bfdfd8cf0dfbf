package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
)

// admission is one request that a host admitted.
type admission struct{ at boottime.Instant }

// fleetModel is a model of hosts that lend each other tokens over a network that
// loses and delays messages.
type fleetModel struct {
	rate, burst float64
	now         boottime.Instant
	hosts       []*Bucket
	grants      []grant
	admitted    []admission
}

type grant struct {
	to     int
	tokens float64
	due    boottime.Instant
}

func newFleetModel(rate, burst float64, hosts int) *fleetModel {
	f := &fleetModel{rate: rate, burst: burst, now: boottime.Instant(time.Hour)}
	for range hosts {
		f.hosts = append(f.hosts, f.newBucket(hosts))
	}
	return f
}

func (f *fleetModel) newBucket(hosts int) *Bucket {
	b := &Bucket{}
	b.SetLimit(f.rate/float64(hosts), f.burst/float64(hosts), f.now)
	return b
}

func (f *fleetModel) advance(d time.Duration) {
	f.now = f.now.Add(d)
	rest := f.grants[:0]
	for _, g := range f.grants {
		if g.due.Before(f.now) {
			f.hosts[g.to].Borrow(g.tokens, f.now)
		} else {
			rest = append(rest, g)
		}
	}
	f.grants = rest
}

func (f *fleetModel) request(host int) {
	f.hosts[host].RecordDemand(f.now)
	if f.hosts[host].Take(f.now) {
		f.admitted = append(f.admitted, admission{f.now})
	}
}

func (f *fleetModel) borrow(from, to int, lost bool, delay time.Duration) {
	want := f.hosts[to].TokensToBorrow(f.hosts[to].own()+f.hosts[to].borrowed < 1, f.now)
	if from == to || want == 0 {
		return
	}
	tokens := f.hosts[from].Lend(want, f.now)
	if tokens > 0 && !lost {
		f.grants = append(f.grants, grant{to: to, tokens: tokens, due: f.now.Add(delay)})
	}
}

// maxInWindow returns the largest number of admissions in any window of this length.
func (f *fleetModel) maxInWindow(window time.Duration) int {
	most, first := 0, 0
	for last := range f.admitted {
		for f.admitted[last].at.Sub(f.admitted[first].at) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestFleetStaysWithinTheRate runs random histories of demand, lending, lost and late
// messages, and restarts, and checks the admissions of every sliding window against
// the rate and burst.
func TestFleetStaysWithinTheRate(t *testing.T) {
	const (
		window = 5 * time.Second
		excess = 0.1 // as a fraction of the window's limit
		slack  = 20  // requests
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 10).Draw(t, "hosts")
		rate := rapid.Float64Range(10, 300).Draw(t, "rate")
		f := newFleetModel(rate, rate*rapid.Float64Range(0.5, 2).Draw(t, "burst"), hosts)
		busy := rapid.IntRange(0, hosts-1).Draw(t, "busy")
		for range rapid.IntRange(100, 600).Draw(t, "steps") {
			f.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				f.request(busy)
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				busy = rapid.IntRange(0, hosts-1).Draw(t, "busy")
			case 1:
				f.hosts[busy] = f.newBucket(hosts)
			default:
				from := rapid.IntRange(0, hosts-1).Draw(t, "from")
				f.borrow(from, busy, rapid.IntRange(0, 9).Draw(t, "lost") == 0, time.Duration(rapid.IntRange(1, 100).Draw(t, "delay"))*time.Millisecond)
			}
		}
		limit := (f.rate*window.Seconds()+f.burst)*(1+excess) + slack
		if got := f.maxInWindow(window); float64(got) > limit {
			t.Fatalf("%d requests in a window of %s, at most %.0f allowed", got, window, limit)
		}
	})
}

// Demand at one host is admitted with the tokens of all hosts.
func TestTokensFollowDemand(t *testing.T) {
	f := newFleetModel(100, 100, 10)
	f.advance(2 * time.Second)
	for range 400 {
		f.advance(10 * time.Millisecond)
		f.request(0)
		f.borrow(1+len(f.admitted)%9, 0, false, 25*time.Millisecond)
	}
	require.Greater(t, len(f.admitted), 380, "of 400 requests at the whole rate, all at one host with a tenth of it")
}

func TestNewBucketStartsEmpty(t *testing.T) {
	f := newFleetModel(100, 100, 1)
	f.request(0)
	require.Empty(t, f.admitted)
	f.advance(100 * time.Millisecond)
	for range 100 {
		f.request(0)
	}
	require.Len(t, f.admitted, 10)
}

func TestLowerLimitDiscardsTokens(t *testing.T) {
	f := newFleetModel(100, 100, 1)
	f.advance(5 * time.Second)
	f.hosts[0].SetLimit(1, 2, f.now)
	for range 100 {
		f.request(0)
	}
	require.Len(t, f.admitted, 2)
}

func TestBorrowedTokensExpire(t *testing.T) {
	b := &Bucket{}
	now := boottime.Instant(time.Hour)
	b.SetLimit(0.001, 1, now)
	b.Borrow(5, now)
	now = now.Add(BorrowedTokenTTL + time.Millisecond)
	ok := b.Take(now)
	require.False(t, ok)
}

// TestRepeatBudgetAgainstOracle compares the budget with a count of each window from
// the full history.
func TestRepeatBudgetAgainstOracle(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget(window, 0.2, 5)
		now := boottime.Instant(time.Hour)
		var requests, retries []boottime.Instant
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(now)
				requests = append(requests, now)
			} else if budget.Take(now) {
				retries = append(retries, now)
				// The budget may count requests of one more interval than the window.
				allowed := 0.2*float64(countSince(requests, now, window+window/windowIntervals)) + 5
				if got := countSince(retries, now, window); float64(got) > allowed {
					t.Fatalf("%d retries, %.1f allowed", got, allowed)
				}
			}
		}
	})
}

func countSince(all []boottime.Instant, now boottime.Instant, window time.Duration) int {
	n := 0
	for _, at := range all {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}
