package placement

import "slices"

// service is the state that a host keeps about one service.
type service struct {
	all    []*upstream // sorted by ID
	usable []*upstream // neither draining nor in an evacuated failure domain

	domains       []string // failure domains of the usable upstreams
	regions       []regionSize
	largestRegion int         // number of usable upstreams in the largest region
	local         []*upstream // usable upstreams of this host's failure domain

	preferred map[string]*preferredUpstreams // cache by object, cleared when the usable upstreams change
	objectIDs map[string]objectID
	sentTo    map[objectID][]*upstream // upstreams to which this host has sent an object, latest last
	cache     *cacheModel
	owned     ownership               // of this host's region
	loads     map[string]*averageLoad // by region
	rotation  int                     // placements so far, for the rotation of sampled upstreams
}

// regionSize counts the usable upstreams of a region.
type regionSize struct {
	name           string
	upstreams      int
	slots          int
	smallestDomain int // upstreams of the failure domain that has the fewest
}

func newService(maxShift float64) *service {
	return &service{owned: newOwnership(maxShift), loads: map[string]*averageLoad{}, cache: newCacheModel(), objectIDs: map[string]objectID{}, sentTo: map[objectID][]*upstream{}}
}

// averageLoad returns the average load of the upstreams of a region.
func (s *service) averageLoad(region string) *averageLoad {
	if s.loads[region] == nil {
		s.loads[region] = &averageLoad{}
	}
	return s.loads[region]
}

// rebuildIndex derives the other fields from the set of upstreams.
func (s *service) rebuildIndex(evacuated map[string]bool, localDomain string) {
	s.usable, s.local, s.domains, s.regions, s.largestRegion = nil, nil, nil, nil, 0
	s.preferred = map[string]*preferredUpstreams{}
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
		u.domainIndex = indexOf(&s.domains, u.FailureDomain)
		u.regionIndex = s.regionIndex(u.region)
		s.regions[u.regionIndex].upstreams++
		s.regions[u.regionIndex].slots += u.slots
	}
	for i := range s.regions {
		r := &s.regions[i]
		r.smallestDomain = r.upstreams
		s.largestRegion = max(s.largestRegion, r.upstreams)
	}
	for _, u := range s.usable {
		r := &s.regions[u.regionIndex]
		r.smallestDomain = min(r.smallestDomain, sizes[u.FailureDomain])
	}
	for object, upstreams := range s.sentTo {
		s.sentTo[object] = slices.DeleteFunc(upstreams, func(u *upstream) bool { return !slices.Contains(s.usable, u) })
	}
}

// indexOf returns the index of a name in names and appends it if it is missing.
func indexOf(names *[]string, name string) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// regionIndex returns the index of a region and appends it if it is missing.
func (s *service) regionIndex(name string) int {
	i := slices.IndexFunc(s.regions, func(r regionSize) bool { return r.name == name })
	if i >= 0 {
		return i
	}
	s.regions = append(s.regions, regionSize{name: name})
	return len(s.regions) - 1
}

// maxObjectIDs bounds the objects with an ID. All IDs are dropped when it is
// reached, together with the histories that refer to them.
const maxObjectIDs = 16384

// objectID returns the ID of an object and assigns one to a new object.
func (s *service) objectID(object string) objectID {
	id, ok := s.objectIDs[object]
	if ok {
		return id
	}
	if len(s.objectIDs) >= maxObjectIDs {
		clear(s.objectIDs)
		clear(s.sentTo)
		for _, u := range s.all {
			u.history.reset()
		}
	}
	id = objectID(len(s.objectIDs))
	s.objectIDs[object] = id
	return id
}

// maxUpstreamsPerObject bounds the upstreams that are stored for one object.
const maxUpstreamsPerObject = 6

// recordSend stores that an object was sent to an upstream.
func (s *service) recordSend(object objectID, u *upstream) {
	upstreams := s.sentTo[object]
	if slices.Contains(upstreams, u) {
		return
	}
	if len(upstreams) == maxUpstreamsPerObject {
		copy(upstreams, upstreams[1:])
		upstreams[len(upstreams)-1] = u
		return
	}
	s.sentTo[object] = append(upstreams, u)
}

const (
	// fullScanLimit is the number of upstreams up to which all of them are candidates.
	fullScanLimit = 24
	// localSample and remoteSample are the numbers of upstreams that become candidates
	// by rotation, in addition to those that may have the object cached.
	localSample  = 4
	remoteSample = 3
)

// candidates appends the upstreams to score: all upstreams of a small service,
// otherwise the preferred upstreams of the object, those it was sent to before and
// a rotating sample that begins with this host's failure domain. If regionAllowed is not nil,
// those of a large service are in allowed regions only.
func (s *service) candidates(list []*upstream, preferred *preferredUpstreams, object objectID, regionAllowed func(string) bool) []*upstream {
	if len(s.usable) <= fullScanLimit {
		return append(list, s.usable...)
	}
	if preferred != nil {
		for _, known := range [...][]*upstream{preferred.byRegion, preferred.byDomain, s.sentTo[object]} {
			for _, u := range known {
				if regionAllowed == nil || regionAllowed(u.region) {
					list = appendNew(list, u)
				}
			}
		}
	}
	s.rotation++
	sample := remoteSample
	if len(s.local) > 0 && (regionAllowed == nil || regionAllowed(s.local[0].region)) {
		for i := range min(localSample, len(s.local)) {
			list = appendNew(list, s.local[(s.rotation*localSample+i)%len(s.local)])
		}
	} else if regionAllowed != nil {
		sample += localSample
	}
	for i, found := 0, 0; i < len(s.usable) && found < sample; i++ {
		if u := s.usable[(s.rotation*sample+i)%len(s.usable)]; regionAllowed == nil || regionAllowed(u.region) {
			list = appendNew(list, u)
			found++
		}
	}
	return list
}

func appendNew(list []*upstream, u *upstream) []*upstream {
	if slices.Contains(list, u) {
		return list
	}
	return append(list, u)
}
