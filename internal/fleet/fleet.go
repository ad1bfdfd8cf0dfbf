// Package fleet carries typed messages and relayed requests between hosts.
package fleet

import (
	"context"
	"net/netip"

	"peridotrail/internal/host"
)

// Kind names one type of message. It selects the handler at the receiver.
type Kind string

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends request to the host at addr and decodes its answer into reply.
	// It returns a *Error. A call that failed may have been handled.
	Call(ctx context.Context, addr netip.AddrPort, kind Kind, request, reply any) error
}

// Decoder decodes the body of a received message into a typed value.
type Decoder func(into any) error

// Handler answers one message. The returned value is the reply.
type Handler func(ctx context.Context, from host.Identity, decode Decoder) (any, error)

// Registry accepts message handlers. Handlers are registered before the
// transport starts to serve.
type Registry interface {
	Handle(kind Kind, handler Handler)
}
