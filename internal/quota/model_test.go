package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
)

// sent is one request that a host let through.
type sent struct{ at boottime.Instant }

// fleet is a model of hosts that lend each other tokens over a network that
// loses and delays messages.
type fleet struct {
	rate, burst float64
	now         boottime.Instant
	hosts       []*Bucket
	grants      []grant
	spent       []sent
}

type grant struct {
	to     int
	tokens float64
	due    boottime.Instant
}

func newFleet(rate, burst float64, hosts int) *fleet {
	f := &fleet{rate: rate, burst: burst, now: boottime.Instant(time.Hour)}
	for range hosts {
		f.hosts = append(f.hosts, f.newBucket(hosts))
	}
	return f
}

func (f *fleet) newBucket(hosts int) *Bucket {
	b := &Bucket{}
	b.SetLimit(f.rate/float64(hosts), f.burst/float64(hosts), f.now)
	return b
}

func (f *fleet) advance(d time.Duration) {
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

func (f *fleet) request(host int) {
	f.hosts[host].Demand(f.now)
	if ok, _ := f.hosts[host].Take(f.now); ok {
		f.spent = append(f.spent, sent{f.now})
	}
}

func (f *fleet) borrow(from, to int, lost bool, delay time.Duration) {
	want := f.hosts[to].Wanted(f.now)
	if from == to || want == 0 {
		return
	}
	tokens := f.hosts[from].Lend(want, f.now)
	if tokens > 0 && !lost {
		f.grants = append(f.grants, grant{to: to, tokens: tokens, due: f.now.Add(delay)})
	}
}

// most counts the requests of the fullest window, by a look at every one.
func (f *fleet) most(window time.Duration) int {
	most, first := 0, 0
	for last := range f.spent {
		for f.spent[last].at.Sub(f.spent[first].at) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestFleetStaysWithinTheRate plays random demand, lending, lost and late
// messages and restarts, and counts over sliding windows.
func TestFleetStaysWithinTheRate(t *testing.T) {
	const (
		window = 5 * time.Second
		excess = 0.1 // of the window's limit
		slack  = 20  // requests
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 10).Draw(t, "hosts")
		rate := rapid.Float64Range(10, 300).Draw(t, "rate")
		f := newFleet(rate, rate*rapid.Float64Range(0.5, 2).Draw(t, "burst"), hosts)
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
		if got := f.most(window); float64(got) > limit {
			t.Fatalf("%d requests in a window of %s, at most %.0f allowed", got, window, limit)
		}
	})
}

// Demand at one host is served with the tokens of all.
func TestTokensFollowDemand(t *testing.T) {
	f := newFleet(100, 100, 10)
	f.advance(2 * time.Second)
	for range 400 {
		f.advance(10 * time.Millisecond)
		f.request(0)
		f.borrow(1+len(f.spent)%9, 0, false, 25*time.Millisecond)
	}
	require.Greater(t, len(f.spent), 380, "of 400 requests at the whole rate, all at one host with a tenth of it")
}

func TestNewBucketStartsEmpty(t *testing.T) {
	f := newFleet(100, 100, 1)
	f.request(0)
	require.Empty(t, f.spent)
	f.advance(100 * time.Millisecond)
	for range 100 {
		f.request(0)
	}
	require.Len(t, f.spent, 10)
}

func TestLowerLimitClips(t *testing.T) {
	f := newFleet(100, 100, 1)
	f.advance(5 * time.Second)
	f.hosts[0].SetLimit(1, 2, f.now)
	for range 100 {
		f.request(0)
	}
	require.Len(t, f.spent, 2)
}

func TestBorrowedTokensEnd(t *testing.T) {
	b := &Bucket{}
	now := boottime.Instant(time.Hour)
	b.SetLimit(0.001, 1, now)
	b.Borrow(5, now)
	now = now.Add(BorrowTerm + time.Millisecond)
	ok, _ := b.Take(now)
	require.False(t, ok)
}

// TestRepeatBudgetAgainstOracle counts every window of the history anew.
func TestRepeatBudgetAgainstOracle(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRepeatBudget(window, 0.2, 5)
		now := boottime.Instant(time.Hour)
		var requests, repeats []boottime.Instant
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.Request(now)
				requests = append(requests, now)
			} else if budget.Take(now) {
				repeats = append(repeats, now)
				// The budget counts requests of at most one step beyond the window.
				allowed := 0.2*float64(since(requests, now, window+window/windowBuckets)) + 5
				if got := since(repeats, now, window); float64(got) > allowed {
					t.Fatalf("%d repeats, %.1f allowed", got, allowed)
				}
			}
		}
	})
}

func since(all []boottime.Instant, now boottime.Instant, window time.Duration) int {
	n := 0
	for _, at := range all {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}
