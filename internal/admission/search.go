package admission

import (
	"math/rand/v2"
	"slices"

	"peridotrail/internal/host"
)

const (
	maxRemembered = 8 // lenders of one account
	maxMisses     = 2 // answers without a token after which a lender is forgotten
	maxParallel   = 8 // hosts asked at the same time
)

// rememberedLender is a host that lent lately.
type rememberedLender struct {
	id     host.ID
	misses int
}

// lenderMemory holds the hosts that lent lately, the last one first.
type lenderMemory []rememberedLender

// note records whether a host lent.
func (m *lenderMemory) note(id host.ID, lent bool) {
	i := slices.IndexFunc(*m, func(l rememberedLender) bool { return l.id == id })
	switch {
	case i < 0 && lent:
		*m = slices.Insert(*m, 0, rememberedLender{id: id})
		*m = (*m)[:min(len(*m), maxRemembered)]
	case i >= 0 && lent:
		(*m)[i].misses = 0
	case i >= 0:
		(*m)[i].misses++
		if (*m)[i].misses >= maxMisses {
			*m = slices.Delete(*m, i, i+1)
		}
	}
}

// search chooses the groups of hosts that one flight asks: lenders of late, then
// the leader or the hosts that it suggests, then what these suggest, and at last
// hosts of other domains by chance.
type search struct {
	live   map[host.ID]host.Identity
	groups [][]host.ID
	asked  map[host.ID]bool
}

func newSearch(a *Admitter, acct *account) *search {
	self := a.options.View.Self()
	s := &search{live: map[host.ID]host.Identity{}, asked: map[host.ID]bool{self.ID: true}}
	var others []host.ID
	for _, m := range a.options.View.Members() {
		if m.State != host.StateLive {
			continue
		}
		s.live[m.Identity.ID] = m.Identity
		if m.Identity.FailureDomain != self.FailureDomain {
			others = append(others, m.Identity.ID)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var remembered []host.ID
	acct.mu.Lock()
	for _, l := range acct.lenders {
		remembered = append(remembered, l.id)
	}
	acct.mu.Unlock()
	s.groups = [][]host.ID{remembered, a.first(acct.name), others[:min(len(others), 2)]}
	return s
}

// first returns the hosts that this leader would suggest, or the leader.
func (a *Admitter) first(account string) []host.ID {
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

// suggest puts hosts that others named before all groups.
func (s *search) suggest(ids []host.ID) {
	s.groups = slices.Insert(s.groups, 0, ids)
}

// next returns the next group of live hosts that were not asked yet.
func (s *search) next() []host.Identity {
	for len(s.groups) > 0 {
		group := s.groups[0]
		s.groups = s.groups[1:]
		var members []host.Identity
		for _, id := range group {
			member, live := s.live[id]
			if live && !s.asked[id] && len(members) < maxParallel {
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
