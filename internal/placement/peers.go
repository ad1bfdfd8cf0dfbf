package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// peerReportTTL is how long the last report of another host stays valid.
const peerReportTTL = 500 * time.Millisecond

// peerReport holds the requests in flight that another host last reported.
type peerReport struct {
	receivedAt boottime.Instant
	counts     map[string]int // by upstream ID
}

// InflightCounts returns the number of requests that this host has in flight at
// each upstream, by upstream ID. Upstreams without requests are left out.
func (p *Pool) InflightCounts() map[string]int {
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

// SetPeerInflightCounts replaces the last report of another host. Reports older
// than peerReportTTL are dropped.
func (p *Pool) SetPeerInflightCounts(host string, counts map[string]int, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerReports[host] = peerReport{receivedAt: now, counts: counts}
	for _, u := range p.upstreams {
		u.peerRequests = 0
	}
	for name, report := range p.peerReports {
		if now.Sub(report.receivedAt) > peerReportTTL {
			delete(p.peerReports, name)
			continue
		}
		for id, n := range report.counts {
			if u := p.upstreams[id]; u != nil {
				u.peerRequests += float64(n)
				u.peerReportedAt = now
			}
		}
	}
}
