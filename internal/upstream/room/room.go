// Package room lends free slots between entry hosts. A host without a free slot asks
// another host for a room grant. The lender reserves the slots before it replies, so
// relays under grants never exceed the slots that their target has reserved.
//
// Lender and HeldGrants are not safe for concurrent use; callers hold a lock.
package room

import (
	"fmt"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Duration of grants.
const (
	// Term is how long a borrower may start relays, counted from before it sent its
	// request.
	Term = 500 * time.Millisecond
	// LenderMargin is how much longer than Term the lender accepts relays and keeps
	// the slots reserved.
	LenderMargin = 100 * time.Millisecond
)

// Request asks for a room grant, or renews or returns one. It is sent between hosts.
type Request struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"`           // concurrent relays wanted
	Renew   uint64 `cbor:"3,keyasint,omitempty"` // grant to resize and extend; zero: a new grant
	// MaxWait is how long the lender may wait for a free slot before it answers.
	MaxWait time.Duration `cbor:"4,keyasint,omitempty"`
	// OldestWait is how long the sender's oldest queued request has waited.
	OldestWait time.Duration `cbor:"5,keyasint,omitempty"`
}

// Reply answers a Request. Slots is zero if the lender has no free slots.
type Reply struct {
	Grant uint64 `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint"`
	// Waited is how long the lender waited for a free slot.
	Waited time.Duration `cbor:"3,keyasint,omitempty"`
}

// UngrantedError reports a relayed request that no valid room grant covers.
type UngrantedError struct {
	Origin host.ID
	Grant  uint64
	Cause  string // "unknown", "expired" or "full"
}

// Error implements error.
func (e *UngrantedError) Error() string {
	return fmt.Sprintf("relay from host %q: room grant %d is %s", e.Origin, e.Grant, e.Cause)
}

// lentGrant is a room grant that this host gave to another host.
type lentGrant struct {
	id      uint64
	origin  host.ID
	slots   int
	inUse   int
	expires time.Time
}

// Lender holds the room grants of one service that this host gave to other hosts.
type Lender struct {
	lastID uint64
	grants map[uint64]*lentGrant
}

// NewLender creates a Lender whose grant IDs are greater than baseID. baseID must
// differ between incarnations of a host, so that relays under a grant of an earlier
// process are refused.
func NewLender(baseID uint64) *Lender {
	return &Lender{lastID: baseID, grants: map[uint64]*lentGrant{}}
}

// ReservedSlots returns how many slots are reserved for relays that have not yet
// arrived.
func (l *Lender) ReservedSlots(now time.Time) int {
	total := 0
	for _, g := range l.grants {
		if !now.After(g.expires) {
			total += max(0, g.slots-g.inUse)
		}
	}
	return total
}

// removeExpired removes the grants that have expired and have no relay in progress.
func (l *Lender) removeExpired(now time.Time) {
	for id, g := range l.grants {
		if now.After(g.expires) && g.inUse == 0 {
			delete(l.grants, id)
		}
	}
}

// Lend grants up to request.Slots slots to origin. free is the number of slots that
// are neither in use nor reserved. A renewal keeps its grant ID; the unused slots of
// the grant are available to it as well, and its new size may be smaller.
func (l *Lender) Lend(origin host.ID, request Request, free int, now time.Time) Reply {
	l.removeExpired(now)
	g := l.grants[request.Renew]
	if g == nil || g.origin != origin || now.After(g.expires) {
		return l.lendNew(origin, min(request.Slots, free), now)
	}
	available := max(0, free+g.slots-g.inUse)
	g.slots = min(request.Slots, g.inUse+available)
	g.expires = now.Add(Term + LenderMargin)
	return Reply{Grant: g.id, Slots: g.slots}
}

func (l *Lender) lendNew(origin host.ID, slots int, now time.Time) Reply {
	if slots <= 0 {
		return Reply{}
	}
	l.lastID++
	l.grants[l.lastID] = &lentGrant{id: l.lastID, origin: origin, slots: slots, expires: now.Add(Term + LenderMargin)}
	return Reply{Grant: l.lastID, Slots: slots}
}

// StartRelay admits one relay under a grant, or returns an *UngrantedError. The
// caller must call EndRelay when the relay ends.
func (l *Lender) StartRelay(origin host.ID, grant uint64, now time.Time) error {
	g := l.grants[grant]
	if g == nil || g.origin != origin {
		return &UngrantedError{Origin: origin, Grant: grant, Cause: "unknown"}
	}
	if now.After(g.expires) {
		return &UngrantedError{Origin: origin, Grant: grant, Cause: "expired"}
	}
	if g.inUse >= g.slots {
		return &UngrantedError{Origin: origin, Grant: grant, Cause: "full"}
	}
	g.inUse++
	invariant.Check(g.inUse <= g.slots, invariant.RegionNotOverloaded,
		"room grant %d of host %s has %d relays in progress, limit %d", grant, origin, g.inUse, g.slots)
	return nil
}

// EndRelay ends one relay under a grant.
func (l *Lender) EndRelay(grant uint64) {
	if g := l.grants[grant]; g != nil && g.inUse > 0 {
		g.inUse--
	}
}
