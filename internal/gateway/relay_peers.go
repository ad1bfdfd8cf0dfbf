package gateway

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/routing"
)

const (
	// maxRelaysPerPeer limits the requests that this host has relayed to one other host at
	// the same time.
	maxRelaysPerPeer = 32
	// relayDomainCost and relayRegionCost are the relayed requests in progress that a host
	// of this failure domain, or of this region, may have more than one farther away before
	// that one is preferred.
	relayDomainCost = 2
	relayRegionCost = 8
	// relayTriedDomainCost is the same for a host of a failure domain of which another one
	// could not send the request: the whole domain may be cut off.
	relayTriedDomainCost = 6
	// peerBackoff is how long a host that could not send requests is not asked again.
	peerBackoff = 2 * time.Second
)

// relayPeer is a host that may send requests for this one.
type relayPeer struct {
	host    catalog.Host
	address netip.AddrPort
}

// relayPeers chooses the hosts to which requests are relayed. It is safe for concurrent
// use.
type relayPeers struct {
	domain, region string // of this host

	mu       sync.Mutex // guards the fields below
	peers    []relayPeer
	inflight map[string]int              // requests relayed to each host
	backoff  map[string]boottime.Instant // until when a host is not asked
	rotation int
}

func newRelayPeers(domain, region string) *relayPeers {
	return &relayPeers{domain: domain, region: region, inflight: map[string]int{}, backoff: map[string]boottime.Instant{}}
}

// setHosts replaces the known hosts. Hosts without an address for relays, such as those
// of older versions, and the one named self are left out.
func (r *relayPeers) setHosts(hosts []catalog.Host, self string) {
	var peers []relayPeer
	known := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		address, err := netip.ParseAddrPort(h.RelayAddress)
		if h.Name != self && err == nil {
			peers = append(peers, relayPeer{host: h, address: address})
			known[h.Name] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = peers
	for name := range r.backoff {
		if !known[name] {
			delete(r.backoff, name)
		}
	}
}

// acquire chooses the host with the fewest relayed requests, near ones first, and counts
// one more. Only hosts in homes are asked, and none of tried, which could not send the request. ok
// is false if none can be asked. The caller must call release.
func (r *relayPeers) acquire(homes routing.Homes, tried []catalog.Host, now boottime.Instant) (peer relayPeer, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	best := 0
	for i := range r.peers {
		p := r.peers[(i+r.rotation)%len(r.peers)]
		inflight := r.inflight[p.host.Name]
		if inflight >= maxRelaysPerPeer || now < r.backoff[p.host.Name] || slices.ContainsFunc(tried, func(h catalog.Host) bool { return h.Name == p.host.Name }) || !homes.Allows(p.host.Region) {
			continue
		}
		cost := inflight
		if p.host.FailureDomain != r.domain {
			cost += relayDomainCost
		}
		if p.host.Region != r.region {
			cost += relayRegionCost
		}
		if slices.ContainsFunc(tried, func(h catalog.Host) bool { return h.FailureDomain == p.host.FailureDomain }) {
			cost += relayTriedDomainCost
		}
		if !ok || cost < best {
			peer, best, ok = p, cost, true
		}
	}
	if ok {
		r.inflight[peer.host.Name]++
	}
	return peer, ok
}

// release ends a relayed request. A host that could not send it is not asked for
// peerBackoff.
func (r *relayPeers) release(peer relayPeer, failed bool, now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := peer.host.Name
	if r.inflight[name]--; r.inflight[name] <= 0 {
		delete(r.inflight, name)
	}
	if failed {
		r.backoff[name] = now.Add(peerBackoff)
	}
}
