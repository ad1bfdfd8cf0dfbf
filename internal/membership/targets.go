package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"peridotrail/internal/host"
)

const (
	capacitySample   = 4 // hosts whose digests a leader passes on
	candidatePeriods = 2 // upper bound of a candidate's period towards its leader, in periods of a small domain
)

// Target is a host to which a heartbeat is due now and then.
type Target struct {
	Addr     netip.AddrPort
	Identity host.Identity // zero if only the address is known
	Period   time.Duration
}

// Targets returns the hosts to which this host sends heartbeats. Of two hosts
// that exchange heartbeats one asks; the other asks only if that one is late.
func (t *Table) Targets(now time.Time) []Target {
	var targets []Target
	candidates := t.Candidates()
	for _, m := range t.peers() {
		if period, ok := t.asks(m, candidates, now); ok {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: period})
		}
	}
	if t.Speaker() == t.self.ID {
		targets = append(targets, t.remoteTargets(now)...)
	}
	return targets
}

// asks reports whether this host sends heartbeats to a host of its domain, and
// how often.
func (t *Table) asks(m *member, candidates []host.ID, now time.Time) (time.Duration, bool) {
	first := t.self.ID < m.identity.ID
	late := now.Sub(m.heard) > max(m.period, t.timing.Period)*3/2
	if t.mesh() {
		return t.timing.Period, first || late
	}
	if t.isLeader() {
		return t.timing.Period, late && !m.heard.IsZero()
	}
	if m.identity.ID == t.Speaker() || m.identity.ID == t.leadership.Leader {
		return t.leaderPeriod(candidates, now), true
	}
	if t.follows(m) || first && bothAmong(candidates, t.self.ID, m.identity.ID) {
		return t.timing.Period, true
	}
	return 0, false
}

// follows reports whether m is one of the next hosts after this one in the ring
// of the domain's hosts by ID.
func (t *Table) follows(m *member) bool {
	peers := t.peers()
	after, _ := slices.BinarySearchFunc(peers, t.self.ID, func(p *member, id host.ID) int { return cmp.Compare(p.identity.ID, id) })
	for i := range min(ringNeighbours, len(peers)) {
		if peers[(after+i)%len(peers)] == m {
			return true
		}
	}
	return false
}

// leaderPeriod returns how often this host asks its leader: more often if it has a
// late neighbour to report, or if it may have to follow as leader.
func (t *Table) leaderPeriod(candidates []host.ID, now time.Time) time.Duration {
	period := t.heartbeatPeriod()
	if len(t.lateNeighbours(now)) > 0 {
		return t.timing.Period
	}
	if slices.Contains(candidates, t.self.ID) {
		return min(period, candidatePeriods*t.timing.Period)
	}
	return period
}

func bothAmong(ids []host.ID, a, b host.ID) bool {
	return slices.Contains(ids, a) && slices.Contains(ids, b)
}

// lateNeighbours returns the hosts after this one in the ring of a large domain
// that have missed heartbeats, for the report to the leader.
func (t *Table) lateNeighbours(now time.Time) []host.ID {
	if t.monitoring {
		return nil
	}
	var late []host.ID
	for _, m := range t.peers() {
		limit := time.Duration(t.timing.SuspectAfter) * t.timing.Period
		silent := !m.heard.IsZero() && now.Sub(m.heard) > limit && m.reported == host.StateLive
		if silent && t.follows(m) {
			late = append(late, m.identity.ID)
		}
	}
	return late
}

// noteLate makes a leader ask hosts that a neighbour reports as late at the short
// period of small domains, until they answer.
func (t *Table) noteLate(now time.Time, reported []host.ID) {
	if !t.isLeader() {
		return
	}
	for _, id := range reported {
		if m, ok := t.members[id]; ok && now.Sub(m.heard) > t.timing.Period {
			m.period = t.timing.Period
			t.update(m, now)
		}
	}
}

