package allotment

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/host"
)

// Empty reports whether no process may be using any share.
func (d *DomainAllotment) Empty(now time.Time) bool {
	for _, r := range d.Resources() {
		if !d.Open(now, r) || !d.live(now, r).IsZero() {
			return false
		}
	}
	return true
}

// Lenders returns the hosts whose share of a resource exceeds their demand, the
// largest surplus first, without the given one.
func (d *DomainAllotment) Lenders(now time.Time, r Resource, except host.ID) []host.ID {
	type lender struct {
		id    host.ID
		spare float64
	}
	var found []lender
	for _, key := range d.activeHolders(now) {
		e := d.holders[key].entries[r]
		if e == nil || key.id == except || e.confirmed.Rate <= 0 {
			continue
		}
		found = append(found, lender{key.id, e.confirmed.Rate - e.demand})
	}
	slices.SortStableFunc(found, func(a, b lender) int { return cmp.Compare(b.spare, a.spare) })
	ids := make([]host.ID, len(found))
	for i, l := range found {
		ids[i] = l.id
	}
	return ids
}

// Holders returns the number of processes that may hold shares.
func (d *DomainAllotment) Holders() int { return len(d.holders) }

// Holding reports whether a process may be using any share.
func (d *DomainAllotment) Holding(id host.Identity) bool {
	h := d.holders[holderKey{id: id.ID, incarnation: id.Incarnation}]
	if h == nil {
		return false
	}
	for _, e := range h.entries {
		if !e.live().IsZero() {
			return true
		}
	}
	return false
}
