// Package room lends free slots between entry hosts. A host that has no slot
// left asks another host for a grant; the lender deducts the slots before it
// answers, so work that overflows never exceeds what its target set aside.
//
// The aggregates are not safe for concurrent use; their owner holds a lock.
package room

import (
	"fmt"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Terms of grants.
const (
	// Term is how long a borrower may start relays, counted from before it asked.
	Term = 500 * time.Millisecond
	// LenderMargin is how much longer the lender keeps the slots aside.
	LenderMargin = 100 * time.Millisecond
)

// Request asks for room. It is sent between hosts.
type Request struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint"` // concurrent requests wanted
	Renew   uint64 `cbor:"3,keyasint,omitempty"`
	// Patience is how long the lender may wait for a free slot before it answers.
	Patience time.Duration `cbor:"4,keyasint,omitempty"`
	// Oldest is how long the oldest request that needs the room has waited.
	Oldest time.Duration `cbor:"5,keyasint,omitempty"`
}

// Reply answers a Request. Slots is zero if the lender has no room.
type Reply struct {
	Grant uint64 `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint"`
	// Waited is how long the lender waited for a free slot.
	Waited time.Duration `cbor:"3,keyasint,omitempty"`
}

// UngrantedError reports a relayed request that no grant covers.
type UngrantedError struct {
	Origin host.ID
	Grant  uint64
	Cause  string // "unknown", "expired" or "full"
}

// Error implements error.
func (e *UngrantedError) Error() string {
	return fmt.Sprintf("relay of host %q: room grant %d is %s", e.Origin, e.Grant, e.Cause)
}

type loan struct {
	id      uint64
	origin  host.ID
	slots   int
	inUse   int
	expires time.Time
}

// Lender is the aggregate of the slots of one service that this host has set
// aside for others.
type Lender struct {
	next  uint64
	loans map[uint64]*loan
}

// NewLender creates a Lender. first must differ between incarnations of a host,
// so that a grant of an earlier process is never honoured.
func NewLender(first uint64) *Lender {
	return &Lender{next: first, loans: map[uint64]*loan{}}
}

// SetAside returns how many slots are reserved for relays that have not arrived.
func (l *Lender) SetAside(now time.Time) int {
	total := 0
	for _, g := range l.loans {
		if !now.After(g.expires) {
			total += max(0, g.slots-g.inUse)
		}
	}
	return total
}

// forget drops the loans that have expired and run nothing.
func (l *Lender) forget(now time.Time) {
	for id, g := range l.loans {
		if now.After(g.expires) && g.inUse == 0 {
			delete(l.loans, id)
		}
	}
}

// Lend grants origin up to the wanted slots out of free, the slots that are
// neither in use nor set aside. A renewal keeps its grant: its unused slots count
// as free, and the reply gives its new size, which may be smaller.
func (l *Lender) Lend(origin host.ID, request Request, free int, now time.Time) Reply {
	l.forget(now)
	g := l.loans[request.Renew]
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
	l.next++
	l.loans[l.next] = &loan{id: l.next, origin: origin, slots: slots, expires: now.Add(Term + LenderMargin)}
	return Reply{Grant: l.next, Slots: slots}
}

// Use admits one relay under a grant. The caller must call Release when the
// relay ends.
func (l *Lender) Use(origin host.ID, grant uint64, now time.Time) error {
	g := l.loans[grant]
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
		"grant %d of host %s runs %d of %d", grant, origin, g.inUse, g.slots)
	return nil
}

// Release ends one relay under a grant.
func (l *Lender) Release(grant uint64) {
	if g := l.loans[grant]; g != nil && g.inUse > 0 {
		g.inUse--
	}
}
