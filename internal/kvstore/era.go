package kvstore

import (
	"math"
	"strconv"
	"sync"
)

// Era counts how often the store returned from an older copy of itself. Revisions and
// leases that were given out since that copy are given out again, so they mean nothing
// outside their era. The zero value is the era of a store that names none.
type Era uint64

// NewEra returns the era that the store names by a number. It reports false for the one
// number that can't be represented.
func NewEra(number uint64) (Era, bool) {
	if number == math.MaxUint64 {
		return 0, false
	}
	return Era(number + 1), true
}

// Named reports whether the store named the era.
func (e Era) Named() bool { return e != 0 }

// Number returns the number by which the store names the era, zero if it names none.
func (e Era) Number() uint64 {
	if e == 0 {
		return 0
	}
	return uint64(e) - 1
}

// String returns the number of the era, "none" if the store names none.
func (e Era) String() string {
	if e == 0 {
		return "none"
	}
	return strconv.FormatUint(e.Number(), 10)
}

const (
	// maxEraStep is the greatest rise that a single response may report.
	maxEraStep = 16
	// eraConfirmations is the number of responses in a row that must name the same era for a
	// greater rise or a fall: one wrong number must not make the right ones look old.
	eraConfirmations = 3
)

// EraTracker knows the current era of the store, as responses to calls name it. It is safe
// for concurrent use.
type EraTracker struct {
	mu            sync.Mutex // guards the fields below
	current       Era
	seen          bool   // a response was observed
	changes       uint64 // of current, the first one included
	candidate     Era    // an era that needs more responses
	confirmations int    // responses in a row that named candidate
	unusable      uint64
	changed       chan struct{}
}

// NewEraTracker returns a tracker that has seen no response.
func NewEraTracker() *EraTracker { return &EraTracker{changed: make(chan struct{})} }

// Current returns the current era, zero if no response named one.
func (t *EraTracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Changed returns a channel that is closed when the current era changes.
func (t *EraTracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Counts returns how often the era has changed after the first response, and how many
// responses named none or one that could not be used.
func (t *EraTracker) Counts() (changes, unusable uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.changes, 1) - 1, t.unusable
}

// CallStart tells which eras were known when a call began.
type CallStart uint64

// Begin must be called before a call to the store is sent.
func (t *EraTracker) Begin() CallStart {
	t.mu.Lock()
	defer t.mu.Unlock()
	return CallStart(t.changes)
}

// Observe records the era that the response to a call names. It reports whether the response
// is of the current era. A response of an older era may arrive late. If the call began after
// the current era was seen, one of the two numbers is wrong: the one that several responses
// in a row name counts. A response that names no era, once the store has named one, can't be
// ordered.
func (t *EraTracker) Observe(era Era, start CallStart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.seen && era == t.current:
		t.candidate, t.confirmations = 0, 0
		return true
	case !t.seen || era > t.current && (!t.current.Named() || era-t.current <= maxEraStep):
	case era < t.current && uint64(start) < t.changes: // late
		return false
	case !era.Named() || !t.confirm(era):
		t.unusable++
		return false
	}
	t.current, t.seen, t.candidate, t.confirmations = era, true, 0, 0
	t.changes++
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// confirm counts a response that names an unlikely era. It reports whether enough did. The
// caller holds mu.
func (t *EraTracker) confirm(era Era) bool {
	if era != t.candidate {
		t.candidate, t.confirmations = era, 0
	}
	t.confirmations++
	return t.confirmations >= eraConfirmations
}

// Unusable records a response whose era can't be read.
func (t *EraTracker) Unusable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unusable++
}
