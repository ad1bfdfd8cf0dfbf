// Package placement decides at which upstream a request runs, or that it can't be
// served now and when to retry.
//
// The decisions are pure: they read no clock and do no I/O. Each upstream gets a
// score for the request: the probability of a response within the latency
// objective, plus a fraction of the probability of a late response, less the costs
// of traffic to another failure domain or region and of the slot. The upstream
// with the highest score is chosen. Requests of a sticky route prefer the upstream
// that has their object cached, and otherwise the object's preferred upstream,
// which all hosts select by rendezvous hashing.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// Settings of a Pool. Scores and costs are relative to the score of a response on
// time, which is 1.
type Settings struct {
	Host            string // name of this host
	FailureDomain   string
	Region          string
	Regions         func(domain string) string // region of a failure domain, empty if it is not known
	LateScore       float64                    // score of a response after the latency objective
	CrossDomainCost float64                    // per kilobyte that leaves the failure domain
	CrossRegionCost float64                    // additional cost per kilobyte that leaves the region
	RegionRoundTrip time.Duration              // to another region
	MaxShift        float64                    // largest growth of the fraction of requests that leave the region, per shiftWindow
	// ColdLimit returns how many requests this host may send to a cold upstream within
	// one second. limited is false if there is no limit.
	ColdLimit func(u catalog.Upstream, now boottime.Instant) (requests int, limited bool)
	// LimitUnits returns how many of the requests that an upstream with a request limit
	// accepts within a window this host may send.
	LimitUnits func(u catalog.Upstream, requests int, window time.Duration, now boottime.Instant) int
	// LimitRecordDelay returns how long this host waits before it records a change of an
	// upstream's request limit in the store, so that one host does so first.
	LimitRecordDelay func(u catalog.Upstream) time.Duration
	// ViewProof returns the last instant at which the upstreams last set are known to
	// have been current.
	ViewProof func() boottime.Instant
	// HostCounts returns the numbers of known hosts of this host's region and of all regions;
	// nil: one.
	HostCounts func() (region, all int)
	// ColdStart returns how long an upstream of a service is cold after its start.
	ColdStart func(service string) time.Duration
}

// Pool chooses upstreams for requests. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu             sync.Mutex // guards the fields below; not held during I/O
	upstreams      map[string]*upstream
	sendCounts     map[string]*sendCount // by upstream ID, also of upstreams that are absent for the moment
	services       map[string]*service
	estimates      map[string]*routeEstimate
	evacuated      map[string]bool // failure domains that get no requests
	shift          shiftLimiter
	peerReports    map[string]peerReport // by host
	peerRequests   map[string]int        // sum of peerReports, by upstream ID
	nextPeerExpiry boottime.Instant
	reportedLoads  map[string]Load           // see TakeLoads; at most one for each upstream
	limits         map[string]*requestLimit  // by upstream ID, also of upstreams that are absent for the moment
	limitRefusals  int                       // requests refused because of a limit
	announcements  map[string]*announcements // by upstream ID, also of upstreams that are absent for the moment
	restRefusals   int                       // requests refused because upstreams rest
	scratch        []*upstream               // candidates of the current placement
}

// NewPool returns a pool without upstreams.
func NewPool(settings Settings) *Pool {
	return &Pool{
		settings:     settings,
		upstreams:    map[string]*upstream{},
		sendCounts:   map[string]*sendCount{},
		services:     map[string]*service{},
		estimates:    map[string]*routeEstimate{},
		peerReports:  map[string]peerReport{},
		peerRequests: map[string]int{}, reportedLoads: map[string]Load{},
		limits: map[string]*requestLimit{},

		announcements: map[string]*announcements{},
		shift:         shiftLimiter{maxGrowth: settings.MaxShift},
	}
}

