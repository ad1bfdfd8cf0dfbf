// Package leadership decides which host leads a failure domain.
//
// The leader holds a leased key in the platform's store. The revision at which
// the key was created is the leader's epoch, which never decreases. Elector is
// the pure state machine; Service stands around it.
package leadership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Observation is what membership tells an Elector at a tick.
type Observation struct {
	Candidates []host.ID // of the own domain, in the order in which they try
	PeersHeard time.Time // last heartbeat exchanged with a host of the domain
	Alone      bool      // no other host of the domain is known
	Fresh      bool      // the view is not stale after a pause
}

// Action is a call to the store that an Elector asks for. At most one is under
// way; its outcome goes to Acquired or Renewed.
type Action uint8

// Actions.
const (
	ActionNone Action = iota
	ActionAcquire
	ActionRenew
)

// Outcome is the result of a call to the store.
type Outcome uint8

// Outcomes.
const (
	OutcomeHeld        Outcome = iota + 1 // this process holds the key
	OutcomeOther                          // another process holds the key
	OutcomeExpired                        // the lease has ended
	OutcomeUnavailable                    // the store was not reached or its answer was lost
)

// Result is the outcome of an attempt to acquire the key.
type Result struct {
	Outcome Outcome
	Sent    time.Time // before the lease was asked for
	Lease   kvstore.LeaseID
	Leader  host.Identity // that holds the key, with OutcomeOther
	Epoch   uint64        // of the holder
	First   bool          // with OutcomeHeld: the domain never had a leader before
	// Previous is the epoch of the leader before, with OutcomeHeld; zero if there
	// was none or it is not known.
	Previous uint64
}

// Status is what a host knows of the leadership of its domain.
type Status struct {
	Domain   string
	Leader   host.Identity // zero if none is known
	Epoch    uint64
	Self     bool // this process leads and may act at this moment
	HoldOver bool // it acts past its lease because the store is away
	Pending  bool // it holds the lease and waits for the former leader's term to end
	// Previous is the epoch of the leader before, if this process leads; zero if
	// there was none or it is not known.
	Previous uint64
	First    bool // this process leads and the domain had no leader before
}

// Elector is the state of one host's view of the leadership. It is pure: time is
// passed in and nothing is sent. It is not safe for concurrent use.
type Elector struct {
	self   host.Identity
	timing Timing
	start  time.Time

	leader   host.Identity
	epoch    uint64    // highest known
	heard    time.Time // last heartbeat of the leader, or when it became known
	released time.Time // until then it is known that the leader has stopped acting
	// incumbent lets this process try first: its own lease ended with the store away.
	incumbent bool

	leading    bool // this process holds, or held over, the key
	previous   uint64
	first      bool
	lease      kvstore.LeaseID
	validUntil time.Time // end of the lease, counted from before it was asked for
	wonAt      time.Time
	actsFrom   time.Time
	renewAt    time.Time
	paused     bool // a gap between ticks was seen since the last renewal

	lastTick    time.Time
	observed    Observation
	busy        bool // an action is under way
	failures    int
	nextAttempt time.Time
	stopping    bool

	mutation mutation
}

// mutation switches one rule off, for tests that prove the rule is needed.
type mutation uint8

const (
	mutationNone mutation = iota
	mutationIgnorePause
	mutationTermFromAnswer
	mutationIgnoreEpoch
	mutationIgnorePeers
	mutationNoActivationDelay
)

// NewElector returns an elector that knows no leader.
func NewElector(self host.Identity, timing Timing, now time.Time) *Elector {
	return &Elector{self: self, timing: timing, start: now, heard: now, lastTick: now, renewAt: now}
}

// Status returns the leadership as of now. Self is computed from the clock at
// each call, so that a process that wakes from a pause does not act first.
func (e *Elector) Status(now time.Time) Status {
	status := Status{Domain: e.self.FailureDomain, Leader: e.leader, Epoch: e.epoch}
	if !e.leading {
		return status
	}
	status.Previous, status.First = e.previous, e.first
	status.Self = e.acting(now)
	status.HoldOver = status.Self && !now.Before(e.validUntil)
	status.Pending = now.Before(e.actsFrom)
	if !status.Self && !status.Pending {
		status.Leader = host.Identity{}
	}
	return status
}

func (e *Elector) acting(now time.Time) bool {
	if e.stopping || now.Before(e.actsFrom) {
		return false
	}
	return now.Before(e.validUntil) || e.mayHoldOver(now)
}

