package gateway

import (
	"sync"

	"peridotrail/internal/routing"
)

// splitter deals the requests of each route to its targets in proportion to
// their weights, by smooth weighted round robin. It is safe for concurrent use.
type splitter struct {
	mu      sync.Mutex // guards credits
	credits map[string]map[string]int
}

func newSplitter() *splitter { return &splitter{credits: map[string]map[string]int{}} }

// choose returns the service of the next request on route.
func (s *splitter) choose(route *routing.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[string]int{}
		s.credits[route.Name] = credits
	}
	total, best := 0, ""
	for _, target := range route.Targets {
		total += target.Weight
		credits[target.Service] += target.Weight
		if target.Weight > 0 && (best == "" || credits[target.Service] > credits[best]) {
			best = target.Service
		}
	}
	if best == "" {
		return route.Targets[0].Service
	}
	credits[best] -= total
	return best
}
