package quota

import (
	"time"

	"peridotrail/internal/boottime"
)

// windowIntervals is the number of equal intervals into which a Window divides its
// span.
const windowIntervals = 20

// Window counts events in a sliding time window. It counts whole intervals, so it may
// include events up to one interval older than the span.
type Window struct {
	span   time.Duration
	counts [windowIntervals + 1]int
	newest int64 // index of the newest interval, counted from time zero
	total  int
}

// NewWindow returns an empty window over the given span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Add counts n events at now.
func (w *Window) Add(n int, now boottime.Instant) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))] += n
	w.total += n
}

// Count returns the number of events in the window that ends at now.
func (w *Window) Count(now boottime.Instant) int {
	w.advance(now)
	return w.total
}

// UntilBelow returns the time until Count will be less than n, if no more events are
// added: zero if it is already, the whole span if n is not positive.
func (w *Window) UntilBelow(n int, now boottime.Instant) time.Duration {
	w.advance(now)
	if n <= 0 {
		return w.span
	}
	remaining, until := w.total, time.Duration(0)
	interval := int64(w.span) / windowIntervals
	for index := max(0, w.newest-int64(len(w.counts))+1); remaining >= n && index <= w.newest; index++ {
		remaining -= w.counts[index%int64(len(w.counts))]
		until = boottime.Instant((index + int64(len(w.counts))) * interval).Sub(now)
	}
	return until
}

// advance drops the counts of intervals that have left the window.
func (w *Window) advance(now boottime.Instant) {
	index := int64(now) / (int64(w.span) / windowIntervals)
	if index <= w.newest {
		return
	}
	for steps := min(index-w.newest, int64(len(w.counts))); steps > 0; steps-- {
		slot := (index - steps + 1) % int64(len(w.counts))
		w.total -= w.counts[slot]
		w.counts[slot] = 0
	}
	w.newest = index
}

// RetryBudget limits retries, which are requests sent again to another upstream,
// relative to the first attempts in a sliding window.
type RetryBudget struct {
	Ratio float64 // retries allowed per request
	Slack float64 // retries allowed per window in addition; this host's share

	requests *Window
	retries  *Window
}

// NewRetryBudget returns a budget whose window has the given span.
func NewRetryBudget(span time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{Ratio: ratio, Slack: slack, requests: NewWindow(span), retries: NewWindow(span)}
}

// RecordRequest counts a request that is sent for the first time.
func (b *RetryBudget) RecordRequest(now boottime.Instant) { b.requests.Add(1, now) }

// Take spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take(now boottime.Instant) bool {
	allowed := b.Ratio*float64(b.requests.Count(now)) + b.Slack
	if float64(b.retries.Count(now)+1) > allowed {
		return false
	}
	b.retries.Add(1, now)
	return true
}
