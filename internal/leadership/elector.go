// Package leadership decides which host leads a failure domain.
//
// The leader holds a leased key in the platform's store. The revision at which
// the key was created is the leader's epoch, which never decreases. Elector is the
// pure state machine; Service runs it and makes its calls to the store.
package leadership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Observation is the membership state that an Elector gets at each tick.
type Observation struct {
	Candidates        []host.ID // hosts of this domain, in the order in which they try to acquire the key
	LastPeerHeartbeat time.Time // last heartbeat exchanged with a host of the domain
	Alone             bool      // no other host of the domain is known
	Fresh             bool      // the membership view is not stale after a pause of this process
}

// Action is a call to the store that an Elector requests. At most one is in progress;
// its outcome is passed to Acquired or Renewed.
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
	OutcomeUnavailable                    // the store was unreachable or its response was lost
)

// Result is the outcome of an attempt to acquire the key.
type Result struct {
	Outcome Outcome
	Sent    time.Time // before the lease was requested
	Lease   kvstore.LeaseID
	Leader  host.Identity // with OutcomeOther: the holder of the key
	Epoch   uint64        // epoch of the holder
	First   bool          // with OutcomeHeld: the domain never had a leader before
	// Previous is, with OutcomeHeld, the epoch of the previous leader; zero if there
	// was none or it is unknown.
	Previous uint64
}

// Status is the leadership of a domain as one host knows it.
type Status struct {
	Domain   string
	Leader   host.Identity // zero if no leader is known
	Epoch    uint64
	Self     bool // this process leads and may act at this moment
	HoldOver bool // this process acts past its lease because the store is unreachable
	Pending  bool // this process holds the lease and waits for the previous leadership term to end
	// Previous is the epoch of the previous leader, if this process leads; zero if
	// there was none or it is unknown.
	Previous uint64
	First    bool // this process leads and is the first leader of the domain
}

// Elector decides, for one host, whether the host leads its domain. It does no I/O and
// reads no clock: callers pass the time and make the calls that it requests. It is not
// safe for concurrent use.
type Elector struct {
	self      host.Identity
	timing    Timing
	startedAt time.Time

	leader              host.Identity
	epoch               uint64    // highest known epoch
	lastLeaderHeartbeat time.Time // last heartbeat of the leader, or the time at which it became known
	releasedUntil       time.Time // until then the leader is known to have stopped acting
	// triesFirst puts this process before the other candidates: its own lease expired
	// while the store was unreachable.
	triesFirst bool

	leading       bool // this process holds the key or acts in hold-over
	previousEpoch uint64
	firstOfDomain bool
	lease         kvstore.LeaseID
	termEndsAt    time.Time // end of the leadership term, counted from before the lease was requested
	acquiredAt    time.Time
	actsFrom      time.Time
	renewAt       time.Time
	pauseSeen     bool // a gap between ticks longer than MaxTickGap occurred since the last renewal

	lastTick      time.Time
	observed      Observation
	actionPending bool // an action is in progress
	failures      int
	nextAttempt   time.Time
	stopping      bool

	mutation mutation
}

// mutation disables one rule, for tests that check that the rule is needed.
type mutation uint8

const (
	mutationNone mutation = iota
	mutationIgnorePause
	mutationTermFromResponse
	mutationIgnoreEpoch
	mutationIgnorePeers
	mutationNoActivationDelay
)

// NewElector returns an elector that knows no leader.
func NewElector(self host.Identity, timing Timing, now time.Time) *Elector {
	return &Elector{self: self, timing: timing, startedAt: now, lastLeaderHeartbeat: now, lastTick: now, renewAt: now}
}

// Status returns the leadership at the given time. Self is computed from that time at
// each call, so that a process resuming from a pause doesn't act on an old status.
func (e *Elector) Status(now time.Time) Status {
	status := Status{Domain: e.self.FailureDomain, Leader: e.leader, Epoch: e.epoch}
	if !e.leading {
		return status
	}
	status.Previous, status.First = e.previousEpoch, e.firstOfDomain
	status.Self = e.mayAct(now)
	status.HoldOver = status.Self && !now.Before(e.termEndsAt)
	status.Pending = now.Before(e.actsFrom)
	if !status.Self && !status.Pending {
		status.Leader = host.Identity{}
	}
	return status
}

func (e *Elector) mayAct(now time.Time) bool {
	if e.stopping || now.Before(e.actsFrom) {
		return false
	}
	return now.Before(e.termEndsAt) || e.mayHoldOver(now)
}

// mayHoldOver reports whether this process may act past its lease: it acted under the
// lease, was not paused since the last renewal, and exchanges heartbeats with hosts of
// its domain or is alone in it. A response of the store that the lease has expired ends
// the hold-over, see Renewed.
func (e *Elector) mayHoldOver(now time.Time) bool {
	if !e.actsFrom.Before(e.termEndsAt) {
		return false // it never acted under its lease
	}
	gap := now.Sub(e.lastTick) > e.timing.MaxTickGap
	if (gap || e.pauseSeen) && e.mutation != mutationIgnorePause {
		return false
	}
	silent := now.Sub(e.observed.LastPeerHeartbeat) > e.timing.PeerTimeout
	return e.observed.Alone || !silent || e.mutation == mutationIgnorePeers
}

