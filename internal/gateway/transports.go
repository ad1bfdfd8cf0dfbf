package gateway

import (
	"sync"
	"time"

	"peridotrail/internal/catalog"
	"peridotrail/internal/entry/forward"
)

const (
	// upstreamDialTimeout covers several round trips between the farthest regions.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamIdleTimeout is shorter than upstreams keep idle connections.
	upstreamIdleTimeout = 4 * time.Second
	// upstreamSilence is how long an upstream may acknowledge nothing.
	upstreamSilence = 3 * time.Second
)

// transports holds one set of connections for each upstream and incarnation. It
// is safe for concurrent use.
type transports struct {
	bound func(service string) int

	mu  sync.Mutex // guards all
	all map[transportKey]*forward.Transport
}

type transportKey struct {
	id, address string
	incarnation int64
}

func newTransports(bound func(string) int) *transports {
	return &transports{bound: bound, all: map[transportKey]*forward.Transport{}}
}

// to returns the connections to an upstream.
func (t *transports) to(upstream catalog.Upstream) *forward.Transport {
	key := transportKey{id: upstream.ID, address: upstream.Address, incarnation: upstream.Incarnation}
	t.mu.Lock()
	defer t.mu.Unlock()
	transport := t.all[key]
	if transport == nil {
		service := upstream.Service
		transport = forward.NewTransportWith(forward.Options{
			Limit:           func() int { return t.bound(service) },
			DialTimeout:     upstreamDialTimeout,
			IdleTimeout:     upstreamIdleTimeout,
			DeadPeerTimeout: upstreamSilence,
		})
		t.all[key] = transport
	}
	return transport
}

// retain closes the idle connections to upstreams that are gone and forgets them.
func (t *transports) retain(upstreams []catalog.Upstream) {
	present := make(map[transportKey]bool, len(upstreams))
	for _, u := range upstreams {
		present[transportKey{id: u.ID, address: u.Address, incarnation: u.Incarnation}] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, transport := range t.all {
		if !present[key] {
			transport.CloseIdleConnections()
			delete(t.all, key)
		}
	}
}
