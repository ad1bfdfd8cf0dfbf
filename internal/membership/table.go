package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
)

// Timing holds the periods and timeouts of a Table.
type Timing struct {
	Period       time.Duration // between heartbeats to one host of a small domain
	RemotePeriod time.Duration // between heartbeats to another domain
	SuspectAfter int           // heartbeat periods without a heartbeat after which a host is suspect
	GoneAfter    time.Duration // time without a heartbeat after which a host is gone
	ForgetAfter  time.Duration // time without a heartbeat after which a gone host is removed
	StaleAfter   time.Duration // time since a summary was confirmed after which its live hosts are suspect
	MaxTickGap   time.Duration // longest time between ticks; after a longer one the view is stale
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		Period:       time.Second,
		RemotePeriod: 3 * time.Second,
		SuspectAfter: 3,
		GoneAfter:    30 * time.Second,
		ForgetAfter:  time.Hour,
		StaleAfter:   20 * time.Second,
		MaxTickGap:   2 * time.Second,
	}
}

const (
	maxMeshSize            = 8 // largest domain, in hosts, in which all hosts exchange heartbeats with each other
	ringSuccessors         = 2 // successors on the ring to which a host of a larger domain sends heartbeats
	maxLeaderHeartbeatRate = 8 // heartbeats per second that a leader of a larger domain receives from it
	maxCandidates          = 3 // live hosts of a domain, the first by ID, that may become its leader
)

// Leadership is the leader of a failure domain and its epoch.
type Leadership struct {
	Leader host.ID
	Epoch  uint64
}

// member is a host known to a Table.
type member struct {
	identity       host.Identity
	state          host.State
	lastHeard      time.Time     // time of the last heartbeat received from the host; zero if none
	period         time.Duration // until the next heartbeat, as announced by the host
	reportedState  host.State    // in the last summary applied
	inSummary      bool          // an applied summary contained the host
	leaving        bool
	changeSequence uint64 // sequence of the last change in the summary of its domain
	digest         Digest
	digestReceived time.Time // of digest
}

// domain is the state of one failure domain at this host.
type domain struct {
	stamp         Stamp // version of the domain's summary that this host holds
	leader        host.ID
	lastConfirmed time.Time // last time at which this version was known to be the domain's current summary
	baseSequence  uint64    // all changes after this sequence are known
	digest        DomainDigest
}

// Table is the membership state machine of one host. It does no I/O and reads no
// clock: callers pass the time. It is not safe for concurrent use.
type Table struct {
	self              host.Identity
	timing            Timing
	leadership        Leadership
	leaving           bool
	members           map[host.ID]*member
	domains           map[string]*domain
	origin            uint32    // of the summaries that this process produces
	sequence          uint64    // of the last change in the summary of the own domain
	peerCache         []*member // result of peers; nil if it must be recomputed
	lastTick          time.Time
	resumedFromPause  bool
	version           uint64    // increases with each change of a state, an identity or the leadership
	monitorsDomain    bool      // this host detects failures of all hosts of its domain by their heartbeats
	lastPeerHeartbeat time.Time // of any host of the own domain
}

// NewTable returns a table that contains only this host.
func NewTable(self host.Identity, timing Timing, now time.Time) *Table {
	t := &Table{
		self:     self,
		timing:   timing,
		members:  map[host.ID]*member{},
		domains:  map[string]*domain{},
		origin:   uint32(xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation)),
		sequence: uint64(self.Incarnation),
		lastTick: now,
	}
	t.domains[self.FailureDomain] = &domain{lastConfirmed: now, baseSequence: t.sequence}
	return t
}

// SetLeadership sets the leader of the own domain. A change restarts the summary of
// the domain.
func (t *Table) SetLeadership(now time.Time, leadership Leadership) {
	if leadership == t.leadership {
		return
	}
	t.leadership = leadership
	t.peerCache = nil
	t.version++
	t.restartSummary(t.sequence + 1)
	t.updateMonitoring(now)
}

// updateMonitoring updates monitorsDomain. When this host begins to monitor its
// domain, which it knew from a summary so far, the hosts get a full timeout to
// send their first heartbeat.
func (t *Table) updateMonitoring(now time.Time) {
	monitoredBefore := t.monitorsDomain
	t.monitorsDomain = t.isLeader() || t.isFullMesh()
	if monitoredBefore || !t.monitorsDomain {
		return
	}
	for _, m := range t.members {
		if m.identity.FailureDomain == t.self.FailureDomain && m.state != host.StateGone {
			m.lastHeard = now
			m.period = max(m.period, t.heartbeatPeriod())
		}
	}
}

// restartSummary sets the sequence of the own domain's summary and discards its
// earlier changes, so that hosts with an older summary receive a complete one.
func (t *Table) restartSummary(sequence uint64) {
	t.sequence = sequence
	t.domain(t.self.FailureDomain).baseSequence = sequence
}

// Leave marks this host as leaving in its heartbeats and summaries.
func (t *Table) Leave() {
	t.leaving = true
	t.sequence++
}

