package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// homes finds where the hosts agree to keep one object: at one upstream of each
// failure domain, or at one upstream of each region if the domains can't remember
// all objects. Hosts that know the same upstreams agree without a message.
type homes struct {
	byDomain map[string]*upstream
	byRegion map[string]*upstream
	regions  map[string]bool // whether the object is kept in each domain of the region
}

// homesOf returns the homes of an object among the upstreams of a service.
func (p *Pool) homesOf(service, object string, w *warmth) homes {
	h := homes{byDomain: map[string]*upstream{}, byRegion: map[string]*upstream{}, regions: map[string]bool{}}
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
	place := float64(xxhash.Sum64String(object)) / math.MaxUint64
	for region, all := range regions {
		least := all
		for domain, n := range domains {
			if p.settings.Regions[domain] == region {
				least = min(least, n)
			}
		}
		h.regions[region] = place < w.replicated(least, all)
	}
	return h
}

// has reports whether an upstream is a home of the object.
func (h homes) has(u *upstream) bool {
	if h.regions[u.region] {
		return h.byDomain[u.FailureDomain] == u
	}
	return h.byRegion[u.region] == u
}
