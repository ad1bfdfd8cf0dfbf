package task

import (
	"fmt"
	"time"
)

// PanicError reports a task that panicked.
type PanicError struct {
	Task  string
	Value string
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("task %s panicked: %s", e.Task, e.Value) }

// EndedError reports a task that returned before its group was stopped.
type EndedError struct {
	Task string
	Err  error // nil if the task returned no error
}

// Error implements error.
func (e *EndedError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("task %s ended early", e.Task)
	}
	return fmt.Sprintf("task %s ended early: %v", e.Task, e.Err)
}

// Unwrap returns the error of the task.
func (e *EndedError) Unwrap() error { return e.Err }

// StalledError reports a task that has not called its ProgressFunc within the stall timeout.
type StalledError struct {
	Task   string
	Silent time.Duration // time since the task last reported progress
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("task %s has reported no progress for %s", e.Task, e.Silent)
}

// ClosedError reports the use of a closed ring.
type ClosedError struct{ Ring string }

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("ring %s is closed", e.Ring) }
