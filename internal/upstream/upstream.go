// Package upstream decides where and when a request runs: it chooses an upstream
// of the host's own failure domain or another entry host, keeps the slots in use
// within the host's share, and queues work fairly under shortage.
//
// Decisions are made by aggregates that take the time as an argument. Dispatcher
// is the concurrent shell around them.
package upstream

import (
	"net/http"
	"net/netip"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// Work describes one admitted request that needs a place to run.
type Work struct {
	Service    string
	Account    string // client account; empty on open routes
	Weight     int    // fair share of the account; 1 if zero
	Priority   configuration.Priority
	Deadline   time.Time // zero: no deadline
	Idempotent bool      // the request may be sent again after a failure
	Relayed    bool      // the request came from another entry host
	Origin     string    // ID of the host that relayed the request
	Grant      uint64    // room grant under which the request was relayed
	Excluded   []string  // upstreams and hosts that failed this request before

	crossRegion bool // the origin is in another region
}

// Target is the place where a request is sent.
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
	ResultFailed                      // server error status, reset or cut response
	ResultTimeout                     // the deadline passed at the target
	ResultCancelled                   // the caller went away; says nothing about the target
	ResultShed                        // the target refused the request as not run
	ResultConnect                     // no connection to the target
)

// Outcome reports how a request ended.
type Outcome struct {
	Result        Result
	Latency       time.Duration // from the first byte sent to the last byte received
	BytesSent     int64         // of the request
	BytesReceived int64         // of the response
}

// CapacityShare gives this host's current share of each upstream.
type CapacityShare interface {
	// Slots returns how many requests this host may run at the upstream at now.
	Slots(upstream string, now time.Time) int
	// Connections returns how many connections this host may hold open at now.
	Connections(upstream string, now time.Time) int
}

// TransportFactory builds the transports that permits hand out.
type TransportFactory interface {
	// Upstream returns the transport to an upstream. It opens at most limit()
	// connections and never sends a request twice.
	Upstream(target configuration.Upstream, limit func() int) http.RoundTripper
	// Peer returns the relay transport to another entry host.
	Peer(peer host.Identity) http.RoundTripper
}
