package upstream

import (
	"context"
	"sync"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream/room"
)

// serviceDispatcher makes the pool of one service safe for concurrent use. No I/O is
// done while mu is held.
type serviceDispatcher struct {
	dispatcher *Dispatcher
	mu         sync.Mutex // guards pool and planner
	pool       *pool
	planner    *roomPlanner
}

// acquire submits work to the pool and waits until it is placed or refused.
func (s *serviceDispatcher) acquire(ctx context.Context, work Work) (*Permit, error) {
	now := s.dispatcher.now()
	s.mu.Lock()
	if !s.pool.mayAttempt(&work) {
		s.mu.Unlock()
		s.dispatcher.stats.retriesRefused.Inc(1)
		return s.immediateResult(nil, &RefusedError{Reason: ReasonOverloaded, Service: work.Service, RetryAfter: time.Second}, now)
	}
	place, refused := s.pool.submitImmediately(work, now)
	s.mu.Unlock()
	if place != nil || refused != nil {
		return s.immediateResult(place, refused, now)
	}
	peerRoundTrip := s.dispatcher.nearestRoundTrip(s.pool.service)
	s.mu.Lock()
	place, waiting, refused := s.pool.submit(work, peerRoundTrip, now)
	assigned := s.dispatchWaiting(now)
	s.mu.Unlock()
	s.deliverPermits(assigned, now)
	if waiting == nil {
		return s.immediateResult(place, refused, now)
	}
	s.dispatcher.wakeTask()
	return s.wait(ctx, waiting)
}

// immediateResult converts a placement or refusal made without queueing into the
// result of acquire.
func (s *serviceDispatcher) immediateResult(place *placement, refused *RefusedError, now time.Time) (*Permit, error) {
	if refused != nil {
		s.dispatcher.stats.refused(refused.Reason)
		return nil, refused
	}
	return s.newPermit(place, now), nil
}

// wait blocks until the waiter is placed or refused, ctx ends, or its latest start
// has passed.
func (s *serviceDispatcher) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(w.latestStart.Sub(s.dispatcher.now()))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return s.result(w, d)
	case <-ctx.Done():
		return s.abandon(w, &RefusedError{Reason: ReasonWithdrawn, Service: s.pool.service, Err: context.Cause(ctx)})
	case <-timer.C:
		return s.abandon(w, nil)
	}
}

// abandon removes the waiter from the queue. If the pool has decided in the meantime
// that decision is returned, but a permit is ended if cause is set.
func (s *serviceDispatcher) abandon(w *waiter, cause *RefusedError) (*Permit, error) {
	now := s.dispatcher.now()
	s.mu.Lock()
	wasQueued := s.pool.queue.remove(w)
	if wasQueued && cause == nil {
		cause = s.pool.newRefusal(ReasonDeadlineTooShort, &w.work, now)
	}
	s.mu.Unlock()
	if wasQueued {
		s.dispatcher.stats.refused(cause.Reason)
		return nil, cause
	}
	d := <-w.decided
	if cause == nil || d.permit == nil {
		return s.result(w, d)
	}
	d.permit.Done(Outcome{Result: ResultCancelled})
	s.dispatcher.stats.refused(cause.Reason)
	return nil, cause
}

func (s *serviceDispatcher) result(w *waiter, d decision) (*Permit, error) {
	s.dispatcher.stats.waited(s.dispatcher.now().Sub(w.enqueued))
	if d.err != nil {
		s.dispatcher.stats.refused(d.err.Reason)
		return nil, d.err
	}
	return d.permit, nil
}

// deliverPermits sends permits to the waiters that the pool has placed.
func (s *serviceDispatcher) deliverPermits(assigned []assignment, now time.Time) {
	for _, a := range assigned {
		a.waiter.decided <- decision{permit: s.newPermit(a.place, now)}
	}
}

