package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// homes finds where the hosts agree to keep one object: at one upstream of each
// failure domain, at one of each region if the domains can't remember all
// objects, or only in other regions if the region can't either. Hosts that know
// the same upstreams agree without a message.
type homes struct {
	byDomain map[string]*upstream
	byRegion map[string]*upstream
	kept     map[string]extent // by region
}

// extent says how widely a region keeps an object.
type extent uint8

const (
	keptNowhere   extent = iota // the region's upstreams can't remember it
	keptOnce                    // at one upstream of the region
	keptPerDomain               // at one upstream of each failure domain
)

// homesOf returns the homes of an object among the upstreams of a service.
func (p *Pool) homesOf(service, object string, w *warmth) homes {
	h := homes{byDomain: map[string]*upstream{}, byRegion: map[string]*upstream{}, kept: map[string]extent{}}
	domains := map[string]int{}
	regions := map[string]int{}
	for _, u := range p.services[service] {
		if u.Draining || p.evacuated[u.FailureDomain] {
			continue
		}
		domains[u.FailureDomain]++
		regions[u.region]++
		s := score(u.ID, object)
		if best := h.byDomain[u.FailureDomain]; best == nil || s > score(best.ID, object) {
			h.byDomain[u.FailureDomain] = u
		}
		if best := h.byRegion[u.region]; best == nil || s > score(best.ID, object) {
			h.byRegion[u.region] = u
		}
	}
	largest := 0
	for _, all := range regions {
		largest = max(largest, all)
	}
	for region, all := range regions {
		least := all
		for domain, n := range domains {
			if p.settings.Regions[domain] == region {
				least = min(least, n)
			}
		}
		switch {
		case position(object, "domain") < w.replicated(least, all):
			h.kept[region] = keptPerDomain
		case all == largest || position(object, "region") < w.remembered(all):
			h.kept[region] = keptOnce
		}
	}
	return h
}

// position places an object between 0 and 1, the same on all hosts.
func position(object, purpose string) float64 {
	return float64(xxhash.Sum64String(purpose+"\x00"+object)) / math.MaxUint64
}

// standing says how firmly the hosts agree to keep an object at an upstream.
type standing uint8

const (
	stranger   standing = iota // the object has no home there
	domainHome                 // where its failure domain keeps it once that pays
	regionHome                 // where its region keeps it first
	standings
)

// of returns the standing of an upstream for the object.
func (h homes) of(u *upstream) standing {
	switch kept := h.kept[u.region]; {
	case kept != keptNowhere && h.byRegion[u.region] == u:
		return regionHome
	case kept == keptPerDomain && h.byDomain[u.FailureDomain] == u:
		return domainHome
	default:
		return stranger
	}
}
