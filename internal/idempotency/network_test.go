package idempotency

import (
	"context"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// fault is what happens to one message.
type fault uint8

const (
	faultNone             fault = iota
	faultLost                   // the message is lost
	faultNoReply                // the reply is lost
	faultDuplicated             // the message arrives twice in succession
	faultDelayedDuplicate       // the message arrives again later
)

// network is a fake fleet.Caller that delivers messages between services, with
// faults.
type network struct {
	handlers map[netip.AddrPort]handlers
	fault    func(to netip.AddrPort) fault
	delayed  []func() // messages that will arrive again
}

type handlers map[fleet.Kind]fleet.Handler

func (h handlers) Handle(kind fleet.Kind, handler fleet.Handler) { h[kind] = handler }

// serve delivers messages for the address to the service, and replaces an earlier
// service.
func (n *network) serve(at netip.AddrPort, s *Service) {
	h := handlers{}
	s.Register(h)
	n.handlers[at] = h
}

func (n *network) Call(_ context.Context, to netip.AddrPort, kind fleet.Kind, request, reply any) error {
	f := faultNone
	if n.fault != nil {
		f = n.fault(to)
	}
	if n.handlers[to] == nil || f == faultLost {
		return &fleet.Error{Kind: fleet.KindTimeout, Peer: to, Message: kind}
	}
	data, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	replyData := n.handle(to, kind, data)
	switch f {
	case faultDuplicated:
		replyData = n.handle(to, kind, data)
	case faultDelayedDuplicate:
		n.delayed = append(n.delayed, func() { n.handle(to, kind, data) })
	case faultNoReply:
		return &fleet.Error{Kind: fleet.KindUnknownOutcome, Peer: to, Message: kind}
	}
	return copyMessage(replyData, reply)
}

func (n *network) handle(to netip.AddrPort, kind fleet.Kind, data []byte) any {
	decode := func(into any) error { return cbor.Unmarshal(data, into) }
	replyValue, err := n.handlers[to][kind](context.Background(), host.Identity{}, decode)
	if err != nil {
		panic(err)
	}
	return replyValue
}

func copyMessage(from, into any) error {
	data, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, into)
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

func identityOf(i int, incarnation host.Incarnation, domain string) host.Identity {
	return host.Identity{ID: host.ID([]string{"a", "b", "c", "d", "e", "f"}[i]), Incarnation: incarnation, FailureDomain: domain, Fleet: addressOf(i)}
}
