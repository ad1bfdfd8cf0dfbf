package upstream

import (
	"fmt"
	"time"
)

// Reason says why work was refused.
type Reason uint8

// Reasons for a refusal.
const (
	ReasonNoUpstream       Reason = iota + 1 // the service is unknown or has no usable upstream
	ReasonOverloaded                         // the queue is full
	ReasonDeadlineTooShort                   // no place could answer in time
	ReasonWithdrawn                          // the caller's key or the caller went away while the work waited
	ReasonNoGrant                            // a relayed request was outside its room grant
	ReasonShuttingDown                       // the dispatcher takes no new work
)

// String returns the lower-case name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonNoUpstream:
		return "no upstream"
	case ReasonOverloaded:
		return "overloaded"
	case ReasonDeadlineTooShort:
		return "deadline too short"
	case ReasonWithdrawn:
		return "withdrawn"
	case ReasonNoGrant:
		return "no room grant"
	default:
		return "shutting down"
	}
}

// RefusedError reports that work was refused before any byte of it was sent.
type RefusedError struct {
	Reason     Reason
	Service    string
	RetryAfter time.Duration // zero: no advice
	Err        error         // cause, such as the context's error; may be nil
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("service %q: refused: %s", e.Service, e.Reason)
	}
	return fmt.Sprintf("service %q: refused: %s: %v", e.Service, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
