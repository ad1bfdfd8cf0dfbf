package admission

import (
	"math/rand/v2"
	"slices"

	"peridotrail/internal/host"
)

const (
	maxRecentLenders    = 8 // lenders remembered for one account
	maxLenderFailures   = 2 // consecutive requests without a loan after which a lender is forgotten
	maxParallelRequests = 8 // hosts asked at the same time
)

// recentLender is a host that lent tokens recently.
type recentLender struct {
	id       host.ID
	failures int
}

// recentLenders holds the hosts that lent tokens recently, the newest entry first.
type recentLenders []recentLender

// record records whether a request to a host brought a loan.
func (r *recentLenders) record(id host.ID, lent bool) {
	i := slices.IndexFunc(*r, func(l recentLender) bool { return l.id == id })
	switch {
	case i < 0 && lent:
		*r = slices.Insert(*r, 0, recentLender{id: id})
		*r = (*r)[:min(len(*r), maxRecentLenders)]
	case i >= 0 && lent:
		(*r)[i].failures = 0
	case i >= 0:
		(*r)[i].failures++
		if (*r)[i].failures >= maxLenderFailures {
			*r = slices.Delete(*r, i, i+1)
		}
	}
}

// lenderSearch chooses the groups of hosts that one attempt asks, in this order:
// recent lenders, the domain leader or the lenders that it suggests, and two random
// hosts of other failure domains. Lenders suggested by a group that was asked come
// next, before the remaining groups.
type lenderSearch struct {
	live   map[host.ID]host.Identity
	groups [][]host.ID
	asked  map[host.ID]bool
}

func newLenderSearch(a *Admitter, acct *account) *lenderSearch {
	self := a.options.View.Self()
	s := &lenderSearch{live: map[host.ID]host.Identity{}, asked: map[host.ID]bool{self.ID: true}}
	var otherDomains []host.ID
	for _, m := range a.options.View.Members() {
		if m.State != host.StateLive {
			continue
		}
		s.live[m.Identity.ID] = m.Identity
		if m.Identity.FailureDomain != self.FailureDomain {
			otherDomains = append(otherDomains, m.Identity.ID)
		}
	}
	rand.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	var recent []host.ID
	acct.mu.Lock()
	for _, l := range acct.recentLenders {
		recent = append(recent, l.id)
	}
	acct.mu.Unlock()
	s.groups = [][]host.ID{recent, a.initialLenders(acct.name), otherDomains[:min(len(otherDomains), 2)]}
	return s
}

// initialLenders returns the lenders that this host would suggest if it is the
// domain leader, else the domain leader, or nothing if no leader is known.
func (a *Admitter) initialLenders(account string) []host.ID {
	self := a.options.View.Self()
	leader, _, ok := a.options.Leadership.Current()
	switch {
	case ok && leader.ID == self.ID && a.options.Lenders != nil:
		return a.options.Lenders(account, self.ID)
	case ok:
		return []host.ID{leader.ID}
	default:
		return nil
	}
}

// addGroup puts suggested lenders before all remaining groups.
func (s *lenderSearch) addGroup(ids []host.ID) {
	s.groups = slices.Insert(s.groups, 0, ids)
}

// nextGroup returns the next group of live hosts that were not asked yet, or nil if
// there is none.
func (s *lenderSearch) nextGroup() []host.Identity {
	for len(s.groups) > 0 {
		group := s.groups[0]
		s.groups = s.groups[1:]
		var members []host.Identity
		for _, id := range group {
			member, live := s.live[id]
			if live && !s.asked[id] && len(members) < maxParallelRequests {
				s.asked[id] = true
				members = append(members, member)
			}
		}
		if len(members) > 0 {
			return members
		}
	}
	return nil
}
