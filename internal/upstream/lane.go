package upstream

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream/room"
)

// lane is the concurrent shell around the pool of one service. No I/O happens
// while mu is held.
type lane struct {
	dispatcher *Dispatcher
	mu         sync.Mutex // guards pool and asker
	pool       *pool
	asker      *asker
}

// acquire runs the decision of the pool and waits for its result.
func (l *lane) acquire(ctx context.Context, work Work) (*Permit, error) {
	now := l.dispatcher.now()
	l.mu.Lock()
	if !l.pool.mayAttempt(&work) {
		l.mu.Unlock()
		l.dispatcher.stats.retriesRefused.Inc(1)
		return l.settle(nil, &RefusedError{Reason: ReasonOverloaded, Service: work.Service, RetryAfter: time.Second}, now)
	}
	place, refused := l.pool.submitNow(work, now)
	l.mu.Unlock()
	if place != nil || refused != nil {
		return l.settle(place, refused, now)
	}
	reach := l.dispatcher.reach(l.pool.service)
	l.mu.Lock()
	place, waiting, refused := l.pool.submit(work, reach, now)
	assigned := l.pump(now)
	l.mu.Unlock()
	l.hand(assigned, now)
	if waiting == nil {
		return l.settle(place, refused, now)
	}
	l.dispatcher.askSoon()
	return l.wait(ctx, waiting)
}

// settle turns a decision that needed no wait into the result of acquire.
func (l *lane) settle(place *placement, refused *RefusedError, now time.Time) (*Permit, error) {
	if refused != nil {
		l.dispatcher.stats.refused(refused.Reason)
		return nil, refused
	}
	return l.permit(place, now), nil
}

// wait blocks until the waiter is decided, its caller goes away, or it is too late.
func (l *lane) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(w.latestStart.Sub(l.dispatcher.now()))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return l.result(w, d)
	case <-ctx.Done():
		return l.abandon(w, &RefusedError{Reason: ReasonWithdrawn, Service: l.pool.service, Err: context.Cause(ctx)})
	case <-timer.C:
		return l.abandon(w, nil)
	}
}

// abandon takes the waiter out of the queue. A waiter that got its permit in the
// meantime keeps it, unless its caller went away.
func (l *lane) abandon(w *waiter, cause *RefusedError) (*Permit, error) {
	now := l.dispatcher.now()
	l.mu.Lock()
	removed := l.pool.queue.remove(w)
	if removed && cause == nil {
		cause = l.pool.refuse(ReasonDeadlineTooShort, &w.work, now)
	}
	l.mu.Unlock()
	if removed {
		l.dispatcher.stats.refused(cause.Reason)
		return nil, cause
	}
	d := <-w.decided
	if cause == nil || d.permit == nil {
		return l.result(w, d)
	}
	d.permit.Done(Outcome{Result: ResultCancelled})
	l.dispatcher.stats.refused(cause.Reason)
	return nil, cause
}

func (l *lane) result(w *waiter, d decision) (*Permit, error) {
	l.dispatcher.stats.waited(l.dispatcher.now().Sub(w.enqueued))
	if d.err != nil {
		l.dispatcher.stats.refused(d.err.Reason)
		return nil, d.err
	}
	return d.permit, nil
}

// hand gives permits to waiters that the pool assigned.
func (l *lane) hand(assigned []assignment, now time.Time) {
	for _, a := range assigned {
		a.waiter.decided <- decision{permit: l.permit(a.place, now)}
	}
}

func (l *lane) permit(place *placement, now time.Time) *Permit {
	if place.holding != nil {
		peer := place.holding.Peer
		l.dispatcher.stats.relayed.Inc(1)
		target := Target{Address: peer.Fleet, Peer: peer, IsPeer: true, Grant: place.holding.Grant}
		return &Permit{target: target, transport: l.dispatcher.options.Transports.Peer(peer), place: place, lane: l}
	}
	u := place.worker.upstream
	invariant.Check(!l.dispatcher.leftLongAgo(u.Name, now), invariant.LeavingUpstreamQuiet,
		"upstream %s got work after its drain", u.Name)
	l.dispatcher.stats.local.Inc(1)
	target := Target{Upstream: u.Name, Address: u.Address}
	return &Permit{target: target, transport: place.worker.transport, place: place, lane: l}
}

func (l *lane) finish(place *placement, outcome Outcome) {
	now := l.dispatcher.now()
	l.mu.Lock()
	l.pool.finish(place, outcome, now)
	assigned := l.pump(now)
	unused := place.holding != nil && l.pool.queue.len() == 0
	l.mu.Unlock()
	l.hand(assigned, now)
	if unused {
		l.dispatcher.askSoon()
	}
}

// sweep refuses late waiters and uses capacity that appeared without an event.
func (l *lane) sweep(now time.Time) {
	l.mu.Lock()
	limit, _ := l.pool.slots(now)
	l.pool.queue.setSlots(limit)
	assigned := l.pump(now)
	l.mu.Unlock()
	l.hand(assigned, now)
}

// lend answers a request for room, if need be after the peer's patience.
func (l *lane) lend(ctx context.Context, from host.Identity, request room.Request, now time.Time) room.Reply {
	request.Patience = min(request.Patience, askPatience)
	l.mu.Lock()
	reply, w := l.pool.lend(from.ID, request, now)
	if w != nil {
		w.sibling = from.FailureDomain == l.dispatcher.options.Self.FailureDomain
	}
	l.mu.Unlock()
	if w == nil {
		return reply
	}
	timer := time.NewTimer(request.Patience)
	defer timer.Stop()
	select {
	case reply = <-w.decided:
	case <-timer.C:
		reply = l.endRoomWait(w)
	case <-ctx.Done():
		reply = l.endRoomWait(w)
	}
	reply.Waited = l.dispatcher.now().Sub(now)
	return reply
}

func (l *lane) endRoomWait(w *roomWaiter) room.Reply {
	l.mu.Lock()
	waiting := l.pool.forgetRoomWaiter(w)
	l.mu.Unlock()
	if waiting {
		return room.Reply{}
	}
	return <-w.decided
}

// pump gives free slots to the waiters of this host and then to peers that wait
// for room; to those of the same failure domain by age. The caller
// holds l.mu.
func (l *lane) pump(now time.Time) []assignment {
	l.pool.lendToElders(now)
	assigned := l.pool.pump(now)
	l.pool.lendToWaiters(now)
	return assigned
}

// needsRoom reports whether there may be requests for room to send.
func (l *lane) needsRoom(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.wanted() > 0 || l.pool.holder.Free(now) > 0
}

// planAsks returns the requests for room to send now.
func (l *lane) planAsks(found []candidate, now time.Time) []ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asker.plan(l.pool, found, now)
}

// answered takes over the reply to an ask. A failed one has a zero reply.
func (l *lane) answered(a ask, reply room.Reply, failed bool, asked, now time.Time) {
	l.mu.Lock()
	l.asker.answered(a, reply, failed, now)
	l.pool.holder.Add(a.peer, a.distance, reply, asked, now)
	assigned := l.pump(now)
	l.mu.Unlock()
	l.hand(assigned, now)
}