// mayHoldOver reports whether this process may act past its lease: it has had no
// answer from the store since, no pause, and hears the hosts of its domain.
func (e *Elector) mayHoldOver(now time.Time) bool {
	if !e.actsFrom.Before(e.validUntil) {
		return false // it never acted under its lease
	}
	gap := now.Sub(e.lastTick) > e.timing.PauseBound
	if (gap || e.paused) && e.mutation != mutationIgnorePause {
		return false
	}
	silent := now.Sub(e.observed.PeersHeard) > e.timing.PeerBound
	return e.observed.Alone || !silent || e.mutation == mutationIgnorePeers
}

// Tick takes in the state of membership and returns the action that is due.
func (e *Elector) Tick(now time.Time, observed Observation) Action {
	if now.Sub(e.lastTick) > e.timing.PauseBound {
		e.paused = true
		e.released = time.Time{}
		e.incumbent = false
	}
	ended := e.leading && !e.acting(now) && !now.Before(e.actsFrom)
	e.lastTick = now
	e.observed = observed
	e.hasten(now)
	if ended || e.leading && !e.acting(now) && !now.Before(e.actsFrom) {
		e.stepDown(now)
	}
	if e.busy || e.stopping {
		return ActionNone
	}
	if e.leading {
		return e.renewal(now)
	}
	return e.candidacy(now)
}

func (e *Elector) renewal(now time.Time) Action {
	if now.Before(e.renewAt) {
		return ActionNone
	}
	e.busy = true
	e.renewAt = now.Add(e.timing.RenewEvery)
	return ActionRenew
}

// candidacy lets the first live hosts of the domain try, one after the other,
// once the leader is silent.
func (e *Elector) candidacy(now time.Time) Action {
	rank := slices.Index(e.observed.Candidates, e.self.ID)
	if e.incumbent {
		rank = 0
	}
	if rank < 0 || !e.observed.Fresh || now.Before(e.nextAttempt) {
		return ActionNone
	}
	if now.Before(e.start.Add(e.timing.StartGrace)) {
		return ActionNone
	}
	due := e.heard.Add(e.silence() + time.Duration(rank)*e.timing.Stagger + e.jitter(e.timing.Stagger/2))
	if !now.Before(e.released) && now.Before(due) {
		return ActionNone
	}
	e.busy = true
	return ActionAcquire
}

// silence returns for how long the leader must be silent. While no leader was
// ever known the grace after the start is enough.
func (e *Elector) silence() time.Duration {
	if e.epoch == 0 {
		return e.timing.StartGrace
	}
	return e.timing.SilenceAfter
}

// jitter returns a time below limit that depends on this process and the number
// of failures.
func (e *Elector) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	seed := xxhash.Sum64String(string(e.self.ID)) ^ uint64(e.self.Incarnation) ^ uint64(e.failures)<<32
	return time.Duration(seed % uint64(limit))
}

// Heard takes in what a host of the domain says of the leader. A higher epoch
// than this process leads with ends its leadership.
func (e *Elector) Heard(now time.Time, from, leader host.Identity, epoch uint64) {
	e.noteRestart(now, from)
	if epoch > e.epoch {
		e.learn(now, leader, epoch)
		return
	}
	if epoch < e.epoch || leader.ID == "" {
		return
	}
	if e.leader.ID == from.ID && e.leader.Incarnation == 0 && leader.ID == from.ID {
		e.leader = from
	}
	if from.SameProcess(leader) && from.SameProcess(e.leader) {
		e.heard = now
		e.released = time.Time{}
	}
}

// release notes that the leader has stopped acting. The knowledge ends before
// another host that has won in the meantime may act.
func (e *Elector) release(now time.Time) { e.released = now.Add(e.timing.ReleaseBound) }

// noteRestart frees the leadership if a later process of the leader's host runs.
func (e *Elector) noteRestart(now time.Time, from host.Identity) {
	known := e.leader.ID == from.ID && e.leader.Incarnation != 0
	if known && from.Incarnation > e.leader.Incarnation {
		e.release(now)
	}
}

// learn notes a leader of a higher epoch.
func (e *Elector) learn(now time.Time, leader host.Identity, epoch uint64) {
	if e.mutation == mutationIgnoreEpoch && e.leading {
		return
	}
	e.leading = false
	e.leader = leader
	e.epoch = epoch
	e.heard = now
	e.released = time.Time{}
	e.incumbent = false
	e.failures = 0
}

// stepDown ends the leadership of this process.
func (e *Elector) stepDown(now time.Time) {
	e.leading = false
	e.leader = host.Identity{}
	e.heard = now
	e.released = time.Time{}
}

