package steering

import (
	"time"

	"peridotrail/internal/kvstore"
)

// historyLength is the number of steps of a shift that a host remembers.
const historyLength = 32

// Observer keeps what a leader has seen of the progress documents. It is not
// safe for concurrent use.
type Observer struct {
	shifts map[string]*tracked
}

type tracked struct {
	observed Observed
	revision kvstore.Revision
}

// NewObserver creates an Observer that has seen nothing.
func NewObserver() *Observer { return &Observer{shifts: map[string]*tracked{}} }

// See takes over a document that was read at now. The step it holds counts as
// made at now if this host sees it for the first time.
func (o *Observer) See(progress Progress, revision kvstore.Revision, now time.Time) {
	t := o.shifts[progress.Name]
	if t == nil {
		t = &tracked{observed: Observed{Progress: progress, Since: now}, revision: revision}
		if progress.Step > 0 {
			t.observed.History = []StepSeen{{At: now, Change: min(progress.Moved, progress.Cap)}}
		}
		o.shifts[progress.Name] = t
		return
	}
	if revision <= t.revision {
		return
	}
	if progress.Step != t.observed.Step {
		t.observed.Since = now
		t.observed.History = append(t.observed.History, StepSeen{At: now, Change: progress.Moved - t.observed.Moved})
		if surplus := len(t.observed.History) - historyLength; surplus > 0 {
			t.observed.History = t.observed.History[surplus:]
		}
	}
	t.observed.Progress = progress
	t.revision = revision
}

// Get returns what is known of a shift; a zero revision if it has no document.
func (o *Observer) Get(name string) (Observed, kvstore.Revision) {
	if t := o.shifts[name]; t != nil {
		return t.observed, t.revision
	}
	return Observed{Progress: Progress{Name: name}}, 0
}

// From returns the progress of all shifts from a failure domain but the named one.
func (o *Observer) From(domain, except string) []Progress {
	var others []Progress
	for name, t := range o.shifts {
		if name != except && t.observed.From == domain && !t.observed.Ended() {
			others = append(others, t.observed.Progress)
		}
	}
	return others
}

// Names returns the names of all shifts from a failure domain.
func (o *Observer) Names(domain string) []string {
	var names []string
	for name, t := range o.shifts {
		if t.observed.From == domain {
			names = append(names, name)
		}
	}
	return names
}
