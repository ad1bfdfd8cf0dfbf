package replica

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/boottime"
)

// Peer is a host of the same failure domain.
type Peer struct {
	Name    string
	Address string // IP:port at which it tells changes
}

// avoidPause is how long a host that could not be followed is passed over.
const avoidPause = 3 * time.Second

// roster chooses which host of a failure domain follows the store for the others:
// the first by name that was not found wanting. Hosts that know the same peers
// choose the same one without asking each other. It is not safe for concurrent use.
type roster struct {
	peers   []Peer // in the order of their names, without this host
	self    string
	avoided map[string]boottime.Instant // by name, since when
}

// set replaces the peers.
func (r *roster) set(self string, peers []Peer) {
	r.self = self
	r.peers = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for name := range r.avoided {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name }) {
			delete(r.avoided, name)
		}
	}
}

// leader returns the host to follow. ok is false if this host follows the store
// itself.
func (r *roster) leader(now boottime.Instant) (peer Peer, ok bool) {
	for _, p := range r.peers {
		if p.Name > r.self {
			return Peer{}, false
		}
		if since, avoided := r.avoided[p.Name]; !avoided || now.Sub(since) >= avoidPause {
			return p, true
		}
	}
	return Peer{}, false
}

// avoid passes a host over for a while.
func (r *roster) avoid(name string, now boottime.Instant) {
	if r.avoided == nil {
		r.avoided = map[string]boottime.Instant{}
	}
	r.avoided[name] = now
}
