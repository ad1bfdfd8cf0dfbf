package fleet

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"
)

// ErrorKind classifies the failures of messages and streams.
type ErrorKind uint8

// Kinds of failure.
const (
	KindUnreachable    ErrorKind = iota + 1 // no connection; nothing was sent
	KindTimeout                             // the deadline passed; the message may have been handled
	KindRefused                             // the peer or this host refused the message; it was not handled
	KindUnknownOutcome                      // the connection broke; the message may have been handled
	KindInvalid                             // the message can't be encoded or decoded, or is too large
	KindHandler                             // the handler of the peer returned an error
)

// String returns the lower-case name of the kind.
func (k ErrorKind) String() string {
	switch k {
	case KindUnreachable:
		return "unreachable"
	case KindTimeout:
		return "timeout"
	case KindRefused:
		return "refused"
	case KindUnknownOutcome:
		return "unknown outcome"
	case KindInvalid:
		return "invalid"
	default:
		return "handler"
	}
}

// Error is the failure of a message or of opening a stream.
type Error struct {
	Kind    ErrorKind
	Peer    netip.AddrPort
	Message Kind   // kind of the message or stream
	Code    string // code of the handler's error, empty if it has none
	Detail  string // text of the handler's error, for logs
	Err     error  // local cause; nil if the peer reported the failure
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("message %q to %s: %s", e.Message, e.Peer, e.Kind)
	if e.Code != "" {
		text += " " + e.Code
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the local cause.
func (e *Error) Unwrap() error { return e.Err }

// NotHandled reports whether it is certain that no handler of the peer ran.
func (e *Error) NotHandled() bool {
	return e.Kind == KindUnreachable || e.Kind == KindRefused
}

// CodedError is an error of a handler with a code for the caller, who finds it in
// Error.Code.
type CodedError interface {
	error
	FleetCode() string
}

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == kind
}

// HasCode reports whether err is an *Error of kind KindHandler with the given code.
func HasCode(err error, code string) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == KindHandler && failure.Code == code
}

// kindAfterSend classifies a failure that occurred when bytes may have been sent.
func kindAfterSend(ctx context.Context, err error) ErrorKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return KindTimeout
	}
	return KindUnknownOutcome
}

// FrameTooLargeError reports a frame that exceeds the maximum size.
type FrameTooLargeError struct {
	Size    int // bytes
	Maximum int // bytes
}

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the maximum of %d bytes", e.Size, e.Maximum)
}

// IdentityError reports a peer whose announced identity was not accepted.
type IdentityError struct {
	Announced string
	Expected  string
	Reason    string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("identity %q not accepted: %s (expected %q)", e.Announced, e.Reason, e.Expected)
}

// ClosedError reports that the transport was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "transport is closed" }

// BusyError reports that the number of messages or streams in flight to a peer has
// reached its limit.
type BusyError struct{ Limit int }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d messages or streams to this peer are already under way", e.Limit)
}

// BackoffError reports that the last attempt to connect failed and that the delay
// before the next one has not passed.
type BackoffError struct{ Last error }

// Error implements error.
func (e *BackoffError) Error() string { return "waiting to reconnect: " + e.Last.Error() }

// Unwrap returns the error of the last attempt.
func (e *BackoffError) Unwrap() error { return e.Last }

// PanicError reports that a handler panicked.
type PanicError struct{ Value string }

// Error implements error.
func (e *PanicError) Error() string { return "handler panicked: " + e.Value }
