package membership

import (
	"time"

	"peridotrail/internal/host"
)

// Tick moves members on whose heartbeats are late. A gap between ticks longer
// than the pause bound makes the view stale: silence during the gap is not held
// against the others.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap > t.timing.PauseBound {
		t.stale = true
		t.forgive(gap, now)
	}
	t.beginMonitoring(now)
	for id, m := range t.members {
		if m.state == host.StateGone && t.silence(m, now) > t.timing.ForgetAfter {
			d := t.domain(m.identity.FailureDomain)
			d.base = max(d.base, m.changed)
			delete(t.members, id)
			continue
		}
		t.update(m, now)
	}
}

func (t *Table) forgive(gap time.Duration, now time.Time) {
	for _, m := range t.members {
		m.heard = postpone(m.heard, gap, now)
	}
	for _, d := range t.domains {
		d.confirmed = postpone(d.confirmed, gap, now)
	}
}

// postpone moves an event by gap, but not past now.
func postpone(event time.Time, gap time.Duration, now time.Time) time.Time {
	if event.IsZero() {
		return event
	}
	moved := event.Add(gap)
	if moved.After(now) {
		return now
	}
	return moved
}

func (t *Table) silence(m *member, now time.Time) time.Duration {
	if m.heard.IsZero() {
		return now.Sub(t.domain(m.identity.FailureDomain).confirmed)
	}
	return now.Sub(m.heard)
}

// update recomputes the state of a member.
func (t *Table) update(m *member, now time.Time) {
	state := t.observe(m, now)
	if state != m.state {
		m.state = state
		t.version++
		t.touch(m)
	}
}

// touch notes a change for the own domain's summary.
func (t *Table) touch(m *member) {
	if m.identity.ID != "" && m.identity.FailureDomain != t.self.FailureDomain {
		return
	}
	t.sequence++
	m.changed = t.sequence
	t.peerCache = nil
}

// observe gives the state of a member by its heartbeats if they should arrive
// here, else by the summary of its domain.
func (t *Table) observe(m *member, now time.Time) host.State {
	silent := now.Sub(m.heard)
	limit := time.Duration(t.timing.SuspectAfter) * max(m.period, t.timing.Period)
	direct := !m.heard.IsZero() && silent < limit
	switch {
	case direct && m.leaving:
		return host.StateLeaving
	case direct:
		return host.StateLive
	case m.listed && !t.monitors(m):
		return t.listedState(m, now)
	case m.heard.IsZero() || silent >= t.timing.GoneAfter:
		return host.StateGone
	case m.leaving:
		return host.StateLeaving
	default:
		return host.StateSuspect
	}
}

func (t *Table) listedState(m *member, now time.Time) host.State {
	age := now.Sub(t.domain(m.identity.FailureDomain).confirmed)
	if m.reported == host.StateLive && age > t.timing.StaleAfter {
		return host.StateSuspect
	}
	return m.reported
}

// monitors reports whether heartbeats of the member must arrive here.
func (t *Table) monitors(m *member) bool {
	if m.identity.FailureDomain != t.self.FailureDomain {
		return false
	}
	return t.monitoring
}
