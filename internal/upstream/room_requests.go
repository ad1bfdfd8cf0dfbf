package upstream

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"
)

// Settings of requests for room grants.
const (
	requestAheadRatio      = 0.1                    // additional slots to request, relative to the relays needed now
	maxOwnRegionRequests   = 3                      // pending requests per service to peers in this region
	maxOtherRegionRequests = 3                      // pending requests per service to peers in other regions
	roomRequestTimeout     = room.Term              // timeout of one request
	maxLenderWait          = 150 * time.Millisecond // how long a peer in the same region may wait for a free slot before it replies
	refusalBackoff         = 100 * time.Millisecond // pause before the next request to a peer that failed or refused at once
	renewBefore            = room.Term / 2          // remaining time at which a grant is renewed
)

// roomRequest is a request for a room grant, addressed to one peer. A room grant
// permits another host to relay a number of requests at the same time.
type roomRequest struct {
	peer     host.Identity
	distance int
	message  room.Request
}

// roomPlanner decides which peers to ask for room grants for one service. It is
// not safe for concurrent use: callers hold the lock that guards the pool.
type roomPlanner struct {
	pending   map[host.ID]roomRequest // requests without a reply, by peer
	notBefore map[host.ID]time.Time   // earliest time of the next request, by peer
}

func newRoomPlanner() *roomPlanner {
	return &roomPlanner{pending: map[host.ID]roomRequest{}, notBefore: map[host.ID]time.Time{}}
}

// plan returns the requests to send now: renewals of grants still needed, returns
// of unused slots, and requests to peers from which this host holds no grant. peers
// is sorted by distance.
func (r *roomPlanner) plan(p *pool, peers []candidate, now time.Time) []roomRequest {
	wanted := p.wanted()
	requests := r.planRenewals(p, &wanted, now)
	reachedOtherRegions := false
	for _, c := range peers {
		if c.distance >= distanceOtherRegion && !reachedOtherRegions {
			reachedOtherRegions = true
			wanted -= r.pendingOtherRegionSlots()
		}
		if wanted <= 0 {
			break
		}
		if !r.mayRequest(&c, now) || !p.worthRequesting(&c, now) {
			continue
		}
		if grant, _ := p.heldGrants.CurrentGrant(c.identity.ID, now); grant != 0 {
			continue
		}
		slots := wanted
		if c.distance > distanceSameDomain {
			slots = min(wanted, c.free)
		}
		wanted -= min(slots, c.free)
		request := room.Request{Service: p.service, Slots: slots, OldestWait: p.queue.oldestWait(now)}
		if c.distance < distanceOtherRegion {
			request.MaxWait = maxLenderWait
		}
		requests = append(requests, r.addPending(c.identity, c.distance, request))
	}
	return requests
}

// planRenewals returns the requests that renew or shrink the grants that this host
// holds, and subtracts the slots they cover from wanted.
func (r *roomPlanner) planRenewals(p *pool, wanted *int, now time.Time) []roomRequest {
	var requests []roomRequest
	p.heldGrants.Each(now, func(h *room.HeldGrant) {
		needed := max(h.InUse, min(h.Slots, *wanted))
		*wanted -= needed
		surplus := h.Slots > needed
		ending := h.Expires.Sub(now) <= renewBefore && needed > 0
		if _, pending := r.pending[h.Peer.ID]; pending || (!surplus && !ending) {
			return
		}
		p.heldGrants.Shrink(h, needed)
		request := room.Request{Service: p.service, Slots: needed, Renew: h.ID}
		if ending && *wanted > 0 {
			request.Slots += *wanted
			*wanted = 0
		}
		requests = append(requests, r.addPending(h.Peer, h.Distance, request))
	})
	return requests
}

func (r *roomPlanner) addPending(peer host.Identity, distance int, request room.Request) roomRequest {
	sent := roomRequest{peer: peer, distance: distance, message: request}
	r.pending[peer.ID] = sent
	return sent
}

// pendingOtherRegionSlots returns the number of slots in pending requests to other
// regions. Only these count against the demand: excess grants from this region
// are returned within a short round trip, those from another region stay unused
// for longer.
func (r *roomPlanner) pendingOtherRegionSlots() int {
	total := 0
	for _, sent := range r.pending {
		if sent.distance >= distanceOtherRegion && sent.message.Renew == 0 {
			total += sent.message.Slots
		}
	}
	return total
}

// mayRequest reports whether a request may be sent to the peer now.
func (r *roomPlanner) mayRequest(c *candidate, now time.Time) bool {
	if _, pending := r.pending[c.identity.ID]; pending || now.Before(r.notBefore[c.identity.ID]) {
		return false
	}
	ownRegion, otherRegion := 0, 0
	for _, sent := range r.pending {
		if sent.distance < distanceOtherRegion {
			ownRegion++
		} else {
			otherRegion++
		}
	}
	if c.distance < distanceOtherRegion {
		return ownRegion < maxOwnRegionRequests
	}
	return otherRegion < maxOtherRegionRequests
}

