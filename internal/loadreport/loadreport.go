// Package loadreport exchanges the number of requests that each host of a failure
// domain has at each upstream, in UDP datagrams. Every datagram replaces the one
// before, so a lost one is not sent again.
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

// Count is the number of requests that one host has at an upstream. It is encoded
// as a CBOR array of the fields in this order.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's ID
	Requests uint16
}

// Pool counts the requests of this host and stores the counts of other hosts. Its
// methods are called concurrently.
type Pool interface {
	// Counts returns the number of requests of this host at each upstream at which it
	// has any. The caller may reorder the slice.
	Counts() []Count
	// SetPeerCounts replaces the counts last reported by a peer.
	SetPeerCounts(peer netip.AddrPort, counts []Count)
}

const (
	// reportInterval is the time between two reports. It is short compared with the
	// time in which an upstream's queue builds up.
	reportInterval = 100 * time.Millisecond
	// maxCounts limits a report so that it fits in one packet.
	maxCounts = 150
)

// Exchange sends this host's counts to its peers and receives theirs.
type Exchange struct {
	socket *datagram.Socket
	pool   Pool

	mu    sync.Mutex // guards peers
	peers []netip.AddrPort
}

// Listen opens the UDP socket of an exchange on an IP:port.
func Listen(address string, pool Pool, logger log.Logger) (*Exchange, error) {
	socket, err := datagram.Listen(address, logger)
	if err != nil {
		return nil, err
	}
	return &Exchange{socket: socket, pool: pool}, nil
}

// SetPeers replaces the hosts that reports are sent to and accepted from. The caller
// must not modify peers afterwards. SetPeers is safe for concurrent use.
func (e *Exchange) SetPeers(peers []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Run sends and receives reports until ctx ends, then closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { datagram.Receive(e.socket, e.receive) })
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.report()
		}
	}
	_ = e.socket.Close() // ends Receive
	wait.Wait()
}

// report sends this host's counts to its peers. If there are too many, it sends the
// largest ones.
func (e *Exchange) report() {
	e.mu.Lock()
	peers := e.peers
	e.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	counts := e.pool.Counts()
	if len(counts) > maxCounts {
		slices.SortFunc(counts, func(a, b Count) int { return int(b.Requests) - int(a.Requests) })
		counts = counts[:maxCounts]
	}
	e.socket.Send(counts, peers...)
}

// receive passes the counts of a peer to the pool and ignores other senders.
func (e *Exchange) receive(from netip.AddrPort, counts []Count) {
	if e.isPeer(from) {
		e.pool.SetPeerCounts(from, counts)
	}
}

func (e *Exchange) isPeer(peer netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.peers, peer)
}
