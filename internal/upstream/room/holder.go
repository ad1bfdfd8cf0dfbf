package room

import (
	"slices"
	"time"

	"peridotrail/internal/host"
)

// Holding is room at another host that this host may use.
type Holding struct {
	Peer      host.Identity
	Grant     uint64
	Slots     int
	InUse     int
	Expires   time.Time     // no relay starts at or after this time
	RoundTrip time.Duration // of the request that obtained the grant
	Distance  int           // 0: same failure domain, 1: same region, 2: other region
}

// Free returns how many relays may start at now.
func (h *Holding) Free(now time.Time) int {
	if !now.Before(h.Expires) {
		return 0
	}
	return h.Slots - h.InUse
}

// Holder is the aggregate of the room of one service that other hosts granted
// to this host.
type Holder struct {
	holdings []*Holding
}

// Add takes over a reply. asked is the time before the request was sent and now
// the time at which the reply arrived.
func (h *Holder) Add(peer host.Identity, distance int, reply Reply, asked, now time.Time) {
	h.discard(now)
	if known := h.find(peer, reply.Grant); known != nil {
		known.Slots = reply.Slots
		known.Expires = asked.Add(Term)
		known.RoundTrip = roundTrip(reply, asked, now)
		return
	}
	if reply.Slots <= 0 {
		return
	}
	holding := &Holding{
		Peer: peer, Grant: reply.Grant, Slots: reply.Slots,
		Expires: asked.Add(Term), RoundTrip: roundTrip(reply, asked, now), Distance: distance,
	}
	h.holdings = append(h.holdings, holding)
	slices.SortStableFunc(h.holdings, func(a, b *Holding) int { return a.Distance - b.Distance })
}

func roundTrip(reply Reply, asked, now time.Time) time.Duration {
	return max(0, now.Sub(asked)-reply.Waited)
}

// Each calls visit for the holdings that have not ended.
func (h *Holder) Each(now time.Time, visit func(*Holding)) {
	for _, holding := range h.holdings {
		if now.Before(holding.Expires) {
			visit(holding)
		}
	}
}

// Shrink gives up the slots of a holding beyond slots. The lender learns of it
// by a request that renews the grant.
func (h *Holder) Shrink(holding *Holding, slots int) {
	holding.Slots = max(holding.InUse, min(holding.Slots, slots))
}

func (h *Holder) find(peer host.Identity, grant uint64) *Holding {
	for _, holding := range h.holdings {
		if holding.Grant == grant && holding.Peer.Same(peer) {
			return holding
		}
	}
	return nil
}

// Find returns the nearest holding with room that accept agrees to, or nil.
func (h *Holder) Find(now time.Time, accept func(*Holding) bool) *Holding {
	for _, holding := range h.holdings {
		if holding.Free(now) > 0 && accept(holding) {
			return holding
		}
	}
	return nil
}

// Start counts a relay under a holding that Find returned.
func (h *Holder) Start(holding *Holding) { holding.InUse++ }

// Release ends a relay. A relay that its target refused ends the holding, for
// the lender no longer knows it or never had the room.
func (h *Holder) Release(holding *Holding, refused bool) {
	holding.InUse--
	if refused {
		holding.Slots = 0
	}
}

// Free returns how many relays may start at now over all holdings.
func (h *Holder) Free(now time.Time) int {
	total := 0
	for _, holding := range h.holdings {
		total += max(0, holding.Free(now))
	}
	return total
}

// Current returns the grant to renew at peer and its end; zero if there is none.
func (h *Holder) Current(peer host.ID, now time.Time) (grant uint64, expires time.Time) {
	for _, holding := range h.holdings {
		if holding.Peer.ID == peer && now.Before(holding.Expires) && holding.Expires.After(expires) {
			grant, expires = holding.Grant, holding.Expires
		}
	}
	return grant, expires
}

// SlotsOf returns the size of a grant; zero if it is unknown.
func (h *Holder) SlotsOf(grant uint64) int {
	for _, holding := range h.holdings {
		if grant != 0 && holding.Grant == grant {
			return holding.Slots
		}
	}
	return 0
}

// InUse returns the number of relays in progress.
func (h *Holder) InUse() int {
	total := 0
	for _, holding := range h.holdings {
		total += holding.InUse
	}
	return total
}

func (h *Holder) discard(now time.Time) {
	h.holdings = slices.DeleteFunc(h.holdings, func(holding *Holding) bool {
		return holding.InUse <= 0 && !now.Before(holding.Expires)
	})
}
