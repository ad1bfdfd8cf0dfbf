package placement

import (
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// Placement is a chosen upstream. Done must be called once.
type Placement struct {
	Upstream catalog.Upstream
	Remote   bool // in another region

	pool    *Pool
	service *service
	chosen  candidate
	work    Work
	start   boottime.Instant
	cold    bool
	load    float64
	loadAge time.Duration
}

// Inputs are what decided a placement, for the log.
type Inputs struct {
	Wait    time.Duration // expected until a slot is free
	Work    time.Duration // expected in the slot
	Warm    float64       // chance that the upstream knows the object
	Home    bool          // the hosts agree to keep the object there
	Cold    bool          // the upstream has just started
	Load    float64       // requests believed to be at the upstream
	LoadAge time.Duration // age of its last report
}

// Inputs returns what decided the placement.
func (p *Placement) Inputs() Inputs {
	return Inputs{
		Wait: fromMilliseconds(p.chosen.wait), Work: fromMilliseconds(p.chosen.work()),
		Warm: p.chosen.warm, Home: p.chosen.standing != stranger, Cold: p.cold, Load: p.load, LoadAge: p.loadAge,
	}
}

// Outcome says how a placed request ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeAnswered    Outcome = iota + 1 // the upstream answered, well or not
	OutcomeFailed                         // the upstream failed or its answer broke off
	OutcomeNotRun                         // the upstream refused to run it
	OutcomeMoved                          // the address belongs to another upstream
	OutcomeCancelled                      // the caller left
	OutcomeExpired                        // the time was over
	OutcomeUnreachable                    // a connection could not be made in time
	OutcomeRefused                        // the connection was refused: no process listens
)

// Report is what a finished request tells of its upstream.
type Report struct {
	Outcome   Outcome
	Failure   bool    // the upstream answered with a failure of its own
	Load      *Load   // nil: the upstream said nothing
	Kilobytes float64 // of request and answer together
}

// unreachedRestart is the number of connections in a row that fail to open after
// which an upstream is taken for one that starts anew. Single ones are lost packets.
const unreachedRestart = 2

// Done ends the placement and learns from its outcome.
func (p *Placement) Done(report Report, now boottime.Instant) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.chosen.upstream
	u.inflight--
	switch report.Outcome {
	case OutcomeAnswered:
		p.learn(report, now)
	case OutcomeFailed, OutcomeNotRun:
		u.failed(now)
	case OutcomeUnreachable, OutcomeRefused:
		u.failed(now)
		u.unreached++
		if report.Outcome == OutcomeRefused || u.unreached >= unreachedRestart {
			u.suspect(now, pool.settings.ColdStart(u.Service))
		}
	case OutcomeMoved:
		u.Draining = true
		p.service.index(pool.evacuated, pool.settings.FailureDomain)
	case OutcomeExpired:
		p.expired(now)
	case OutcomeCancelled:
	}
	if report.Load != nil {
		u.report(*report.Load, now)
	}
}

// took is the observed time in the slot, in ms.
func (p *Placement) took(now boottime.Instant) float64 {
	took := milliseconds(now.Sub(p.start)) - p.chosen.wait
	if p.Remote {
		took -= milliseconds(p.pool.settings.RegionRoundTrip)
	}
	return took
}

// learn updates the estimates from an answer.
func (p *Placement) learn(report Report, now boottime.Instant) {
	u := p.chosen.upstream
	if report.Failure {
		u.failed(now)
		return
	}
	u.succeeded(now)
	u.unreached = 0
	e := p.pool.estimate(&p.work)
	e.kilobytes += sampleWeight * (report.Kilobytes - e.kilobytes)
	took := p.took(now)
	if p.cold || p.chosen.wait > p.chosen.workWarm || took <= 0 {
		return // the sample says more of the queue or of the start than of the work
	}
	slow := u.currentSlowness(now)
	warm := e.learn(took/slow, p.work.Sticky)
	u.observe(took/e.work(warm), now)
	if p.work.hasObject() {
		p.service.warmth.learn(p.chosen.standing, p.chosen.rank, p.chosen.sent, warm)
	}
}

// expired learns from a request whose time was over. Its work takes at least as
// long as it was given, so it is a sample of work on an unknown object unless the
// upstream is slow beyond that.
func (p *Placement) expired(now boottime.Instant) {
	took := p.took(now)
	if p.cold || took <= 0 {
		return
	}
	u, e := p.chosen.upstream, p.pool.estimate(&p.work)
	slow := u.currentSlowness(now)
	sample := took / slow
	if p.work.hasObject() && sample > e.middle() {
		p.service.warmth.learn(p.chosen.standing, p.chosen.rank, p.chosen.sent, false)
	}
	if sample > e.warm && now.Sub(u.reported) > loadMemory {
		u.others, u.reported = max(u.others, float64(u.slots)), now // it says nothing while it answers nothing
	}
	if sample > e.cold {
		e.cold += sampleWeight * (sample - e.cold)
		u.observe(took/e.cold, now)
	}
}

// ColdFor notes that an upstream said how long it stays cold.
func (p *Placement) ColdFor(until boottime.Instant) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	u := p.chosen.upstream
	u.ColdUntil = max(u.ColdUntil, until)
}
