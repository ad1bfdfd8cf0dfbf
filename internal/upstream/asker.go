package upstream

import (
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"
)

// Settings of requests for room.
const (
	askAhead       = 0.1                    // of the relays wanted now, asked for in addition
	askNear        = 3                      // peers of the own region asked at the same time for one service
	askFar         = 3                      // peers of other regions asked at the same time for one service
	askTimeout     = room.Term              // of one request
	askPatience    = 150 * time.Millisecond // for which a peer of the own region may wait for a slot
	askPause       = 100 * time.Millisecond // after a peer of another region had no room
	askRenewBefore = room.Term / 2          // time before its end at which a grant is renewed
)

// ask is one request for room to send.
type ask struct {
	peer     host.Identity
	distance int
	request  room.Request
}

// asker is the aggregate that decides which peers to ask for room for one
// service. Its owner holds the lock of the pool.
type asker struct {
	pending map[host.ID]ask       // by the peer that has not answered
	pause   map[host.ID]time.Time // no request before this time
}

func newAsker() *asker {
	return &asker{pending: map[host.ID]ask{}, pause: map[host.ID]time.Time{}}
}

// plan returns the requests to send now: renewals of grants that are needed,
// returns of slots that are not, and requests to further peers.
func (a *asker) plan(p *pool, found []candidate, now time.Time) []ask {
	wanted := p.wanted()
	asks := a.keep(p, &wanted, now)
	far := false
	for _, c := range found {
		if c.distance >= distanceOtherRegion && !far {
			far = true
			wanted -= a.pendingFar()
		}
		if wanted <= 0 {
			break
		}
		if !a.mayAsk(&c, now) || !p.worthAsking(&c, now) {
			continue
		}
		if grant, _ := p.holder.Current(c.identity.ID, now); grant != 0 {
			continue
		}
		slots := wanted
		if c.distance > distanceSameDomain {
			slots = min(wanted, c.free)
		}
		wanted -= min(slots, c.free)
		request := room.Request{Service: p.service, Slots: slots, Oldest: p.queue.oldest(now)}
		if c.distance < distanceOtherRegion {
			request.Patience = askPatience
		}
		asks = append(asks, a.send(c.identity, c.distance, request))
	}
	return asks
}

// keep decides about the grants that this host holds and deducts their slots
// from wanted.
func (a *asker) keep(p *pool, wanted *int, now time.Time) []ask {
	var asks []ask
	p.holder.Each(now, func(h *room.Holding) {
		needed := max(h.InUse, min(h.Slots, *wanted))
		*wanted -= needed
		surplus := h.Slots > needed
		ending := h.Expires.Sub(now) <= askRenewBefore && needed > 0
		if _, pending := a.pending[h.Peer.ID]; pending || (!surplus && !ending) {
			return
		}
		p.holder.Shrink(h, needed)
		request := room.Request{Service: p.service, Slots: needed, Renew: h.Grant}
		if ending && *wanted > 0 {
			request.Slots += *wanted
			*wanted = 0
		}
		asks = append(asks, a.send(h.Peer, h.Distance, request))
	})
	return asks
}

func (a *asker) send(peer host.Identity, distance int, request room.Request) ask {
	sent := ask{peer: peer, distance: distance, request: request}
	a.pending[peer.ID] = sent
	return sent
}

// pendingFar returns the slots that peers of other regions were asked for. Peers
// of the own region are asked in excess, for what they grant too much is soon
// returned; over a long way it would be lost for longer.
func (a *asker) pendingFar() int {
	total := 0
	for _, sent := range a.pending {
		if sent.distance >= distanceOtherRegion && sent.request.Renew == 0 {
			total += sent.request.Slots
		}
	}
	return total
}

