// Package invariant reports violations of properties that must always hold.
//
// A violation is counted and logged in production and fatal in tests.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies one invariant; docs/design/invariants.md has a row for each.
type Name string

// Invariants of the system.
const (
	ShiftUnderCap        Name = "shift-under-cap"
	RegionNotOverloaded  Name = "region-not-overloaded"
	KeyOwnsRequest       Name = "key-owns-request"
	KeyNotForwarded      Name = "key-not-forwarded"
	WithdrawnKeyStops    Name = "withdrawn-key-stops"
	RateWithinWhole      Name = "rate-within-whole"
	WholeAnswer          Name = "whole-answer"
	RefusalNotRun        Name = "refusal-not-run"
	AtMostOnce           Name = "at-most-once"
	LeavingUpstreamQuiet Name = "leaving-upstream-quiet"
	GracefulShutdown     Name = "graceful-shutdown"
	RevisionMonotone     Name = "revision-monotone"
	SlotsWithinWhole     Name = "slots-within-whole"
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