// SetUpstreams replaces the set of upstreams and the set of evacuated failure
// domains. The state of an upstream is kept unless its address, service, incarnation or
// place has changed.
func (p *Pool) SetUpstreams(entries []catalog.Upstream, evacuated map[string]bool, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasEvacuated := p.evacuated
	p.evacuated = evacuated
	present := make(map[string]*upstream, len(entries))
	for _, s := range p.services {
		s.all = nil
	}
	for _, entry := range entries {
		known, region := p.upstreams[entry.ID], p.settings.Regions(entry.FailureDomain)
		u := known
		if known == nil || known.Address != entry.Address || known.Service != entry.Service || known.Incarnation != entry.Incarnation ||
			known.FailureDomain != entry.FailureDomain || known.region != region {
			u = newUpstream(entry, region, p.service(entry.Service).averageLoad(region), p.sendCount(entry.ID), p.limitRecord(entry.ID, entry.Incarnation, now), p.announcementsOf(entry.ID, entry.Incarnation))
			u.ColdUntil = 0
			u.peerRequests = float64(p.peerRequests[entry.ID])
		}
		u.Draining = entry.Draining || u.announced.leaving || now.Before(u.movedUntil)
		u.reportedColdUntil = max(u.reportedColdUntil, entry.ColdUntil)
		u.extendColdStart(entry.ColdUntil, known != nil, now)
		if wasEvacuated[entry.FailureDomain] && !evacuated[entry.FailureDomain] {
			u.limitedUntil = now.Add(entryDelay) // its entry may not say yet that it turned cold
		}
		present[entry.ID] = u
		s := p.service(entry.Service)
		s.all = append(s.all, u)
	}
	p.upstreams = present
	maps.DeleteFunc(p.reportedLoads, func(id string, _ Load) bool { return present[id] == nil })
	p.pruneLimits(now)
	p.pruneAnnouncements(now)
	maps.DeleteFunc(p.sendCounts, func(id string, c *sendCount) bool { return present[id] == nil && c.idle(now) })
	for _, s := range p.services {
		slices.SortFunc(s.all, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
		s.rebuildIndex(p.evacuated, p.settings.FailureDomain)
	}
}

// sendCount returns the count of an upstream and creates it if necessary. The caller
// holds mu.
func (p *Pool) sendCount(id string) *sendCount {
	c := p.sendCounts[id]
	if c == nil {
		c = newSendCount()
		p.sendCounts[id] = c
	}
	return c
}

// service returns the state of a service and creates it if necessary. The caller
// holds mu.
func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = newService(p.settings.MaxShift)
		p.services[name] = s
	}
	return s
}

// candidate is an upstream with its score for a request.
type candidate struct {
	upstream      *upstream
	preference    preference
	reuseDistance int     // see sendHistory
	sent          bool    // whether the object is in this host's history of the upstream
	hitProb       float64 // probability that the upstream has the object cached
	wait          float64 // expected wait for a slot, ms
	cachedMS      float64 // expected time in the slot if the object is cached, ms
	uncachedMS    float64 // expected time in the slot otherwise, ms
	score         float64
	limit         LimitState
}

// serviceTime returns the expected time in the slot in ms.
func (c *candidate) serviceTime() float64 { return c.hitProb*c.cachedMS + (1-c.hitProb)*c.uncachedMS }

// Place chooses an upstream. It fails with a *RefusedError.
func (p *Pool) Place(request Request, now boottime.Instant) (Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(request.Service)
	var preferred *preferredUpstreams
	var object objectID
	if request.hasObject() {
		s.cache.recordRequest(request.Object, now)
		s.owned.record(p.routeEstimate(&request).cachedMS, p.fleetShape(s), now)
		preferred, object = s.preferredFor(request.Object), s.objectID(request.Object)
	}
	best, refusal := p.bestCandidate(s, preferred, object, &request, now)
	if best.upstream == nil {
		return Placement{}, refusalError(refusal)
	}
	u := best.upstream
	placement := Placement{
		Upstream: u.Upstream, Region: u.region, Remote: u.region != p.settings.Region,
		pool: p, service: s, chosen: best, request: request, start: now, cold: u.cold(now), coldLimited: p.isLimited(u, now), limit: best.limit,
		load: u.occupancy(now), loadAge: now.Sub(u.upstreamLoadAt),
	}
	u.inflight++
	u.served = true
	u.sends.recordPlacement(placement.limited(), now)
	placement.sends = u.sends.recent(coldWindow, now)
	if preferred != nil {
		u.history.record(object)
		s.recordSend(object, u)
		s.cache.recordPlacement(request.Object, p.crossingCost(u, p.routeEstimate(&request)))
	}
	p.shift.count(placement.Remote, now)
	return placement, nil
}

// fleetShape counts the slots of a service and the hosts. The caller holds mu.
func (p *Pool) fleetShape(s *service) fleetShape {
	shape := fleetShape{regionHosts: 1, hosts: 1}
	if p.settings.HostCounts != nil {
		shape.regionHosts, shape.hosts = p.settings.HostCounts()
	}
	for i := range s.regions {
		shape.slots += s.regions[i].slots
		if s.regions[i].name == p.settings.Region {
			shape.regionSlots = s.regions[i].slots
		}
	}
	return shape
}

// refusalError allocates the error only for requests that are refused.
func refusalError(r RefusedError) error { return &r }

// hasObject reports whether upstreams may have the request's object cached.
func (r *Request) hasObject() bool { return r.Sticky && r.Object != "" }

// routeEstimate returns the estimate of the request's route and creates it if
// necessary. The caller holds mu.
func (p *Pool) routeEstimate(request *Request) *routeEstimate {
	e := p.estimates[request.Route]
	if e == nil {
		e = newRouteEstimate(request.LatencyObjective)
		p.estimates[request.Route] = e
	}
	return e
}