// mayAsk reports whether a peer can be asked now.
func (a *asker) mayAsk(c *candidate, now time.Time) bool {
	if _, pending := a.pending[c.identity.ID]; pending || now.Before(a.pause[c.identity.ID]) {
		return false
	}
	near, far := 0, 0
	for _, sent := range a.pending {
		if sent.distance < distanceOtherRegion {
			near++
		} else {
			far++
		}
	}
	if c.distance < distanceOtherRegion {
		return near < askNear
	}
	return far < askFar
}

// answered takes over the end of a request. A peer that refused without waiting
// for a slot is left alone for a while.
func (a *asker) answered(sent ask, reply room.Reply, failed bool, now time.Time) {
	delete(a.pending, sent.peer.ID)
	delete(a.pause, sent.peer.ID)
	if failed || (reply.Slots == 0 && reply.Waited < askPatience/2) {
		a.pause[sent.peer.ID] = now.Add(askPause)
	}
}

// worthAsking reports whether waiters would still be waiting when the peer's
// answer arrives, and whether bytes may be sent to it.
func (p *pool) worthAsking(c *candidate, now time.Time) bool {
	if c.distance >= distanceOtherRegion && !p.egress.open(now) {
		return false
	}
	wait := p.localWait(float64(p.queue.len()), now)
	return p.queue.len() > 0 && wait >= roundTripFactor(c.distance)*c.defaultRoundTrip()
}

// wanted returns how many concurrent relays the pool could use, with some for
// the requests that arrive meanwhile.
func (p *pool) wanted() int {
	now := p.queue.len() + p.holder.InUse()
	return now + int(askAhead*float64(now))
}

// roomWaiter is a peer's request for room that waits for a free slot.
type roomWaiter struct {
	origin  host.ID
	request room.Request
	arrived time.Time
	sibling bool            // the peer is in this host's failure domain
	decided chan room.Reply // capacity 1
}

// age returns how long the request that needs the room has waited.
func (w *roomWaiter) age(now time.Time) time.Duration {
	return w.request.Oldest + now.Sub(w.arrived)
}

// elderMargin is by how much longer a peer's request must have waited than this
// host's to be served first.
const elderMargin = 10 * time.Millisecond

// maxRoomWaiters bounds the requests for room that wait.
const maxRoomWaiters = 128

// lend grants room at once, or returns a waiter if the peer has patience.
func (p *pool) lend(origin host.ID, request room.Request, now time.Time) (room.Reply, *roomWaiter) {
	if request.Renew != 0 || len(p.roomWaiters) == 0 {
		reply := p.lender.Lend(origin, request, p.lendable(now), now)
		if reply.Slots > 0 || request.Patience <= 0 || request.Slots <= 0 {
			return reply, nil
		}
	}
	if request.Patience <= 0 || len(p.roomWaiters) >= maxRoomWaiters {
		return room.Reply{}, nil
	}
	w := &roomWaiter{origin: origin, request: request, arrived: now, decided: make(chan room.Reply, 1)}
	p.roomWaiters = append(p.roomWaiters, w)
	return room.Reply{}, w
}

// lendToElders grants single slots to peers of the same failure domain whose work
// has waited longer than that of this host: the upstreams belong to the domain.
func (p *pool) lendToElders(now time.Time) {
	for i := 0; i < len(p.roomWaiters) && p.queue.len() > 0 && p.spare(now) > 0; {
		w := p.roomWaiters[i]
		if !w.sibling || w.age(now) < p.queue.oldest(now)+elderMargin {
			i++
			continue
		}
		p.forgetRoomWaiter(w)
		w.decided <- p.lender.Lend(w.origin, w.request, 1, now)
	}
}

// lendToWaiters grants free slots to the peers that wait for them, in turn and
// evenly.
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

// forgetRoomWaiter removes w and reports whether it was still waiting.
func (p *pool) forgetRoomWaiter(w *roomWaiter) bool {
	for i, other := range p.roomWaiters {
		if other == w {
			p.roomWaiters = append(p.roomWaiters[:i], p.roomWaiters[i+1:]...)
			return true
		}
	}
	return false
}
