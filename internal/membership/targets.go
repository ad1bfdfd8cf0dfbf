package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"peridotrail/internal/host"
)

const (
	maxFreeHosts        = 4 // hosts whose digests a representative sends to the other hosts of its domain
	maxCandidatePeriods = 2 // longest period of a candidate's heartbeats to its leader, in units of Timing.Period
)

// Target is a host to which this host sends heartbeats periodically.
type Target struct {
	Addr     netip.AddrPort
	Identity host.Identity // zero if only the address is known
	Period   time.Duration
}

// Targets returns the hosts to which this host sends heartbeats. Usually only one
// host of a pair initiates their exchanges; the other does so only while the
// initiator is late.
func (t *Table) Targets(now time.Time) []Target {
	var targets []Target
	candidates := t.Candidates()
	for _, m := range t.peers() {
		if period, ok := t.heartbeatTo(m, candidates, now); ok {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: period})
		}
	}
	if t.Representative() == t.self.ID {
		targets = append(targets, t.remoteTargets(now)...)
	}
	return targets
}

// heartbeatTo returns the period of this host's heartbeats to a host of its domain
// and whether it sends any.
func (t *Table) heartbeatTo(m *member, candidates []host.ID, now time.Time) (time.Duration, bool) {
	initiator := t.self.ID < m.identity.ID
	late := now.Sub(m.lastHeard) > max(m.period, t.timing.Period)*3/2
	if t.isFullMesh() {
		return t.timing.Period, initiator || late
	}
	if t.isLeader() {
		return t.timing.Period, late && !m.lastHeard.IsZero()
	}
	if m.identity.ID == t.Representative() || m.identity.ID == t.leadership.Leader {
		return t.leaderPeriod(candidates, now), true
	}
	if t.isRingSuccessor(m) || initiator && containsBoth(candidates, t.self.ID, m.identity.ID) {
		return t.timing.Period, true
	}
	return 0, false
}

// isRingSuccessor reports whether m is one of the ringSuccessors hosts after this
// one on the ring of the domain's hosts, which is ordered by ID.
func (t *Table) isRingSuccessor(m *member) bool {
	peers := t.peers()
	position, _ := slices.BinarySearchFunc(peers, t.self.ID, func(p *member, id host.ID) int { return cmp.Compare(p.identity.ID, id) })
	for i := range min(ringSuccessors, len(peers)) {
		if peers[(position+i)%len(peers)] == m {
			return true
		}
	}
	return false
}

// leaderPeriod returns the period of this host's heartbeats to its leader. It is
// shorter if this host has a late ring successor to report or is a candidate for
// leader.
func (t *Table) leaderPeriod(candidates []host.ID, now time.Time) time.Duration {
	period := t.heartbeatPeriod()
	if len(t.lateSuccessors(now)) > 0 {
		return t.timing.Period
	}
	if slices.Contains(candidates, t.self.ID) {
		return min(period, maxCandidatePeriods*t.timing.Period)
	}
	return period
}

func containsBoth(ids []host.ID, a, b host.ID) bool {
	return slices.Contains(ids, a) && slices.Contains(ids, b)
}

// lateSuccessors returns the ring successors in a large domain that have missed
// heartbeats. They are reported to the leader.
func (t *Table) lateSuccessors(now time.Time) []host.ID {
	if t.monitorsDomain {
		return nil
	}
	var late []host.ID
	for _, m := range t.peers() {
		limit := time.Duration(t.timing.SuspectAfter) * t.timing.Period
		silent := !m.lastHeard.IsZero() && now.Sub(m.lastHeard) > limit && m.reportedState == host.StateLive
		if silent && t.isRingSuccessor(m) {
			late = append(late, m.identity.ID)
		}
	}
	return late
}

// monitorLateHosts makes the leader expect heartbeats at Timing.Period from hosts
// that a ring predecessor reports as late, so that it sends heartbeats to them until
// they reply.
func (t *Table) monitorLateHosts(now time.Time, reported []host.ID) {
	if !t.isLeader() {
		return
	}
	for _, id := range reported {
		if m, ok := t.members[id]; ok && now.Sub(m.lastHeard) > t.timing.Period {
			m.period = t.timing.Period
			t.updateState(m, now)
		}
	}
}

// remoteTargets returns one host of each other domain to which this host sends
// heartbeats, as chosen by preferredContact among the hosts that are not gone.
func (t *Table) remoteTargets(now time.Time) []Target {
	contacts := map[string]*member{}
	for _, m := range t.members {
		name := m.identity.FailureDomain
		if name == t.self.FailureDomain || m.state == host.StateGone {
			continue
		}
		if best, ok := contacts[name]; !ok || t.preferredContact(m, best) {
			contacts[name] = m
		}
	}
	var targets []Target
	for name, m := range contacts {
		late := now.Sub(m.lastHeard) > t.timing.RemotePeriod*3/2
		if t.self.FailureDomain < name || late {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: t.timing.RemotePeriod})
		}
	}
	return targets
}

