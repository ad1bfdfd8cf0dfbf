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
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	CrossDomain     float64           // cost of leaving the failure domain
	CrossRegion     float64           // further cost of leaving the region
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
	services  map[string][]*upstream
	estimates map[string]*estimate
	evacuated map[string]bool // failure domains that get no work
	shift     shiftBound
}

// NewPool returns a pool without upstreams.
func NewPool(settings Settings) *Pool {
	return &Pool{
		settings:  settings,
		upstreams: map[string]*upstream{},
		services:  map[string][]*upstream{},
		estimates: map[string]*estimate{},
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
	p.services = map[string][]*upstream{}
	for _, entry := range entries {
		u := p.upstreams[entry.ID]
		if u == nil || u.Address != entry.Address || u.Service != entry.Service || u.Incarnation != entry.Incarnation {
			u = newUpstream(entry, p.settings.Regions[entry.FailureDomain])
		}
		u.Draining = entry.Draining
		u.ColdUntil = max(u.ColdUntil, entry.ColdUntil)
		present[entry.ID] = u
		p.services[entry.Service] = append(p.services[entry.Service], u)
	}
	p.upstreams = present
}

// Placement is a chosen upstream. Done must be called once.
type Placement struct {
	Upstream catalog.Upstream
	Remote   bool // in another region

	pool     *Pool
	upstream *upstream
	work     Work
	start    boottime.Instant
	wait     float64 // expected wait, ms
	expected float64 // expected work of an upstream of usual speed, ms
	cold     bool
}

// Expected returns the expected time to the answer.
func (p *Placement) Expected() time.Duration { return fromMilliseconds(p.wait + p.expected) }

// candidate is the valuation of one upstream.
type candidate struct {
	upstream *upstream
	wait     float64
	work     float64
	credit   float64
	cold     bool
}

// Place chooses an upstream. It fails with a *RefusedError.
func (p *Pool) Place(work Work, now boottime.Instant) (*Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	estimate := p.estimate(work)
	best, refusal := p.best(work, estimate, now)
	if best == nil {
		return nil, refusal
	}
	u := best.upstream
	u.inflight++
	if u.cold(now) {
		u.coldSends.Add(1, now)
	}
	remote := u.region != p.settings.Region
	p.shift.count(remote, now)
	return &Placement{
		Upstream: u.Upstream, Remote: remote, pool: p, upstream: u, work: work,
		start: now, wait: best.wait, expected: best.work, cold: u.cold(now),
	}, nil
}

func (p *Pool) estimate(work Work) *estimate {
	e := p.estimates[work.Route]
	if e == nil {
		e = newEstimate(work.LatencyObjective)
		p.estimates[work.Route] = e
	}
	return e
}

func (p *Pool) best(work Work, e *estimate, now boottime.Instant) (*candidate, *RefusedError) {
	refusal := &RefusedError{Service: work.Service, Reason: ReasonNoUpstream, RetryAfter: noUpstreamRetry}
	home := p.rendezvous(work)
	shiftAllowed := p.shift.allows(now)
	local := p.hasLocal(work)
	var best *candidate
	for _, u := range p.services[work.Service] {
		if !p.eligible(u, work) {
			continue
		}
		if u.region != p.settings.Region && local && !shiftAllowed {
			note(refusal, ReasonShift, minRetry)
			continue
		}
		if u.cold(now) && !p.coldRoom(u, now) {
			note(refusal, ReasonCold, coldRetry)
			continue
		}
		c := p.value(u, work, e, u == home, now)
		if reason, after := hopeless(c, work, now); reason != "" {
			note(refusal, reason, after)
			continue
		}
		if best == nil || c.credit > best.credit {
			best = &c
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

func (p *Pool) eligible(u *upstream, work Work) bool {
	return !u.Draining && !p.evacuated[u.FailureDomain] &&
		!slices.Contains(work.Tried, u.ID) &&
		(work.Allowed == nil || work.Allowed(u.region))
}

func (p *Pool) hasLocal(work Work) bool {
	return slices.ContainsFunc(p.services[work.Service], func(u *upstream) bool {
		return u.region == p.settings.Region && p.eligible(u, work)
	})
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

// rendezvous returns the upstream that all hosts of this failure domain pick for
// the object of work, nil for work that is not sticky.
func (p *Pool) rendezvous(work Work) *upstream {
	if !work.Sticky || work.Object == "" {
		return nil
	}
	var home *upstream
	var highest uint64
	local := false
	for _, u := range p.services[work.Service] {
		near := u.FailureDomain == p.settings.FailureDomain
		if !p.eligible(u, work) || u.region != p.settings.Region || (local && !near) {
			continue
		}
		score := xxhash.Sum64String(u.ID + "\x00" + work.Object)
		if home == nil || (near && !local) || score > highest {
			home, highest, local = u, score, near
		}
	}
	return home
}

const (
	// homeCredit makes hosts agree on where an object that nobody knows is served.
	homeCredit = 0.15
	// latencyCost breaks ties towards the faster answer, per objective.
	latencyCost = 0.05
	// spread is the usual deviation of work relative to its mean.
	spread = 0.15
	// spreadFloor is the least deviation of an answer's time, in ms.
	spreadFloor = 4.0
)

func (p *Pool) value(u *upstream, work Work, e *estimate, home bool, now boottime.Instant) candidate {
	_, known := u.objects[work.Object]
	warm := !work.Sticky || work.Object == "" || known
	c := candidate{upstream: u, cold: u.cold(now)}
	slow := u.currentSlowness(now)
	if c.cold {
		slow *= coldSlowdown
	}
	c.work = e.work(warm) * slow
	c.wait = u.expectedWait(e, slow, now)
	latency := c.wait + c.work
	if u.region != p.settings.Region {
		latency += milliseconds(p.settings.RegionRoundTrip)
	}
	deviation := spread*latency + spreadFloor
	onTime := chance(milliseconds(work.Objective.Sub(now))-latency, deviation)
	inTime := chance(milliseconds(work.Limit.Sub(now))-latency, deviation)
	c.credit = u.currentTrust(now) * (onTime + p.settings.LateCredit*max(0, inTime-onTime))
	c.credit -= latencyCost * latency / max(milliseconds(work.LatencyObjective), leastObjective)
	if u.FailureDomain != p.settings.FailureDomain {
		c.credit -= p.settings.CrossDomain
	}
	if u.region != p.settings.Region {
		c.credit -= p.settings.CrossRegion
	}
	if home && !known {
		c.credit += homeCredit
	}
	return c
}

// expectedWait is the time until a slot of the upstream is free, in ms.
func (u *upstream) expectedWait(e *estimate, slow float64, now boottime.Instant) float64 {
	ahead := u.occupancy(now) - float64(u.slots) + 1
	if ahead <= 0 {
		return 0
	}
	return ahead / float64(u.slots) * e.warm * slow
}

// chance is the probability that a deviation stays below margin.
func chance(margin, deviation float64) float64 {
	return 1 / (1 + math.Exp(-1.7*margin/deviation))
}

// queueShare bounds the wait of work that will be late anyway, as part of its
// objective, so that it does not make punctual work late.
const queueShare = 0.3

// hopeless says why a request should not be sent to an upstream.
func hopeless(c candidate, work Work, now boottime.Instant) (Reason, time.Duration) {
	left := milliseconds(work.Limit.Sub(now))
	if c.wait+c.work > left {
		return ReasonDeadline, fromMilliseconds(c.wait)
	}
	objective := max(milliseconds(work.LatencyObjective), leastObjective)
	most := max(milliseconds(work.Objective.Sub(now))-c.work, queueShare*objective)
	if c.wait > most {
		return ReasonQueue, fromMilliseconds(c.wait - most)
	}
	return "", 0
}
