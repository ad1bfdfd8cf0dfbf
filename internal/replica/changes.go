package replica

import (
	"context"
	"errors"
	"math"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Changes is the response of a replica to another one that follows it.
type Changes struct {
	Entries []kvstore.Entry // in revision order; the follower may already have some of them
	At      kvstore.Revision
	// ProofAge is the age, when the request arrived, of the last proof that the view at
	// revision At is current; zero if the view was proved since.
	ProofAge time.Duration
	// Outages counts the outages of the store whose end this replica has seen.
	Outages uint64
	// Path holds the names of the hosts through which the view came from the store: first the one that
	// read it, last the responding one. It is empty if the response is of an earlier build.
	Path []string
}

// ErrCutOff reports that the requested host reaches neither the store nor a host that does.
var ErrCutOff = errors.New("this host reaches neither the store nor a host that does")

// followerTimeout is how long after the last request for changes a replica assumes
// that it still has followers.
const followerTimeout = 2 * time.Second

// proofOnly is the number of a revision after which there are no changes: a request for changes after
// it is for a proof alone.
const proofOnly = math.MaxUint64

// Changes returns the changes after a revision. If there is none, it waits for one or for
// a newer proof until wait has passed or ctx ends. If the view is of a newer era than the revision, it
// returns no changes and the revision of the view. It fails with KindCompacted if the
// history no longer covers the revision, which includes revisions without an era of a store
// that names eras, and with KindUnavailable before the first snapshot, while the view is
// of an older era and while this host is cut off. A request for a proof alone is from a host that looks
// for a substitute, so it waits for a proof even then. It is safe for concurrent use.
func (r *Replica) Changes(ctx context.Context, after kvstore.Revision, wait time.Duration) (Changes, error) {
	cutOff := &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes", Err: ErrCutOff}
	unusable := func() bool { return r.cutOff.Load() && after.Number != proofOnly }
	if unusable() {
		return Changes{}, cutOff
	}
	arrived, proof := r.options.Clock(), r.Proof()
	firstFollower := !r.hasFollowers(arrived)
	r.lastRequestAt.Store(int64(arrived))
	if firstFollower {
		signal(r.proveNow)
	}
	if r.Applied().IsZero() {
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes"}
	}
	if newest := r.options.Feed.Eras().Current(); newest < after.Era {
		r.proveAtOnce.Store(true) // the call shows whether there is a newer era
		signal(r.proveNow)
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes", Err: &EraMismatchError{Followed: newest, Own: after.Era}}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		advanced, applied := r.advanced, r.applied
		r.mu.Unlock()
		if unusable() {
			return Changes{}, cutOff
		}
		if after.Before(applied) || r.Proof() > proof {
			break
		}
		select {
		case <-advanced:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	return r.changesSince(after, arrived)
}

// changesSince returns the changes after a revision to a request that arrived at an instant, with
// the proof of the same view. Outages includes every outage that ended before one of the changes.
func (r *Replica) changesSince(after kvstore.Revision, arrived boottime.Instant) (Changes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := Changes{At: r.applied, ProofAge: max(0, arrived.Sub(r.Proof())), Outages: r.endedOutages.Load(), Path: r.path}
	switch {
	case r.applied.Era < after.Era:
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes", Err: &EraMismatchError{Followed: r.applied.Era, Own: after.Era}}
	case after.Era.Named() && r.applied.Era > after.Era:
		return changes, nil
	}
	entries, ok := r.history.since(after)
	if !ok {
		return Changes{}, &kvstore.Error{Kind: kvstore.KindCompacted, Op: "changes"}
	}
	changes.Entries = entries
	return changes, nil
}

// hasFollowers reports whether another replica requested changes within
// followerTimeout.
func (r *Replica) hasFollowers(now boottime.Instant) bool {
	lastRequest := boottime.Instant(r.lastRequestAt.Load())
	return lastRequest != 0 && now.Sub(lastRequest) < followerTimeout
}
