// Package placement decides at which upstream a request runs, or that it can't be
// served now and when to come back.
//
// The decisions are pure: they read no clock and do no I/O. Each upstream is
// given the credit that a request may expect there: the chance of an answer
// within its objective, a smaller credit for a late one, less what it costs to
// cross to another failure domain or region. The best one wins. Sticky work goes
// to the upstream that knows its object, or else to the one that all hosts of the
// failure domain pick for it by rendezvous hashing.
package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// Settings of a Pool. Credits are relative to that of an answer within its
// objective.
type Settings struct {
	FailureDomain   string
	Region          string
	Regions         map[string]string // region of each failure domain
	LateCredit      float64           // credit of an answer after its objective
	CrossDomain     float64           // cost of a kilobyte that leaves the failure domain
	CrossRegion     float64           // further cost of a kilobyte that leaves the region
	RegionRoundTrip time.Duration     // to another region
	MaxShift        float64           // growth of the share that leaves the region, a window
	// ColdBound returns the requests a second that this host may send to a cold
	// upstream of a service.
	ColdBound func(service string) float64
	// ColdStart returns how long an upstream of a service is cold after its start.
	ColdStart func(service string) time.Duration
}

// Pool places work on the known upstreams. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu        sync.Mutex // guards all below; never held across I/O
	upstreams map[string]*upstream
	services  map[string]*service
	estimates map[string]*estimate
	evacuated map[string]bool // failure domains that get no work
	shift     shiftBound
	told      map[string]told // by the host that told
	scratch   []*upstream     // candidates of one placement
}

// NewPool returns a pool without upstreams.
func NewPool(settings Settings) *Pool {
	return &Pool{
		settings:  settings,
		upstreams: map[string]*upstream{},
		services:  map[string]*service{},
		estimates: map[string]*estimate{},
		told:      map[string]told{},
		shift:     shiftBound{most: settings.MaxShift},
	}
}

// SetUpstreams replaces the set of upstreams. What is known of those that stay is
// kept, unless they have started anew.
func (p *Pool) SetUpstreams(entries []catalog.Upstream, evacuated map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = evacuated
	present := make(map[string]*upstream, len(entries))
	for _, s := range p.services {
		s.all = nil
	}
	for _, entry := range entries {
		u := p.upstreams[entry.ID]
		if u == nil || u.Address != entry.Address || u.Service != entry.Service || u.Incarnation != entry.Incarnation {
			u = newUpstream(entry, p.settings.Regions[entry.FailureDomain])
		}
		u.Draining = entry.Draining
		u.ColdUntil = max(u.ColdUntil, entry.ColdUntil)
		present[entry.ID] = u
		s := p.service(entry.Service)
		s.all = append(s.all, u)
	}
	p.upstreams = present
	for _, s := range p.services {
		slices.SortFunc(s.all, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
		s.index(p.evacuated, p.settings.FailureDomain)
	}
}

// service returns what is known of a service. The caller holds mu.
func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = newService()
		p.services[name] = s
	}
	return s
}

// candidate is the valuation of one upstream.
type candidate struct {
	upstream *upstream
	standing standing
	rank     int
	sent     bool    // this host has sent the object there
	warm     float64 // chance that the upstream knows the object
	wait     float64 // expected until a slot is free, ms
	workWarm float64 // ms
	workCold float64 // ms
	credit   float64
}

// work is the expected time in the slot, in ms.
func (c *candidate) work() float64 { return c.warm*c.workWarm + (1-c.warm)*c.workCold }

