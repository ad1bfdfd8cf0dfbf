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

// unannouncedFreeSlots is added to the free slots that a peer announced, so that
// peers without any also differ in rank.
const unannouncedFreeSlots = 0.5

// Round trips assumed for peers that have not been measured.
const (
	defaultRoundTripSameDomain  = 2 * time.Millisecond
	defaultRoundTripSameRegion  = 2 * time.Millisecond
	defaultRoundTripOtherRegion = 30 * time.Millisecond
)

// Peer is another entry host, as known from heartbeats.
type Peer struct {
	Identity host.Identity
	State    host.State
	// FreeSlots is the number of slots per service that the peer last announced
	// as lendable; zero for services that are missing.
	FreeSlots map[string]int
}

// candidate is a peer that may have free slots for a service.
type candidate struct {
	identity host.Identity
	distance int
	free     int
	rank     float64
}

// defaultRoundTrip returns the round trip assumed for a peer at this distance.
func (c *candidate) defaultRoundTrip() time.Duration {
	switch c.distance {
	case distanceSameDomain:
		return defaultRoundTripSameDomain
	case distanceSameRegion:
		return defaultRoundTripSameRegion
	default:
		return defaultRoundTripOtherRegion
	}
}

// roundTripFactor returns how many round trips to a peer the local wait must be
// worth before a request is relayed to it. The slot reserved for a relay is idle
// while the relay is in transit; for another region that time is a considerable
// part of a service time.
func roundTripFactor(distance int) time.Duration {
	if distance >= distanceOtherRegion {
		return otherRegionRoundTripFactor
	}
	return 1
}

// otherRegionRoundTripFactor is the factor for peers of other regions.
const otherRegionRoundTripFactor = 3

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

// candidates returns the live peers that may have free slots for service, nearest
// first. Announcements of free slots are seconds old, so they only affect the order
// among peers at the same distance. That order also depends on the hash of both
// hosts, so that hosts don't all ask the same peer. draining reports whether a
// drain of the peer is in force.
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
			rank:     (float64(free) + unannouncedFreeSlots) * (0.5 + hashFraction(string(self.ID), string(peer.Identity.ID), service)),
		})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.rank, a.rank),
			cmp.Compare(a.identity.ID, b.identity.ID))
	})
	return found
}

// hashFraction hashes its arguments to a number in [0, 1).
func hashFraction(keys ...string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, key := range keys {
		_, _ = digest.WriteString(key) // never fails
		_, _ = digest.Write([]byte{0})
	}
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// maxPeerListAge is the age at which the cached list of peers is read again.
const maxPeerListAge = 50 * time.Millisecond

// peerCache keeps the last result of Options.Peers, which may be expensive.
type peerCache struct {
	mu      sync.Mutex // held while the peers are read
	current atomic.Pointer[peerList]
}

type peerList struct {
	peers  []Peer
	readAt time.Time
}

// currentPeers returns the known peers. When the cached list is too old, one
// goroutine reads it again while the others use the cached list.
func (d *Dispatcher) currentPeers(now time.Time) []Peer {
	list := d.peers.current.Load()
	if list != nil && now.Sub(list.readAt) < maxPeerListAge {
		return list.peers
	}
	if list == nil {
		d.peers.mu.Lock()
	} else if !d.peers.mu.TryLock() {
		return list.peers
	}
	defer d.peers.mu.Unlock()
	fresh := &peerList{peers: d.options.Peers(), readAt: now}
	d.peers.current.Store(fresh)
	return fresh.peers
}
