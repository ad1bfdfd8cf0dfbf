package upstream

import (
	"sync"
	"time"
)

// report is the load and health of an upstream at one moment.
type report struct {
	load      loadResponse
	healthy   bool
	createdAt time.Time
}

// delayedReports delays the reports that the load and health endpoints return.
type delayedReports struct {
	lag time.Duration

	mu      sync.Mutex // guards history
	history []report   // oldest first
}

func newDelayedReports(lag time.Duration) *delayedReports { return &delayedReports{lag: lag} }

// add appends the current report and returns the one to show at now: the newest that
// is at least lag old, or else the oldest. While frozen it appends nothing and keeps
// returning the same report.
func (r *delayedReports) add(now time.Time, current report, frozen bool) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !frozen || len(r.history) == 0 {
		current.createdAt = now
		r.history = append(r.history, current)
	}
	for len(r.history) > 1 && !r.history[1].createdAt.After(now.Add(-r.lag)) && !frozen {
		r.history = r.history[1:]
	}
	return r.history[0]
}
