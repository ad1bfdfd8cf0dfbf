package upstream

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream/room"
)

// Settings of a pool.
const (
	maxWait       = 10 * time.Second // wait of work without a deadline
	reserveMemory = 5 * time.Second  // without local work after which nothing is reserved
	reserveShare  = 0.1              // of the slots that is never lent
	minRetryAfter = 100 * time.Millisecond
)

// placement is one request that holds a slot or a part of a room grant.
type placement struct {
	work    Work
	worker  *worker       // nil if relayed to a peer
	holding *room.Holding // set if relayed to a peer
	relayed bool          // the request came from a peer under work.Grant
	cost    float64       // slot-seconds charged to the account
	started time.Time
}

// assignment is a waiter that got its place.
type assignment struct {
	waiter *waiter
	place  *placement
}

// pool is the aggregate of one service on this host: its upstreams, its queue,
// the room it lent and the room it holds. Its owner holds a lock.
type pool struct {
	service  string
	capacity CapacityShare
	workers  []*worker
	queue    *fairQueue
	lender   *room.Lender
	holder   room.Holder
	usual    estimate
	egress   *egress
	retries  retryBudget

	roomWaiters []*roomWaiter

	lastLocal time.Time // when this host last accepted work of its own callers
}

func newPool(service string, capacity CapacityShare, incarnation host.Incarnation, budget *egress) *pool {
	return &pool{
		service:  service,
		capacity: capacity,
		queue:    newFairQueue(),
		lender:   room.NewLender(uint64(incarnation)),
		egress:   budget,
	}
}

// slots returns how many requests this host may run, and how many more.
func (p *pool) slots(now time.Time) (limit, free int) {
	for _, w := range p.workers {
		l := w.limit(p.capacity, now)
		limit += l
		free += max(0, l-w.inUse)
	}
	return limit, free
}

// spare returns the free slots that are not set aside for peers.
func (p *pool) spare(now time.Time) int {
	_, free := p.slots(now)
	return free - p.lender.SetAside(now)
}

// lendable returns how many slots may be granted to peers.
func (p *pool) lendable(now time.Time) int {
	limit, free := p.slots(now)
	if p.queue.len() > 0 {
		return 0
	}
	reserve := 0
	if limit > 1 && now.Sub(p.lastLocal) < reserveMemory {
		reserve = int(reserveShare * float64(limit))
	}
	return max(0, free-p.lender.SetAside(now)-reserve)
}

// choose returns the worker with the least expected time, or nil.
func (p *pool) choose(work *Work, now time.Time) *worker {
	var best *worker
	var bestScore float64
	baseline := p.usual.seconds()
	for _, w := range p.workers {
		limit := w.limit(p.capacity, now)
		if w.inUse >= limit || excluded(work, w.upstream.Name) {
			continue
		}
		if score := w.score(limit, baseline, now); best == nil || score < bestScore {
			best, bestScore = w, score
			w.allowed = limit
		}
	}
	return best
}

