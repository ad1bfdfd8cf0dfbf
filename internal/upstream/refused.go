package upstream

import (
	"fmt"
	"time"
)

// Reason is why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	ReasonNoUpstream       Reason = iota + 1 // the service is unknown or has no usable upstream
	ReasonOverloaded                         // the queue is full
	ReasonDeadlineTooShort                   // neither an upstream nor a peer could answer before the deadline
	ReasonWithdrawn                          // the caller disconnected or its key was withdrawn while the request waited
	ReasonNoGrant                            // no valid room grant covers the relayed request
	ReasonShuttingDown                       // the dispatcher accepts no new requests
)

// String returns the reason in words, as shown to callers.
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

// RefusedError reports that a request was refused before any byte of it was sent.
type RefusedError struct {
	Reason     Reason
	Service    string
	RetryAfter time.Duration // when a retry may succeed; zero: unknown
	Err        error         // cause, such as the cause of the context's cancellation; may be nil
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
