package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// preferredUpstreams are the upstreams to which the hosts send one object by
// rendezvous hashing. Hosts with the same set of upstreams choose the same ones
// without communication.
type preferredUpstreams struct {
	byDomain []*upstream // indexed by upstream.domainIndex
	byRegion []*upstream // indexed by upstream.regionIndex
	// domainHash and regionHash are hashes of the object scaled to [0, 1]. They
	// select the fraction of the objects that each failure domain or region caches.
	domainHash, regionHash float64
}

// cacheScope says at how many upstreams of a region an object is to be cached.
type cacheScope uint8

const (
	cachedNowhere   cacheScope = iota // the region has no cache capacity for it
	cachedPerRegion                   // at one upstream of the region
	cachedPerDomain                   // at one upstream of each failure domain
)

// preference says whether an upstream is one of the preferred upstreams of an
// object.
type preference uint8

const (
	notPreferred    preference = iota
	domainPreferred            // preferred upstream of its failure domain
	regionPreferred            // preferred upstream of its region
	preferences                // number of values
)

// maxCachedPreferred bounds the objects of one service whose preferred upstreams
// are cached.
const maxCachedPreferred = 4096

// preferredFor returns the preferred upstreams of an object. The caller holds the
// pool's mutex.
func (s *service) preferredFor(object string) *preferredUpstreams {
	if preferred := s.preferred[object]; preferred != nil {
		return preferred
	}
	if len(s.preferred) >= maxCachedPreferred {
		clear(s.preferred)
	}
	preferred := &preferredUpstreams{
		byDomain:   make([]*upstream, len(s.domains)),
		byRegion:   make([]*upstream, len(s.regions)),
		domainHash: unitHash(object, "domain"),
		regionHash: unitHash(object, "region"),
	}
	domainBest, regionBest := make([]uint64, len(s.domains)), make([]uint64, len(s.regions))
	for _, u := range s.usable {
		hash := xxhash.Sum64String(u.ID + "\x00" + object)
		if preferred.byDomain[u.domainIndex] == nil || hash > domainBest[u.domainIndex] {
			preferred.byDomain[u.domainIndex], domainBest[u.domainIndex] = u, hash
		}
		if preferred.byRegion[u.regionIndex] == nil || hash > regionBest[u.regionIndex] {
			preferred.byRegion[u.regionIndex], regionBest[u.regionIndex] = u, hash
		}
	}
	s.preferred[object] = preferred
	return preferred
}

// unitHash scales a hash of the object to [0, 1]. All hosts get the same value.
func unitHash(object, purpose string) float64 {
	return float64(xxhash.Sum64String(purpose+"\x00"+object)) / math.MaxUint64
}

// cacheScope returns how widely a region caches an object. The largest region
// caches every object at least once.
func (s *service) cacheScope(preferred *preferredUpstreams, region int, local bool) cacheScope {
	r := s.regions[region]
	switch {
	case local && len(s.regions) > 1 && !s.owned.owns(preferred.regionHash):
		return cachedNowhere
	case preferred.domainHash < s.cache.replicatedFraction(r.smallestDomain, r.upstreams):
		return cachedPerDomain
	case r.upstreams == s.largestRegion || preferred.regionHash < s.cache.cacheableFraction(r.upstreams):
		return cachedPerRegion
	default:
		return cachedNowhere
	}
}

// preferenceOf returns the preference of an upstream for an object.
func (s *service) preferenceOf(u *upstream, preferred *preferredUpstreams, localRegion string) preference {
	inRegion, inDomain := preferred.byRegion[u.regionIndex] == u, preferred.byDomain[u.domainIndex] == u
	if !inRegion && !inDomain {
		return notPreferred
	}
	switch scope := s.cacheScope(preferred, u.regionIndex, u.region == localRegion); {
	case inRegion && scope != cachedNowhere:
		return regionPreferred
	case inDomain && scope == cachedPerDomain:
		return domainPreferred
	default:
		return notPreferred
	}
}
