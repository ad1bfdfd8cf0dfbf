package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// tellTerm is how long the counts of another host are believed without news.
const tellTerm = 500 * time.Millisecond

// told is what another host has told of its requests.
type told struct {
	at     boottime.Instant
	counts map[string]int // by the ID of the upstream
}

// Counts returns the number of requests of this host at each upstream, without
// those that have none.
func (p *Pool) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for id, u := range p.upstreams {
		if u.inflight > 0 {
			counts[id] = u.inflight
		}
	}
	return counts
}

// Tell replaces what another host has told before. Hosts that have not been heard
// of for tellTerm count no more.
func (p *Pool) Tell(host string, counts map[string]int, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told[host] = told{at: now, counts: counts}
	for _, u := range p.upstreams {
		u.neighbours = 0
	}
	for name, t := range p.told {
		if now.Sub(t.at) > tellTerm {
			delete(p.told, name)
			continue
		}
		for id, n := range t.counts {
			if u := p.upstreams[id]; u != nil {
				u.neighbours += float64(n)
				u.toldAt = now
			}
		}
	}
}
