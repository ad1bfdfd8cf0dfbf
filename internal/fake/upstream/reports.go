package upstream

import (
	"sync"
	"time"
)

type report struct {
	load    load
	healthy bool
	taken   time.Time
}

// reports delays what the endpoints tell.
type reports struct {
	lag time.Duration

	mu      sync.Mutex // guards history
	history []report   // oldest first
}

func newReports(lag time.Duration) *reports { return &reports{lag: lag} }

// at adds the current report and returns the one to tell at now: the newest that
// is at least lag old, or the oldest known. A frozen report does not change.
func (r *reports) at(now time.Time, current report, frozen bool) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !frozen || len(r.history) == 0 {
		current.taken = now
		r.history = append(r.history, current)
	}
	for len(r.history) > 1 && !r.history[1].taken.After(now.Add(-r.lag)) && !frozen {
		r.history = r.history[1:]
	}
	return r.history[0]
}
