package replica

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/boottime"
)

// Peer is another host of the same failure domain.
type Peer struct {
	Name    string
	Address string // IP:port at which it serves its changes
}

// avoidDuration is how long a host is skipped after it could not be followed.
const avoidDuration = 3 * time.Second

// peerSelector chooses which host of a failure domain the others follow instead of the
// store: the first by name that is not being skipped. Hosts that know the same peers
// choose the same one without coordination. It is not safe for concurrent use.
type peerSelector struct {
	peers   []Peer // sorted by name, without this host
	self    string
	avoided map[string]boottime.Instant // by name: when the host was last found unusable
}

// setPeers replaces the peers and sets the name of this host.
func (r *peerSelector) setPeers(self string, peers []Peer) {
	r.self = self
	r.peers = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for name := range r.avoided {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name }) {
			delete(r.avoided, name)
		}
	}
}

// hostToFollow returns the host to follow. ok is false if this host follows the store
// itself.
func (r *peerSelector) hostToFollow(now boottime.Instant) (peer Peer, ok bool) {
	for _, p := range r.peers {
		if p.Name > r.self {
			return Peer{}, false
		}
		if avoidedAt, avoided := r.avoided[p.Name]; !avoided || now.Sub(avoidedAt) >= avoidDuration {
			return p, true
		}
	}
	return Peer{}, false
}

// avoid skips a host for avoidDuration.
func (r *peerSelector) avoid(name string, now boottime.Instant) {
	if r.avoided == nil {
		r.avoided = map[string]boottime.Instant{}
	}
	r.avoided[name] = now
}
