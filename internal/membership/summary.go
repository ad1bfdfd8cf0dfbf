package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
)

// ownStamp returns the stamp of the own domain's summary. A host that is no longer
// the representative keeps the last stamp that it produced, so that the next
// representative advances past it.
func (t *Table) ownStamp() Stamp {
	d := t.domain(t.self.FailureDomain)
	if t.Representative() != t.self.ID {
		return d.stamp
	}
	current := Stamp{Epoch: t.leadership.Epoch, Sequence: t.sequence, Origin: t.origin}
	if d.stamp.Less(current) {
		d.stamp = current
	}
	return current
}

// Stamps returns the stamps of the summaries of all known domains, sorted by domain.
func (t *Table) Stamps() []DomainStamp {
	stamps := make([]DomainStamp, 0, len(t.domains))
	for name, d := range t.domains {
		stamp := d.stamp
		if name == t.self.FailureDomain {
			stamp = t.ownStamp()
		}
		stamps = append(stamps, DomainStamp{Domain: name, Stamp: stamp})
	}
	slices.SortFunc(stamps, func(a, b DomainStamp) int { return cmp.Compare(a.Domain, b.Domain) })
	return stamps
}

// StampsHash returns a hash of Stamps. Equal hashes mean that two hosts hold the same
// summaries.
func (t *Table) StampsHash() uint64 {
	hash := xxhash.New()
	var buffer [16]byte
	for _, s := range t.Stamps() {
		if s.Stamp == (Stamp{}) {
			continue
		}
		_, _ = hash.WriteString(s.Domain)
		binary.BigEndian.PutUint64(buffer[:8], s.Stamp.Epoch)
		binary.BigEndian.PutUint64(buffer[8:], s.Stamp.Sequence^uint64(s.Stamp.Origin)<<32)
		_, _ = hash.Write(buffer[:])
	}
	return hash.Sum64()
}

// ChangesSince returns the summaries that are newer than the stamps in the request.
func (t *Table) ChangesSince(request SyncRequest) SyncReply {
	heldStamps := map[string]Stamp{}
	for _, s := range request.Held {
		heldStamps[s.Domain] = s.Stamp
	}
	var reply SyncReply
	for _, s := range t.Stamps() {
		if heldStamps[s.Domain].Less(s.Stamp) {
			reply.Summaries = append(reply.Summaries, t.summary(s, heldStamps[s.Domain]))
		}
	}
	return reply
}

// summary returns the summary of a domain as changes since a stamp, or complete if
// not all changes since then are known. Only the representative knows the changes in
// the own domain; other hosts relay what they received from it.
func (t *Table) summary(current DomainStamp, since Stamp) Summary {
	ownDomain := current.Domain == t.self.FailureDomain
	representative := ownDomain && t.Representative() == t.self.ID
	d := t.domain(current.Domain)
	result := Summary{Domain: current.Domain, Stamp: current.Stamp, Leader: d.leader}
	if representative {
		result.Leader = t.leadership.Leader
	}
	changesKnown := representative || !ownDomain
	if changesKnown && current.Stamp.sameOrigin(since) && since.Sequence >= d.baseSequence {
		result.Since = since.Sequence
	}
	for _, m := range t.members {
		if m.identity.FailureDomain == current.Domain && (representative || m.inSummary) {
			result.Hosts = appendChange(result, m, representative)
		}
	}
	if ownDomain {
		result.Hosts = append(result.Hosts, t.selfSummary(current.Stamp))
	}
	slices.SortFunc(result.Hosts, func(a, b HostSummary) int { return cmp.Compare(a.Identity.ID, b.Identity.ID) })
	return result
}

// appendChange returns the hosts of s with a member added, unless the receiver
// already has its state or, in a complete summary, the member is gone.
func appendChange(s Summary, m *member, useObservedState bool) []HostSummary {
	state := m.reportedState
	if useObservedState {
		state = m.state
	}
	if s.Since > 0 && m.changeSequence <= s.Since || s.Since == 0 && state == host.StateGone {
		return s.Hosts
	}
	return append(s.Hosts, HostSummary{Identity: m.identity, State: state, Changed: m.changeSequence})
}

