package replica

import (
	"context"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Changes is the response of a replica to another one that follows it.
type Changes struct {
	Entries []kvstore.Entry // in revision order; the follower may already have some of them
	At      kvstore.Revision
	// ProofAge is the age, when the response was made, of the last proof that the
	// view at revision At is current.
	ProofAge time.Duration
	// Outages counts the outages of the store whose end this replica has seen.
	Outages uint64
}

// followerTimeout is how long after the last request for changes a replica assumes
// that it still has followers.
const followerTimeout = 2 * time.Second

// Changes returns the changes after a revision. If there is none, it waits for one
// until wait has passed or ctx ends. It fails with KindCompacted if the history no
// longer covers the revision and with KindUnavailable before the first snapshot. It is
// safe for concurrent use.
func (r *Replica) Changes(ctx context.Context, after kvstore.Revision, wait time.Duration) (Changes, error) {
	now := r.options.Clock()
	firstFollower := !r.hasFollowers(now)
	r.lastRequestAt.Store(int64(now))
	if firstFollower {
		signal(r.proveNow)
	}
	if r.applied.Load() == 0 {
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes"}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		advanced := r.advanced
		r.mu.Unlock()
		if r.applied.Load() > uint64(after) {
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
	return r.changesSince(after)
}

// changesSince returns the changes after a revision. It reads the proof before and the
// outages after the changes, so that the changes include all that the proof covers and
// Outages includes every outage that ended before one of them.
func (r *Replica) changesSince(after kvstore.Revision) (Changes, error) {
	proof := r.Proof()
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, ok := r.history.since(after)
	if !ok {
		return Changes{}, &kvstore.Error{Kind: kvstore.KindCompacted, Op: "changes"}
	}
	return Changes{
		Entries:  entries,
		At:       kvstore.Revision(r.applied.Load()),
		ProofAge: r.options.Clock().Sub(proof),
		Outages:  r.endedOutages.Load(),
	}, nil
}

// hasFollowers reports whether another replica requested changes within
// followerTimeout.
func (r *Replica) hasFollowers(now boottime.Instant) bool {
	lastRequest := boottime.Instant(r.lastRequestAt.Load())
	return lastRequest != 0 && now.Sub(lastRequest) < followerTimeout
}
