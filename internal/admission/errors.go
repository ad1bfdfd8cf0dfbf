package admission

import (
	"fmt"
	"time"
)

// RateExceededError is returned for a request for which this host could not get a
// token of its client account's rate in time.
type RateExceededError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateExceededError) Error() string {
	return fmt.Sprintf("rate of client account %q exceeded, retry after %v", e.Account, e.RetryAfter)
}

// After returns the time after which the caller may try again.
func (e *RateExceededError) After() time.Duration { return e.RetryAfter }

// NotReadyError is returned while this host holds no valid shares: it has not
// reached a domain leader since it started, or not within the lease of its shares.
type NotReadyError struct {
	Account string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("no share of client account %q: the domain leader was not reached", e.Account)
}

// UnknownAccountError is returned for a request of an account that is not
// configured.
type UnknownAccountError struct {
	Account string
}

// Error implements error.
func (e *UnknownAccountError) Error() string {
	return fmt.Sprintf("client account %q is not configured", e.Account)
}
