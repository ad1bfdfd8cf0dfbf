package idempotency

import (
	"context"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// fault says what happens to one message.
type fault uint8

const (
	faultNone     fault = iota
	faultLost           // the message is lost
	faultNoReply        // the reply is lost
	faultDoubled        // the message arrives twice at once
	faultRepeated       // the message arrives again later
)

// network delivers messages between services with faults.
type network struct {
	services map[netip.AddrPort]*Service
	fault    func(to netip.AddrPort) fault
	late     []func() // messages that will arrive again
}

func (n *network) Call(_ context.Context, to netip.AddrPort, kind fleet.Kind, request, reply any) error {
	service := n.services[to]
	f := faultNone
	if n.fault != nil {
		f = n.fault(to)
	}
	if service == nil || f == faultLost {
		return &fleet.Error{Kind: fleet.KindTimeout, Peer: to, Message: kind}
	}
	answer := handle(service, kind, request)
	switch f {
	case faultDoubled:
		answer = handle(service, kind, request)
	case faultRepeated:
		n.late = append(n.late, func() { handle(service, kind, request) })
	case faultNoReply:
		return &fleet.Error{Kind: fleet.KindUnknownOutcome, Peer: to, Message: kind}
	}
	return copyMessage(answer, reply)
}

func handle(s *Service, kind fleet.Kind, request any) any {
	if kind == KindBegin {
		var b Begin
		if err := copyMessage(request, &b); err != nil {
			panic(err)
		}
		return s.Begin(&b)
	}
	var f Finish
	if err := copyMessage(request, &f); err != nil {
		panic(err)
	}
	return s.Finish(&f)
}

func copyMessage(from, to any) error {
	data, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, to)
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

func identityOf(i int, incarnation host.Incarnation, domain string) host.Identity {
	return host.Identity{ID: host.ID([]string{"a", "b", "c", "d", "e", "f"}[i]), Incarnation: incarnation, FailureDomain: domain, Fleet: addressOf(i)}
}
