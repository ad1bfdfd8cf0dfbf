package gateway

import (
	"sync"

	"peridotrail/internal/routing"
)

// splitter distributes the requests of each route over its targets in proportion
// to their weights, by smooth weighted round robin. It is safe for concurrent use.
type splitter struct {
	mu      sync.Mutex                // guards credits
	credits map[string]map[string]int // by route and service
}

func newSplitter() *splitter { return &splitter{credits: map[string]map[string]int{}} }

// chooseService returns the service for the next request on route.
func (s *splitter) chooseService(route *routing.Route) string {
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
