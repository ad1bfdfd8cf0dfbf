package clientaccount

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/invariant"
)

// CheckInterval is the time between two checks of the configuration in force. It is
// the maximum delay from the host's acceptance of a configuration that withdraws a
// key to the cancellation of the key's requests.
const CheckInterval = 200 * time.Millisecond

// Keys resolves key digests according to one accepted configuration.
type Keys interface {
	KeyOwner(digest [32]byte) (account, keyID string, ok bool)
}

// Enforcer cancels the requests of withdrawn keys. Its exported fields are set
// before Run. It is not safe for concurrent use.
type Enforcer struct {
	Requests *ActiveRequests
	// InForce returns the keys of the configuration in force and its revision. The
	// keys are nil before the first configuration.
	InForce func() (Keys, configuration.Revision)
	// Withdrawn is called with the number of requests that were cancelled, if it
	// is not zero. It may be nil.
	Withdrawn func(cancelled int)

	applied   configuration.Revision
	appliedAt time.Time              // when the requests were checked against applied
	verified  configuration.Revision // last revision after which checkOverdue ran
}

// Run calls Step every CheckInterval until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	ticker := time.NewTicker(CheckInterval)
	defer ticker.Stop()
	for {
		e.Step()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step cancels the requests of withdrawn keys if the revision in force is new.
// Otherwise it checks that requests that were cancelled before have ended.
func (e *Enforcer) Step() {
	keys, revision := e.InForce()
	if keys == nil || revision == e.applied {
		e.checkOverdue()
		return
	}
	owner := func(d Digest) (string, bool) {
		account, _, ok := keys.KeyOwner(d)
		return account, ok
	}
	cancelled := e.Requests.Withdraw(owner)
	e.applied = revision
	e.appliedAt = time.Now()
	if cancelled > 0 && e.Withdrawn != nil {
		e.Withdrawn(cancelled)
	}
}

// MaxEndDelay is the maximum time from the withdrawal of a key to the end of its
// requests.
const MaxEndDelay = 5 * time.Second

// checkOverdue reports a violation if requests are still active MaxEndDelay after
// they were cancelled. Requests end without a new revision, so the check runs
// between revisions, once for each.
func (e *Enforcer) checkOverdue() {
	if e.applied == e.verified {
		return
	}
	if time.Since(e.appliedAt) <= MaxEndDelay {
		return
	}
	overdue := e.Requests.Overdue(time.Now(), MaxEndDelay)
	invariant.Check(overdue == 0, invariant.WithdrawnKeyEnforced, "%d requests are still active %s after their key was withdrawn", overdue, MaxEndDelay)
	e.verified = e.applied
}

// SnapshotKeys returns a function for Enforcer.InForce that reads the keys from the
// current configuration snapshot.
func SnapshotKeys(current func() *configuration.Snapshot) func() (Keys, configuration.Revision) {
	return func() (Keys, configuration.Revision) {
		snapshot := current()
		if snapshot == nil {
			return nil, 0
		}
		return snapshot, snapshot.Revision
	}
}
