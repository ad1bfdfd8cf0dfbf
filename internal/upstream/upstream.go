// Package upstream decides where and when a request runs: it chooses an upstream
// of the host's own failure domain or another entry host, keeps the slots in use
// within the host's share, and queues requests fairly when slots are short.
//
// The types that decide do no I/O, start no goroutines and take the time as an
// argument. Dispatcher adds locks, timers and messages to other hosts.
package upstream

import (
	"net/http"
	"net/netip"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// Work describes one admitted request that waits to be sent to an upstream or a
// peer.
type Work struct {
	Service    string
	Account    string // client account; empty on open routes
	Weight     int    // weight of the account in fair queueing; 1 if zero
	Priority   configuration.Priority
	Deadline   time.Time // zero: no deadline
	Idempotent bool      // the request may be sent again after a failure
	Relayed    bool      // the request came from another entry host
	Origin     string    // ID of the host that relayed the request
	Grant      uint64    // room grant under which the request was relayed
	Excluded   []string  // names of upstreams and IDs of hosts where an earlier attempt failed

	crossRegion bool // the origin is in another region
}

// Target is the upstream or peer to which a request is sent.
type Target struct {
	Upstream string         // name of the upstream; empty for a peer
	Address  netip.AddrPort // address of the upstream or of the peer's fleet listener
	Peer     host.Identity  // entry host that runs the request, if IsPeer
	IsPeer   bool
	Grant    uint64 // room grant that covers the relay, if IsPeer
}

// Name returns the upstream's name or the peer's ID, as used in Work.Excluded.
func (t Target) Name() string {
	if t.IsPeer {
		return string(t.Peer.ID)
	}
	return t.Upstream
}

// Result classifies how a request ended at its target.
type Result uint8

// Results of a request.
const (
	ResultOK        Result = iota + 1 // a complete response, also with a client error status
	ResultFailed                      // server error status, connection reset or truncated response
	ResultTimeout                     // the deadline passed at the target
	ResultCancelled                   // the caller disconnected; not an error of the target
	ResultShed                        // the target refused the request without running it
	ResultConnect                     // the connection to the target failed
)

// Outcome reports how a request ended.
type Outcome struct {
	Result        Result
	Latency       time.Duration // from the first byte sent to the last byte received
	BytesSent     int64         // of the request
	BytesReceived int64         // of the response
}

// CapacityShare provides this host's current share of each upstream.
type CapacityShare interface {
	// Slots returns how many concurrent requests this host may run at the upstream
	// at time now.
	Slots(upstream string, now time.Time) int
	// Connections returns how many connections to the upstream this host may hold
	// open at time now.
	Connections(upstream string, now time.Time) int
}

// TransportFactory builds the transports with which requests are sent to upstreams
// and to other entry hosts.
type TransportFactory interface {
	// Upstream returns the transport to an upstream. It opens at most limit()
	// connections and never sends a request twice.
	Upstream(target configuration.Upstream, limit func() int) http.RoundTripper
	// Peer returns the relay transport to another entry host.
	Peer(peer host.Identity) http.RoundTripper
}
