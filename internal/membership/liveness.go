package membership

import (
	"time"

	"peridotrail/internal/host"
)

// Tick updates the states of members whose heartbeats are overdue. A gap between
// ticks longer than Timing.MaxTickGap means that this process was paused: the view
// becomes stale, and the gap does not count towards the timeouts of other hosts.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap > t.timing.MaxTickGap {
		t.resumedFromPause = true
		t.excludePause(gap, now)
	}
	t.updateMonitoring(now)
	for id, m := range t.members {
		if m.state == host.StateGone && t.silence(m, now) > t.timing.ForgetAfter {
			d := t.domain(m.identity.FailureDomain)
			d.baseSequence = max(d.baseSequence, m.changeSequence)
			delete(t.members, id)
			continue
		}
		t.updateState(m, now)
	}
}

// excludePause keeps a pause of this process from counting towards timeouts.
func (t *Table) excludePause(gap time.Duration, now time.Time) {
	for _, m := range t.members {
		m.lastHeard = shiftTime(m.lastHeard, gap, now)
	}
	for _, d := range t.domains {
		d.lastConfirmed = shiftTime(d.lastConfirmed, gap, now)
	}
}

// shiftTime returns event moved later by gap, but not past now. A zero time stays.
func shiftTime(event time.Time, gap time.Duration, now time.Time) time.Time {
	if event.IsZero() {
		return event
	}
	moved := event.Add(gap)
	if moved.After(now) {
		return now
	}
	return moved
}

// silence returns the time since the member's last heartbeat, or since its domain's
// summary was last confirmed if no heartbeat has been received.
func (t *Table) silence(m *member, now time.Time) time.Duration {
	if m.lastHeard.IsZero() {
		return now.Sub(t.domain(m.identity.FailureDomain).lastConfirmed)
	}
	return now.Sub(m.lastHeard)
}

// updateState recomputes the state of a member and records a change.
func (t *Table) updateState(m *member, now time.Time) {
	state := t.computeState(m, now)
	if state != m.state {
		m.state = state
		t.version++
		t.recordChange(m)
	}
}

// recordChange advances the summary of the own domain if the member belongs to it.
func (t *Table) recordChange(m *member) {
	if m.identity.ID != "" && m.identity.FailureDomain != t.self.FailureDomain {
		return
	}
	t.sequence++
	m.changeSequence = t.sequence
	t.peerCache = nil
}

// computeState returns the state of a member. Recent heartbeats take precedence; a
// member that this host does not monitor has the state in its domain's summary.
func (t *Table) computeState(m *member, now time.Time) host.State {
	silence := now.Sub(m.lastHeard)
	limit := time.Duration(t.timing.SuspectAfter) * max(m.period, t.timing.Period)
	heardInTime := !m.lastHeard.IsZero() && silence < limit
	switch {
	case heardInTime && m.leaving:
		return host.StateLeaving
	case heardInTime:
		return host.StateLive
	case m.inSummary && !t.monitorsMember(m):
		return t.summaryState(m, now)
	case m.lastHeard.IsZero() || silence >= t.timing.GoneAfter:
		return host.StateGone
	case m.leaving:
		return host.StateLeaving
	default:
		return host.StateSuspect
	}
}

// summaryState returns the state of a member in its domain's summary. A live member is
// suspect if the summary has not been confirmed for Timing.StaleAfter.
func (t *Table) summaryState(m *member, now time.Time) host.State {
	age := now.Sub(t.domain(m.identity.FailureDomain).lastConfirmed)
	if m.reportedState == host.StateLive && age > t.timing.StaleAfter {
		return host.StateSuspect
	}
	return m.reportedState
}

// monitorsMember reports whether this host detects the member's failure by its
// heartbeats.
func (t *Table) monitorsMember(m *member) bool {
	if m.identity.FailureDomain != t.self.FailureDomain {
		return false
	}
	return t.monitorsDomain
}
