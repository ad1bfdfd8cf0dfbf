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
	// SetPeerCounts replaces the counts last reported by a peer, which are valid for the
	// given time.
	SetPeerCounts(peer netip.AddrPort, counts []Count, validFor time.Duration)
}

const (
	// reportInterval is the shortest time between two reports. It is short compared with the
	// time in which an upstream's queue builds up.
	reportInterval = 100 * time.Millisecond
	// maxReportsPerSecond limits the reports that a host sends, and thereby those that it
	// receives.
	maxReportsPerSecond = 160
	// minValidity is the shortest time for which a report is valid.
	minValidity = 500 * time.Millisecond
	// validIntervals is the number of intervals for which a report is valid at least.
	validIntervals = 2.5
	// maxCounts limits a report so that it fits in one packet.
	maxCounts = 150
)

// interval returns the time between two reports to the given number of peers, so that a host
// sends no more than maxReportsPerSecond.
func interval(peers int) time.Duration {
	return max(reportInterval, time.Duration(peers)*time.Second/maxReportsPerSecond)
}

// validity returns how long a report of one of the given number of peers is valid. It
// outlasts the loss of one packet.
func validity(peers int) time.Duration {
	return max(minValidity, time.Duration(validIntervals*float64(interval(peers))))
}

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
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
			timer.Reset(interval(e.report()))
		}
	}
	_ = e.socket.Close() // ends Receive
	wait.Wait()
}

// report sends this host's counts to its peers and returns the number of peers. If there are
// too many counts, it sends the largest ones.
func (e *Exchange) report() int {
	e.mu.Lock()
	peers := e.peers
	e.mu.Unlock()
	if len(peers) == 0 {
		return 0
	}
	counts := e.pool.Counts()
	if len(counts) > maxCounts {
		slices.SortFunc(counts, func(a, b Count) int { return int(b.Requests) - int(a.Requests) })
		counts = counts[:maxCounts]
	}
	e.socket.Send(counts, peers...)
	return len(peers)
}

// receive passes the counts of a peer to the pool and ignores other senders.
func (e *Exchange) receive(from netip.AddrPort, counts []Count) {
	e.mu.Lock()
	peers := e.peers
	e.mu.Unlock()
	if slices.Contains(peers, from) {
		e.pool.SetPeerCounts(from, counts, validity(len(peers)))
	}
}
