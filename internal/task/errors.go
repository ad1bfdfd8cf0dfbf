package task

import (
	"fmt"
	"time"
)

// PanicError is a duty that panicked.
type PanicError struct {
	Duty  string
	Value string
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("duty %s panicked: %s", e.Duty, e.Value) }

// EndedError is a duty that returned before its group was stopped.
type EndedError struct {
	Duty string
	Err  error // nil if the duty returned no error
}

// Error implements error.
func (e *EndedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("duty %s ended early", e.Duty)
	}
	return fmt.Sprintf("duty %s ended early: %v", e.Duty, e.Err)
}

// Unwrap returns the error of the duty.
func (e *EndedError) Unwrap() error { return e.Err }

// StalledError is a duty that has not reported progress for too long.
type StalledError struct {
	Duty   string
	Silent time.Duration
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("duty %s has not answered for %s", e.Duty, e.Silent)
}

// ClosedError reports use of a ring that was closed.
type ClosedError struct{ Ring string }

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("ring %s is closed", e.Ring) }