func (s *serviceDispatcher) newPermit(place *placement, now time.Time) *Permit {
	if place.heldGrant != nil {
		peer := place.heldGrant.Peer
		s.dispatcher.stats.relayed.Inc(1)
		target := Target{Address: peer.Fleet, Peer: peer, IsPeer: true, Grant: place.heldGrant.ID}
		return &Permit{target: target, transport: s.dispatcher.options.Transports.Peer(peer), place: place, service: s}
	}
	config := place.upstream.config
	invariant.Check(!s.dispatcher.drainedPastGrace(config.Name, now), invariant.NoWorkForDrainedUpstream,
		"upstream %s was given a request after its drain started", config.Name)
	s.dispatcher.stats.local.Inc(1)
	target := Target{Upstream: config.Name, Address: config.Address}
	return &Permit{target: target, transport: place.upstream.transport, place: place, service: s}
}

func (s *serviceDispatcher) finish(place *placement, outcome Outcome) {
	now := s.dispatcher.now()
	s.mu.Lock()
	s.pool.finish(place, outcome, now)
	assigned := s.dispatchWaiting(now)
	unused := place.heldGrant != nil && s.pool.queue.len() == 0
	s.mu.Unlock()
	s.deliverPermits(assigned, now)
	if unused {
		s.dispatcher.wakeTask()
	}
}

// sweep refuses waiters whose latest start has passed, and uses capacity that became
// available without an event, such as a larger share or the end of an ejection.
func (s *serviceDispatcher) sweep(now time.Time) {
	s.mu.Lock()
	limit, _ := s.pool.slots(now)
	s.pool.queue.setSlots(limit)
	assigned := s.dispatchWaiting(now)
	s.mu.Unlock()
	s.deliverPermits(assigned, now)
}

// lend answers a peer's request for a room grant. Without a free slot it waits for
// at most request.MaxWait.
func (s *serviceDispatcher) lend(ctx context.Context, from host.Identity, request room.Request, now time.Time) room.Reply {
	request.MaxWait = min(request.MaxWait, maxLenderWait)
	s.mu.Lock()
	reply, w := s.pool.lend(from.ID, request, now)
	if w != nil {
		w.sameDomain = from.FailureDomain == s.dispatcher.options.Self.FailureDomain
	}
	s.mu.Unlock()
	if w == nil {
		return reply
	}
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	select {
	case reply = <-w.decided:
	case <-timer.C:
		reply = s.endRoomWait(w)
	case <-ctx.Done():
		reply = s.endRoomWait(w)
	}
	reply.Waited = s.dispatcher.now().Sub(now)
	return reply
}

func (s *serviceDispatcher) endRoomWait(w *roomWaiter) room.Reply {
	s.mu.Lock()
	waiting := s.pool.removeRoomWaiter(w)
	s.mu.Unlock()
	if waiting {
		return room.Reply{}
	}
	return <-w.decided
}

// dispatchWaiting gives free slots first to peers in this failure domain that have
// waited longer than this host's requests, then to waiters of this host, then to
// other waiting peers. The caller holds s.mu.
func (s *serviceDispatcher) dispatchWaiting(now time.Time) []assignment {
	s.pool.lendToOlderWaiters(now)
	assigned := s.pool.dispatchWaiting(now)
	s.pool.lendToWaiters(now)
	return assigned
}

// needsRoom reports whether there may be room grants to request, renew or return.
func (s *serviceDispatcher) needsRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.wanted() > 0 || s.pool.heldGrants.Free(now) > 0
}

// planRoomRequests returns the requests for room grants to send now.
func (s *serviceDispatcher) planRoomRequests(peers []candidate, now time.Time) []roomRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.plan(s.pool, peers, now)
}

// recordReply records the reply to a request for a room grant; reply is zero if the
// request failed.
func (s *serviceDispatcher) recordReply(sentRequest roomRequest, reply room.Reply, failed bool, sent, now time.Time) {
	s.mu.Lock()
	s.planner.recordReply(sentRequest, reply, failed, now)
	s.pool.heldGrants.AddReply(sentRequest.peer, sentRequest.distance, reply, sent, now)
	assigned := s.dispatchWaiting(now)
	s.mu.Unlock()
	s.deliverPermits(assigned, now)
}