// submitNow places work that need not wait. Relayed work is placed or refused;
// for other work both results may be nil.
func (p *pool) submitNow(work Work, now time.Time) (*placement, *RefusedError) {
	if work.Relayed {
		return p.submitRelayed(work, now)
	}
	p.lastLocal = now
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
// canRelay is the round trip to the nearest peer that may have room, or zero.
func (p *pool) submit(work Work, canRelay time.Duration, now time.Time) (*placement, *waiter, *RefusedError) {
	if place, err := p.submitNow(work, now); place != nil || err != nil {
		return place, nil, err
	}
	if err := p.feasible(&work, canRelay, now); err != nil {
		return nil, nil, err
	}
	w := &waiter{work: work, enqueued: now, latestStart: p.latestStart(&work, now), decided: make(chan decision, 1)}
	if displaced := p.queue.push(w); displaced == w {
		return nil, nil, p.refuse(ReasonOverloaded, &work, now)
	} else if displaced != nil {
		displaced.decided <- decision{err: p.refuse(ReasonOverloaded, &displaced.work, now)}
	}
	return nil, w, nil
}

func (p *pool) submitRelayed(work Work, now time.Time) (*placement, *RefusedError) {
	origin := host.ID(work.Origin)
	w := p.choose(&work, now)
	if w == nil {
		return nil, p.refuse(ReasonOverloaded, &work, now)
	}
	if err := p.lender.Use(origin, work.Grant, now); err != nil {
		return nil, &RefusedError{Reason: ReasonNoGrant, Service: p.service, Err: err}
	}
	place := p.occupy(work, w, now)
	place.relayed = true
	return place, nil
}

// place finds a slot here, or room at a peer if that is sooner than a slot here.
func (p *pool) place(work Work, now time.Time) *placement {
	if p.spare(now) > 0 {
		if w := p.choose(&work, now); w != nil {
			return p.occupy(work, w, now)
		}
	}
	wait := p.localWait(float64(p.queue.len()+1), now)
	holding := p.holder.Find(now, func(h *room.Holding) bool { return p.accepts(h, &work, wait, now) })
	if holding == nil {
		return nil
	}
	return p.relay(work, holding, now)
}

// relay starts a relay under a holding.
func (p *pool) relay(work Work, holding *room.Holding, now time.Time) *placement {
	p.holder.Start(holding)
	return &placement{work: work, holding: holding, cost: p.usual.seconds(), started: now}
}

// accepts reports whether work should be relayed under h.
func (p *pool) accepts(h *room.Holding, work *Work, wait time.Duration, now time.Time) bool {
	if excluded(work, string(h.Peer.ID)) || roundTripFactor(h.Distance)*h.RoundTrip > wait {
		return false
	}
	if h.Distance >= distanceOtherRegion && !p.egress.open(now) {
		return false
	}
	return work.Deadline.IsZero() || now.Add(h.RoundTrip+p.usual.current(now)).Before(work.Deadline)
}

// occupy takes a slot of w.
func (p *pool) occupy(work Work, w *worker, now time.Time) *placement {
	w.inUse++
	invariant.Check(w.inUse <= w.allowed && w.inUse <= w.upstream.Slots, invariant.SlotsWithinWhole,
		"upstream %s runs %d, allowed %d of %d", w.upstream.Name, w.inUse, w.allowed, w.upstream.Slots)
	return &placement{work: work, worker: w, cost: p.usual.seconds(), started: now}
}

// localWait estimates the time until ahead waiters got a slot here.
func (p *pool) localWait(ahead float64, now time.Time) time.Duration {
	limit, _ := p.slots(now)
	if limit == 0 {
		return maxWait
	}
	return time.Duration(ahead * p.usual.seconds() / float64(limit) * float64(time.Second))
}

// feasible refuses work that nothing could answer in time.
func (p *pool) feasible(work *Work, canRelay time.Duration, now time.Time) *RefusedError {
	limit, _ := p.slots(now)
	if limit == 0 && canRelay == 0 && p.holder.Free(now) == 0 {
		return p.refuse(ReasonNoUpstream, work, now)
	}
	if work.Deadline.IsZero() {
		return nil
	}
	service := p.usual.current(now)
	wait := maxWait
	if limit > 0 {
		wait = 0
		if service > 0 {
			wait = p.localWait(p.queue.ahead(work), now)
		}
	}
	if canRelay > 0 {
		wait = min(wait, 2*canRelay)
	}
	if now.Add(wait + service).After(work.Deadline) {
		return p.refuse(ReasonDeadlineTooShort, work, now)
	}
	return nil
}

func (p *pool) latestStart(work *Work, now time.Time) time.Time {
	if work.Deadline.IsZero() {
		return now.Add(maxWait)
	}
	return work.Deadline.Add(-p.usual.current(now))
}

func (p *pool) refuse(reason Reason, work *Work, now time.Time) *RefusedError {
	wait := p.localWait(p.queue.ahead(work)+1, now)
	return &RefusedError{Reason: reason, Service: p.service, RetryAfter: max(minRetryAfter, min(wait, maxWait))}
}

// pump gives free slots and room to waiters and refuses those that are too late.
func (p *pool) pump(now time.Time) []assignment {
	if p.queue.len() == 0 {
		return nil
	}
	for _, late := range p.queue.expired(now) {
		late.decided <- decision{err: p.refuse(ReasonDeadlineTooShort, &late.work, now)}
	}
	var assigned []assignment
	for p.queue.len() > 0 {
		next := p.pumpOne(now)
		if next == nil {
			break
		}
		assigned = append(assigned, *next)
	}
	return assigned
}

func (p *pool) pumpOne(now time.Time) *assignment {
	cost := p.usual.seconds()
	if p.spare(now) > 0 {
		w := p.queue.pop(cost, func(w *waiter) bool { return p.choose(&w.work, now) != nil })
		if w != nil {
			return &assignment{waiter: w, place: p.occupy(w.work, p.choose(&w.work, now), now)}
		}
	}
	if p.holder.Free(now) == 0 {
		return nil
	}
	wait := p.localWait(float64(p.queue.len()), now)
	w := p.queue.pop(cost, func(w *waiter) bool {
		return p.findRoom(w, wait, now) != nil
	})
	if w == nil {
		return nil
	}
	return &assignment{waiter: w, place: p.relay(w.work, p.findRoom(w, wait, now), now)}
}

func (p *pool) findRoom(w *waiter, wait time.Duration, now time.Time) *room.Holding {
	return p.holder.Find(now, func(h *room.Holding) bool { return p.accepts(h, &w.work, wait, now) })
}

// finish frees the place and learns from the outcome.
func (p *pool) finish(place *placement, outcome Outcome, now time.Time) {
	if place.holding != nil {
		p.finishRelay(place, outcome, now)
		return
	}
	w := place.worker
	w.inUse--
	invariant.Check(w.inUse >= 0, invariant.SlotsWithinWhole, "upstream %s has %d requests", w.upstream.Name, w.inUse)
	if place.relayed {
		p.lender.Release(place.work.Grant)
		p.spendResponse(place, outcome, now)
	}
	w.observe(outcome, p.mayEject(w), now)
	if outcome.Result == ResultOK {
		p.usual.observe(outcome.Latency, now)
	}
	if !place.relayed {
		p.queue.correct(&place.work, now.Sub(place.started).Seconds()-place.cost)
	}
}

// spendResponse counts the bytes of a response to a host in another region.
func (p *pool) spendResponse(place *placement, outcome Outcome, now time.Time) {
	if place.work.crossRegion {
		p.egress.spend(outcome.BytesReceived, now)
	}
}

func (p *pool) finishRelay(place *placement, outcome Outcome, now time.Time) {
	refused := outcome.Result == ResultShed || outcome.Result == ResultConnect
	p.holder.Release(place.holding, refused)
	if place.holding.Distance >= distanceOtherRegion {
		p.egress.spend(outcome.BytesSent, now)
	}
	if refused {
		return
	}
	p.queue.correct(&place.work, now.Sub(place.started).Seconds()-place.cost)
}

// mayAttempt counts a first attempt, or takes a retry from the budget. Work that
// a peer refused did not run and may always be sent elsewhere.
func (p *pool) mayAttempt(work *Work) bool {
	if work.Relayed {
		return true
	}
	for _, w := range p.workers {
		if excluded(work, w.upstream.Name) {
			return p.retries.withdraw()
		}
	}
	if len(work.Excluded) == 0 {
		p.retries.attempt()
	}
	return true
}

// mayEject reports whether the pool can spare w.
func (p *pool) mayEject(w *worker) bool {
	ejected := 1
	for _, other := range p.workers {
		if other != w && other.health.state != healthServing {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(p.workers))
}
