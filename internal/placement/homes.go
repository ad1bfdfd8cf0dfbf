package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// homes are where the hosts agree to keep one object: at one upstream of each
// region first, and at one of each failure domain once that pays. Hosts that know
// the same upstreams agree without a message.
type homes struct {
	byDomain []*upstream // by the domain's number in the service
	byRegion []*upstream // by the region's number in the service
	// forDomain and forRegion place the object between 0 and 1, for the part of
	// the objects that domains and regions can keep.
	forDomain, forRegion float64
}

// extent says how widely a region keeps an object.
type extent uint8

const (
	keptNowhere   extent = iota // the region's upstreams can't remember it
	keptOnce                    // at one upstream of the region
	keptPerDomain               // at one upstream of each failure domain
)

// standing says how firmly the hosts agree to keep an object at an upstream.
type standing uint8

const (
	stranger   standing = iota // the object has no home there
	domainHome                 // where its failure domain keeps it once that pays
	regionHome                 // where its region keeps it first
	standings
)

// cachedHomes bounds the objects of one service whose homes are kept.
const cachedHomes = 4096

// homesOf returns the homes of an object.
func (s *service) homesOf(object string) *homes {
	if h := s.homes[object]; h != nil {
		return h
	}
	if len(s.homes) >= cachedHomes {
		clear(s.homes)
	}
	h := &homes{
		byDomain:  make([]*upstream, len(s.domains)),
		byRegion:  make([]*upstream, len(s.regions)),
		forDomain: position(object, "domain"),
		forRegion: position(object, "region"),
	}
	domainBest, regionBest := make([]uint64, len(s.domains)), make([]uint64, len(s.regions))
	for _, u := range s.usable {
		score := xxhash.Sum64String(u.ID + "\x00" + object)
		if h.byDomain[u.domain] == nil || score > domainBest[u.domain] {
			h.byDomain[u.domain], domainBest[u.domain] = u, score
		}
		if h.byRegion[u.regionNumber] == nil || score > regionBest[u.regionNumber] {
			h.byRegion[u.regionNumber], regionBest[u.regionNumber] = u, score
		}
	}
	s.homes[object] = h
	return h
}

// position places an object between 0 and 1, the same on all hosts.
func position(object, purpose string) float64 {
	return float64(xxhash.Sum64String(purpose+"\x00"+object)) / math.MaxUint64
}

// kept says how widely a region keeps an object. The largest region keeps all.
func (s *service) kept(h *homes, region int) extent {
	r := s.regions[region]
	switch {
	case h.forDomain < s.warmth.replicated(r.least, r.all):
		return keptPerDomain
	case r.all == s.largest || h.forRegion < s.warmth.remembered(r.all):
		return keptOnce
	default:
		return keptNowhere
	}
}

// standingOf returns the standing of an upstream for an object.
func (s *service) standingOf(u *upstream, h *homes) standing {
	inRegion, inDomain := h.byRegion[u.regionNumber] == u, h.byDomain[u.domain] == u
	if !inRegion && !inDomain {
		return stranger
	}
	switch kept := s.kept(h, u.regionNumber); {
	case inRegion && kept != keptNowhere:
		return regionHome
	case inDomain && kept == keptPerDomain:
		return domainHome
	default:
		return stranger
	}
}
