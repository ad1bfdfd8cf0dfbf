package gateway

import (
	"sync"
	"time"

	"peridotrail/internal/catalog"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/http1"
)

const (
	// upstreamDialTimeout covers several round trips between the farthest regions.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamIdleTimeout is shorter than upstreams keep idle connections open, so
	// that the host closes them first.
	upstreamIdleTimeout = 4 * time.Second
	// upstreamSilenceTimeout is how long an upstream may acknowledge no data before
	// its connection is closed.
	upstreamSilenceTimeout = 3 * time.Second
)

// transports holds one connection pool for each incarnation of an upstream. It is
// safe for concurrent use.
type transports struct {
	maxConnections func(service string) int // to each upstream of a service
	dial           http1.DialFunc

	mu    sync.Mutex // guards byKey
	byKey map[transportKey]*forward.Transport
}

type transportKey struct {
	id, address string
	incarnation int64
}

func newTransports(maxConnections func(string) int, dial http1.DialFunc) *transports {
	return &transports{maxConnections: maxConnections, dial: dial, byKey: map[transportKey]*forward.Transport{}}
}

// forUpstream returns the connection pool of an upstream.
func (t *transports) forUpstream(upstream catalog.Upstream) *forward.Transport {
	key := transportKey{id: upstream.ID, address: upstream.Address, incarnation: upstream.Incarnation}
	t.mu.Lock()
	defer t.mu.Unlock()
	transport := t.byKey[key]
	if transport == nil {
		service := upstream.Service
		transport = forward.NewTransportWith(forward.Options{
			Limit:       func() int { return t.maxConnections(service) },
			IdleTimeout: upstreamIdleTimeout,
			Dial:        t.dial,
		})
		t.byKey[key] = transport
	}
	return transport
}

// retain removes the connection pools of all other upstreams and closes their idle
// connections.
func (t *transports) retain(upstreams []catalog.Upstream) {
	present := make(map[transportKey]bool, len(upstreams))
	for _, u := range upstreams {
		present[transportKey{id: u.ID, address: u.Address, incarnation: u.Incarnation}] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, transport := range t.byKey {
		if !present[key] {
			transport.CloseIdleConnections()
			delete(t.byKey, key)
		}
	}
}

// closeIdle closes the connections to all upstreams that carry no request.
func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byKey {
		transport.CloseIdleConnections()
	}
}
