package placement

import "slices"

// service is what a host knows of the upstreams of one service.
type service struct {
	all    []*upstream // sorted by ID
	usable []*upstream // neither draining nor in a domain that is evacuated

	domains []string
	regions []regionSize
	largest int         // usable upstreams of the largest region
	local   []*upstream // usable ones of this host's failure domain

	homes   map[string]*homes // cache, for the usable upstreams of now
	numbers map[string]objectID
	sent    map[objectID][]*upstream // where this host has sent an object, newest last
	warmth  *warmth
	turn    int // counts the placements, to look at other upstreams in turn
}

// regionSize counts the usable upstreams of a region.
type regionSize struct {
	name  string
	all   int
	least int // in the domain of the region that has the fewest
}

func newService() *service {
	return &service{warmth: newWarmth(), numbers: map[string]objectID{}, sent: map[objectID][]*upstream{}}
}

// index derives everything from the set of upstreams.
func (s *service) index(evacuated map[string]bool, localDomain string) {
	s.usable, s.local, s.domains, s.regions, s.largest = nil, nil, nil, nil, 0
	s.homes = map[string]*homes{}
	sizes := map[string]int{}
	for _, u := range s.all {
		if u.Draining || evacuated[u.FailureDomain] {
			continue
		}
		s.usable = append(s.usable, u)
		if u.FailureDomain == localDomain {
			s.local = append(s.local, u)
		}
		sizes[u.FailureDomain]++
		u.domain = numberOf(&s.domains, u.FailureDomain)
		u.regionNumber = s.regionNumber(u.region)
		s.regions[u.regionNumber].all++
	}
	for i := range s.regions {
		r := &s.regions[i]
		r.least = r.all
		s.largest = max(s.largest, r.all)
	}
	for _, u := range s.usable {
		r := &s.regions[u.regionNumber]
		r.least = min(r.least, sizes[u.FailureDomain])
	}
	for object, known := range s.sent {
		s.sent[object] = slices.DeleteFunc(known, func(u *upstream) bool { return !slices.Contains(s.usable, u) })
	}
}

// numberOf returns the place of a name in names and adds it if it is new.
func numberOf(names *[]string, name string) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

func (s *service) regionNumber(name string) int {
	i := slices.IndexFunc(s.regions, func(r regionSize) bool { return r.name == name })
	if i >= 0 {
		return i
	}
	s.regions = append(s.regions, regionSize{name: name})
	return len(s.regions) - 1
}

// numberedObjects bounds the objects that have a number.
const numberedObjects = 16384

// number returns the number of an object.
func (s *service) number(object string) objectID {
	id, ok := s.numbers[object]
	if ok {
		return id
	}
	if len(s.numbers) >= numberedObjects {
		clear(s.numbers)
		clear(s.sent)
		for _, u := range s.all {
			u.memory.forget()
		}
	}
	id = objectID(len(s.numbers))
	s.numbers[object] = id
	return id
}

// rememberedPlaces bounds the upstreams that are remembered for one object.
const rememberedPlaces = 6

// note remembers where an object was sent.
func (s *service) note(object objectID, u *upstream) {
	known := s.sent[object]
	if slices.Contains(known, u) {
		return
	}
	if len(known) == rememberedPlaces {
		copy(known, known[1:])
		known[len(known)-1] = u
		return
	}
	s.sent[object] = append(known, u)
}

const (
	// allCandidates is the number of upstreams up to which all are looked at.
	allCandidates = 24
	// localSample and remoteSample are looked at beside those that may know the
	// object, in turn.
	localSample  = 4
	remoteSample = 3
)

// candidates appends the upstreams that are worth looking at: all of a small
// service, or else the homes of the object, where it was sent before, and some in
// turn, those of this host's failure domain first.
func (s *service) candidates(list []*upstream, h *homes, object objectID) []*upstream {
	if len(s.usable) <= allCandidates {
		return append(list, s.usable...)
	}
	if h != nil {
		for _, u := range h.byRegion {
			list = appendNew(list, u)
		}
		for _, u := range h.byDomain {
			list = appendNew(list, u)
		}
		for _, u := range s.sent[object] {
			list = appendNew(list, u)
		}
	}
	s.turn++
	for i := range min(localSample, len(s.local)) {
		list = appendNew(list, s.local[(s.turn*localSample+i)%len(s.local)])
	}
	for i := range remoteSample {
		list = appendNew(list, s.usable[(s.turn*remoteSample+i)%len(s.usable)])
	}
	return list
}

func appendNew(list []*upstream, u *upstream) []*upstream {
	if slices.Contains(list, u) {
		return list
	}
	return append(list, u)
}
