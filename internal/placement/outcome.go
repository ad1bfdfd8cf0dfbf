package placement

import (
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// Placement is the choice of an upstream for one request. Done must be called
// exactly once.
type Placement struct {
	Upstream catalog.Upstream
	Region   string // of the upstream
	Remote   bool   // the upstream is in another region

	pool        *Pool
	service     *service
	chosen      candidate
	request     Request
	start       boottime.Instant
	cold        bool
	coldLimited bool       // see Pool.isLimited
	limit       LimitState // rate zero if the upstream has no request limit
	sent        bool       // guarded by the pool's mutex; see Sent
	sends       int        // see Inputs.RecentSends
	load        float64
	loadAge     time.Duration
}

// Inputs are the estimates behind a placement, for the log.
type Inputs struct {
	Wait           time.Duration // expected wait for a slot
	ServiceTime    time.Duration // expected time in the slot
	HitProbability float64       // probability that the upstream has the object cached
	Preferred      bool          // the upstream is a preferred upstream of the object
	Cold           bool          // the upstream is in its cold start
	Limited        bool          // the requests to the upstream are limited like those to a cold one
	ColdRemaining  time.Duration // until the cold start ends
	Limit          LimitState    // request limit of the upstream; Sent does not include this request
	RecentSends    int           // requests that this host sent to the upstream within one second, this one included
	Load           float64       // estimated number of requests at the upstream
	LoadAge        time.Duration // time since the upstream last reported its load
}

// Inputs returns the estimates behind the placement.
func (p *Placement) Inputs() Inputs {
	return Inputs{
		Wait: fromMilliseconds(p.chosen.wait), ServiceTime: fromMilliseconds(p.chosen.serviceTime()),
		HitProbability: p.chosen.hitProb, Preferred: p.chosen.preference != notPreferred, Cold: p.cold, Limited: p.coldLimited, Limit: p.limit, Load: p.load, LoadAge: p.loadAge,
		ColdRemaining: max(0, p.Upstream.ColdUntil.Sub(p.start)), RecentSends: p.sends,
	}
}

// limited reports whether requests to the upstream are limited.
func (p *Placement) limited() bool { return p.coldLimited || p.limit.Rate > 0 }

// Outcome says how an attempt at the chosen upstream ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeAnswered    Outcome = iota + 1 // the upstream sent a complete response, with any status
	OutcomeFailed                         // the upstream failed, or its response was cut off
	OutcomeNotRun                         // the upstream rejected the request without running it
	OutcomeRest                           // like OutcomeNotRun, and the upstream asked for rest; see Placement.Rest
	OutcomeMoved                          // the address now belongs to another upstream
	OutcomeCancelled                      // the caller closed the request
	OutcomeExpired                        // the deadline passed
	OutcomeUnreachable                    // the connection could not be opened in time
	OutcomeRefused                        // the connection was refused, so no process is listening
)

// Report describes the end of an attempt.
type Report struct {
	Outcome   Outcome
	Failure   bool    // the response reports an error of the upstream itself
	Load      *Load   // nil if the upstream reported none
	Kilobytes float64 // of request and response together
}

// restartThreshold is the number of consecutive connections that can't be opened
// after which an upstream is assumed to have restarted. A single one may be due
// to a lost packet.
const restartThreshold = 2

// Done ends the placement and updates the estimates with its outcome.
func (p *Placement) Done(report Report, now boottime.Instant) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.chosen.upstream
	u.inflight--
	p.recordSent(now)
	if report.Load != nil {
		u.recordLoad(*report.Load, now) // first: its slowdown explains the time of this response
		pool.reportedLoads[u.ID] = *report.Load
	}
	switch report.Outcome {
	case OutcomeAnswered:
		p.learnFromResponse(report, now)
	case OutcomeFailed, OutcomeNotRun:
		u.recordFailure(now)
	case OutcomeUnreachable, OutcomeRefused:
		u.recordFailure(now)
		u.consecutiveUnreachable++
		if report.Outcome == OutcomeRefused || u.consecutiveUnreachable >= restartThreshold {
			u.assumeRestart(now, pool.settings.ColdStart(u.Service))
		}
	case OutcomeMoved:
		u.Draining, u.movedUntil = true, now.Add(movedMemory)
		p.service.rebuildIndex(pool.evacuated, pool.settings.FailureDomain)
	case OutcomeExpired:
		p.learnFromExpiry(now)
	case OutcomeCancelled, OutcomeRest:
	}
}