// Place chooses an upstream. It fails with a *RefusedError.
func (p *Pool) Place(work Work, now boottime.Instant) (Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(work.Service)
	var h *homes
	var object objectID
	if work.hasObject() {
		s.warmth.asked(work.Object, now)
		h, object = s.homesOf(work.Object), s.number(work.Object)
	}
	best, refusal := p.best(s, h, object, &work, now)
	if best.upstream == nil {
		return Placement{}, refused(refusal)
	}
	u := best.upstream
	placement := Placement{
		Upstream: u.Upstream, Remote: u.region != p.settings.Region,
		pool: p, service: s, chosen: best, work: work, start: now, cold: u.cold(now),
		load: u.occupancy(now), loadAge: now.Sub(u.reported),
	}
	u.inflight++
	u.served = true
	if placement.cold {
		u.coldSends.Add(1, now)
	}
	if h != nil {
		u.memory.use(object)
		s.note(object, u)
		s.warmth.placed(work.Object, p.crossing(u, p.estimate(&work)))
	}
	p.shift.count(placement.Remote, now)
	return placement, nil
}

// refused keeps the allocation of an error off the way of requests that are placed.
func refused(r RefusedError) error { return &r }

// hasObject reports whether upstreams may know the object of the work.
func (w *Work) hasObject() bool { return w.Sticky && w.Object != "" }

func (p *Pool) estimate(work *Work) *estimate {
	e := p.estimates[work.Route]
	if e == nil {
		e = newEstimate(work.LatencyObjective)
		p.estimates[work.Route] = e
	}
	return e
}

// best values the candidates. Its upstream is nil if none may be used.
func (p *Pool) best(s *service, h *homes, object objectID, work *Work, now boottime.Instant) (candidate, RefusedError) {
	refusal := RefusedError{Service: work.Service, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetry}
	e := p.estimate(work)
	p.scratch = s.candidates(p.scratch[:0], h, object)
	shiftAllowed := p.shift.allows(now)
	local := p.hasLocal(work)
	var best candidate
	for _, u := range p.scratch {
		if !p.eligible(u, work) {
			continue
		}
		if u.region != p.settings.Region && local && !shiftAllowed {
			note(&refusal, ReasonShift, minRetry)
			continue
		}
		if u.cold(now) && !p.coldRoom(u, now) {
			note(&refusal, ReasonCold, coldRetry)
			continue
		}
		c := p.value(s, u, work, e, h, object, now)
		if reason, after := hopeless(&c, work, now); reason != "" {
			note(&refusal, reason, after)
			refusal.full(fromMilliseconds(c.wait))
			continue
		}
		if best.upstream == nil || c.credit > best.credit {
			best = c
		}
	}
	return best, refusal
}

const (
	minRetry        = 200 * time.Millisecond
	coldRetry       = 500 * time.Millisecond
	noUpstreamRetry = 500 * time.Millisecond
)

// note keeps the refusal that ends soonest.
func note(r *RefusedError, reason Reason, after time.Duration) {
	if r.Reason == ReasonNoUpstream || after < r.RetryAfter {
		r.Reason, r.RetryAfter = reason, max(after, minRetry)
	}
}

// full counts an upstream that was found full or too slow.
func (r *RefusedError) full(wait time.Duration) {
	if r.Considered == 0 || wait < r.LeastWait {
		r.LeastWait = wait
	}
	r.Considered++
}

func (p *Pool) eligible(u *upstream, work *Work) bool {
	return !u.Draining &&
		!slices.Contains(work.Tried, u.ID) &&
		(work.Allowed == nil || work.Allowed(u.region))
}

// hasLocal reports whether a candidate of this host's region may be used.
func (p *Pool) hasLocal(work *Work) bool {
	for _, u := range p.scratch {
		if u.region == p.settings.Region && p.eligible(u, work) {
			return true
		}
	}
	return false
}

// coldRoom reports whether this host may send one more request to a cold
// upstream. Only hosts of its region send to it.
func (p *Pool) coldRoom(u *upstream, now boottime.Instant) bool {
	if u.region != p.settings.Region {
		return false
	}
	bound := p.settings.ColdBound(u.Service)
	return bound <= 0 || float64(u.coldSends.Count(now)+1) <= max(bound, 1)
}