// Tick updates the elector with the membership state and returns the action that is
// due, or ActionNone.
func (e *Elector) Tick(now time.Time, observed Observation) Action {
	if now.Sub(e.lastTick) > e.timing.MaxTickGap {
		e.pauseSeen = true
		e.releasedUntil = time.Time{}
		e.triesFirst = false
	}
	// Checked before and after the update, so that a hold-over that has ended is not
	// resumed by the new observation.
	ended := e.leading && !e.mayAct(now) && !now.Before(e.actsFrom)
	e.lastTick = now
	e.observed = observed
	e.shortenActivation(now)
	if ended || e.leading && !e.mayAct(now) && !now.Before(e.actsFrom) {
		e.stepDown(now)
	}
	if e.actionPending || e.stopping {
		return ActionNone
	}
	if e.leading {
		return e.dueRenewal(now)
	}
	return e.dueAcquisition(now)
}

func (e *Elector) dueRenewal(now time.Time) Action {
	if now.Before(e.renewAt) {
		return ActionNone
	}
	e.actionPending = true
	e.renewAt = now.Add(e.timing.RenewInterval)
	return ActionRenew
}

// dueAcquisition returns ActionAcquire if this candidate should try to acquire the key
// now. Once the leader has sent no heartbeats for leaderTimeout, the candidates try one
// after the other, CandidateStagger apart.
func (e *Elector) dueAcquisition(now time.Time) Action {
	rank := slices.Index(e.observed.Candidates, e.self.ID)
	if e.triesFirst {
		rank = 0
	}
	if rank < 0 || !e.observed.Fresh || now.Before(e.nextAttempt) {
		return ActionNone
	}
	if now.Before(e.startedAt.Add(e.timing.StartGrace)) {
		return ActionNone
	}
	due := e.lastLeaderHeartbeat.Add(e.leaderTimeout() + time.Duration(rank)*e.timing.CandidateStagger + e.jitter(e.timing.CandidateStagger/2))
	if !now.Before(e.releasedUntil) && now.Before(due) {
		return ActionNone
	}
	e.actionPending = true
	return ActionAcquire
}

// leaderTimeout returns how long the leader must have sent no heartbeats before
// candidates try to acquire the key. If no leader was ever known, it is StartGrace.
func (e *Elector) leaderTimeout() time.Duration {
	if e.epoch == 0 {
		return e.timing.StartGrace
	}
	return e.timing.LeaderTimeout
}

// jitter returns a duration below limit, derived from the identity of this process and
// the number of failures.
func (e *Elector) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	seed := xxhash.Sum64String(string(e.self.ID)) ^ uint64(e.self.Incarnation) ^ uint64(e.failures)<<32
	return time.Duration(seed % uint64(limit))
}

// HandleHeartbeat records the leader and the epoch that a host of the domain reports. An
// epoch above that of this process ends its leadership.
func (e *Elector) HandleHeartbeat(now time.Time, from, leader host.Identity, epoch uint64) {
	e.detectRestart(now, from)
	if epoch > e.epoch {
		e.adoptLeader(now, leader, epoch)
		return
	}
	if epoch < e.epoch || leader.ID == "" {
		return
	}
	if e.leader.ID == from.ID && e.leader.Incarnation == 0 && leader.ID == from.ID {
		e.leader = from
	}
	if from.SameProcess(leader) && from.SameProcess(e.leader) {
		e.lastLeaderHeartbeat = now
		e.releasedUntil = time.Time{}
	}
}

// markReleased records that the leader has stopped acting. This holds for
// ReleaseValidity only, which ends before another host that has acquired the key in the
// meantime may act.
func (e *Elector) markReleased(now time.Time) { e.releasedUntil = now.Add(e.timing.ReleaseValidity) }

// detectRestart marks the leadership as released if a later incarnation of the leader's
// host is running.
func (e *Elector) detectRestart(now time.Time, from host.Identity) {
	isLeaderHost := e.leader.ID == from.ID && e.leader.Incarnation != 0
	if isLeaderHost && from.Incarnation > e.leader.Incarnation {
		e.markReleased(now)
	}
}

// adoptLeader records the leader of a higher epoch and ends any leadership of this
// process.
func (e *Elector) adoptLeader(now time.Time, leader host.Identity, epoch uint64) {
	if e.mutation == mutationIgnoreEpoch && e.leading {
		return
	}
	e.leading = false
	e.leader = leader
	e.epoch = epoch
	e.lastLeaderHeartbeat = now
	e.releasedUntil = time.Time{}
	e.triesFirst = false
	e.failures = 0
}

// stepDown ends the leadership of this process.
func (e *Elector) stepDown(now time.Time) {
	e.leading = false
	e.leader = host.Identity{}
	e.lastLeaderHeartbeat = now
	e.releasedUntil = time.Time{}
}

