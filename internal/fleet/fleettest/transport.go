package fleettest

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
)

// Process is a QUIC transport on a loopback port.
type Process struct {
	*fleet.Transport
	stop func()
}

// Addr returns the address of the process for its peers.
func (p *Process) Addr() netip.AddrPort { return p.Self().Fleet }

// Stop closes the transport and waits until Run has returned.
func (p *Process) Stop() { p.stop() }

// Start runs a transport until the test ends. If options.TLS is nil, authority issues
// a certificate for options.Self; if options.Listen is not set, a free loopback port
// is used. The configure functions are called before the transport runs, to register
// handlers.
func Start(t testing.TB, authority *keys.Authority, options fleet.Options, configure ...func(*fleet.Transport)) *Process {
	t.Helper()
	if options.TLS == nil {
		options.TLS = Source(t, authority, options.Self)
	}
	if !options.Listen.IsValid() {
		options.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	transport, err := fleet.New(options)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range configure {
		f(transport)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = transport.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return &Process{Transport: transport, stop: stop}
}

// Authority creates a certificate authority.
func Authority(t testing.TB) *keys.Authority {
	t.Helper()
	authority, err := keys.NewEphemeralAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// Source issues a certificate for the identity and returns it as a source that
// trusts only authority.
func Source(t testing.TB, authority *keys.Authority, self host.Identity) *keys.ReplaceableSource {
	t.Helper()
	material, err := authority.Material(keys.Name{Host: self.ID, FailureDomain: self.FailureDomain})
	if err != nil {
		t.Fatal(err)
	}
	return keys.NewReplaceableSource(material)
}
