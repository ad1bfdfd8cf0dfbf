// Package loadreport exchanges what hosts know about the load of upstreams, in UDP
// datagrams: the number of requests that each host has at each upstream, and the loads that
// upstreams have reported to it. Hosts of a failure domain send each other both, and hosts of
// the other failure domains of the region the numbers, less often. Every datagram replaces
// the numbers of the one before, so a lost one is not sent again.
package loadreport

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// Sample is a load that an upstream has reported with a response. It is encoded as a CBOR array of
// the fields in this order.
type Sample struct {
	_                struct{} `cbor:",toarray"`
	Upstream         uint32   // hash of the upstream's ID
	Running, Waiting uint16   // requests
	Slots            uint16
	Slowdown         uint16 // percent of the usual time that work takes; zero if not reported
}

// report is one datagram. Hosts of earlier builds send and read a list of counts in its place.
type report struct {
	_       struct{} `cbor:",toarray"`
	Counts  []Count
	Samples []Sample
}

// UnmarshalCBOR implements cbor.Unmarshaler. It also reads a list of counts.
func (r *report) UnmarshalCBOR(data []byte) error {
	type plain report
	if err := cbor.Unmarshal(data, (*plain)(r)); err == nil {
		return nil
	}
	*r = report{}
	return cbor.Unmarshal(data, &r.Counts)
}

// Peer is a host with which reports are exchanged.
type Peer struct {
	Address netip.AddrPort
	Samples bool // it reads samples; hosts of earlier builds don't
	Far     bool // it is in another failure domain, and gets counts only, less often
}

// Pool counts the requests of this host and stores what other hosts report. Its methods are
// called concurrently.
type Pool interface {
	// Counts returns the number of requests of this host at each upstream at which it
	// has any. The caller may reorder the slice.
	Counts() []Count
	// TakeSamples returns the latest load of each upstream that has reported one to this host since the
	// last call. The caller may reorder the slice.
	TakeSamples() []Sample
	// AddPeerSamples records loads that upstreams have reported to a peer.
	AddPeerSamples(samples []Sample)
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
	// farInterval is the shortest time between two reports to other failure domains, and
	// maxFarReportsPerSecond limits these. Traffic between failure domains costs money; in the
	// simulation, four times the interval within a domain gives most of the benefit.
	farInterval            = 400 * time.Millisecond
	maxFarReportsPerSecond = 40
	// minValidity is the shortest time for which a report is valid.
	minValidity = 500 * time.Millisecond
	// validIntervals is the number of intervals for which a report is valid at least.
	validIntervals = 2.5
	// maxCounts and maxSamples limit a report so that it fits in one packet.
	maxCounts  = 100
	maxSamples = 25
)

// interval returns the time between two reports to the given number of peers, so that a host
// sends no more than maxReportsPerSecond.
func interval(peers int) time.Duration {
	return max(reportInterval, time.Duration(peers)*time.Second/maxReportsPerSecond)
}

// intervalOfFar returns the same for peers in other failure domains.
func intervalOfFar(peers int) time.Duration {
	return max(farInterval, time.Duration(peers)*time.Second/maxFarReportsPerSecond)
}

// validity returns how long a report is valid that is sent at an interval. It outlasts the loss
// of one packet.
func validity(interval time.Duration) time.Duration {
	return max(minValidity, time.Duration(validIntervals*float64(interval)))
}

// Exchange sends this host's reports to its peers and receives theirs.
type Exchange struct {
	socket *datagram.Socket
	pool   Pool

	mu    sync.Mutex // guards the fields below
	peers map[netip.AddrPort]Peer
	near  []netip.AddrPort // that read samples
	plain []netip.AddrPort // near ones that don't
	far   []netip.AddrPort
}

// Listen opens the UDP socket of an exchange on an IP:port.
func Listen(address string, pool Pool, logger log.Logger) (*Exchange, error) {
	socket, err := datagram.Listen(address, logger)
	if err != nil {
		return nil, err
	}
	return &Exchange{socket: socket, pool: pool}, nil
}

// SetPeers replaces the hosts that reports are sent to and accepted from. It is safe for
// concurrent use.
func (e *Exchange) SetPeers(peers []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = make(map[netip.AddrPort]Peer, len(peers))
	e.near, e.plain, e.far = nil, nil, nil
	for _, p := range peers {
		e.peers[p.Address] = p
		switch {
		case p.Far:
			e.far = append(e.far, p.Address)
		case p.Samples:
			e.near = append(e.near, p.Address)
		default:
			e.plain = append(e.plain, p.Address)
		}
	}
}

// addresses returns the near peers that read samples, those that don't, and the far ones.
func (e *Exchange) addresses() (near, plain, far []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.near, e.plain, e.far
}

// Run sends and receives reports until ctx ends, then closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { datagram.Receive(e.socket, e.receive) })
	timer, farTimer := time.NewTimer(reportInterval), time.NewTimer(farInterval)
	defer timer.Stop()
	defer farTimer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
			timer.Reset(interval(e.reportNear()))
		case <-farTimer.C:
			farTimer.Reset(intervalOfFar(e.reportFar()))
		}
	}
	_ = e.socket.Close() // ends Receive
	wait.Wait()
}

// reportNear reports to the peers of the failure domain and returns their number.
func (e *Exchange) reportNear() int {
	near, plain, _ := e.addresses()
	if len(near)+len(plain) == 0 {
		return 0
	}
	counts := e.counts()
	if len(plain) > 0 {
		e.socket.Send(counts, plain...)
	}
	if len(near) > 0 {
		samples := e.pool.TakeSamples()
		e.socket.Send(report{Counts: counts, Samples: samples[:min(len(samples), maxSamples)]}, near...)
	}
	return len(near) + len(plain)
}

// reportFar reports to the peers of other failure domains and returns their number.
func (e *Exchange) reportFar() int {
	_, _, far := e.addresses()
	if len(far) > 0 {
		e.socket.Send(report{Counts: e.counts()}, far...)
	}
	return len(far)
}

// counts returns this host's counts, the largest ones if there are too many.
func (e *Exchange) counts() []Count {
	counts := e.pool.Counts()
	if len(counts) > maxCounts {
		slices.SortFunc(counts, func(a, b Count) int { return int(b.Requests) - int(a.Requests) })
		counts = counts[:maxCounts]
	}
	return counts
}

// receive passes the report of a peer to the pool and ignores other senders.
func (e *Exchange) receive(from netip.AddrPort, r report) {
	e.mu.Lock()
	peer, known := e.peers[from]
	every := interval(len(e.near) + len(e.plain))
	if peer.Far {
		every = intervalOfFar(len(e.far))
	}
	e.mu.Unlock()
	if !known {
		return
	}
	e.pool.SetPeerCounts(from, r.Counts, validity(every))
	if len(r.Samples) > 0 {
		e.pool.AddPeerSamples(r.Samples)
	}
}
