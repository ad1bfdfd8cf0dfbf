package upstream

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream/room"
)

// Settings of a pool.
const (
	maxWait          = 10 * time.Second // longest time in the queue for requests without a deadline
	reserveWindow    = 5 * time.Second  // after this time without local requests no slots are kept back from lending
	reservedFraction = 0.1              // fraction of the slots kept back for local requests
	minRetryAfter    = 100 * time.Millisecond
)

// placement is one request that occupies a slot of an upstream or of a held grant.
type placement struct {
	work      Work
	upstream  *upstreamState  // nil if relayed to a peer
	heldGrant *room.HeldGrant // set if relayed to a peer
	relayed   bool            // the request came from a peer under work.Grant
	cost      float64         // slot-seconds charged to the account
	started   time.Time
}

// assignment is a waiter with its placement.
type assignment struct {
	waiter *waiter
	place  *placement
}

// pool holds the state of one service on this host: its upstreams, its queue, and
// the room grants given to and received from other hosts. A room grant permits another
// host to relay a number of requests at the same time. It is not safe for concurrent
// use; serviceDispatcher guards it with a lock.
type pool struct {
	service     string
	capacity    CapacityShare
	upstreams   []*upstreamState
	queue       *fairQueue
	lender      *room.Lender
	heldGrants  room.HeldGrants
	serviceTime estimate
	egress      *egressBudget
	retries     retryBudget

	roomWaiters []*roomWaiter

	lastLocalRequest time.Time // when one of this host's own callers last sent a request
}

func newPool(service string, capacity CapacityShare, incarnation host.Incarnation, budget *egressBudget) *pool {
	return &pool{
		service:  service,
		capacity: capacity,
		queue:    newFairQueue(),
		lender:   room.NewLender(uint64(incarnation)),
		egress:   budget,
	}
}

// slots returns how many requests this host may run at the same time, and how many
// of those slots are free.
func (p *pool) slots(now time.Time) (limit, free int) {
	for _, u := range p.upstreams {
		upstreamLimit := u.limit(p.capacity, now)
		limit += upstreamLimit
		free += max(0, upstreamLimit-u.inUse)
	}
	return limit, free
}

// unreservedSlots returns the free slots that are not reserved for relays under room
// grants; negative if the limit has fallen below what was granted.
func (p *pool) unreservedSlots(now time.Time) int {
	_, free := p.slots(now)
	return free - p.lender.ReservedSlots(now)
}

// lendable returns how many slots may be granted to peers.
func (p *pool) lendable(now time.Time) int {
	limit, free := p.slots(now)
	if p.queue.len() > 0 {
		return 0
	}
	reserve := 0
	if limit > 1 && now.Sub(p.lastLocalRequest) < reserveWindow {
		reserve = int(reservedFraction * float64(limit))
	}
	return max(0, free-p.lender.ReservedSlots(now)-reserve)
}

// chooseUpstream returns the upstream with a free slot and the shortest expected
// time, or nil if there is none.
func (p *pool) chooseUpstream(work *Work, now time.Time) *upstreamState {
	var best *upstreamState
	var bestTime float64
	baseline := p.serviceTime.seconds()
	for _, u := range p.upstreams {
		limit := u.limit(p.capacity, now)
		if u.inUse >= limit || excluded(work, u.config.Name) {
			continue
		}
		if t := u.expectedTime(limit, baseline, now); best == nil || t < bestTime {
			best, bestTime = u, t
			u.lastLimit = limit
		}
	}
	return best
}

// submitImmediately places work without queueing it. Relayed work is either placed
// or refused; for other work both results are nil if it has to wait.
func (p *pool) submitImmediately(work Work, now time.Time) (*placement, *RefusedError) {
	if work.Relayed {
		return p.submitRelayed(work, now)
	}
	p.lastLocalRequest = now
	if p.queue.len() > 0 {
		return nil, nil
	}
	place := p.place(work, now)
	if place != nil {
		p.queue.charge(&work, place.cost)
	}
	return place, nil
}

// submit places work at once, queues it, or refuses it. Exactly one result is set.
// peerRoundTrip is the round trip to the nearest peer that may give a room grant, or
// zero if there is none.
func (p *pool) submit(work Work, peerRoundTrip time.Duration, now time.Time) (*placement, *waiter, *RefusedError) {
	if place, err := p.submitImmediately(work, now); place != nil || err != nil {
		return place, nil, err
	}
	if err := p.checkFeasible(&work, peerRoundTrip, now); err != nil {
		return nil, nil, err
	}
	w := &waiter{work: work, enqueued: now, latestStart: p.latestStart(&work, now), decided: make(chan decision, 1)}
	if displaced := p.queue.push(w); displaced == w {
		return nil, nil, p.newRefusal(ReasonOverloaded, &work, now)
	} else if displaced != nil {
		displaced.decided <- decision{err: p.newRefusal(ReasonOverloaded, &displaced.work, now)}
	}
	return nil, w, nil
}

