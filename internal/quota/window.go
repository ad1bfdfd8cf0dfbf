package quota

import (
	"time"

	"peridotrail/internal/boottime"
)

const windowBuckets = 20

// Window counts events over a sliding span, rounded up to a twentieth of it.
type Window struct {
	span   time.Duration
	counts [windowBuckets + 1]int
	at     int64 // index of the newest bucket
	total  int
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Add counts n events.
func (w *Window) Add(n int, now boottime.Instant) {
	w.advance(now)
	w.counts[w.at%int64(len(w.counts))] += n
	w.total += n
}

// Count returns the events of at least the last span.
func (w *Window) Count(now boottime.Instant) int {
	w.advance(now)
	return w.total
}

func (w *Window) advance(now boottime.Instant) {
	index := int64(now) / (int64(w.span) / windowBuckets)
	if index <= w.at {
		return
	}
	for steps := min(index-w.at, int64(len(w.counts))); steps > 0; steps-- {
		slot := (index - steps + 1) % int64(len(w.counts))
		w.total -= w.counts[slot]
		w.counts[slot] = 0
	}
	w.at = index
}

// RepeatBudget bounds the requests that are sent to a second upstream, relative to
// the requests of the last window.
type RepeatBudget struct {
	Ratio float64 // repeats for each request
	Slack float64 // repeats beyond those, this host's part

	requests *Window
	repeats  *Window
}

// NewRepeatBudget returns a budget that counts over the given span.
func NewRepeatBudget(span time.Duration, ratio, slack float64) *RepeatBudget {
	return &RepeatBudget{Ratio: ratio, Slack: slack, requests: NewWindow(span), repeats: NewWindow(span)}
}

// Request counts the first sending of a request.
func (b *RepeatBudget) Request(now boottime.Instant) { b.requests.Add(1, now) }

// Take spends one repeat and reports whether there was one left.
func (b *RepeatBudget) Take(now boottime.Instant) bool {
	allowed := b.Ratio*float64(b.requests.Count(now)) + b.Slack
	if float64(b.repeats.Count(now)+1) > allowed {
		return false
	}
	b.repeats.Add(1, now)
	return true
}
