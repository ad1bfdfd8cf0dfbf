package allotment

import (
	"cmp"
	"slices"
	"time"

	"peridotrail/internal/host"
)

// HandOver returns the processes that may be using shares, sorted, or false if there
// may be others that are not known. The caller must not allocate shares afterwards.
func (d *DomainAllotment) HandOver(now time.Time) ([]HolderProcess, bool) {
	for _, r := range d.Resources() {
		if !d.Recovered(now, r) {
			return nil, false
		}
	}
	var holders []HolderProcess
	for key, h := range d.holders {
		for r, s := range h.shares {
			if !s.live().IsZero() && !d.shareExpired(now, h, r) {
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

// lenderCandidate is a possible lender of an account.
type lenderCandidate struct {
	name   string
	rate   float64
	demand float64
}

// bestLenders returns the names of up to n candidates. It alternates between the
// largest surplus of rate over demand and the largest rate, because the reported
// demand lags behind when callers leave a host or domain.
func bestLenders(candidates []lenderCandidate, n int) []string {
	var names []string
	for i := 0; len(names) < n && len(candidates) > 0; i++ {
		best := slices.MaxFunc(candidates, func(a, b lenderCandidate) int {
			if i%2 == 0 {
				return cmp.Compare(a.rate-a.demand, b.rate-b.demand)
			}
			return cmp.Compare(a.rate, b.rate)
		})
		names = append(names, best.name)
		candidates = slices.DeleteFunc(candidates, func(c lenderCandidate) bool { return c.name == best.name })
	}
	return names
}

// Lenders returns up to n hosts, other than except, that can probably lend tokens of
// the resource.
func (d *DomainAllotment) Lenders(now time.Time, r Resource, except host.ID, n int) []host.ID {
	var candidates []lenderCandidate
	for _, key := range d.activeHolders(now) {
		s := d.holders[key].shares[r]
		if s != nil && key.id != except && s.confirmed.Rate > 0 {
			candidates = append(candidates, lenderCandidate{string(key.id), s.confirmed.Rate, s.demand})
		}
	}
	var ids []host.ID
	for _, name := range bestLenders(candidates, n) {
		ids = append(ids, host.ID(name))
	}
	return ids
}

// Lenders returns up to n failure domains, other than except, that can probably lend
// tokens of the account.
func (a *FleetAccount) Lenders(except string, n int) []string {
	var candidates []lenderCandidate
	for _, d := range a.Domains {
		if d.Domain != except && !d.Total().IsZero() {
			candidates = append(candidates, lenderCandidate{d.Domain, d.Total().Rate, d.Demand})
		}
	}
	return bestLenders(candidates, n)
}

// HolderCount returns the number of processes that may hold shares.
func (d *DomainAllotment) HolderCount() int { return len(d.holders) }

// MayHoldShares reports whether the process may be using a share of any resource.
func (d *DomainAllotment) MayHoldShares(id host.Identity) bool {
	h := d.holders[holderKey{id: id.ID, incarnation: id.Incarnation}]
	if h == nil {
		return false
	}
	for _, s := range h.shares {
		if !s.live().IsZero() {
			return true
		}
	}
	return false
}