func (p *pool) submitRelayed(work Work, now time.Time) (*placement, *RefusedError) {
	origin := host.ID(work.Origin)
	u := p.chooseUpstream(&work, now)
	if u == nil {
		return nil, p.newRefusal(ReasonOverloaded, &work, now)
	}
	if err := p.lender.StartRelay(origin, work.Grant, now); err != nil {
		return nil, &RefusedError{Reason: ReasonNoGrant, Service: p.service, Err: err}
	}
	place := p.takeSlot(work, u, now)
	place.relayed = true
	return place, nil
}

// place starts work on a local upstream, or under a held room grant if a relay is
// expected to be faster than waiting here. It returns nil if neither is possible.
func (p *pool) place(work Work, now time.Time) *placement {
	if p.unreservedSlots(now) > 0 {
		if u := p.chooseUpstream(&work, now); u != nil {
			return p.takeSlot(work, u, now)
		}
	}
	wait := p.localWait(float64(p.queue.len()+1), now)
	grant := p.heldGrants.Find(now, func(h *room.HeldGrant) bool { return p.mayRelay(h, &work, wait, now) })
	if grant == nil {
		return nil
	}
	return p.startRelay(work, grant, now)
}

// startRelay places work under a held grant.
func (p *pool) startRelay(work Work, grant *room.HeldGrant, now time.Time) *placement {
	p.heldGrants.StartRelay(grant)
	return &placement{work: work, heldGrant: grant, cost: p.serviceTime.seconds(), started: now}
}

// mayRelay reports whether to relay work under h rather than to wait here for the
// given time.
func (p *pool) mayRelay(h *room.HeldGrant, work *Work, wait time.Duration, now time.Time) bool {
	if excluded(work, string(h.Peer.ID)) || roundTripFactor(h.Distance)*h.RoundTrip > wait {
		return false
	}
	if h.Distance >= distanceOtherRegion && !p.egress.available(now) {
		return false
	}
	return work.Deadline.IsZero() || now.Add(h.RoundTrip+p.serviceTime.recent(now)).Before(work.Deadline)
}

// takeSlot places work on u.
func (p *pool) takeSlot(work Work, u *upstreamState, now time.Time) *placement {
	u.inUse++
	invariant.Check(u.inUse <= u.lastLimit && u.inUse <= u.config.Slots, invariant.SlotsWithinLimit,
		"upstream %s has %d requests in progress, limit %d of %d slots", u.config.Name, u.inUse, u.lastLimit, u.config.Slots)
	return &placement{work: work, upstream: u, cost: p.serviceTime.seconds(), started: now}
}

// localWait estimates the time until the given number of waiters have started on
// local upstreams.
func (p *pool) localWait(ahead float64, now time.Time) time.Duration {
	limit, _ := p.slots(now)
	if limit == 0 {
		return maxWait
	}
	return time.Duration(ahead * p.serviceTime.seconds() / float64(limit) * float64(time.Second))
}

// checkFeasible returns a refusal if work can't be answered before its deadline, or
// if neither an upstream nor a peer could run it.
func (p *pool) checkFeasible(work *Work, peerRoundTrip time.Duration, now time.Time) *RefusedError {
	limit, _ := p.slots(now)
	if limit == 0 && peerRoundTrip == 0 && p.heldGrants.Free(now) == 0 {
		return p.newRefusal(ReasonNoUpstream, work, now)
	}
	if work.Deadline.IsZero() {
		return nil
	}
	serviceTime := p.serviceTime.recent(now)
	wait := maxWait
	if limit > 0 {
		wait = 0
		if serviceTime > 0 {
			wait = p.localWait(p.queue.waitersAhead(work), now)
		}
	}
	if peerRoundTrip > 0 {
		wait = min(wait, 2*peerRoundTrip)
	}
	if now.Add(wait + serviceTime).After(work.Deadline) {
		return p.newRefusal(ReasonDeadlineTooShort, work, now)
	}
	return nil
}

func (p *pool) latestStart(work *Work, now time.Time) time.Time {
	if work.Deadline.IsZero() {
		return now.Add(maxWait)
	}
	return work.Deadline.Add(-p.serviceTime.recent(now))
}

