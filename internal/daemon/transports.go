package daemon

import (
	"net/http"
	"sync"

	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/host"
)

// transports creates the transports with which the dispatcher sends requests, and
// counts open connections to upstreams. It is safe for concurrent use.
type transports struct {
	relay *relay.Client

	mu        sync.Mutex // guards upstreams
	upstreams map[string]*forward.Transport
}

func newTransports(streamer fleet.Streamer) *transports {
	return &transports{relay: &relay.Client{Streams: streamer}, upstreams: map[string]*forward.Transport{}}
}

// Upstream implements upstream.TransportFactory.
func (t *transports) Upstream(target configuration.Upstream, limit func() int) http.RoundTripper {
	transport := forward.NewTransport(limit)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreams[target.Name] = transport
	return transport
}

// Peer implements upstream.TransportFactory.
func (t *transports) Peer(peer host.Identity) http.RoundTripper {
	return t.relay.Transport(peer.Fleet, relay.Metadata{})
}

// openConnections returns the number of open connections to an upstream.
func (t *transports) openConnections(upstream string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if transport := t.upstreams[upstream]; transport != nil {
		return transport.OpenConnections()
	}
	return 0
}
