package daemon

import (
	"fmt"
	"net/netip"
)

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Listener string // entry, fleet or admin
	Address  netip.AddrPort
	Err      error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s at %s: %v", e.Listener, e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// GraceError reports a graceful shutdown that took longer than its grace
// period. Requests that were still active were aborted.
type GraceError struct {
	Active int // number of requests that were still active
	Err    error
}

// Error implements error.
func (e *GraceError) Error() string {
	return fmt.Sprintf("graceful shutdown ended with %d active requests: %v", e.Active, e.Err)
}

// Unwrap returns the underlying error.
func (e *GraceError) Unwrap() error { return e.Err }
