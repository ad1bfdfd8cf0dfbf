package room

import (
	"slices"
	"time"

	"peridotrail/internal/host"
)

// HeldGrant is a room grant that this host received from another host.
type HeldGrant struct {
	Peer      host.Identity
	ID        uint64
	Slots     int
	InUse     int
	Expires   time.Time     // no relay starts at or after this time
	RoundTrip time.Duration // measured by the last request for the grant, without the lender's wait
	Distance  int           // 0: same failure domain, 1: same region, 2: other region
}

// Free returns how many relays may start under the grant at time now.
func (h *HeldGrant) Free(now time.Time) int {
	if !now.Before(h.Expires) {
		return 0
	}
	return h.Slots - h.InUse
}

// HeldGrants holds the room grants of one service that this host received from other
// hosts, nearest first. It is not safe for concurrent use.
type HeldGrants struct {
	grants []*HeldGrant
}

// AddReply adds or updates the grant in a reply. sent is a time before the request
// was sent, and now is the time at which the reply arrived. The term counts from
// sent, so that it ends here before it ends at the lender.
func (h *HeldGrants) AddReply(peer host.Identity, distance int, reply Reply, sent, now time.Time) {
	h.removeExpired(now)
	if existing := h.find(peer, reply.Grant); existing != nil {
		existing.Slots = reply.Slots
		existing.Expires = sent.Add(Term)
		existing.RoundTrip = roundTrip(reply, sent, now)
		return
	}
	if reply.Slots <= 0 {
		return
	}
	held := &HeldGrant{
		Peer: peer, ID: reply.Grant, Slots: reply.Slots,
		Expires: sent.Add(Term), RoundTrip: roundTrip(reply, sent, now), Distance: distance,
	}
	h.grants = append(h.grants, held)
	slices.SortStableFunc(h.grants, func(a, b *HeldGrant) int { return a.Distance - b.Distance })
}

func roundTrip(reply Reply, sent, now time.Time) time.Duration {
	return max(0, now.Sub(sent)-reply.Waited)
}

// Each calls visit for the grants that have not expired.
func (h *HeldGrants) Each(now time.Time, visit func(*HeldGrant)) {
	for _, held := range h.grants {
		if now.Before(held.Expires) {
			visit(held)
		}
	}
}

// Shrink reduces a grant to the given number of slots, but not below those in use.
// The caller must renew the grant at the lender for it to use the other slots.
func (h *HeldGrants) Shrink(held *HeldGrant, slots int) {
	held.Slots = max(held.InUse, min(held.Slots, slots))
}

func (h *HeldGrants) find(peer host.Identity, grant uint64) *HeldGrant {
	for _, held := range h.grants {
		if held.ID == grant && held.Peer.SameProcess(peer) {
			return held
		}
	}
	return nil
}

// Find returns the nearest grant with a free slot for which accept returns true, or
// nil if there is none.
func (h *HeldGrants) Find(now time.Time, accept func(*HeldGrant) bool) *HeldGrant {
	for _, held := range h.grants {
		if held.Free(now) > 0 && accept(held) {
			return held
		}
	}
	return nil
}

// StartRelay counts a relay under a grant that Find returned.
func (h *HeldGrants) StartRelay(held *HeldGrant) { held.InUse++ }

// EndRelay ends a relay. If the lender refused the relay, no further ones start under
// the grant, as the lender has lost it or has no slots for it.
func (h *HeldGrants) EndRelay(held *HeldGrant, refused bool) {
	held.InUse--
	if refused {
		held.Slots = 0
	}
}

// Free returns how many relays may start at time now under all grants.
func (h *HeldGrants) Free(now time.Time) int {
	total := 0
	for _, held := range h.grants {
		total += max(0, held.Free(now))
	}
	return total
}

// CurrentGrant returns the grant from peer that expires last, and when it expires;
// zero if there is none.
func (h *HeldGrants) CurrentGrant(peer host.ID, now time.Time) (grant uint64, expires time.Time) {
	for _, held := range h.grants {
		if held.Peer.ID == peer && now.Before(held.Expires) && held.Expires.After(expires) {
			grant, expires = held.ID, held.Expires
		}
	}
	return grant, expires
}

// SlotsOf returns the number of slots of a grant, or zero if it is unknown.
func (h *HeldGrants) SlotsOf(grant uint64) int {
	for _, held := range h.grants {
		if grant != 0 && held.ID == grant {
			return held.Slots
		}
	}
	return 0
}

// InUse returns the number of relays in progress.
func (h *HeldGrants) InUse() int {
	total := 0
	for _, held := range h.grants {
		total += held.InUse
	}
	return total
}

func (h *HeldGrants) removeExpired(now time.Time) {
	h.grants = slices.DeleteFunc(h.grants, func(held *HeldGrant) bool {
		return held.InUse <= 0 && !now.Before(held.Expires)
	})
}
