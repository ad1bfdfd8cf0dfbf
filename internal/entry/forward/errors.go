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

// Phase is the phase of a request in which it failed.
type Phase uint8

// Phases of a request.
const (
	PhaseConnect  Phase = iota + 1 // no connection
	PhaseSend                      // connected, the response has not begun
	PhaseResponse                  // the response has begun
)

// Error reports that a request to a target failed.
type Error struct {
	Target   string
	Phase    Phase
	Executed problem.Executed // ExecutedNo: no byte of the request was sent
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: executed %s: %v", e.Target, e.Executed, e.Err)
}

// Unwrap returns the underlying failure.
func (e *Error) Unwrap() error { return e.Err }

// FramingError reports a response whose truncation could not be detected.
type FramingError struct{ Status int }

// Error implements error.
func (e *FramingError) Error() string {
	return fmt.Sprintf("response with status %d has neither a length nor chunks", e.Status)
}

// ResponseMismatchError reports a response that carries the ID of another request.
type ResponseMismatchError struct{ Want, Got string }

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response to request %q arrived for request %q", e.Got, e.Want)
}

// PayloadClosedError reports a read of a request body after its attempt ended.
type PayloadClosedError struct{}

// Error implements error.
func (*PayloadClosedError) Error() string { return "request body is closed" }

// ResentError reports that http.Transport was about to send a request on a second connection
// although bytes of it may have been sent on another. The second connection got none.
type ResentError struct{}

// Error implements error.
func (*ResentError) Error() string {
	return "the request was not sent on a second connection: it may have been sent on another"
}
