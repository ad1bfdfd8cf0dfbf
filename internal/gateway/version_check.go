package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/routing"
)

const (
	// versionCheckTime is the longest time for which a host that starts waits for the
	// registrations of others. It is the normal lease time of a host: whoever has not
	// registered in a new era by then is out of touch.
	versionCheckTime = hostLeaseTTL
	// firstEraNumber is the greatest number that a store may give to its first era.
	firstEraNumber = 1
)

// versionCheck tells whether the policy that a host has read may be older than one that the
// store acknowledged and lost. Each host registers again in each era of the store, with the
// version that it has in force. A host that starts therefore waits until the hosts that
// registered in an earlier era have registered again, and needs a version no older than any
// registered one. A store that names no eras is never checked.
//
// begin and update are not safe for concurrent use, the other methods are.
type versionCheck struct {
	self   string // name of this host
	logger log.Logger

	era    kvstore.Era
	heard  bool // the wait of this process is over
	logged versionFindings

	until  atomic.Int64  // boottime.Instant at which the wait ends, zero if it is over
	newest atomic.Uint64 // greatest policy version in the registrations of other hosts
}

// versionFindings are the inputs of a check, for the log.
type versionFindings struct {
	waiting bool
	newest  routing.Version
}

// begin starts the wait of a process that has not heard from other hosts yet. It must be
// called before the entries of a snapshot are applied.
func (c *versionCheck) begin(era kvstore.Era, now boottime.Instant) {
	if c.heard || era == c.era && c.until.Load() != 0 {
		return
	}
	c.era = era
	if !era.Named() {
		c.heard = true
		return
	}
	c.until.Store(int64(now.Add(versionCheckTime)))
}

// update evaluates the registrations in the view, which is of the given era. A host may have
// several.
func (c *versionCheck) update(hosts []catalog.Host, era kvstore.Era, inForce routing.Version, now boottime.Instant) {
	if !era.Named() {
		return
	}
	newest, present := routing.Version(0), map[string]bool{}
	for _, h := range hosts {
		if h.Name == c.self {
			continue
		}
		newest = max(newest, routing.Version(h.PolicyVersion))
		present[h.Name] = present[h.Name] || h.Era == era
	}
	// Hosts of earlier builds name no era. They can't tell what they know.
	missing, registered := 0, 0
	for _, h := range hosts {
		switch {
		case h.Name == c.self || !h.Era.Named():
		case present[h.Name]:
			registered++
		default:
			missing++
		}
	}
	c.newest.Store(uint64(newest))
	if !c.heard && (missing == 0 && (registered > 0 || era.Number() <= firstEraNumber) || now >= boottime.Instant(c.until.Load())) {
		c.heard = true
		c.until.Store(0)
	}
	if found := (versionFindings{waiting: !c.heard, newest: newest}); found != c.logged && (found.waiting != c.logged.waiting || newest > inForce) {
		c.logged = found
		_ = level.Warn(c.logger).Log("event", "policy version check", "era", era, "waiting", found.waiting, "missing", missing, "registered", registered, "newest", newest, "in_force", inForce)
	}
}

// outdated returns why the keys of the version in force may be revoked, empty if nothing is
// known.
func (c *versionCheck) outdated(inForce routing.Version, now boottime.Instant) string {
	if newest := routing.Version(c.newest.Load()); newest > inForce {
		return fmt.Sprintf("policy %d is in force, another host has %d", inForce, newest)
	}
	if until := boottime.Instant(c.until.Load()); until != 0 && now < until {
		return fmt.Sprintf("the policy versions of other hosts are not known yet, for %v at most", until.Sub(now).Round(time.Millisecond))
	}
	return ""
}
