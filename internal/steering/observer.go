package steering

import (
	"time"

	"peridotrail/internal/kvstore"
)

// historyLength is the number of steps of a shift that a host keeps.
const historyLength = 32

// Observer records the progress documents that a domain leader has read. It is
// not safe for concurrent use.
type Observer struct {
	shifts map[string]*trackedShift
}

type trackedShift struct {
	observed ObservedShift
	revision kvstore.Revision
}

// NewObserver creates an empty Observer.
func NewObserver() *Observer { return &Observer{shifts: map[string]*trackedShift{}} }

// Observe records a document that was read at now, unless a document at least as
// new is recorded already. If its step is new to this host, now is recorded as the
// time of the step.
func (o *Observer) Observe(progress Progress, revision kvstore.Revision, now time.Time) {
	t := o.shifts[progress.Name]
	if t == nil {
		t = &trackedShift{observed: ObservedShift{Progress: progress, StepSince: now}, revision: revision}
		if progress.Step > 0 {
			t.observed.History = []ObservedStep{{At: now, Change: min(progress.Moved, progress.Cap)}}
		}
		o.shifts[progress.Name] = t
		return
	}
	if revision.Compare(t.revision) <= 0 {
		return
	}
	if progress.Step != t.observed.Step {
		t.observed.StepSince = now
		t.observed.History = append(t.observed.History, ObservedStep{At: now, Change: progress.Moved - t.observed.Moved})
		if surplus := len(t.observed.History) - historyLength; surplus > 0 {
			t.observed.History = t.observed.History[surplus:]
		}
	}
	t.observed.Progress = progress
	t.revision = revision
}

// Get returns the recorded state of a shift and the revision of its document. The
// revision is zero if no document was read.
func (o *Observer) Get(name string) (ObservedShift, kvstore.Revision) {
	if t := o.shifts[name]; t != nil {
		return t.observed, t.revision
	}
	return ObservedShift{Progress: Progress{Name: name}}, kvstore.Revision{}
}

// OtherShifts returns the progress of the shifts from a failure domain that have
// not ended, except the named one.
func (o *Observer) OtherShifts(domain, except string) []Progress {
	var others []Progress
	for name, t := range o.shifts {
		if name != except && t.observed.From == domain && !t.observed.Ended() {
			others = append(others, t.observed.Progress)
		}
	}
	return others
}

// ShiftNames returns the names of all shifts from a failure domain.
func (o *Observer) ShiftNames(domain string) []string {
	var names []string
	for name, t := range o.shifts {
		if t.observed.From == domain {
			names = append(names, name)
		}
	}
	return names
}
