package distribution

import (
	"sync/atomic"
	"time"

	"peridotrail/internal/host"
)

// contact records the last time at which this failure domain was known to be connected
// to the store or to another failure domain. It is safe for concurrent use.
type contact struct {
	started time.Time    // start of the process, taken as the first contact
	last    atomic.Int64 // nanoseconds after started
}

// record records contact at the given time. A time before the last contact is
// ignored.
func (c *contact) record(at time.Time) {
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

// recordExchange records a message exchanged with peer and sent at the given time. A
// peer of another failure domain is contact itself; a peer of the same one relays its
// last contact, whose age is given.
func (d *Distributor) recordExchange(peer host.Identity, sent time.Time, age time.Duration) {
	if peer.FailureDomain != d.config.Self.FailureDomain {
		d.contact.record(sent)
		return
	}
	d.contact.record(sent.Add(-max(age, 0)))
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