// Acquired handles the result of ActionAcquire.
func (e *Elector) Acquired(now time.Time, result Result) {
	e.actionPending = false
	switch result.Outcome {
	case OutcomeHeld:
		e.becomeLeader(now, result)
	case OutcomeOther:
		e.handleOtherLeader(now, result)
	default:
		e.failures++
		e.nextAttempt = now.Add(e.backoff())
	}
}

func (e *Elector) becomeLeader(now time.Time, result Result) {
	if result.Epoch < e.epoch {
		e.nextAttempt = now.Add(e.timing.BaseRetryDelay)
		return
	}
	e.acquiredAt = now
	e.actsFrom = e.activationTime(now, result.First)
	e.leading = true
	e.leader = e.self
	e.epoch = result.Epoch
	e.previousEpoch, e.firstOfDomain = result.Previous, result.First
	e.lastLeaderHeartbeat = now
	e.releasedUntil = time.Time{}
	e.triesFirst = false
	e.pauseSeen = false
	e.failures = 0
	e.lease = result.Lease
	e.termEndsAt = e.termEnd(now, result.Sent)
	e.renewAt = now.Add(e.timing.RenewInterval)
}

// activationTime returns when a process that has just acquired the key may act. A
// previous leader in hold-over must first learn that it has to stop: from a host of the
// domain that knows the new epoch, or from the store when it renews.
func (e *Elector) activationTime(now time.Time, first bool) time.Time {
	if first || now.Before(e.releasedUntil) || e.mutation == mutationNoActivationDelay {
		return now
	}
	return now.Add(e.timing.IsolatedActivationDelay)
}

// shortenActivation shortens the wait after acquiring the key once a heartbeat was
// exchanged with a host of the domain, which then knows the new epoch.
func (e *Elector) shortenActivation(now time.Time) {
	if e.leading && now.Before(e.actsFrom) && e.observed.LastPeerHeartbeat.After(e.acquiredAt) {
		e.actsFrom = earlier(e.actsFrom, e.observed.LastPeerHeartbeat.Add(e.timing.ActivationDelay))
		e.acquiredAt = e.actsFrom // no later heartbeat shortens it again
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// termEnd returns the end of a leadership term, counted from before the lease was
// requested. It is LeaseMargin earlier than the earliest end of the lease in the store.
func (e *Elector) termEnd(now, sent time.Time) time.Time {
	if e.mutation == mutationTermFromResponse {
		sent = now
	}
	return sent.Add(e.timing.LeaseTTL - e.timing.LeaseMargin)
}

func (e *Elector) handleOtherLeader(now time.Time, result Result) {
	e.nextAttempt = now.Add(e.timing.BaseRetryDelay + e.jitter(e.timing.BaseRetryDelay))
	if result.Epoch > e.epoch {
		e.adoptLeader(now, result.Leader, result.Epoch)
	}
	if result.Leader.ID == e.self.ID && !result.Leader.SameProcess(e.self) {
		e.markReleased(now) // an earlier incarnation of this host led
	}
}

func (e *Elector) backoff() time.Duration {
	delay := e.timing.BaseRetryDelay << min(e.failures-1, 10)
	delay = min(delay, e.timing.MaxRetryDelay)
	return delay/2 + e.jitter(delay/2)
}

// Renewed handles the outcome of an ActionRenew that was sent at the given time.
func (e *Elector) Renewed(now time.Time, outcome Outcome, sent time.Time) {
	e.actionPending = false
	if !e.leading {
		return
	}
	switch outcome {
	case OutcomeHeld:
		e.pauseSeen = false
		e.termEndsAt = e.termEnd(now, sent)
	case OutcomeExpired:
		e.handleExpiredLease(now)
	default:
		e.renewAt = now.Add(e.timing.BaseRetryDelay + e.jitter(e.timing.BaseRetryDelay))
	}
}

// handleExpiredLease ends the leadership of this process after the store reported that
// its lease has expired. If the process acted, the leader that had to stop is this
// process itself, so it may try again at once.
func (e *Elector) handleExpiredLease(now time.Time) {
	acted := !now.Before(e.actsFrom)
	e.stepDown(now)
	if acted {
		e.markReleased(now)
		e.triesFirst = true
	}
}

// Stop ends the leadership of this process for a graceful shutdown. It returns the lease
// to revoke, zero if this process doesn't lead, the highest known epoch, and the host
// that should lead next, empty if there is no other candidate.
func (e *Elector) Stop() (lease kvstore.LeaseID, epoch uint64, successor host.ID) {
	e.stopping = true
	if !e.leading {
		return kvstore.LeaseID{}, e.epoch, ""
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

// HandleHandover records that the leader of an epoch has stopped acting and named this
// host as its successor. This host tries to acquire the key at the next tick.
func (e *Elector) HandleHandover(now time.Time, epoch uint64) {
	if epoch == e.epoch && !e.leading {
		e.markReleased(now)
		e.nextAttempt = time.Time{}
	}
}

// Lease returns the lease under which this process leads.
func (e *Elector) Lease() kvstore.LeaseID { return e.lease }
