package admission

import (
	"fmt"
	"time"
)

// RateExceededError refuses a request because its client account has no token
// left that this host can get in time.
type RateExceededError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateExceededError) Error() string {
	return fmt.Sprintf("rate of client account %q exceeded, retry after %v", e.Account, e.RetryAfter)
}

// After returns when the caller may try again.
func (e *RateExceededError) After() time.Duration { return e.RetryAfter }

// NotReadyError refuses a request because this host holds no shares: it has not
// reached a domain leader since it started, or not for longer than a term.
type NotReadyError struct {
	Account string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("no share of client account %q: the domain leader was not reached", e.Account)
}

// UnknownAccountError refuses a request of an account that is not configured.
type UnknownAccountError struct {
	Account string
}

// Error implements error.
func (e *UnknownAccountError) Error() string {
	return fmt.Sprintf("client account %q is not configured", e.Account)
}
