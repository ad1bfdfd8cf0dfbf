package replica

import (
	"context"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Changes is what one replica tells another that follows it.
type Changes struct {
	Entries []kvstore.Entry // in their order; some may be known already
	At      kvstore.Revision
	// ProofAge is the age of the last proof that the picture at revision At is
	// current, when the answer was made.
	ProofAge time.Duration
	// Outages counts the outages of the store that this replica has seen end.
	Outages uint64
}

// followedPause is how long a replica counts as followed after a question.
const followedPause = 2 * time.Second

// Changes returns the changes after a revision. It waits for one, at most as long
// as the caller says. It fails with KindCompacted if its history begins later and
// with KindUnavailable if nothing was loaded yet.
func (r *Replica) Changes(ctx context.Context, after kvstore.Revision, wait time.Duration) (Changes, error) {
	now := r.options.Clock()
	first := !r.followed(now)
	r.asked.Store(int64(now))
	if first {
		signal(r.rouse)
	}
	if r.applied.Load() == 0 {
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes"}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		wake := r.wake
		r.mu.Unlock()
		if r.applied.Load() > uint64(after) {
			break
		}
		select {
		case <-wake:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	return r.changesSince(after)
}

// changesSince reads the proof first and the outages last: the changes are at
// least those that the proof covers, and every outage before one of them counts.
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
		Outages:  r.outages.Load(),
	}, nil
}

// followed reports whether another replica has asked for changes lately.
func (r *Replica) followed(now boottime.Instant) bool {
	asked := boottime.Instant(r.asked.Load())
	return asked != 0 && now.Sub(asked) < followedPause
}