// preferredContact reports whether m is a better contact for its domain than other:
// the leader first, then by state, then by ID.
func (t *Table) preferredContact(m, other *member) bool {
	leader := t.domain(m.identity.FailureDomain).leader
	if isLeader := m.identity.ID == leader; isLeader != (other.identity.ID == leader) {
		return isLeader
	}
	if m.state != other.state {
		return m.state < other.state
	}
	return m.identity.ID < other.identity.ID
}

// NewHeartbeat returns the heartbeat that this host sends now. The caller sets
// ExpectedIncarnation, Self, DomainDigests, FreeHosts and WantDigests.
func (t *Table) NewHeartbeat(now time.Time, digest Digest, period time.Duration) Heartbeat {
	representative := t.Representative() == t.self.ID
	digest.Leader = t.leadership.Leader
	digest.LeaderEpoch = t.leadership.Epoch
	beat := Heartbeat{
		Leaving:        t.leaving,
		Period:         uint32(period.Milliseconds()),
		Digest:         digest,
		StampsHash:     t.StampsHash(),
		OwnStamp:       t.ownStamp(),
		Representative: representative,
		LateHosts:      t.lateSuccessors(now),
	}
	if representative {
		beat.StaleDomains = t.staleDomains(now)
	}
	return beat
}

// staleDomains returns the other domains whose summaries have not been confirmed for
// half of Timing.StaleAfter, sorted.
func (t *Table) staleDomains(now time.Time) []string {
	var stale []string
	for name, d := range t.domains {
		if name != t.self.FailureDomain && now.Sub(d.lastConfirmed) > t.timing.StaleAfter/2 {
			stale = append(stale, name)
		}
	}
	slices.Sort(stale)
	return stale
}

// NeedsSync reports whether this host should fetch summaries from the sender of a
// heartbeat.
func (t *Table) NeedsSync(from host.Identity, beat Heartbeat) bool {
	if from.FailureDomain == t.self.FailureDomain {
		return beat.Representative && beat.StampsHash != t.StampsHash() || t.ownStamp().Less(beat.OwnStamp)
	}
	held := t.domain(from.FailureDomain).stamp
	return beat.Representative && t.Representative() == t.self.ID && held.Less(beat.OwnStamp)
}

// OwnDomainDigest returns the sums over the digests of the own domain's live hosts.
// self is the digest of this host.
func (t *Table) OwnDomainDigest(now time.Time, self Digest) DomainDigest {
	result := DomainDigest{
		Domain:      t.self.FailureDomain,
		Leader:      t.leadership.Leader,
		LeaderEpoch: t.leadership.Epoch,
		Hosts:       1,
		Services:    slices.Clone(self.Services),
	}
	for _, m := range t.peers() {
		if m.state != host.StateLive || now.Sub(m.digestReceived) > t.timing.StaleAfter {
			continue
		}
		result.Hosts++
		for _, load := range m.digest.Services {
			result.Services = addLoad(result.Services, load)
		}
	}
	return result
}

func addLoad(total []ServiceLoad, load ServiceLoad) []ServiceLoad {
	for i := range total {
		if total[i].Service == load.Service {
			total[i].FreeSlots += load.FreeSlots
			total[i].Queued += load.Queued
			return total
		}
	}
	return append(total, load)
}

// RemoteDigests returns the digests of the other domains, sorted by domain.
func (t *Table) RemoteDigests() []DomainDigest {
	var digests []DomainDigest
	for name, d := range t.domains {
		if name != t.self.FailureDomain && d.digest.Domain != "" {
			digests = append(digests, d.digest)
		}
	}
	slices.SortFunc(digests, func(a, b DomainDigest) int { return cmp.Compare(a.Domain, b.Domain) })
	return digests
}

// NeedsGossip reports whether this host and the sender are the representatives of
// different domains and hold different summaries. Exchanging them spreads domains
// with which a host has no direct contact.
func (t *Table) NeedsGossip(from host.Identity, beat Heartbeat) bool {
	remote := from.FailureDomain != t.self.FailureDomain
	return remote && beat.Representative && t.Representative() == t.self.ID && beat.StampsHash != t.StampsHash()
}

// FreeHosts returns the digests of the live hosts of the own domain with the most
// free slots, without the host except.
func (t *Table) FreeHosts(except host.ID) []PeerDigest {
	var digests []PeerDigest
	for _, m := range t.peers() {
		if m.state == host.StateLive && m.identity.ID != except && !m.digestReceived.IsZero() {
			digests = append(digests, PeerDigest{Identity: m.identity, Digest: m.digest, Received: m.digestReceived})
		}
	}
	slices.SortStableFunc(digests, func(a, b PeerDigest) int { return cmp.Compare(freeSlots(b.Digest), freeSlots(a.Digest)) })
	return digests[:min(len(digests), maxFreeHosts)]
}

func freeSlots(digest Digest) int {
	sum := 0
	for _, load := range digest.Services {
		sum += load.FreeSlots
	}
	return sum
}
