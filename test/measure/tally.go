package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotrail/internal/configuration"
)

const (
	lowestLatency  = 1                // microseconds
	highestLatency = 60 * 1000 * 1000 // microseconds
	latencyDigits  = 3
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeServed      outcome = iota + 1 // a whole answer
	outcomeRateRefused                    // status 429
	outcomeRefused                        // any other answer with problem details
	outcomeCut                            // no answer, or a part of one
)

// accountTally counts the requests of one client account.
type accountTally struct {
	offered int
	inside  int // within rate and burst, by an exact token bucket
	served  int // whole answers within the deadline
	limited int // refused because of the rate
	refused int // refused for another reason
	late    int // whole answers after the deadline
	cut     int // no answer, or a part of one
	latency *hdrhistogram.Histogram
	tokens  float64
	at      time.Time
	rate    float64
	burst   float64
}

// tally collects the results of one trial. It is safe for concurrent use.
type tally struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	accounts  map[string]*accountTally
	cut       int
	refused   int
	drainAt   time.Time
	down      string
	headroom  float64
	samples   int
	overloads int
}

func newTally(accounts []configuration.ClientAccount, start time.Time) *tally {
	t := &tally{
		latency:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		accounts: map[string]*accountTally{},
		headroom: 1,
	}
	for _, a := range accounts {
		t.accounts[a.Name] = &accountTally{latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits), tokens: float64(a.Burst), burst: float64(a.Burst), rate: a.Rate, at: start}
	}
	return t
}

// offer counts a request at the time at which it is due.
func (t *tally) offer(account string, due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	a.offered++
	a.tokens = min(a.burst, a.tokens+due.Sub(a.at).Seconds()*a.rate)
	a.at = due
	if a.tokens >= 1 {
		a.tokens--
		a.inside++
	}
}

// end counts the end of a request.
func (t *tally) end(account string, o outcome, latency, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	switch o {
	case outcomeServed:
		_ = t.latency.RecordValue(min(latency.Microseconds(), highestLatency)) // in range
		_ = a.latency.RecordValue(min(latency.Microseconds(), highestLatency)) // in range
		if latency <= deadline {
			a.served++
		} else {
			a.late++
		}
	case outcomeRateRefused:
		a.limited++
	case outcomeCut:
		t.cut++
		a.cut++
	default:
		t.refused++
		a.refused++
	}
}

func (t *tally) drainAccepted(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainAt = at
}

func (t *tally) setDown(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = region
}

// sample looks at the load of the regions. Headroom is the free share of the
// fullest region; a region is over its capacity while more requests are present
// at its workers than they have slots.
func (t *tally) sample(workers []*worker) {
	slots, present := map[string]int{}, map[string]int{}
	for _, w := range workers {
		slots[w.region] += w.upstream.Slots
		present[w.region] += int(w.present.Load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples++
	over := false
	for region, all := range slots {
		if region == t.down {
			continue
		}
		t.headroom = min(t.headroom, max(0, 1-float64(present[region])/float64(all)))
		over = over || present[region] > all
	}
	if over {
		t.overloads++
	}
}

// worstAccount returns the smallest share served of what an account was allowed.
func (t *tally) worstAccount() float64 {
	worst := 1.0
	for _, a := range t.accounts {
		worst = min(worst, a.share())
	}
	return worst
}

func (a *accountTally) share() float64 {
	if a.inside == 0 {
		return 1
	}
	return min(1, float64(a.served)/float64(a.inside))
}

// wrongfulRefusals returns the share of requests inside the rate that were
// refused because of the rate.
func (t *tally) wrongfulRefusals() float64 {
	inside, wrongful := 0, 0
	for _, a := range t.accounts {
		inside += a.inside
		wrongful += max(0, a.limited-(a.offered-a.inside))
	}
	if inside == 0 {
		return 0
	}
	return float64(wrongful) / float64(inside)
}
