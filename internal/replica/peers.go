package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"peridotrail/internal/boottime"
)

// Peer is another host.
type Peer struct {
	Name    string
	Address string // IP:port at which it serves its changes
}

const (
	// avoidDuration is how long a host is skipped after it could not be followed.
	avoidDuration = 3 * time.Second
	// minAvoidDuration is how long a host that responds is skipped if a host that needs a substitute knows too
	// few others. It limits how often a host that can't be followed is tried.
	minAvoidDuration = 500 * time.Millisecond
)

// peerSelector chooses which host this one follows instead of the store. Hosts of a failure
// domain that reach the store follow the first of them by name that is not being skipped: hosts
// that know the same peers choose the same one without coordination. A host that does not reach
// the store follows its substitute, which may be any host. It is not safe for concurrent use.
type peerSelector struct {
	peers      []Peer // of the failure domain, sorted by name, without this host
	others     []Peer // of other failure domains
	self       string
	substitute Peer                 // for the store; zero: none
	avoided    map[string]avoidance // by name
}

// avoidance is why a host is being skipped.
type avoidance struct {
	at       boottime.Instant // when it was found unusable
	responds bool             // it responded, but could not be followed
}

// setPeers replaces the peers of the failure domain and of other ones, and sets the name of this
// host.
func (r *peerSelector) setPeers(self string, peers, others []Peer) {
	r.self = self
	r.peers = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	r.others = others
	for name := range r.avoided {
		named := func(p Peer) bool { return p.Name == name }
		if !slices.ContainsFunc(peers, named) && !slices.ContainsFunc(others, named) {
			delete(r.avoided, name)
		}
	}
}

// hostToFollow returns the host to follow. ok is false if this host follows the store
// itself. followed is the name of the host that it follows now. If it doubts that it reaches the store, it
// goes on following that host or its substitute: the others of the failure domain may not reach the store
// either, and to try one after another takes too long.
func (r *peerSelector) hostToFollow(now boottime.Instant, storeDoubted bool, followed string) (peer Peer, ok bool) {
	for _, p := range r.peers {
		if p.Name > r.self {
			break
		}
		if !r.avoids(p, now) && (!storeDoubted || p.Name == followed) {
			return p, true
		}
	}
	return r.substitute, r.hasSubstitute()
}

func (r *peerSelector) hasSubstitute() bool { return r.substitute != (Peer{}) }

// avoids reports whether a host is being skipped.
func (r *peerSelector) avoids(p Peer, now boottime.Instant) bool {
	avoided, ok := r.avoided[p.Name]
	return ok && now.Sub(avoided.at) < avoidDuration
}

// mayRespond reports whether a host that is being skipped responded when it was found unusable, and may
// be current by now.
func (r *peerSelector) mayRespond(p Peer, now boottime.Instant) bool {
	avoided := r.avoided[p.Name]
	return avoided.responds && now.Sub(avoided.at) >= minAvoidDuration
}

// avoid skips a host for avoidDuration. It is no substitute any more. The flag tells whether it responds.
func (r *peerSelector) avoid(name string, now boottime.Instant, responds bool) {
	if r.avoided == nil {
		r.avoided = map[string]avoidance{}
	}
	r.avoided[name] = avoidance{now, responds}
	if r.substitute.Name == name {
		r.substitute = Peer{}
	}
}

// candidates returns up to n hosts of the failure domain and up to n other ones at random. Hosts that
// are being skipped are among them only if they respond and there are too few others.
func (r *peerSelector) candidates(n int, now boottime.Instant) []Peer {
	return slices.Concat(r.sample(r.peers, n, now), r.sample(r.others, n, now))
}

// sample returns up to n hosts at random, first those that are not being skipped, then skipped ones that may
// respond.
func (r *peerSelector) sample(hosts []Peer, n int, now boottime.Instant) []Peer {
	var usable, skipped []Peer
	for _, i := range rand.Perm(len(hosts)) {
		switch p := hosts[i]; {
		case !r.avoids(p, now):
			usable = append(usable, p)
		case r.mayRespond(p, now):
			skipped = append(skipped, p)
		}
	}
	sample := append(usable, skipped...)
	return sample[:min(n, len(sample))]
}
