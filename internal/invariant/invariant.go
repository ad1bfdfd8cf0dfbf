// Package invariant reports violations of properties that must always hold.
//
// A violation is counted and logged in production and is fatal in tests.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant. docs/design/invariants.md lists where each is checked
// and tested. Values are part of metric names.
type Name string

// The invariants.
const (
	ShiftUnderCap            Name = "shift-under-cap"
	RegionNotOverloaded      Name = "region-not-overloaded"
	RequestAuthenticated     Name = "key-owns-request"
	KeyNotForwarded          Name = "key-not-forwarded"
	WithdrawnKeyEnforced     Name = "withdrawn-key-stops"
	RateWithinLimit          Name = "rate-within-whole"
	CompleteResponse         Name = "whole-answer"
	RefusedNotExecuted       Name = "refusal-not-run"
	AtMostOnce               Name = "at-most-once"
	NoWorkForDrainedUpstream Name = "leaving-upstream-quiet"
	GracefulShutdown         Name = "graceful-shutdown"
	RevisionMonotonic        Name = "revision-monotone"
	SlotsWithinLimit         Name = "slots-within-whole"
)

// Violation is one observed breach of an invariant.
type Violation struct {
	Invariant Name
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// Handler receives each violation.
type Handler func(*Violation)

var handler atomic.Pointer[Handler]

// SetHandler replaces the function that receives violations and returns a
// function that restores the previous one. The default handler panics.
func SetHandler(h Handler) (restore func()) {
	previous := handler.Swap(&h)
	return func() { handler.Store(previous) }
}

// Check reports a violation unless ok is true. The arguments are formatted only
// on violation.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	violation := &Violation{Invariant: name, Detail: fmt.Sprintf(format, args...)}
	if h := handler.Load(); h != nil {
		(*h)(violation)
		return
	}
	panic(violation)
}
