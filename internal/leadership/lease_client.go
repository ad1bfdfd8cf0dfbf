package leadership

import (
	"context"
	"fmt"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Key prefixes in the store. The name of a failure domain follows each prefix.
const (
	LeaderPrefix = "peridotrail/leader/" // under a lease; the revision that created the key is the epoch
	EpochPrefix  = "peridotrail/epoch/"  // without a lease; holds the epochs of the latest two leaders
)

// leaderRecord is the value of a leader key.
type leaderRecord struct {
	Leader host.Identity `cbor:"1,keyasint"`
}

// epochRecord is the value of an epoch key. Each leader writes one before it acts.
type epochRecord struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Previous uint64 `cbor:"2,keyasint"` // zero if there was none or it is unknown
	First    bool   `cbor:"3,keyasint"` // Epoch is that of the domain's first leader
}

// leaseClient makes the calls to the store. It keeps the last lease that it was granted,
// so that a key that it wrote is recognised although the response was lost. It is not
// safe for concurrent use.
type leaseClient struct {
	store  kvstore.Store
	self   host.Identity
	timing Timing
	lease  kvstore.LeaseID
}

func (c *leaseClient) leaderKey() string { return LeaderPrefix + c.self.FailureDomain }
func (c *leaseClient) epochKey() string  { return EpochPrefix + c.self.FailureDomain }

// acquire tries to create the leader key. If this process already holds the key, it
// renews the lease. It records the epoch before it returns OutcomeHeld.
func (c *leaseClient) acquire(ctx context.Context, now func() time.Time) Result {
	sent := now()
	stored, err := c.store.Get(ctx, c.epochKey())
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
		return heldByOther(current)
	}
	m, ok := c.recordEpoch(ctx, stored, current.Revision.Number)
	if !ok {
		return Result{Outcome: OutcomeUnavailable}
	}
	return Result{Outcome: OutcomeHeld, Sent: sent, Lease: c.lease, Epoch: m.Epoch, Previous: m.Previous, First: m.First}
}

func (c *leaseClient) owns(entry kvstore.Entry) bool {
	return entry.Exists() && !c.lease.IsZero() && entry.Lease == c.lease
}

// create writes the leader key under a new lease. On a conflict it revokes the lease and
// returns the entry that another process wrote.
func (c *leaseClient) create(ctx context.Context) (kvstore.Entry, error) {
	lease, err := c.store.Grant(ctx, c.timing.LeaseTTL)
	if err != nil {
		return kvstore.Entry{}, err
	}
	c.lease = lease
	value, err := fleet.Marshal(leaderRecord{Leader: c.self})
	if err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := c.store.CompareAndSwap(ctx, kvstore.Write{Key: c.leaderKey(), Value: value, Lease: lease})
	switch {
	case err == nil:
		return entry, nil
	case kvstore.IsKind(err, kvstore.KindConflict):
		_ = c.store.Revoke(ctx, lease)
		c.lease = kvstore.LeaseID{}
		return entry, nil
	case kvstore.IsKind(err, kvstore.KindUnknownOutcome):
		return c.store.Get(ctx, c.leaderKey())
	default:
		return kvstore.Entry{}, err
	}
}

// recordEpoch writes the epoch of this leader and that of the previous one to the epoch
// key. It reports false if the write is not confirmed; if only the response was lost,
// the next attempt finds the stored epoch.
func (c *leaseClient) recordEpoch(ctx context.Context, stored kvstore.Entry, epoch uint64) (epochRecord, bool) {
	var before epochRecord
	if stored.Exists() && fleet.Unmarshal(stored.Value, &before) != nil {
		before = epochRecord{} // written in the format of an earlier version
	}
	if stored.Exists() && before.Epoch == epoch {
		return before, true
	}
	m := epochRecord{Epoch: epoch, Previous: before.Epoch, First: !stored.Exists()}
	value, err := fleet.Marshal(m)
	if err != nil {
		return m, false
	}
	_, err = c.store.CompareAndSwap(ctx, kvstore.Write{Key: c.epochKey(), Value: value, Expected: stored.Revision})
	return m, err == nil
}

// heldByOther returns the result for a leader key that another process holds.
func heldByOther(entry kvstore.Entry) Result {
	var held leaderRecord
	if !entry.Exists() || fleet.Unmarshal(entry.Value, &held) != nil {
		return Result{Outcome: OutcomeUnavailable}
	}
	return Result{Outcome: OutcomeOther, Leader: held.Leader, Epoch: entry.Revision.Number}
}

// renew extends the lease by its TTL.
func (c *leaseClient) renew(ctx context.Context, lease kvstore.LeaseID) Outcome {
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

// StaleEpochError reports a message with an epoch below the highest known one.
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
