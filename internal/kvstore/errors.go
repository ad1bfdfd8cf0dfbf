package kvstore

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies failed calls to the store.
type ErrorKind uint8

// Kinds of failed calls.
const (
	KindUnavailable    ErrorKind = iota + 1 // the call had no effect: it was not sent, or the store did not perform it
	KindUnknownOutcome                      // no usable response arrived; the call may have taken effect
	KindConflict                            // the key does not have the expected revision
	KindLeaseExpired                        // the lease has ended
	KindInvalid                             // the store rejected the arguments
	KindCompacted                           // the store no longer keeps the changes after the given revision
	KindEraEnded                            // the arguments or the response are of an era of the store that has ended; reads only, or the call was not sent
)

// String returns the lower-case name of the kind.
func (k ErrorKind) String() string {
	switch k {
	case KindUnavailable:
		return "unavailable"
	case KindUnknownOutcome:
		return "unknown outcome"
	case KindConflict:
		return "conflict"
	case KindLeaseExpired:
		return "lease expired"
	case KindCompacted:
		return "compacted"
	case KindEraEnded:
		return "era ended"
	default:
		return "invalid"
	}
}

// Error is a failed call to the store.
type Error struct {
	Kind ErrorKind
	Op   string // name of the Store method in lower case, words joined by hyphens
	Key  string
	Err  error // underlying error; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store %s %q: %s", e.Op, e.Key, e.Kind)
	}
	return fmt.Sprintf("store %s %q: %s: %v", e.Op, e.Key, e.Kind, e.Err)
}

// Unwrap returns the underlying error, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is or wraps an *Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == kind
}