func (t *Table) selfSummary(stamp Stamp) HostSummary {
	state := host.StateLive
	if t.leaving {
		state = host.StateLeaving
	}
	return HostSummary{Identity: t.self, State: state, Changed: stamp.Sequence}
}

// Apply applies the summaries of a reply. Those that are not newer than the ones
// held are ignored.
func (t *Table) Apply(reply SyncReply, now time.Time) {
	for _, s := range reply.Summaries {
		t.applySummary(s, now)
	}
}

func (t *Table) applySummary(s Summary, now time.Time) {
	ownDomain := s.Domain == t.self.FailureDomain
	if ownDomain && t.Representative() == t.self.ID && s.Stamp.Epoch <= t.leadership.Epoch {
		t.addUnknownHosts(s, now)
		t.advancePastStamp(s.Stamp)
		return
	}
	d := t.domain(s.Domain)
	if !d.stamp.Less(s.Stamp) || (s.Since > 0 && (!s.Stamp.sameOrigin(d.stamp) || d.stamp.Sequence != s.Since)) {
		return
	}
	if s.Since == 0 {
		d.baseSequence = s.Stamp.Sequence
	}
	d.stamp = s.Stamp
	if ownDomain {
		t.sequence = max(t.sequence, s.Stamp.Sequence)
	}
	d.leader = s.Leader
	d.lastConfirmed = now
	listedIDs := map[host.ID]bool{}
	for _, h := range s.Hosts {
		listedIDs[h.Identity.ID] = true
		t.applyHost(h, now)
	}
	if s.Since == 0 {
		t.markUnlistedGone(s.Domain, listedIDs, now)
	}
}

// applyHost applies the entry of one host in a summary.
func (t *Table) applyHost(h HostSummary, now time.Time) {
	if h.Identity.ID == t.self.ID {
		return
	}
	m, known := t.members[h.Identity.ID]
	if known && h.Identity.Incarnation < m.identity.Incarnation {
		return
	}
	if !known {
		m = &member{state: host.StateGone}
		t.members[h.Identity.ID] = m
	}
	if !m.identity.SameProcess(h.Identity) {
		*m = member{state: m.state, identity: h.Identity}
		t.version++
		t.recordChange(m)
	}
	m.inSummary = true
	m.reportedState = h.State
	t.peerCache = nil
	t.awaitFirstHeartbeat(m, now)
	t.updateState(m, now)
	m.changeSequence = h.Changed
}

// awaitFirstHeartbeat starts the timeout for the first heartbeat of a host of the own
// domain that is known from a summary only.
func (t *Table) awaitFirstHeartbeat(m *member, now time.Time) {
	ownDomain := m.identity.FailureDomain == t.self.FailureDomain
	if ownDomain && m.lastHeard.IsZero() && m.reportedState != host.StateGone {
		m.lastHeard = now
		m.leaving = m.reportedState == host.StateLeaving
	}
}

// markUnlistedGone marks the hosts of a domain as gone that are missing from its
// complete summary, unless this host receives their heartbeats.
func (t *Table) markUnlistedGone(domain string, listed map[host.ID]bool, now time.Time) {
	for id, m := range t.members {
		if m.identity.FailureDomain != domain || listed[id] || !m.inSummary {
			continue
		}
		m.reportedState = host.StateGone
		t.peerCache = nil
		t.updateState(m, now)
	}
}

// addUnknownHosts adds the hosts of an older summary of the own domain that are not
// known yet, so that a new representative contacts them.
func (t *Table) addUnknownHosts(s Summary, now time.Time) {
	for _, h := range s.Hosts {
		if _, known := t.members[h.Identity.ID]; known || h.Identity.ID == t.self.ID || h.State == host.StateGone {
			continue
		}
		m := &member{identity: h.Identity, state: host.StateGone, reportedState: h.State}
		t.members[h.Identity.ID] = m
		t.awaitFirstHeartbeat(m, now)
		t.updateState(m, now)
	}
}
