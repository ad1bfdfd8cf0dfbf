// Package relay carries one HTTP request to another host and its answer back,
// over one stream of package fleet.
//
// The request travels as one typed frame followed by the raw bytes of its body;
// so does the answer. A direction that is cut short reaches the reader as an
// error, never as a complete body. Nothing is sent twice. Trailers are not
// carried.
package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Kind is the kind of the streams that carry requests.
const Kind fleet.Kind = "relay.request"

const (
	maxHeaderFrame = 256 << 10 // bytes of the frame before a body
	bufferSize     = 16 << 10  // bytes collected before a write to the stream
	headerTimeout  = 10 * time.Second
	deadlineGrace  = time.Second // for an answer that tells of a passed deadline
	unknownLength  = -1
)

// Metadata is what the sending host has decided about a request.
type Metadata struct {
	Service    string `cbor:"1,keyasint,omitempty"`
	Account    string `cbor:"2,keyasint,omitempty"` // empty on open routes
	Priority   string `cbor:"3,keyasint,omitempty"`
	Idempotent bool   `cbor:"4,keyasint,omitempty"`
	RoomGrant  string `cbor:"5,keyasint,omitempty"` // grant under which the receiver admits the request
	KeyToken   string `cbor:"6,keyasint,omitempty"` // idempotency key
	Hops       int    `cbor:"7,keyasint,omitempty"` // relays that the request has passed before
}

// requestHead precedes the body of a request.
type requestHead struct {
	Metadata      Metadata    `cbor:"1,keyasint"`
	Method        string      `cbor:"2,keyasint"`
	URI           string      `cbor:"3,keyasint"` // path and query as in the request line
	Host          string      `cbor:"4,keyasint,omitempty"`
	Header        http.Header `cbor:"5,keyasint,omitempty"`
	ContentLength int64       `cbor:"6,keyasint"`           // bytes; -1 if not known
	DeadlineMs    int64       `cbor:"7,keyasint,omitempty"` // milliseconds left; zero: none
	Client        string      `cbor:"8,keyasint,omitempty"` // address of the client
}

// answerHead precedes the body of an answer.
type answerHead struct {
	Status        int         `cbor:"1,keyasint"`
	Header        http.Header `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint"` // bytes; -1 if not known
}

// Incoming tells a handler where a relayed request comes from.
type Incoming struct {
	From     host.Identity
	Metadata Metadata
}

type incomingKey struct{}

// FromContext returns the origin of a relayed request. It reports false for a
// request that came directly from a client.
func FromContext(ctx context.Context) (Incoming, bool) {
	incoming, ok := ctx.Value(incomingKey{}).(Incoming)
	return incoming, ok
}

// Error is a request that got no answer, or one that was cut short.
type Error struct {
	Peer    netip.AddrPort
	NotSent bool // certain that no byte of the request left this host
	NotRun  bool // certain that no handler of the peer saw the request
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	state := "may have run"
	switch {
	case e.NotSent:
		state = "not sent"
	case e.NotRun:
		state = "not run"
	}
	return fmt.Sprintf("relay to %s: %s: %v", e.Peer, state, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// LengthError is a body whose size differs from the announced one.
type LengthError struct {
	Announced int64 // bytes
	Received  int64 // bytes
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("body of %d bytes was announced with %d", e.Received, e.Announced)
}

// refused reports whether err says that the peer ran no handler.
func refused(err error) bool {
	var cancelled *fleet.CancelledError
	return errors.As(err, &cancelled) && cancelled.Code == fleet.CancelRefused
}

// noLongerWanted reports whether the peer stopped reading without a failure.
func noLongerWanted(err error) bool {
	var cancelled *fleet.CancelledError
	return errors.As(err, &cancelled) && cancelled.Code == fleet.CancelNone
}