// recordReply removes a pending request. If it failed, or the peer refused without
// waiting for a free slot, the next request to the peer waits for refusalBackoff.
func (r *roomPlanner) recordReply(sent roomRequest, reply room.Reply, failed bool, now time.Time) {
	delete(r.pending, sent.peer.ID)
	delete(r.notBefore, sent.peer.ID)
	if failed || (reply.Slots == 0 && reply.Waited < maxLenderWait/2) {
		r.notBefore[sent.peer.ID] = now.Add(refusalBackoff)
	}
}

// worthRequesting reports whether requests are expected to be still queued when the
// peer's reply arrives, and whether the egress budget allows relays to the peer.
func (p *pool) worthRequesting(c *candidate, now time.Time) bool {
	if c.distance >= distanceOtherRegion && !p.egress.available(now) {
		return false
	}
	wait := p.localWait(float64(p.queue.len()), now)
	return p.queue.len() > 0 && wait >= roundTripFactor(c.distance)*c.defaultRoundTrip()
}

// wanted returns how many concurrent relays the pool could use, including some for
// requests that arrive before the grants do.
func (p *pool) wanted() int {
	now := p.queue.len() + p.heldGrants.InUse()
	return now + int(requestAheadRatio*float64(now))
}

// roomWaiter is a peer's request for a room grant that waits for a free slot.
type roomWaiter struct {
	origin     host.ID
	request    room.Request
	arrived    time.Time
	sameDomain bool            // the peer is in this host's failure domain
	decided    chan room.Reply // capacity 1
}

// oldestWait returns how long the peer's oldest queued request has waited.
func (w *roomWaiter) oldestWait(now time.Time) time.Duration {
	return w.request.OldestWait + now.Sub(w.arrived)
}

// olderWaitMargin is how much longer than this host's oldest request a peer's
// request must have waited to be served first.
const olderWaitMargin = 10 * time.Millisecond

// maxRoomWaiters is the maximum number of peers' requests that wait for a free slot
// of one service.
const maxRoomWaiters = 128

// lend grants free slots at once. If there are none and the request allows the
// lender to wait, lend queues it and returns its waiter.
func (p *pool) lend(origin host.ID, request room.Request, now time.Time) (room.Reply, *roomWaiter) {
	if request.Renew != 0 || len(p.roomWaiters) == 0 {
		reply := p.lender.Lend(origin, request, p.lendable(now), now)
		if reply.Slots > 0 || request.MaxWait <= 0 || request.Slots <= 0 {
			return reply, nil
		}
	}
	if request.MaxWait <= 0 || len(p.roomWaiters) >= maxRoomWaiters {
		return room.Reply{}, nil
	}
	w := &roomWaiter{origin: origin, request: request, arrived: now, decided: make(chan room.Reply, 1)}
	p.roomWaiters = append(p.roomWaiters, w)
	return room.Reply{}, w
}

// lendToOlderWaiters grants single slots to peers in this failure domain whose
// requests have waited longer than those of this host, because all hosts of the
// domain share its upstreams.
func (p *pool) lendToOlderWaiters(now time.Time) {
	for i := 0; i < len(p.roomWaiters) && p.queue.len() > 0 && p.unreservedSlots(now) > 0; {
		w := p.roomWaiters[i]
		if !w.sameDomain || w.oldestWait(now) < p.queue.oldestWait(now)+olderWaitMargin {
			i++
			continue
		}
		p.removeRoomWaiter(w)
		w.decided <- p.lender.Lend(w.origin, w.request, 1, now)
	}
}

// lendToWaiters divides the free slots evenly among the waiting peers, in order of
// arrival.
func (p *pool) lendToWaiters(now time.Time) {
	for len(p.roomWaiters) > 0 {
		free := p.lendable(now)
		if free <= 0 {
			return
		}
		w := p.roomWaiters[0]
		p.roomWaiters = p.roomWaiters[1:]
		share := (free + len(p.roomWaiters)) / (len(p.roomWaiters) + 1)
		w.decided <- p.lender.Lend(w.origin, w.request, share, now)
	}
}

// removeRoomWaiter removes w and reports whether it was still waiting.
func (p *pool) removeRoomWaiter(w *roomWaiter) bool {
	for i, other := range p.roomWaiters {
		if other == w {
			p.roomWaiters = append(p.roomWaiters[:i], p.roomWaiters[i+1:]...)
			return true
		}
	}
	return false
}
