package placement

import "peridotrail/internal/boottime"

// Outcome says how a placed request ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeAnswered    Outcome = iota + 1 // the upstream answered, well or not
	OutcomeFailed                         // the upstream failed or did not answer
	OutcomeNotRun                         // the upstream refused to run it
	OutcomeMoved                          // the address belongs to another upstream
	OutcomeCancelled                      // the caller left or the time was over
	OutcomeUnreachable                    // a connection could not be made in time
	OutcomeRefused                        // the connection was refused: no process listens
)

// unreachedRestart is the number of connections in a row that fail to open after
// which an upstream is taken for one that starts anew. Single ones are lost packets.
const unreachedRestart = 2

// Report is what a finished request tells of its upstream.
type Report struct {
	Outcome Outcome
	Failure bool  // the upstream answered with a failure of its own
	Load    *Load // nil: the upstream said nothing
}

// Done ends the placement and learns from its outcome.
func (p *Placement) Done(report Report, now boottime.Instant) {
	pool := p.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	u := p.upstream
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
	case OutcomeCancelled:
	}
	if report.Load != nil {
		u.report(*report.Load, now)
	}
}

// learn updates the estimates from an answer.
func (p *Placement) learn(report Report, now boottime.Instant) {
	u := p.upstream
	if report.Failure {
		u.failed(now)
		return
	}
	u.succeeded(now)
	u.unreached = 0
	if p.work.Sticky {
		u.remember(p.work.Object, now)
	}
	took := milliseconds(now.Sub(p.start)) - p.wait
	if p.Remote {
		took -= milliseconds(p.pool.settings.RegionRoundTrip)
	}
	if p.cold || p.wait > p.expected || took <= 0 {
		return // the sample says more of the queue or of the start than of the work
	}
	e := p.pool.estimate(p.work)
	slow := u.currentSlowness(now)
	warm := e.learn(took/slow, p.work.Sticky)
	u.observe(took/e.work(warm), now)
}

// ColdFor notes that an upstream said how long it stays cold.
func (p *Placement) ColdFor(until boottime.Instant) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.upstream.ColdUntil = max(p.upstream.ColdUntil, until)
}
