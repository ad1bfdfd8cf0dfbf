package upstream

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/host"

	"github.com/cespare/xxhash/v2"
)

// Distances between entry hosts.
const (
	distanceSameDomain  = 0
	distanceSameRegion  = 1
	distanceOtherRegion = 2
)

// unannounced stands for the free slots of a peer that announced none.
const unannounced = 0.5

// Round trips to peers that were not measured yet.
const (
	roundTripDomain = 2 * time.Millisecond
	roundTripRegion = 2 * time.Millisecond
	roundTripOther  = 30 * time.Millisecond
)

// Peer is another entry host as this host knows it from heartbeats.
type Peer struct {
	Identity host.Identity
	State    host.State
	// FreeSlots is the number of slots per service that the peer last announced
	// as lendable. A missing service has none.
	FreeSlots map[string]int
}

// candidate is a peer that may have room for a service.
type candidate struct {
	identity host.Identity
	distance int
	free     int
	rank     float64
}

// defaultRoundTrip is used until a request to the peer was measured.
func (c *candidate) defaultRoundTrip() time.Duration {
	switch c.distance {
	case distanceSameDomain:
		return roundTripDomain
	case distanceSameRegion:
		return roundTripRegion
	default:
		return roundTripOther
	}
}

// roundTripFactor is how many round trips to a peer the wait here must exceed.
// While a relay travels, the slot set aside for it is idle, and a long way costs
// a good part of a service time.
func roundTripFactor(distance int) time.Duration {
	if distance >= distanceOtherRegion {
		return farRoundTrips
	}
	return 1
}

// farRoundTrips is the factor for peers of other regions.
const farRoundTrips = 3

// distanceTo returns the distance between two hosts.
func distanceTo(self, other host.Identity) int {
	switch {
	case self.FailureDomain == other.FailureDomain:
		return distanceSameDomain
	case self.Region == other.Region:
		return distanceSameRegion
	default:
		return distanceOtherRegion
	}
}

// candidates returns the live peers that may have free slots of service, nearest
// first. Announcements lag, so they only decide the order among peers at the same
// distance, which also differs between hosts, so that hosts do not all ask the
// same. draining reports whether a peer may get no new work.
func candidates(self host.Identity, peers []Peer, service string, draining func(host.Identity) bool) []candidate {
	var found []candidate
	for _, peer := range peers {
		free := peer.FreeSlots[service]
		if peer.State != host.StateLive || draining(peer.Identity) {
			continue
		}
		found = append(found, candidate{
			identity: peer.Identity,
			distance: distanceTo(self, peer.Identity),
			free:     max(1, free),
			rank:     (float64(free) + unannounced) * (0.5 + spread(string(self.ID), string(peer.Identity.ID), service)),
		})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.rank, a.rank),
			cmp.Compare(a.identity.ID, b.identity.ID))
	})
	return found
}

// spread hashes its arguments to a number between 0 and 1.
func spread(parts ...string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})
	}
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// peersMaxAge is the age at which the known peers are read again.
const peersMaxAge = 50 * time.Millisecond

// peerCache keeps the last answer of Options.Peers, which may be costly.
type peerCache struct {
	mu      sync.Mutex // held while the peers are read
	current atomic.Pointer[peerList]
}

type peerList struct {
	peers []Peer
	read  time.Time
}

// currentPeers returns the known peers. Only one goroutine reads them anew; the
// others go on with the last answer.
func (d *Dispatcher) currentPeers(now time.Time) []Peer {
	list := d.peers.current.Load()
	if list != nil && now.Sub(list.read) < peersMaxAge {
		return list.peers
	}
	if list == nil {
		d.peers.mu.Lock()
	} else if !d.peers.mu.TryLock() {
		return list.peers
	}
	defer d.peers.mu.Unlock()
	fresh := &peerList{peers: d.options.Peers(), read: now}
	d.peers.current.Store(fresh)
	return fresh.peers
}
