package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
)

// Timing holds the time limits of a Table.
type Timing struct {
	Period       time.Duration // between heartbeats in a small domain
	RemotePeriod time.Duration // between heartbeats to other domains
	SuspectAfter int           // periods of silence after which a host is suspect
	GoneAfter    time.Duration // silence after which a host is gone
	ForgetAfter  time.Duration // silence after which a gone host is forgotten
	StaleAfter   time.Duration // age of a summary after which its live hosts count as suspect
	PauseBound   time.Duration // gap between ticks after which the view is stale
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing {
	return Timing{
		Period:       time.Second,
		RemotePeriod: 3 * time.Second,
		SuspectAfter: 3,
		GoneAfter:    30 * time.Second,
		ForgetAfter:  time.Hour,
		StaleAfter:   20 * time.Second,
		PauseBound:   2 * time.Second,
	}
}

const (
	meshLimit      = 8 // hosts of a domain that all exchange heartbeats with each other
	ringNeighbours = 2 // successors that a host of a larger domain exchanges heartbeats with
	leaderRate     = 8 // heartbeats per second that a leader receives from its domain
	candidateCount = 3 // first live hosts of a domain that may become its leader
)

// Leadership is what a table knows of its domain's leader.
type Leadership struct {
	Leader host.ID
	Epoch  uint64
}

// member is a host known to a Table.
type member struct {
	identity host.Identity
	state    host.State
	heard    time.Time     // of the last heartbeat received here; zero if none
	period   time.Duration // announced by the host
	reported host.State    // in the last summary
	listed   bool          // in a summary
	leaving  bool
	changed  uint64 // sequence of the last change in the summary of its domain
	digest   Digest
	received time.Time // of digest
}

// domain is what is known of one failure domain.
type domain struct {
	stamp     Stamp
	leader    host.ID
	confirmed time.Time // when the stamp was last confirmed
	base      uint64    // changes after this sequence are known
	digest    DomainDigest
}

// Table is the state of membership at one host. It is pure: time is passed in
// and nothing is sent. It is not safe for concurrent use.
type Table struct {
	self       host.Identity
	timing     Timing
	leadership Leadership
	leaving    bool
	members    map[host.ID]*member
	domains    map[string]*domain
	maker      uint32    // of summaries made here
	sequence   uint64    // of the own domain's summary
	peerCache  []*member // result of peers; nil if it must be made again
	lastTick   time.Time
	stale      bool
	version    uint64    // of the states, identities and leadership
	monitoring bool      // heartbeats of all hosts of the own domain must arrive here
	refreshed  time.Time // last exchange with a host of the own domain
}

// NewTable returns a table that knows only this host.
func NewTable(self host.Identity, timing Timing, now time.Time) *Table {
	t := &Table{
		self:     self,
		timing:   timing,
		members:  map[host.ID]*member{},
		domains:  map[string]*domain{},
		maker:    uint32(xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation)),
		sequence: uint64(self.Incarnation),
		lastTick: now,
	}
	t.domains[self.FailureDomain] = &domain{confirmed: now, base: t.sequence}
	return t
}

// SetLeadership notes the leader of the own domain.
func (t *Table) SetLeadership(now time.Time, leadership Leadership) {
	if leadership == t.leadership {
		return
	}
	t.leadership = leadership
	t.peerCache = nil
	t.version++
	t.restart(t.sequence + 1)
	t.beginMonitoring(now)
}

// beginMonitoring gives the hosts of the own domain time to send heartbeats when
// this host starts to rely on them instead of a summary.
func (t *Table) beginMonitoring(now time.Time) {
	before := t.monitoring
	t.monitoring = t.isLeader() || t.mesh()
	if before || !t.monitoring {
		return
	}
	for _, m := range t.members {
		if m.identity.FailureDomain == t.self.FailureDomain && m.state != host.StateGone {
			m.heard = now
			m.period = max(m.period, t.heartbeatPeriod())
		}
	}
}

// restart makes the own domain's summary begin at sequence, so that holders of
// earlier ones get it complete.
func (t *Table) restart(sequence uint64) {
	t.sequence = sequence
	t.domain(t.self.FailureDomain).base = sequence
}