// RecordHeartbeat processes a heartbeat from a host. If a later process of that host
// is known, it returns a *StaleIncarnationError and changes nothing.
func (t *Table) RecordHeartbeat(now time.Time, from host.Identity, beat Heartbeat) error {
	m, known := t.members[from.ID]
	if known && from.Incarnation < m.identity.Incarnation {
		return &StaleIncarnationError{Host: from.ID, Got: from.Incarnation, Latest: m.identity.Incarnation}
	}
	if !known {
		m = &member{state: host.StateGone}
		t.members[from.ID] = m
	}
	replaced := !m.identity.SameProcess(from)
	m.identity = from
	if replaced {
		t.version++
		m.leaving = false
		t.recordChange(m)
	}
	m.lastHeard = now
	m.period = time.Duration(beat.Period) * time.Millisecond
	m.leaving = m.leaving || beat.Leaving
	m.digest = beat.Digest
	m.digestReceived = now
	t.updateState(m, now)
	if from.FailureDomain == t.self.FailureDomain {
		t.lastPeerHeartbeat = now
		t.resumedFromPause = false
		t.advancePastStamp(beat.OwnStamp)
		t.monitorLateHosts(now, beat.LateHosts)
	}
	t.recordDomains(now, from, beat)
	return nil
}

// advancePastStamp makes the summary that this host produces newer than held, a stamp
// that another host of the domain got from an earlier representative.
func (t *Table) advancePastStamp(held Stamp) {
	ownStamp := t.ownStamp()
	if t.Representative() == t.self.ID && held.Epoch == ownStamp.Epoch && ownStamp.Less(held) {
		t.restartSummary(held.Sequence + 1)
	}
}

// recordDomains applies what a heartbeat says about domains. It marks a summary as
// confirmed if the sender, as the representative, holds the same one, and stores
// the digests in the heartbeat.
func (t *Table) recordDomains(now time.Time, from host.Identity, beat Heartbeat) {
	sameDomain := from.FailureDomain == t.self.FailureDomain
	if beat.Representative && !sameDomain {
		d := t.domain(from.FailureDomain)
		if d.stamp == beat.OwnStamp {
			d.lastConfirmed = now
		}
	}
	if sameDomain && beat.Representative && beat.StampsHash == t.StampsHash() {
		for name, d := range t.domains {
			if !slices.Contains(beat.StaleDomains, name) {
				d.lastConfirmed = now
			}
		}
	}
	for _, digest := range beat.DomainDigests {
		if digest.Domain == t.self.FailureDomain || (!sameDomain && digest.Domain != from.FailureDomain) {
			continue
		}
		d := t.domain(digest.Domain)
		digest.Received = now
		d.digest = digest
	}
	for _, peer := range beat.FreeHosts {
		m, ok := t.members[peer.Identity.ID]
		if sameDomain && ok && m.identity.SameProcess(peer.Identity) && now.Sub(m.lastHeard) > t.heartbeatPeriod() {
			m.digest = peer.Digest
			m.digestReceived = now
		}
	}
}

func (t *Table) domain(name string) *domain {
	d, ok := t.domains[name]
	if !ok {
		d = &domain{}
		t.domains[name] = d
	}
	return d
}

func (t *Table) isLeader() bool { return t.leadership.Leader == t.self.ID }

// isFullMesh reports whether all hosts of the own domain exchange heartbeats with
// each other.
func (t *Table) isFullMesh() bool { return len(t.peers()) < maxMeshSize }

// peers returns the members of the own domain, sorted by ID, that are not gone. On a
// host that is not the leader, those that are not gone in the summary are included.
func (t *Table) peers() []*member {
	if t.peerCache != nil {
		return t.peerCache
	}
	peers := []*member{}
	for _, m := range t.members {
		if m.identity.FailureDomain == t.self.FailureDomain && t.isPresent(m) {
			peers = append(peers, m)
		}
	}
	sortMembers(peers)
	t.peerCache = peers
	return peers
}

func (t *Table) isPresent(m *member) bool {
	presentInSummary := m.inSummary && m.reportedState != host.StateGone && !t.isLeader()
	return m.state != host.StateGone || presentInSummary
}

func sortMembers(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.identity.ID, b.identity.ID) })
}

// heartbeatPeriod returns the period of heartbeats to the leader. It grows with the
// domain, so that the leader receives at most maxLeaderHeartbeatRate heartbeats per
// second.
func (t *Table) heartbeatPeriod() time.Duration {
	size := len(t.peers())
	if size < maxMeshSize {
		return t.timing.Period
	}
	return max(t.timing.Period, (time.Duration(size)*time.Second+maxLeaderHeartbeatRate-1)/maxLeaderHeartbeatRate)
}

// Representative returns the host that produces the summary of the own domain and
// exchanges heartbeats with other domains: the leader, or the first live host by ID
// while there is no live leader.
func (t *Table) Representative() host.ID {
	if t.leadership.Leader == t.self.ID {
		return t.self.ID
	}
	if m, ok := t.members[t.leadership.Leader]; ok && m.state == host.StateLive {
		return m.identity.ID
	}
	for _, m := range t.peers() {
		if m.state == host.StateLive {
			return min(m.identity.ID, t.self.ID)
		}
	}
	return t.self.ID
}

// Candidates returns the hosts of the own domain that may become its leader, in
// the order in which they try to become the leader.
func (t *Table) Candidates() []host.ID {
	ids := []host.ID{}
	if !t.leaving {
		ids = append(ids, t.self.ID)
	}
	for _, m := range t.peers() {
		if m.state == host.StateLive {
			ids = append(ids, m.identity.ID)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxCandidates)]
}

// Fresh reports whether the view is current. It is false from a pause of this
// process until the next heartbeat from a host of its domain, unless there is no
// other host in the domain.
func (t *Table) Fresh() bool { return !t.resumedFromPause || len(t.peers()) == 0 }
