// Package loadreport tells the hosts of a failure domain how many requests each
// of them has at each upstream, in datagrams over UDP. A lost one is made good by
// the next.
package loadreport

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/datagram"
)

// Count is the number of requests that one host has at an upstream.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of its ID
	Requests uint16
}

// Pool counts requests and takes the counts of other hosts.
type Pool interface {
	// Counts returns the upstreams at which this host has requests.
	Counts() []Count
	// Take replaces what another host has told before.
	Take(host netip.AddrPort, counts []Count)
}

const (
	// interval between two messages to each host: short against the time in which
	// an upstream's queue builds up.
	interval = 100 * time.Millisecond
	// mostCounts keeps a message within one packet.
	mostCounts = 150
)

// Exchange sends and receives counts.
type Exchange struct {
	socket *datagram.Socket
	pool   Pool

	mu    sync.Mutex // guards peers
	peers []netip.AddrPort
}

// Listen opens the exchange on an IP:port.
func Listen(address string, pool Pool, logger log.Logger) (*Exchange, error) {
	socket, err := datagram.Listen(address, logger)
	if err != nil {
		return nil, err
	}
	return &Exchange{socket: socket, pool: pool}, nil
}

// SetPeers replaces the hosts that are told.
func (e *Exchange) SetPeers(peers []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Run sends and receives until ctx ends, then closes the exchange.
func (e *Exchange) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { datagram.Receive(e.socket, e.take) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.tell()
		}
	}
	_ = e.socket.Close() // ends Receive
	wait.Wait()
}

// tell sends this host's counts to its peers.
func (e *Exchange) tell() {
	e.mu.Lock()
	peers := e.peers
	e.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	counts := e.pool.Counts()
	if len(counts) > mostCounts {
		slices.SortFunc(counts, func(a, b Count) int { return int(b.Requests) - int(a.Requests) })
		counts = counts[:mostCounts]
	}
	e.socket.Send(counts, peers...)
}

// take hands on the counts of a peer. Others are not listened to.
func (e *Exchange) take(from netip.AddrPort, counts []Count) {
	if e.known(from) {
		e.pool.Take(from, counts)
	}
}

func (e *Exchange) known(peer netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.peers, peer)
}