// Acquired takes in the result of ActionAcquire.
func (e *Elector) Acquired(now time.Time, result Result) {
	e.busy = false
	switch result.Outcome {
	case OutcomeHeld:
		e.won(now, result)
	case OutcomeOther:
		e.lost(now, result)
	default:
		e.failures++
		e.nextAttempt = now.Add(e.backoff())
	}
}

func (e *Elector) won(now time.Time, result Result) {
	if result.Epoch < e.epoch {
		e.nextAttempt = now.Add(e.timing.RetryBase)
		return
	}
	e.wonAt = now
	e.actsFrom = e.activation(now, result.First)
	e.leading = true
	e.leader = e.self
	e.epoch = result.Epoch
	e.previous, e.first = result.Previous, result.First
	e.heard = now
	e.released = time.Time{}
	e.incumbent = false
	e.paused = false
	e.failures = 0
	e.lease = result.Lease
	e.validUntil = e.termEnd(now, result.Sent)
	e.renewAt = now.Add(e.timing.RenewEvery)
}

// activation returns when a process that has just won may act. A former leader
// that acts past its lease must first learn that it has to stop: from a host of
// the domain that heard of the new epoch, or from the store when it renews.
func (e *Elector) activation(now time.Time, first bool) time.Time {
	if first || now.Before(e.released) || e.mutation == mutationNoActivationDelay {
		return now
	}
	return now.Add(e.timing.IsolatedDelay)
}

// hasten shortens the wait of a process that has won, once a host of the domain
// has heard of its epoch.
func (e *Elector) hasten(now time.Time) {
	if e.leading && now.Before(e.actsFrom) && e.observed.PeersHeard.After(e.wonAt) {
		e.actsFrom = earlier(e.actsFrom, e.observed.PeersHeard.Add(e.timing.ActivationDelay))
		e.wonAt = e.actsFrom // shortened once
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// termEnd counts a term from before the lease was asked for.
func (e *Elector) termEnd(now, sent time.Time) time.Time {
	if e.mutation == mutationTermFromAnswer {
		sent = now
	}
	return sent.Add(e.timing.LeaseTTL - e.timing.LeaseMargin)
}

func (e *Elector) lost(now time.Time, result Result) {
	e.nextAttempt = now.Add(e.timing.RetryBase + e.jitter(e.timing.RetryBase))
	if result.Epoch > e.epoch {
		e.learn(now, result.Leader, result.Epoch)
	}
	if result.Leader.ID == e.self.ID && !result.Leader.SameProcess(e.self) {
		e.release(now) // a former process of this host led
	}
}

func (e *Elector) backoff() time.Duration {
	delay := e.timing.RetryBase << min(e.failures-1, 10)
	delay = min(delay, e.timing.RetryCap)
	return delay/2 + e.jitter(delay/2)
}

// Renewed takes in the result of ActionRenew that was sent at the given time.
func (e *Elector) Renewed(now time.Time, outcome Outcome, sent time.Time) {
	e.busy = false
	if !e.leading {
		return
	}
	switch outcome {
	case OutcomeHeld:
		e.paused = false
		e.validUntil = e.termEnd(now, sent)
	case OutcomeExpired:
		e.expired(now)
	default:
		e.renewAt = now.Add(e.timing.RetryBase + e.jitter(e.timing.RetryBase))
	}
}

// expired ends the leadership of this process, whose key is gone. If it acted, it
// was itself the former leader and may try again at once.
func (e *Elector) expired(now time.Time) {
	acted := !now.Before(e.actsFrom)
	e.stepDown(now)
	if acted {
		e.release(now)
		e.incumbent = true
	}
}

// Stop ends the leadership of this process for a graceful shutdown. It returns
// the lease to end, zero if it has none, and the host that should follow.
func (e *Elector) Stop() (lease kvstore.LeaseID, epoch uint64, successor host.ID) {
	e.stopping = true
	if !e.leading {
		return 0, e.epoch, ""
	}
	e.leading = false
	for _, id := range e.observed.Candidates {
		if id != e.self.ID {
			successor = id
			break
		}
	}
	return e.lease, e.epoch, successor
}

// HandedOver notes that the leader of an epoch has stopped acting and names this
// host as its successor.
func (e *Elector) HandedOver(now time.Time, epoch uint64) {
	if epoch == e.epoch && !e.leading {
		e.release(now)
		e.nextAttempt = time.Time{}
	}
}

// Lease returns the lease under which this process leads.
func (e *Elector) Lease() kvstore.LeaseID { return e.lease }