// observedServiceTime returns the time in the slot in ms: the time since the start
// less the expected wait and the round trip to another region.
func (p *Placement) observedServiceTime(now boottime.Instant) float64 {
	observed := milliseconds(now.Sub(p.start)) - p.chosen.wait
	if p.Remote {
		observed -= milliseconds(p.pool.settings.RegionRoundTrip)
	}
	return observed
}

// learnFromResponse updates the estimates with a response. The caller holds the
// pool's mutex.
func (p *Placement) learnFromResponse(report Report, now boottime.Instant) {
	u := p.chosen.upstream
	if report.Failure {
		u.recordFailure(now)
		return
	}
	u.recordSuccess(now)
	u.consecutiveUnreachable = 0
	e := p.pool.routeEstimate(&p.request)
	e.kilobytes += sampleWeight * (report.Kilobytes - e.kilobytes)
	observed := p.observedServiceTime(now)
	if p.cold || p.chosen.wait > p.chosen.cachedMS || observed <= 0 || report.Load != nil && report.Load.Waiting > 0 {
		return // the sample mostly measures the queue, whose length is reported, or the cold start
	}
	slowdown := u.currentSlowdown(now)
	cached := e.learn(observed/slowdown, p.request.Sticky)
	u.recordSlowdown(observed/e.serviceTime(cached), now)
	if p.request.hasObject() {
		p.service.cache.learn(p.chosen.preference, p.chosen.reuseDistance, p.chosen.sent, cached)
	}
}

// learnFromExpiry updates the estimates after the deadline has passed. The service
// time is at least the time observed, so the sample counts as one of an object
// that is not cached. A time above that estimate counts as a slowdown of the
// upstream too. The caller holds the pool's mutex.
func (p *Placement) learnFromExpiry(now boottime.Instant) {
	observed := p.observedServiceTime(now)
	if p.cold || observed <= 0 {
		return
	}
	u, e := p.chosen.upstream, p.pool.routeEstimate(&p.request)
	slowdown := u.currentSlowdown(now)
	sample := observed / slowdown
	if p.request.hasObject() && sample > e.cachedBoundary() {
		p.service.cache.learn(p.chosen.preference, p.chosen.reuseDistance, p.chosen.sent, false)
	}
	if sample > e.cachedMS && now.Sub(u.upstreamLoadAt) > upstreamLoadDecay {
		// An upstream that does not answer reports no load; assume that its slots are full.
		u.otherRequests, u.upstreamLoadAt = max(u.otherRequests, float64(u.slots)), now
	}
	if sample > e.uncachedMS {
		e.uncachedMS += sampleWeight * (sample - e.uncachedMS)
		u.recordSlowdown(observed/e.uncachedMS, now)
	}
}

// Sent records that the whole request has been sent. Without it, a request to an
// upstream whose requests are limited counts as sent when Done is called.
func (p *Placement) Sent(now boottime.Instant) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.recordSent(now)
}

// recordSent counts a request to an upstream whose requests are limited, once. The
// caller holds the pool's mutex.
func (p *Placement) recordSent(now boottime.Instant) {
	if p.limited() && !p.sent {
		p.sent = true
		p.chosen.upstream.sends.recordSend(now)
	}
}

// SetColdUntil extends the upstream's cold start, as reported by the upstream.
func (p *Placement) SetColdUntil(until, now boottime.Instant) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	u := p.chosen.upstream
	u.reportedColdUntil = max(u.reportedColdUntil, until)
	u.extendColdStart(until, true, now)
}
