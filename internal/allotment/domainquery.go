package allotment

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/host"
)

// HandOver returns the processes that may be using shares, and false if there may
// be others that are not known. The caller gives out nothing afterwards.
func (d *DomainAllotment) HandOver(now time.Time) ([]HolderProcess, bool) {
	for _, r := range d.Resources() {
		if !d.Open(now, r) {
			return nil, false
		}
	}
	var holders []HolderProcess
	for key, h := range d.holders {
		for r, e := range h.entries {
			if !e.live().IsZero() && !d.over(now, h, r) {
				holders = append(holders, HolderProcess{Host: key.id, Incarnation: key.incarnation})
				break
			}
		}
	}
	slices.SortFunc(holders, func(a, b HolderProcess) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return holders, true
}

// candidate is a possible lender of an account.
type candidate struct {
	name   string
	rate   float64
	demand float64
}

// bestLenders returns the names of up to n candidates, in turn the one with the
// largest surplus of rate over demand and the one with the largest rate: the
// demand of a host or domain that its callers have left is known late.
func bestLenders(candidates []candidate, n int) []string {
	var names []string
	for i := 0; len(names) < n && len(candidates) > 0; i++ {
		best := slices.MaxFunc(candidates, func(a, b candidate) int {
			if i%2 == 0 {
				return cmp.Compare(a.rate-a.demand, b.rate-b.demand)
			}
			return cmp.Compare(a.rate, b.rate)
		})
		names = append(names, best.name)
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.name == best.name })
	}
	return names
}

// Lenders returns up to n hosts that can probably lend of a resource, without the
// given one.
func (d *DomainAllotment) Lenders(now time.Time, r Resource, except host.ID, n int) []host.ID {
	var candidates []candidate
	for _, key := range d.activeHolders(now) {
		e := d.holders[key].entries[r]
		if e != nil && key.id != except && e.confirmed.Rate > 0 {
			candidates = append(candidates, candidate{string(key.id), e.confirmed.Rate, e.demand})
		}
	}
	var ids []host.ID
	for _, name := range bestLenders(candidates, n) {
		ids = append(ids, host.ID(name))
	}
	return ids
}

// Lenders returns up to n domains that can probably lend, without the given one.
func (a *FleetAccount) Lenders(except string, n int) []string {
	var candidates []candidate
	for _, d := range a.Domains {
		if d.Domain != except && !d.Total().IsZero() {
			candidates = append(candidates, candidate{d.Domain, d.Total().Rate, d.Demand})
		}
	}
	return bestLenders(candidates, n)
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
