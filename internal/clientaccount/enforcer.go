package clientaccount

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/invariant"
)

// SweepInterval is the time between two looks at the configuration in force. It
// bounds how long a withdrawn key goes on after the host accepted the change.
const SweepInterval = 200 * time.Millisecond

// Keys resolves key digests by one accepted configuration.
type Keys interface {
	KeyOwner(digest [32]byte) (account, keyID string, ok bool)
}

// Enforcer ends the requests of withdrawn keys. Its fields are set before Run.
type Enforcer struct {
	Active *Active
	// InForce returns the keys and their revision; nil keys before the first
	// configuration.
	InForce func() (Keys, configuration.Revision)
	// Withdrawn is called with the number of requests that were ended; may be nil.
	Withdrawn func(ended int)

	applied  configuration.Revision
	enforced time.Time              // when applied was enforced
	checked  configuration.Revision // whose ended requests are known to be gone
}

// Run enforces each new revision until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	ticker := time.NewTicker(SweepInterval)
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

// Step enforces the revision in force once.
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
	ended := e.Active.Withdraw(owner)
	e.applied = revision
	e.enforced = time.Now()
	if ended > 0 && e.Withdrawn != nil {
		e.Withdrawn(ended)
	}
}

// EndLimit is the time within which a request ends after its key was withdrawn.
const EndLimit = 5 * time.Second

// checkOverdue looks for requests that a withdrawal did not end. Requests end
// without a new revision, hence between the revisions.
func (e *Enforcer) checkOverdue() {
	if e.applied == e.checked {
		return
	}
	if time.Since(e.enforced) <= EndLimit {
		return
	}
	overdue := e.Active.Overdue(time.Now(), EndLimit)
	invariant.Check(overdue == 0, invariant.WithdrawnKeyStops, "%d requests run %s after their key was withdrawn", overdue, EndLimit)
	e.checked = e.applied
}

// SnapshotKeys adapts the configuration in force to Enforcer.InForce.
func SnapshotKeys(current func() *configuration.Snapshot) func() (Keys, configuration.Revision) {
	return func() (Keys, configuration.Revision) {
		snapshot := current()
		if snapshot == nil {
			return nil, 0
		}
		return snapshot, snapshot.Revision
	}
}
