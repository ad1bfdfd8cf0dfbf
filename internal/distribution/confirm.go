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

// Confirmation states which revision is in force in a failure domain. Its leader
// writes it to the store as JSON.
type Confirmation struct {
	Revision configuration.Revision `json:"revision"` // in force on every live or suspect host of the domain
	Leader   host.ID                `json:"leader"`
	Epoch    uint64                 `json:"epoch"` // of the leader; a lower one never overwrites a higher one
	Hosts    int                    `json:"hosts"` // live and suspect hosts of the domain, including the leader
	Lagging  []host.ID              `json:"lagging,omitempty"`
}

func (c Confirmation) equal(other Confirmation) bool {
	return c.Revision == other.Revision && c.Leader == other.Leader && c.Epoch == other.Epoch &&
		c.Hosts == other.Hosts && slices.Equal(c.Lagging, other.Lagging)
}

func (d *Distributor) confirmation(p *pusher, revision configuration.Revision, epoch uint64) Confirmation {
	lowest, lagging := p.confirmedRevision(revision)
	return Confirmation{
		Revision: lowest,
		Leader:   d.config.Self.ID,
		Epoch:    epoch,
		Hosts:    len(p.targets) + 1,
		Lagging:  lagging,
	}
}

// Minimum times before a confirmation is written, so that a change that is being
// pushed causes one write instead of one for each host.
const (
	laggingDelay            = time.Second            // from a change until a confirmation that lists lagging hosts
	minConfirmationInterval = 200 * time.Millisecond // between two confirmations
)

// confirmationScheduler decides when a confirmation is written. It does no I/O and
// reads no clock: the caller passes the time.
type confirmationScheduler struct {
	lastScheduled   Confirmation
	lastScheduledAt time.Time
	leaderRevision  configuration.Revision // in force on the leader
	changedAt       time.Time              // when leaderRevision or hosts last changed
	hosts           int
}

// next returns c and true if c is to be written now.
func (s *confirmationScheduler) next(c Confirmation, revision configuration.Revision, now time.Time) (Confirmation, bool) {
	if revision != s.leaderRevision || c.Hosts != s.hosts {
		s.leaderRevision, s.hosts, s.changedAt = revision, c.Hosts, now
	}
	stable := len(c.Lagging) == 0 || now.Sub(s.changedAt) >= laggingDelay
	if revision == 0 || !stable || c.equal(s.lastScheduled) || now.Sub(s.lastScheduledAt) < minConfirmationInterval {
		return Confirmation{}, false
	}
	s.lastScheduled, s.lastScheduledAt = c, now
	return c, true
}

// runConfirm writes the scheduled confirmations to the store until ctx ends.
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

// writeConfirmation tries to write c, or a later confirmation scheduled meanwhile,
// until it succeeds, the store holds one that supersedes c or this host no longer
// leads in the epoch of c. It returns the last known store revision of the key.
func (d *Distributor) writeConfirmation(ctx context.Context, c Confirmation, expected kvstore.Revision) kvstore.Revision {
	for failures := 0; ctx.Err() == nil; failures++ {
		if later, ok := d.confirmations.TryPop(); ok {
			c = later
		}
		if epoch, leading := d.config.Leadership.Leading(); !leading || epoch != c.Epoch {
			return expected
		}
		entry, err := d.compareAndSwapConfirmation(ctx, c, expected)
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
		sleep(ctx, d.random.jitter(storeBackoff(failures)))
	}
	return expected
}

func (d *Distributor) compareAndSwapConfirmation(ctx context.Context, c Confirmation, expected kvstore.Revision) (kvstore.Entry, error) {
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

// supersedes reports whether the stored confirmation has a higher epoch than c or is
// equal to it.
func supersedes(entry kvstore.Entry, c Confirmation) bool {
	var stored Confirmation
	if json.Unmarshal(entry.Value, &stored) != nil {
		return false
	}
	return stored.Epoch > c.Epoch || stored.equal(c)
}
