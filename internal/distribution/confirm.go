package distribution

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// ConfirmationPrefix begins the keys of all confirmations.
const ConfirmationPrefix = "peridotrail/confirmed/"

// ConfirmationKey returns the key of a failure domain's confirmation.
func ConfirmationKey(domain string) string { return ConfirmationPrefix + domain }

// Confirmation is a leader's word on what is in force in its failure domain.
type Confirmation struct {
	Revision configuration.Revision `json:"revision"` // in force on every live host of the domain
	Leader   host.ID                `json:"leader"`
	Epoch    uint64                 `json:"epoch"` // of the leadership; a lower one never overwrites a higher one
	Hosts    int                    `json:"hosts"` // live hosts of the domain, the leader included
	Lagging  []host.ID              `json:"lagging,omitempty"`
}

func (c Confirmation) equal(other Confirmation) bool {
	return c.Revision == other.Revision && c.Leader == other.Leader && c.Epoch == other.Epoch &&
		c.Hosts == other.Hosts && slices.Equal(c.Lagging, other.Lagging)
}

func (d *Distributor) confirmation(p *pusher, revision configuration.Revision, epoch uint64) Confirmation {
	lowest, lagging := p.confirmed(revision)
	return Confirmation{
		Revision: lowest,
		Leader:   d.config.Self.ID,
		Epoch:    epoch,
		Hosts:    len(p.targets) + 1,
		Lagging:  lagging,
	}
}

// Pauses between confirmations, so that a change that is on its way to the hosts
// costs one write and not one for each host.
const (
	laggingPause      = time.Second            // before a confirmation that names lagging hosts
	confirmationPause = 200 * time.Millisecond // between any two
)

// announcer decides when a confirmation is worth a write. It is pure but for its
// own fields.
type announcer struct {
	last      Confirmation
	announced time.Time
	revision  configuration.Revision // of the leader
	changed   time.Time              // when that revision or the set of hosts changed
	hosts     int
}

// next returns c if it is to be written now.
func (a *announcer) next(c Confirmation, revision configuration.Revision, now time.Time) (Confirmation, bool) {
	if revision != a.revision || c.Hosts != a.hosts {
		a.revision, a.hosts, a.changed = revision, c.Hosts, now
	}
	settled := len(c.Lagging) == 0 || now.Sub(a.changed) >= laggingPause
	if revision == 0 || !settled || c.equal(a.last) || now.Sub(a.announced) < confirmationPause {
		return Confirmation{}, false
	}
	a.last, a.announced = c, now
	return c, true
}

// runConfirm writes confirmations to the store.
func (d *Distributor) runConfirm(ctx context.Context) error {
	var expected kvstore.Revision
	for {
		c, err := d.confirmations.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // ctx has ended
		}
		expected = d.writeConfirmation(ctx, c, expected)
	}
}

// writeConfirmation writes c, or a later confirmation that comes up meanwhile,
// until it succeeds, a higher epoch is found or this host no longer leads. It
// returns the store's revision of the key.
func (d *Distributor) writeConfirmation(ctx context.Context, c Confirmation, expected kvstore.Revision) kvstore.Revision {
	for failures := 0; ctx.Err() == nil; failures++ {
		if later, ok := d.confirmations.TryPop(); ok {
			c = later
		}
		if epoch, leading := d.config.Leadership.Leading(); !leading || epoch != c.Epoch {
			return expected
		}
		entry, err := d.swapConfirmation(ctx, c, expected)
		if err == nil {
			return entry.Revision
		}
		if kvstore.IsKind(err, kvstore.KindConflict) {
			expected = entry.Revision
			if supersedes(entry, c) {
				return expected
			}
			continue
		}
		d.counters.storeFailures.Inc(1)
		_ = level.Warn(d.config.Logger).Log("msg", "confirmation not written", "revision", c.Revision, "err", err)
		pause(ctx, d.random.jitter(storePause(failures)))
	}
	return expected
}

func (d *Distributor) swapConfirmation(ctx context.Context, c Confirmation, expected kvstore.Revision) (kvstore.Entry, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return kvstore.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.config.StoreTimeout)
	defer cancel()
	return d.config.Store.CompareAndSwap(ctx, kvstore.Write{
		Key:      ConfirmationKey(d.config.Self.FailureDomain),
		Value:    value,
		Expected: expected,
	})
}

// supersedes reports whether a stored confirmation makes c void or is equal to it.
func supersedes(entry kvstore.Entry, c Confirmation) bool {
	var stored Confirmation
	if json.Unmarshal(entry.Value, &stored) != nil {
		return false
	}
	return stored.Epoch > c.Epoch || stored.equal(c)
}