// Leave marks this host as leaving in what it tells others.
func (t *Table) Leave() {
	t.leaving = true
	t.sequence++
}

// Heard notes a heartbeat from a host. It returns a *StaleIncarnationError, and
// changes nothing, if a later process of that host is known.
func (t *Table) Heard(now time.Time, from host.Identity, beat Heartbeat) error {
	m, known := t.members[from.ID]
	if known && from.Incarnation < m.identity.Incarnation {
		return &StaleIncarnationError{Host: from.ID, Got: from.Incarnation, Known: m.identity.Incarnation}
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
		t.touch(m)
	}
	m.heard = now
	m.period = time.Duration(beat.Period) * time.Millisecond
	m.leaving = m.leaving || beat.Leaving
	m.digest = beat.Digest
	m.received = now
	t.update(m, now)
	if from.FailureDomain == t.self.FailureDomain {
		t.refreshed = now
		t.stale = false
		t.noteStamp(beat.Own)
		t.noteLate(now, beat.Late)
	}
	t.noteDomains(now, from, beat)
	return nil
}

// noteStamp moves this host's summary past a stamp that a host of its domain
// holds from an earlier speaker.
func (t *Table) noteStamp(held Stamp) {
	own := t.ownStamp()
	if t.Speaker() == t.self.ID && held.Epoch == own.Epoch && own.Less(held) {
		t.restart(held.Sequence + 1)
	}
}

// noteDomains confirms summaries that the sender vouches for.
func (t *Table) noteDomains(now time.Time, from host.Identity, beat Heartbeat) {
	own := from.FailureDomain == t.self.FailureDomain
	if beat.Speaker && !own {
		d := t.domain(from.FailureDomain)
		if d.stamp == beat.Own {
			d.confirmed = now
		}
	}
	if own && beat.Speaker && beat.Known == t.Known() {
		for name, d := range t.domains {
			if !slices.Contains(beat.Stale, name) {
				d.confirmed = now
			}
		}
	}
	for _, digest := range beat.Domains {
		if digest.Domain == t.self.FailureDomain || (!own && digest.Domain != from.FailureDomain) {
			continue
		}
		d := t.domain(digest.Domain)
		digest.Received = now
		d.digest = digest
	}
	for _, peer := range beat.Capacity {
		m, ok := t.members[peer.Identity.ID]
		if own && ok && m.identity.SameProcess(peer.Identity) && now.Sub(m.heard) > t.heartbeatPeriod() {
			m.digest = peer.Digest
			m.received = now
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

// mesh reports whether all hosts of the own domain exchange heartbeats.
func (t *Table) mesh() bool { return len(t.peers()) < meshLimit }

// peers returns the members of the own domain that are not gone, here or in the
// leader's summary, sorted by ID.
func (t *Table) peers() []*member {
	if t.peerCache != nil {
		return t.peerCache
	}
	found := []*member{}
	for _, m := range t.members {
		if m.identity.FailureDomain == t.self.FailureDomain && t.present(m) {
			found = append(found, m)
		}
	}
	sortMembers(found)
	t.peerCache = found
	return found
}

func (t *Table) present(m *member) bool {
	listed := m.listed && m.reported != host.StateGone && !t.isLeader()
	return m.state != host.StateGone || listed
}

func sortMembers(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.identity.ID, b.identity.ID) })
}

// heartbeatPeriod grows with the domain, so that its leader receives at most
// leaderRate heartbeats per second.
func (t *Table) heartbeatPeriod() time.Duration {
	size := len(t.peers())
	if size < meshLimit {
		return t.timing.Period
	}
	return max(t.timing.Period, (time.Duration(size)*time.Second+leaderRate-1)/leaderRate)
}

// Speaker returns the host that makes the summary of the own domain: the leader,
// or the first live host while there is none.
func (t *Table) Speaker() host.ID {
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
// the order in which they try.
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
	return ids[:min(len(ids), candidateCount)]
}

// Fresh reports whether the view is not stale after a pause of this process.
func (t *Table) Fresh() bool { return !t.stale || len(t.peers()) == 0 }