// bestCandidate returns the candidate with the highest score. Its upstream is nil
// if no upstream can be used; the refusal then says why.
func (p *Pool) bestCandidate(s *service, preferred *preferredUpstreams, object objectID, request *Request, now boottime.Instant) (candidate, RefusedError) {
	refusal := RefusedError{Service: request.Service, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetryAfter}
	e := p.routeEstimate(request)
	p.scratch = s.candidates(p.scratch[:0], preferred, object, request.RegionAllowed)
	if len(p.scratch) < len(s.usable) && allResting(p.scratch, now) {
		p.scratch = append(p.scratch[:0], s.usable...)
	}
	shiftAllowed := p.shift.allows(now)
	local := p.hasLocal(request)
	held := preferred == nil || len(s.regions) == 1 || s.owned.owns(preferred.regionHash)
	var best candidate
	for _, u := range p.scratch {
		if !p.eligible(u, request) {
			continue
		}
		refusal.Eligible++
		if u.consecutiveUnreachable > 0 || p.restartAssumed(u) {
			refusal.Unreachable++
		}
		if until, resting := u.resting(now); resting {
			updateRefusal(&refusal, ReasonRest, p.restRetryAfter(until, now))
			continue
		}
		if u.region != p.settings.Region && local && !shiftAllowed && held {
			updateRefusal(&refusal, ReasonShift, minRetryAfter)
			continue
		}
		if p.isLimited(u, now) && !p.limitedSendAllowed(u, now) {
			updateRefusal(&refusal, ReasonCold, coldRetryAfter)
			continue
		}
		limit := p.limitState(u, now)
		if limit.Rate > 0 && limit.Sent >= limit.Units {
			updateRefusal(&refusal, ReasonLimit, p.limitRetryAfter(u, limit, now))
			continue
		}
		c := p.scoreCandidate(s, u, request, e, preferred, object, now)
		if reason, after := rejectReason(&c, request, now); reason != "" {
			updateRefusal(&refusal, reason, after)
			refusal.countConsidered(fromMilliseconds(c.wait))
			continue
		}
		if best.upstream == nil || c.score > best.score {
			best = c
			best.limit = limit
		}
	}
	return best, refusal
}

const (
	// Retry times of a refusal: the minimum, and those that apply when no wait can be
	// estimated.
	minRetryAfter        = 200 * time.Millisecond
	coldRetryAfter       = 500 * time.Millisecond
	noUpstreamRetryAfter = 500 * time.Millisecond
)

// updateRefusal keeps the reason with the shortest retry time.
func updateRefusal(r *RefusedError, reason Reason, after time.Duration) {
	if r.Reason == ReasonNoUpstream || after < r.RetryAfter {
		r.Reason, r.RetryAfter = reason, max(after, minRetryAfter)
	}
}

// countConsidered counts an upstream that is full or too slow.
func (r *RefusedError) countConsidered(wait time.Duration) {
	if r.Considered == 0 || wait < r.MinWait {
		r.MinWait = wait
	}
	r.Considered++
}

// eligible reports whether the request may be sent to the upstream.
func (p *Pool) eligible(u *upstream, request *Request) bool {
	return !u.Draining &&
		!slices.Contains(request.Tried, u.ID) &&
		(request.RegionAllowed == nil || request.RegionAllowed(u.region))
}

// hasLocal reports whether an upstream of this host's region is eligible.
func (p *Pool) hasLocal(request *Request) bool {
	for _, u := range p.scratch {
		if u.region == p.settings.Region && p.eligible(u, request) {
			return true
		}
	}
	return false
}

// isLimited reports whether the requests to an upstream are limited like those to a
// cold one: while it is cold, while its entry may not say yet that it is cold, and
// after an assumed restart until the upstreams' entries have been read a cold start
// later, because until then the upstream may have restarted at any time.
func (p *Pool) isLimited(u *upstream, now boottime.Instant) bool {
	return u.cold(now) || now.Before(u.limitedUntil) || p.restartAssumed(u)
}

// restartAssumed reports whether the upstream may have restarted since this host could not
// reach it, as far as the entries read so far tell.
func (p *Pool) restartAssumed(u *upstream) bool {
	return u.warmIfCurrentAt != 0 && p.settings.ViewProof() < u.warmIfCurrentAt
}

// limitedSendAllowed reports whether this host may send one more request to an upstream
// whose requests are limited. Only hosts of its own region may.
func (p *Pool) limitedSendAllowed(u *upstream, now boottime.Instant) bool {
	if u.region != p.settings.Region {
		return false
	}
	limit, limited := p.settings.ColdLimit(u.Upstream, now)
	return !limited || !now.Before(u.limitedSendsFrom) && u.sends.recent(coldWindow, now) < limit
}
