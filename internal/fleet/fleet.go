// Package fleet carries typed messages and byte streams between hosts over QUIC
// with mutual TLS.
package fleet

import (
	"context"
	"net/netip"

	"peridotrail/internal/host"
)

// Kind names a type of message or stream. It selects the handler at the receiver.
type Kind string

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends request to the host at addr and decodes the reply into reply,
	// which may be nil. It returns a *Error. The peer may have handled a message
	// whose call failed, unless Error.NotHandled reports true.
	Call(ctx context.Context, addr netip.AddrPort, kind Kind, request, reply any) error
}

// Decoder decodes the body of a received message into a typed value.
type Decoder func(into any) error

// Handler handles one message from a host and returns the reply. It may run
// concurrently with itself. An error reaches the caller as KindInvalid if decode
// failed, otherwise as KindHandler with the code of a CodedError.
type Handler func(ctx context.Context, from host.Identity, decode Decoder) (any, error)

// Registry registers message handlers. All handlers must be registered before the
// transport runs.
type Registry interface {
	Handle(kind Kind, handler Handler)
}
