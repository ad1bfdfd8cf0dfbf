package upstream

import (
	"net/http"
	"sync"
)

// runCounter counts how often each request ran. It is safe for concurrent use.
type runCounter struct {
	mu         sync.Mutex // guards the fields below
	byID       map[string]int
	duplicates int64 // POST requests that ran more than once
}

func newRunCounter() *runCounter { return &runCounter{byID: map[string]int{}} }

// runID returns the value that identifies a request, or "" if it has none.
func runID(r *http.Request) string {
	for _, name := range [...]string{HeaderRunID, "Idempotency-Key", "Peridotrail-Request-Id"} {
		if id := r.Header.Get(name); id != "" {
			return id
		}
	}
	return ""
}

// add counts a run. It ignores requests without an ID.
func (c *runCounter) add(r *http.Request) {
	id := runID(r)
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id]++
	if c.byID[id] == 2 && r.Method == http.MethodPost {
		c.duplicates++
	}
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *runCounter) duplicateCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duplicates
}
