package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
)

// ownStamp returns the stamp of the own domain's summary as this host would
// make it. A host that no longer speaks keeps the last stamp that it made, so that
// the next speaker moves past it.
func (t *Table) ownStamp() Stamp {
	d := t.domain(t.self.FailureDomain)
	if t.Speaker() != t.self.ID {
		return d.stamp
	}
	made := Stamp{Epoch: t.leadership.Epoch, Sequence: t.sequence, Maker: t.maker}
	if d.stamp.Less(made) {
		d.stamp = made
	}
	return made
}

// Stamps returns the stamps of all domains, sorted by domain.
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

// Known returns a hash of Stamps, by which two hosts see whether they hold the
// same summaries.
func (t *Table) Known() uint64 {
	hash := xxhash.New()
	var buffer [16]byte
	for _, s := range t.Stamps() {
		if s.Stamp == (Stamp{}) {
			continue
		}
		_, _ = hash.WriteString(s.Domain)
		binary.BigEndian.PutUint64(buffer[:8], s.Stamp.Epoch)
		binary.BigEndian.PutUint64(buffer[8:], s.Stamp.Sequence^uint64(s.Stamp.Maker)<<32)
		_, _ = hash.Write(buffer[:])
	}
	return hash.Sum64()
}

// Changes returns the summaries that are newer than those of the request.
func (t *Table) Changes(request SyncRequest) SyncReply {
	have := map[string]Stamp{}
	for _, s := range request.Have {
		have[s.Domain] = s.Stamp
	}
	var reply SyncReply
	for _, s := range t.Stamps() {
		if have[s.Domain].Less(s.Stamp) {
			reply.Summaries = append(reply.Summaries, t.summary(s, have[s.Domain]))
		}
	}
	return reply
}

// summary makes the summary of a domain as changes since a stamp, or complete if
// the changes are not known. Of the own domain only its speaker knows them; other
// hosts pass on what the speaker listed.
func (t *Table) summary(current DomainStamp, since Stamp) Summary {
	own := current.Domain == t.self.FailureDomain
	speaks := own && t.Speaker() == t.self.ID
	d := t.domain(current.Domain)
	result := Summary{Domain: current.Domain, Stamp: current.Stamp, Leader: d.leader}
	if speaks {
		result.Leader = t.leadership.Leader
	}
	tracked := speaks || !own
	if tracked && current.Stamp.extends(since) && since.Sequence >= d.base {
		result.Since = since.Sequence
	}
	for _, m := range t.members {
		if m.identity.FailureDomain == current.Domain && (speaks || m.listed) {
			result.Hosts = appendChange(result, m, speaks)
		}
	}
	if own {
		result.Hosts = append(result.Hosts, t.selfSummary(current.Stamp))
	}
	slices.SortFunc(result.Hosts, func(a, b HostSummary) int { return cmp.Compare(a.Identity.ID, b.Identity.ID) })
	return result
}

// appendChange adds a member to a summary unless the receiver knows its state.
func appendChange(s Summary, m *member, observed bool) []HostSummary {
	state := m.reported
	if observed {
		state = m.state
	}
	if s.Since > 0 && m.changed <= s.Since || s.Since == 0 && state == host.StateGone {
		return s.Hosts
	}
	return append(s.Hosts, HostSummary{Identity: m.identity, State: state, Changed: m.changed})
}

func (t *Table) selfSummary(stamp Stamp) HostSummary {
	state := host.StateLive
	if t.leaving {
		state = host.StateLeaving
	}
	return HostSummary{Identity: t.self, State: state, Changed: stamp.Sequence}
}

// Apply takes in summaries from a host that speaks for them. Older ones are
// ignored.
func (t *Table) Apply(reply SyncReply, now time.Time) {
	for _, s := range reply.Summaries {
		t.applyOne(s, now)
	}
}

func (t *Table) applyOne(s Summary, now time.Time) {
	own := s.Domain == t.self.FailureDomain
	if own && t.Speaker() == t.self.ID && s.Stamp.Epoch <= t.leadership.Epoch {
		t.learn(s, now)
		t.noteStamp(s.Stamp)
		return
	}
	d := t.domain(s.Domain)
	if !d.stamp.Less(s.Stamp) || (s.Since > 0 && (!s.Stamp.extends(d.stamp) || d.stamp.Sequence != s.Since)) {
		return
	}
	if s.Since == 0 {
		d.base = s.Stamp.Sequence
	}
	d.stamp = s.Stamp
	if own {
		t.sequence = max(t.sequence, s.Stamp.Sequence)
	}
	d.leader = s.Leader
	d.confirmed = now
	listed := map[host.ID]bool{}
	for _, h := range s.Hosts {
		listed[h.Identity.ID] = true
		t.list(h, now)
	}
	if s.Since == 0 {
		t.unlistOthers(s.Domain, listed, now)
	}
}

// list takes in one host of a summary.
func (t *Table) list(h HostSummary, now time.Time) {
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
		t.touch(m)
	}
	m.listed = true
	m.reported = h.State
	t.peerCache = nil
	t.expect(m, now)
	t.update(m, now)
	m.changed = h.Changed
}

// expect gives a listed host of the own domain time to send its first heartbeat.
func (t *Table) expect(m *member, now time.Time) {
	own := m.identity.FailureDomain == t.self.FailureDomain
	if own && m.heard.IsZero() && m.reported != host.StateGone {
		m.heard = now
		m.leaving = m.reported == host.StateLeaving
	}
}

// unlistOthers marks hosts of a domain that its complete summary lacks as gone,
// unless their heartbeats arrive here.
func (t *Table) unlistOthers(domain string, listed map[host.ID]bool, now time.Time) {
	for id, m := range t.members {
		if m.identity.FailureDomain != domain || listed[id] || !m.listed {
			continue
		}
		m.reported = host.StateGone
		t.peerCache = nil
		t.update(m, now)
	}
}

// learn takes only hosts unknown so far from an older summary of the own domain,
// as a new leader needs them to be contacted.
func (t *Table) learn(s Summary, now time.Time) {
	for _, h := range s.Hosts {
		if _, known := t.members[h.Identity.ID]; known || h.Identity.ID == t.self.ID || h.State == host.StateGone {
			continue
		}
		m := &member{identity: h.Identity, state: host.StateGone, reported: h.State}
		t.members[h.Identity.ID] = m
		t.expect(m, now)
		t.update(m, now)
	}
}
