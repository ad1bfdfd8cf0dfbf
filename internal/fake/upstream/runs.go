package upstream

import (
	"net/http"
	"sync"
)

// runCounter counts the runs of each request.
type runCounter struct {
	mu      sync.Mutex // guards the fields below
	byID    map[string]int
	doubled int64
}

func newRunCounter() *runCounter { return &runCounter{byID: map[string]int{}} }

func runID(r *http.Request) string {
	for _, name := range [...]string{HeaderRunID, "Idempotency-Key", "Peridotrail-Request-Id"} {
		if id := r.Header.Get(name); id != "" {
			return id
		}
	}
	return ""
}

// add counts a run. A request without any ID is not counted.
func (c *runCounter) add(r *http.Request) {
	id := runID(r)
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id]++
	if c.byID[id] == 2 && r.Method == http.MethodPost {
		c.doubled++
	}
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *runCounter) doubledCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doubled
}
