package distribution

import (
	"sync/atomic"
	"time"

	"peridotrail/internal/host"
)

// contact remembers when this failure domain was last known to be in touch with
// the store or with another failure domain. It is safe for concurrent use.
type contact struct {
	started time.Time    // a new process counts from its start
	last    atomic.Int64 // nanoseconds after started
}

// seen records contact at the given time. Earlier times than known are ignored.
func (c *contact) seen(at time.Time) {
	offset := int64(at.Sub(c.started))
	for {
		last := c.last.Load()
		if offset <= last || c.last.CompareAndSwap(last, offset) {
			return
		}
	}
}

// age returns the time since the last contact.
func (c *contact) age(now time.Time) time.Duration {
	return now.Sub(c.started) - time.Duration(c.last.Load())
}

// exchanged records a message answered by peer that was sent at the given time.
// A host of the same failure domain passes on its own contact with its age.
func (d *Distributor) exchanged(peer host.Identity, sent time.Time, age time.Duration) {
	if peer.FailureDomain != d.config.Self.FailureDomain {
		d.contact.seen(sent)
		return
	}
	d.contact.seen(sent.Add(-max(age, 0)))
}

// ContactAge returns how long ago this host's failure domain was last known to
// be in contact with the store or with a host of another failure domain.
func (d *Distributor) ContactAge(now time.Time) time.Duration {
	return d.contact.age(now)
}

// RefuseKeys reports whether keyed requests must be refused, because a key may
// have been withdrawn without this host's knowledge for longer than the
// operators allow.
func (d *Distributor) RefuseKeys(now time.Time) bool {
	stale := d.config.StaleKeys
	return stale.Refuse && d.ContactAge(now) > stale.After
}
