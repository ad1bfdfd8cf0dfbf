package kvstore

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies failures of the store.
type ErrorKind uint8

// Kinds of store failure.
const (
	KindUnavailable    ErrorKind = iota + 1 // the call was not sent or was refused without effect
	KindUnknownOutcome                      // the answer was lost; the call may have taken effect
	KindConflict                            // the key does not have the expected revision
	KindLeaseExpired                        // the lease has ended
	KindInvalid                             // the store rejected the arguments
	KindCompacted                           // the history after the given revision is no longer kept
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
	default:
		return "invalid"
	}
}

// Error is a failed call to the store.
type Error struct {
	Kind ErrorKind
	Op   string // name of the Store method, lower case
	Key  string
	Err  error // underlying failure, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store %s %q: %s", e.Op, e.Key, e.Kind)
	}
	return fmt.Sprintf("store %s %q: %s: %v", e.Op, e.Key, e.Kind, e.Err)
}

// Unwrap returns the underlying failure.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is a store failure of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == kind
}