func (p *pool) newRefusal(reason Reason, work *Work, now time.Time) *RefusedError {
	wait := p.localWait(p.queue.waitersAhead(work)+1, now)
	return &RefusedError{Reason: reason, Service: p.service, RetryAfter: max(minRetryAfter, min(wait, maxWait))}
}

// dispatchWaiting refuses waiters whose latest start has passed, and assigns free
// slots and held room grants to the others.
func (p *pool) dispatchWaiting(now time.Time) []assignment {
	if p.queue.len() == 0 {
		return nil
	}
	for _, late := range p.queue.removeExpired(now) {
		late.decided <- decision{err: p.newRefusal(ReasonDeadlineTooShort, &late.work, now)}
	}
	var assigned []assignment
	for p.queue.len() > 0 {
		next := p.dispatchNext(now)
		if next == nil {
			break
		}
		assigned = append(assigned, *next)
	}
	return assigned
}

func (p *pool) dispatchNext(now time.Time) *assignment {
	cost := p.serviceTime.seconds()
	if p.unreservedSlots(now) > 0 {
		w := p.queue.pop(cost, func(w *waiter) bool { return p.chooseUpstream(&w.work, now) != nil })
		if w != nil {
			return &assignment{waiter: w, place: p.takeSlot(w.work, p.chooseUpstream(&w.work, now), now)}
		}
	}
	if p.heldGrants.Free(now) == 0 {
		return nil
	}
	wait := p.localWait(float64(p.queue.len()), now)
	w := p.queue.pop(cost, func(w *waiter) bool {
		return p.findGrant(w, wait, now) != nil
	})
	if w == nil {
		return nil
	}
	return &assignment{waiter: w, place: p.startRelay(w.work, p.findGrant(w, wait, now), now)}
}

func (p *pool) findGrant(w *waiter, wait time.Duration, now time.Time) *room.HeldGrant {
	return p.heldGrants.Find(now, func(h *room.HeldGrant) bool { return p.mayRelay(h, &w.work, wait, now) })
}

// finish frees the slot of a placement and records its outcome.
func (p *pool) finish(place *placement, outcome Outcome, now time.Time) {
	if place.heldGrant != nil {
		p.finishRelay(place, outcome, now)
		return
	}
	u := place.upstream
	u.inUse--
	invariant.Check(u.inUse >= 0, invariant.SlotsWithinLimit, "upstream %s has %d requests in progress", u.config.Name, u.inUse)
	if place.relayed {
		p.lender.EndRelay(place.work.Grant)
		p.chargeResponseEgress(place, outcome, now)
	}
	u.observe(outcome, p.mayEject(u), now)
	if outcome.Result == ResultOK {
		p.serviceTime.observe(outcome.Latency, now)
	}
	if !place.relayed {
		p.queue.correctCharge(&place.work, now.Sub(place.started).Seconds()-place.cost)
	}
}

// chargeResponseEgress charges the response to the egress budget if it goes to a host
// in another region.
func (p *pool) chargeResponseEgress(place *placement, outcome Outcome, now time.Time) {
	if place.work.crossRegion {
		p.egress.spend(outcome.BytesReceived, now)
	}
}

func (p *pool) finishRelay(place *placement, outcome Outcome, now time.Time) {
	refused := outcome.Result == ResultShed || outcome.Result == ResultConnect
	p.heldGrants.EndRelay(place.heldGrant, refused)
	if place.heldGrant.Distance >= distanceOtherRegion {
		p.egress.spend(outcome.BytesSent, now)
	}
	if refused {
		return
	}
	p.queue.correctCharge(&place.work, now.Sub(place.started).Seconds()-place.cost)
}

// mayAttempt credits the retry budget for a first attempt, or charges it for a retry
// and reports whether the budget allows it. A request that only peers refused did
// not run, so sending it elsewhere is not charged.
func (p *pool) mayAttempt(work *Work) bool {
	if work.Relayed {
		return true
	}
	for _, u := range p.upstreams {
		if excluded(work, u.config.Name) {
			return p.retries.takeRetry()
		}
	}
	if len(work.Excluded) == 0 {
		p.retries.recordAttempt()
	}
	return true
}

// mayEject reports whether u can be ejected without exceeding maxEjectedFraction.
func (p *pool) mayEject(u *upstreamState) bool {
	ejected := 1
	for _, other := range p.upstreams {
		if other != u && other.health.state != healthServing {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedFraction*float64(len(p.upstreams))
}
