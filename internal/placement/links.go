package placement

import "peridotrail/internal/boottime"

// RestoreLinks drops what failed connections have shown about upstreams while this host
// was cut off from all of them: that they failed, and that they may have restarted. The
// upstreams' entries, which this host reads from the store, say which did.
func (p *Pool) RestoreLinks(now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.consecutiveUnreachable > 0 && u.warmIfCurrentAt != 0 {
			u.ColdUntil, u.limitedSendsFrom, u.warmIfCurrentAt = u.reportedColdUntil, 0, now
		}
		u.consecutiveUnreachable = 0
		u.successProbability, u.successUpdatedAt = 1, now
	}
}
