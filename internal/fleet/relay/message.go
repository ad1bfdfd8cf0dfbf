// Package relay sends an HTTP request to another host and returns the response,
// over one stream of package fleet.
//
// The request is sent as one typed frame followed by the raw bytes of its body; so
// is the response. The reader of a truncated body gets an error, never io.EOF.
// Nothing is sent twice. Trailers are not relayed.
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

// StreamKind is the fleet.Kind of the streams that carry relayed requests.
const StreamKind fleet.Kind = "relay.request"

const (
	maxHeadFrameSize     = 256 << 10 // bytes of the frame that precedes a body
	writeBufferSize      = 16 << 10  // bytes buffered before a write to the stream
	headReadTimeout      = 10 * time.Second
	deadlineReportMargin = time.Second // added to the deadline so that its expiry can still be reported
	unknownLength        = -1
)

// Metadata is what the sending host has determined about a request.
type Metadata struct {
	Service    string `cbor:"1,keyasint,omitempty"`
	Account    string `cbor:"2,keyasint,omitempty"` // empty on open routes
	Priority   string `cbor:"3,keyasint,omitempty"`
	Idempotent bool   `cbor:"4,keyasint,omitempty"`
	RoomGrant  string `cbor:"5,keyasint,omitempty"` // room grant under which the receiver admits the request
	KeyToken   string `cbor:"6,keyasint,omitempty"` // idempotency key
	Hops       int    `cbor:"7,keyasint,omitempty"` // number of earlier relays of the request

	Attempts  int      `cbor:"8,keyasint,omitempty"`  // upstreams to which the sending host may have sent the request
	Tried     []string `cbor:"9,keyasint,omitempty"`  // IDs of the upstreams that the sending host tried
	Counted   bool     `cbor:"10,keyasint,omitempty"` // the sending host counted the request for the retry budget
	ElapsedMs int64    `cbor:"11,keyasint,omitempty"` // milliseconds since the request arrived from the caller
	// Homes are the regions that may serve the request and hold its data under the policy of the
	// sending host; empty: all. Hosts of earlier builds neither send nor read it.
	Homes []string `cbor:"12,keyasint,omitempty"`
}

// requestHead precedes the body of a request.
type requestHead struct {
	Metadata      Metadata    `cbor:"1,keyasint"`
	Method        string      `cbor:"2,keyasint"`
	URI           string      `cbor:"3,keyasint"` // path and query as in the request line
	Host          string      `cbor:"4,keyasint,omitempty"`
	Header        http.Header `cbor:"5,keyasint,omitempty"`
	ContentLength int64       `cbor:"6,keyasint"`           // bytes; unknownLength if not announced
	DeadlineMs    int64       `cbor:"7,keyasint,omitempty"` // milliseconds left; zero if there is no deadline
	Client        string      `cbor:"8,keyasint,omitempty"` // address of the client
}

// responseHead precedes the body of a response.
type responseHead struct {
	Status        int         `cbor:"1,keyasint"`
	Header        http.Header `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint"` // bytes; unknownLength if not announced
}

// Origin is the host that sent a relayed request, and the metadata it sent.
type Origin struct {
	From     host.Identity
	Metadata Metadata
}

type originKey struct{}

// FromContext returns the origin of a relayed request from the context of its
// handler. It reports false for a request that was not relayed.
func FromContext(ctx context.Context) (Origin, bool) {
	origin, ok := ctx.Value(originKey{}).(Origin)
	return origin, ok
}

// Error reports a relayed request without a complete response.
type Error struct {
	Peer    netip.AddrPort
	NotSent bool // no byte of the request was sent; false if that is not certain
	NotRun  bool // no handler of the peer ran; false if that is not certain
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

// LengthError reports a body whose size differs from the announced length.
type LengthError struct {
	Announced int64 // bytes
	Received  int64 // bytes
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("body of %d bytes was announced with %d", e.Received, e.Announced)
}

// isRefused reports whether err is a cancellation with CancelRefused, with which the
// peer reports that no handler ran.
func isRefused(err error) bool {
	var cancelled *fleet.CancelledError
	return errors.As(err, &cancelled) && cancelled.Code == fleet.CancelRefused
}

// peerStoppedReading reports whether err is a cancellation with CancelNoError, with
// which the peer reports that it needs no more of the body.
func peerStoppedReading(err error) bool {
	var cancelled *fleet.CancelledError
	return errors.As(err, &cancelled) && cancelled.Code == fleet.CancelNoError
}