// remoteTargets returns one host of each other domain: its leader, or the first
// host that is not gone.
func (t *Table) remoteTargets(now time.Time) []Target {
	contacts := map[string]*member{}
	for _, m := range t.members {
		name := m.identity.FailureDomain
		if name == t.self.FailureDomain || m.state == host.StateGone {
			continue
		}
		if best, ok := contacts[name]; !ok || t.preferred(m, best) {
			contacts[name] = m
		}
	}
	var targets []Target
	for name, m := range contacts {
		late := now.Sub(m.heard) > t.timing.RemotePeriod*3/2
		if t.self.FailureDomain < name || late {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: t.timing.RemotePeriod})
		}
	}
	return targets
}

func (t *Table) preferred(m, than *member) bool {
	leader := t.domain(m.identity.FailureDomain).leader
	if isLeader := m.identity.ID == leader; isLeader != (than.identity.ID == leader) {
		return isLeader
	}
	if m.state != than.state {
		return m.state < than.state
	}
	return m.identity.ID < than.identity.ID
}

// Beat returns the heartbeat that this host sends now. The caller fills in To,
// Self and Want.
func (t *Table) Beat(now time.Time, digest Digest, period time.Duration) Heartbeat {
	speaker := t.Speaker() == t.self.ID
	digest.Leader = t.leadership.Leader
	digest.LeaderEpoch = t.leadership.Epoch
	beat := Heartbeat{
		Leaving: t.leaving,
		Period:  uint32(period.Milliseconds()),
		Digest:  digest,
		Known:   t.Known(),
		Own:     t.ownStamp(),
		Speaker: speaker,
		Late:    t.lateNeighbours(now),
	}
	if speaker {
		beat.Stale = t.staleDomains(now)
	}
	return beat
}

func (t *Table) staleDomains(now time.Time) []string {
	var stale []string
	for name, d := range t.domains {
		if name != t.self.FailureDomain && now.Sub(d.confirmed) > t.timing.StaleAfter/2 {
			stale = append(stale, name)
		}
	}
	slices.Sort(stale)
	return stale
}

// NeedsSync reports whether the sender of a heartbeat holds summaries that this
// host should fetch from it.
func (t *Table) NeedsSync(from host.Identity, beat Heartbeat) bool {
	if from.FailureDomain == t.self.FailureDomain {
		return beat.Speaker && beat.Known != t.Known() || t.ownStamp().Less(beat.Own)
	}
	held := t.domain(from.FailureDomain).stamp
	return beat.Speaker && t.Speaker() == t.self.ID && held.Less(beat.Own)
}

// OwnDomainDigest sums the digests of the own domain's live hosts.
func (t *Table) OwnDomainDigest(now time.Time, self Digest) DomainDigest {
	result := DomainDigest{
		Domain:      t.self.FailureDomain,
		Leader:      t.leadership.Leader,
		LeaderEpoch: t.leadership.Epoch,
		Hosts:       1,
		Services:    slices.Clone(self.Services),
	}
	for _, m := range t.peers() {
		if m.state != host.StateLive || now.Sub(m.received) > t.timing.StaleAfter {
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

// RemoteDigests returns the digests of the other domains.
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

// MayGossip reports whether a speaker of another domain holds other summaries
// than this host, which speaks for its own. Domains that neither has met directly
// become known this way.
func (t *Table) MayGossip(from host.Identity, beat Heartbeat) bool {
	remote := from.FailureDomain != t.self.FailureDomain
	return remote && beat.Speaker && t.Speaker() == t.self.ID && beat.Known != t.Known()
}

// Capacity returns the digests of the hosts of the domain that have the most free
// slots, except one host.
func (t *Table) Capacity(except host.ID) []PeerDigest {
	var digests []PeerDigest
	for _, m := range t.peers() {
		if m.state == host.StateLive && m.identity.ID != except && !m.received.IsZero() {
			digests = append(digests, PeerDigest{Identity: m.identity, Digest: m.digest, Received: m.received})
		}
	}
	slices.SortStableFunc(digests, func(a, b PeerDigest) int { return cmp.Compare(freeSlots(b.Digest), freeSlots(a.Digest)) })
	return digests[:min(len(digests), capacitySample)]
}

func freeSlots(digest Digest) int {
	sum := 0
	for _, load := range digest.Services {
		sum += load.FreeSlots
	}
	return sum
}
