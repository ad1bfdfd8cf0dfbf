package daemon

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/netutil"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// listeners are the TCP listeners of a host.
type listeners struct {
	entry net.Listener
	admin net.Listener
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.entry, l.admin} {
		if listener != nil {
			_ = listener.Close() // the host is failing or stopping already
		}
	}
}

// listen opens all listeners and sets the identity, whose addresses contain the ports
// that the system chose for ports of zero.
func (h *Host) listen() error {
	s := h.options.Settings
	var err error
	if h.listeners.entry, err = listenTCP("entry", s.Entry.Listen); err != nil {
		return err
	}
	h.listeners.entry = netutil.LimitListener(h.listeners.entry, s.Limits.MaxConnections)
	if h.listeners.admin, err = listenTCP("admin", s.Admin.Listen); err != nil {
		return err
	}
	self := host.Identity{
		ID:            host.ID(s.Host.ID),
		Incarnation:   host.NewIncarnation(time.Now()),
		FailureDomain: s.Host.FailureDomain,
		Region:        s.Host.Region,
		Fleet:         s.FleetAddress(),
		Entry:         withPort(s.EntryAddress(), h.listeners.entry),
	}
	h.transport, err = fleet.New(fleet.Options{
		Self:    self,
		Listen:  s.Fleet.Listen,
		TLS:     h.options.Keys,
		Filter:  h.options.Filter,
		Logger:  h.logger,
		Metrics: h.options.Metrics,
	})
	if err != nil {
		return &ListenError{Listener: "fleet", Address: s.Fleet.Listen, Err: err}
	}
	h.self = h.transport.Self()
	return nil
}

func listenTCP(name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Listener: name, Address: address, Err: err}
	}
	return listener, nil
}

// withPort replaces a port of zero by the port that listener is bound to.
func withPort(address netip.AddrPort, listener net.Listener) netip.AddrPort {
	if address.Port() != 0 {
		return address
	}
	bound := listener.Addr().(*net.TCPAddr)
	return netip.AddrPortFrom(address.Addr(), uint16(bound.Port))
}
