package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotrail/internal/configuration"
)

const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60 * 1000 * 1000
	latencySignificantDigits = 3
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeServed      outcome = iota + 1 // a whole response
	outcomeRateRefused                    // status 429
	outcomeRefused                        // any other response with problem details
	outcomeFailed                         // no response, an incomplete one or an unexpected one
)

// accountTally counts the requests of one client account.
type accountTally struct {
	offered     int
	withinRate  int // within rate and burst, by an exact token bucket
	served      int // whole responses within the deadline
	rateRefused int // refused because of the rate
	refused     int // refused for another reason
	late        int // whole responses after the deadline
	failed      int // ended with outcomeFailed
	latency     *hdrhistogram.Histogram
	tokens      float64   // in the token bucket at tokensAt
	tokensAt    time.Time // when the last request was due
	rate        float64
	burst       float64
}

// tally collects the results of one trial. It is safe for concurrent use.
type tally struct {
	mu                sync.Mutex
	latency           *hdrhistogram.Histogram
	accounts          map[string]*accountTally
	failed            int
	refused           int
	drainStart        time.Time
	downRegion        string // region that sample leaves out
	minHeadroom       float64
	samples           int
	overloadedSamples int
}

func newTally(accounts []configuration.ClientAccount, start time.Time) *tally {
	t := &tally{
		latency:     hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		accounts:    map[string]*accountTally{},
		minHeadroom: 1,
	}
	for _, a := range accounts {
		t.accounts[a.Name] = &accountTally{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits), tokens: float64(a.Burst), burst: float64(a.Burst), rate: a.Rate, tokensAt: start}
	}
	return t
}

// recordOffered counts a request that is due. Calls for one account are in the
// order of the due times.
func (t *tally) recordOffered(account string, due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	a.offered++
	a.tokens = min(a.burst, a.tokens+due.Sub(a.tokensAt).Seconds()*a.rate)
	a.tokensAt = due
	if a.tokens >= 1 {
		a.tokens--
		a.withinRate++
	}
}

// recordOutcome counts how a request ended and, if it was served, its latency.
func (t *tally) recordOutcome(account string, o outcome, latency, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[account]
	switch o {
	case outcomeServed:
		_ = t.latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // in range
		_ = a.latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // in range
		if latency <= deadline {
			a.served++
		} else {
			a.late++
		}
	case outcomeRateRefused:
		a.rateRefused++
	case outcomeFailed:
		t.failed++
		a.failed++
	default:
		t.refused++
		a.refused++
	}
}

func (t *tally) setDrainStart(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainStart = at
}

func (t *tally) setDownRegion(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downRegion = region
}

// sample records the load of the regions. Headroom is the fraction of free slots
// in the region that has the smallest one. A region is overloaded while more
// requests run and wait at its workers than the workers have slots.
func (t *tally) sample(workers []*worker) {
	slots, present := map[string]int{}, map[string]int{}
	for _, w := range workers {
		slots[w.region] += w.upstream.Slots
		present[w.region] += int(w.inFlight.Load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples++
	overloaded := false
	for region, slotCount := range slots {
		if region == t.downRegion {
			continue
		}
		t.minHeadroom = min(t.minHeadroom, max(0, 1-float64(present[region])/float64(slotCount)))
		overloaded = overloaded || present[region] > slotCount
	}
	if overloaded {
		t.overloadedSamples++
	}
}

// worstServedFraction returns the smallest servedFraction of all accounts. The
// caller holds mu.
func (t *tally) worstServedFraction() float64 {
	worst := 1.0
	for _, a := range t.accounts {
		worst = min(worst, a.servedFraction())
	}
	return worst
}

// servedFraction returns the requests served over the requests within the rate,
// at most 1.
func (a *accountTally) servedFraction() float64 {
	if a.withinRate == 0 {
		return 1
	}
	return min(1, float64(a.served)/float64(a.withinRate))
}

// wrongfulRefusalFraction returns the fraction of requests within the rate that
// were refused because of the rate. The caller holds mu.
func (t *tally) wrongfulRefusalFraction() float64 {
	withinRate, wrongful := 0, 0
	for _, a := range t.accounts {
		withinRate += a.withinRate
		wrongful += max(0, a.rateRefused-(a.offered-a.withinRate))
	}
	if withinRate == 0 {
		return 0
	}
	return float64(wrongful) / float64(withinRate)
}
