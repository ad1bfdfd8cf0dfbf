package forward

import (
	"fmt"

	"peridotrail/internal/problem"
)

// ConnectionLimitError reports that a new connection to an upstream would
// exceed this host's share of its connections. Nothing was sent.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("upstream %s: all %d connections of this host are open", e.Address, e.Limit)
}

// Phase says how far a failed request came.
type Phase uint8

// Phases of a request.
const (
	PhaseConnect  Phase = iota + 1 // no connection
	PhaseSend                      // connected, the response has not begun
	PhaseResponse                  // the response has begun
)

// Error is a request that failed at its target.
type Error struct {
	Target   string
	Phase    Phase
	Executed problem.Executed // no: no byte of the request can have left this host
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: executed %s: %v", e.Target, e.Executed, e.Err)
}

// Unwrap returns the underlying failure.
func (e *Error) Unwrap() error { return e.Err }

// FramingError reports a response whose end can't be told from a cut.
type FramingError struct{ Status int }

// Error implements error.
func (e *FramingError) Error() string {
	return fmt.Sprintf("response with status %d has neither a length nor chunks", e.Status)
}

// CrossedError reports a response that names another request.
type CrossedError struct{ Want, Got string }

// Error implements error.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("response to request %q arrived for request %q", e.Got, e.Want)
}

// PayloadClosedError reports a read of a request body after its attempt ended.
type PayloadClosedError struct{}

// Error implements error.
func (*PayloadClosedError) Error() string { return "request body is closed" }
