package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// peerExpiryInterval is the time between two searches for reports that are no longer valid.
const peerExpiryInterval = 50 * time.Millisecond

// peerReport holds the requests in flight that another host last reported.
type peerReport struct {
	validUntil boottime.Instant
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

// SetPeerInflightCounts replaces the last report of another host, which is valid for the
// given time. Its cost depends on the upstreams in the two reports, not on the numbers of
// hosts and upstreams.
func (p *Pool) SetPeerInflightCounts(host string, counts map[string]int, validFor time.Duration, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	validUntil := now.Add(validFor)
	p.addPeerRequests(p.peerReports[host].counts, -1)
	p.peerReports[host] = peerReport{validUntil: validUntil, counts: counts}
	p.addPeerRequests(counts, 1)
	for id := range counts {
		if u := p.upstreams[id]; u != nil {
			u.peerValidUntil = validUntil
		}
	}
	if now.Before(p.nextPeerExpiry) {
		return
	}
	p.nextPeerExpiry = now.Add(peerExpiryInterval)
	for name, report := range p.peerReports {
		if now > report.validUntil {
			p.addPeerRequests(report.counts, -1)
			delete(p.peerReports, name)
		}
	}
}

// addPeerRequests adds sign times the counts of a report to the requests of other hosts.
// The caller holds mu.
func (p *Pool) addPeerRequests(counts map[string]int, sign int) {
	for id, n := range counts {
		total := p.peerRequests[id] + sign*n
		if total == 0 {
			delete(p.peerRequests, id)
		} else {
			p.peerRequests[id] = total
		}
		if u := p.upstreams[id]; u != nil {
			u.peerRequests = float64(total)
		}
	}
}

// TakeLoads returns the latest load of each upstream that has reported one to this host since the
// last call, by upstream ID.
func (p *Pool) TakeLoads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := p.reportedLoads
	p.reportedLoads = map[string]Load{}
	return loads
}

// AddPeerLoad records the load that an upstream has reported to another host.
func (p *Pool) AddPeerLoad(id string, load Load, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[id]; u != nil {
		u.recordLoad(load, now)
	}
}
