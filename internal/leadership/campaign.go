package leadership

import (
	"context"
	"fmt"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Keys of the store. Each is followed by the name of a failure domain.
const (
	LeaderPrefix = "peridotrail/leader/" // leased; its creation revision is the epoch
	EpochPrefix  = "peridotrail/epoch/"  // kept; the epochs of the latest two leaders
)

// record is the value of a leader key.
type record struct {
	Leader host.Identity `cbor:"1,keyasint"`
}

// marker is the value of an epoch key. Each leader writes it before it acts.
type marker struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Previous uint64 `cbor:"2,keyasint"` // zero: none, or not known
	First    bool   `cbor:"3,keyasint"` // the domain had no leader before
}

// campaign makes the calls to the store. It remembers the lease that it asked
// for, so that a key whose answer was lost is recognised as its own.
type campaign struct {
	store  kvstore.Store
	self   host.Identity
	timing Timing
	lease  kvstore.LeaseID
}

func (c *campaign) leaderKey() string { return LeaderPrefix + c.self.FailureDomain }
func (c *campaign) epochKey() string  { return EpochPrefix + c.self.FailureDomain }

// acquire tries to create the leader key.
func (c *campaign) acquire(ctx context.Context, now func() time.Time) Result {
	sent := now()
	marked, err := c.store.Get(ctx, c.epochKey())
	if err != nil {
		return Result{Outcome: OutcomeUnavailable}
	}
	current, err := c.store.Get(ctx, c.leaderKey())
	if err != nil {
		return Result{Outcome: OutcomeUnavailable}
	}
	if !current.Exists() {
		if current, err = c.create(ctx); err != nil {
			return Result{Outcome: OutcomeUnavailable}
		}
	} else if c.owns(current) {
		if err := c.store.Renew(ctx, c.lease); err != nil {
			return Result{Outcome: OutcomeUnavailable}
		}
	}
	if !c.owns(current) {
		return other(current)
	}
	m, ok := c.mark(ctx, marked, uint64(current.Revision))
	if !ok {
		return Result{Outcome: OutcomeUnavailable}
	}
	return Result{Outcome: OutcomeHeld, Sent: sent, Lease: c.lease, Epoch: m.Epoch, Previous: m.Previous, First: m.First}
}

func (c *campaign) owns(entry kvstore.Entry) bool {
	return entry.Exists() && c.lease != 0 && entry.Lease == c.lease
}

// create writes the leader key under a new lease. On a conflict it returns the
// entry that another process wrote.
func (c *campaign) create(ctx context.Context) (kvstore.Entry, error) {
	lease, err := c.store.Grant(ctx, c.timing.LeaseTTL)
	if err != nil {
		return kvstore.Entry{}, err
	}
	c.lease = lease
	value, err := fleet.Marshal(record{Leader: c.self})
	if err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := c.store.CompareAndSwap(ctx, kvstore.Write{Key: c.leaderKey(), Value: value, Lease: lease})
	switch {
	case err == nil:
		return entry, nil
	case kvstore.IsKind(err, kvstore.KindConflict):
		_ = c.store.Revoke(ctx, lease)
		c.lease = 0
		return entry, nil
	case kvstore.IsKind(err, kvstore.KindUnknownOutcome):
		return c.store.Get(ctx, c.leaderKey())
	default:
		return kvstore.Entry{}, err
	}
}

// mark notes the epoch of this leader after those before it. It reports false if
// that is not certain; the next attempt finds a mark whose answer was lost.
func (c *campaign) mark(ctx context.Context, marked kvstore.Entry, epoch uint64) (marker, bool) {
	var before marker
	if marked.Exists() && fleet.Unmarshal(marked.Value, &before) != nil {
		before = marker{} // written by an earlier version
	}
	if marked.Exists() && before.Epoch == epoch {
		return before, true
	}
	m := marker{Epoch: epoch, Previous: before.Epoch, First: !marked.Exists()}
	value, err := fleet.Marshal(m)
	if err != nil {
		return m, false
	}
	_, err = c.store.CompareAndSwap(ctx, kvstore.Write{Key: c.epochKey(), Value: value, Expected: marked.Revision})
	return m, err == nil
}

func other(entry kvstore.Entry) Result {
	var held record
	if !entry.Exists() || fleet.Unmarshal(entry.Value, &held) != nil {
		return Result{Outcome: OutcomeUnavailable}
	}
	return Result{Outcome: OutcomeOther, Leader: held.Leader, Epoch: uint64(entry.Revision)}
}

// renew extends the lease.
func (c *campaign) renew(ctx context.Context, lease kvstore.LeaseID) Outcome {
	err := c.store.Renew(ctx, lease)
	switch {
	case err == nil:
		return OutcomeHeld
	case kvstore.IsKind(err, kvstore.KindLeaseExpired):
		return OutcomeExpired
	default:
		return OutcomeUnavailable
	}
}

// StaleEpochError is a message from a leader whose epoch has passed.
type StaleEpochError struct {
	Got   uint64
	Known uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d has passed: %d is known", e.Got, e.Known)
}

// FleetCode implements fleet.CodedError.
func (e *StaleEpochError) FleetCode() string { return "stale-epoch" }
