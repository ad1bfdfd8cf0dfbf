package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Source requests changes from other replicas. Its errors are *kvstore.Error.
type Source interface {
	Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error)
}

const (
	// staleProofFraction of MaxDelay is the age above which the proof of a followed
	// host is too old. The rest of MaxDelay is left for the next request to time out
	// and for one call to the store.
	staleProofFraction = 0.6
	// followedProofFraction of MaxDelay is the proof interval of a followed host. It
	// is below staleProofFraction so that followers get a new proof in time.
	followedProofFraction = 0.45
	// neededProofFraction of MaxDelay is the proof interval while decisions need proofs no older than
	// MaxDelay. It leaves time for a call to a store that is slower than slowCallFraction.
	neededProofFraction = 0.7
	// requestWaitFraction of MaxDelay is how long a request waits for a change. Its
	// response may take as long again.
	requestWaitFraction = 0.1
)

// StaleError reports that the last proof of a followed host is too old.
type StaleError struct {
	Age time.Duration // of the proof
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the last proof that the view is current is %v old", e.Age.Round(time.Millisecond))
}

// NoResponseError reports that a host did not respond to a request in time.
type NoResponseError struct{ Err error }

// Error implements error.
func (e *NoResponseError) Error() string { return fmt.Sprintf("no response in time: %v", e.Err) }

// Unwrap returns the failure of the request.
func (e *NoResponseError) Unwrap() error { return e.Err }

// SetPeers sets the other hosts of the failure domain, one of which may be followed instead of
// the store, and those of other failure domains, which are followed only while the store can't be
// reached. It is safe for concurrent use.
func (r *Replica) SetPeers(self string, domain, others []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.setPeers(self, domain, others)
}

// followsSubstitute reports whether this host follows a substitute for the store.
func (r *Replica) followsSubstitute() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers.hasSubstitute()
}

// hostToFollow returns the host to follow now. It reports false if this host follows
// the store itself.
func (r *Replica) hostToFollow() (Peer, bool) {
	if r.options.Source == nil {
		return Peer{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers.hostToFollow(r.options.Clock(), r.storeDoubted.Load(), r.FollowedHost())
}

// followHost applies the next changes from another host. If that host does not
// respond in time or is not current itself, it returns the error and skips the host
// for avoidDuration.
func (r *Replica) followHost(ctx context.Context, peer Peer) error {
	changes, sent, err := r.requestChanges(ctx, peer, r.Applied(), fractionOf(r.options.MaxDelay, requestWaitFraction))
	if err != nil {
		r.stopFollowing(peer, err)
		return err
	}
	if applied := r.Applied(); changes.At.Era != applied.Era {
		return r.leaveEra(ctx, peer, applied.Era, changes.At.Era)
	}
	if r.isOwnView(changes) {
		err := &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes", Key: peer.Name, Err: ErrOwnView}
		r.stopFollowing(peer, err)
		return err
	}
	r.recordRecovery()
	if peer.Name != r.FollowedHost() {
		r.followedOutages = changes.Outages
		r.followedHost.Store(&peer.Name)
		_ = level.Info(r.options.Logger).Log("event", "following host", "peer", peer.Name, "applied", r.Applied(), "at", changes.At, "proof_age", changes.ProofAge)
	}
	if changes.Outages != r.followedOutages {
		r.followedOutages = changes.Outages
		r.options.Handler.StoreRegained() // entries may have expired during the outage
	}
	r.applyChanges(changes.Entries, changes.At, sent.Add(-changes.ProofAge), pathOf(peer, changes))
	return nil
}

// pathOf returns the hosts through which changes came from the store, the responding one last.
func pathOf(peer Peer, changes Changes) []string {
	if len(changes.Path) == 0 {
		return []string{peer.Name}
	}
	return changes.Path
}

// ErrOwnView reports that the view of a followed host came through the host that follows it.
var ErrOwnView = errors.New("the followed host has its view from this one")

// isOwnView reports whether changes came through this host. Hosts that follow each other, directly or by
// way of others, would get no changes and no new proofs.
func (r *Replica) isOwnView(changes Changes) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(changes.Path, r.peers.self)
}

// leaveEra handles changes of another era than that of the view. If they are of a newer one,
// one call to the store shows whether this is so; a host's word is not enough. Older ones
// are of a host that has not learned of the era yet, or of an earlier build.
func (r *Replica) leaveEra(ctx context.Context, peer Peer, own, followed kvstore.Era) error {
	if followed < own {
		err := &kvstore.Error{Kind: kvstore.KindEraEnded, Op: "changes", Key: peer.Name, Err: &EraMismatchError{Followed: followed, Own: own}}
		r.stopFollowing(peer, err)
		return err
	}
	if r.options.Feed.Eras().Current() != own {
		return nil // the snapshot is read next
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.options.Clock()
	_, err := r.options.Feed.Current(call)
	if err != nil || r.options.Feed.Eras().Current() == own {
		if err == nil {
			err = &kvstore.Error{Kind: kvstore.KindEraEnded, Op: "changes", Key: peer.Name, Err: &EraMismatchError{Followed: followed, Own: own}}
		}
		r.recordFailure(err, sent)
		r.stopFollowing(peer, err)
		return err
	}
	return nil
}

// EraMismatchError reports that the view of a followed host is of another era.
type EraMismatchError struct{ Followed, Own kvstore.Era }

// Error implements error.
func (e *EraMismatchError) Error() string {
	return fmt.Sprintf("the followed host is in era %v of the store, this one in era %v", e.Followed, e.Own)
}

// requestChanges sends one request for the changes after a revision, which waits for them up to
// the given time, and checks the age of the returned proof. The proof precedes the arrival of the
// request by ProofAge at most. Counting ProofAge back from the sending of the request gives an
// earlier instant, which is safe to use as the proof.
func (r *Replica) requestChanges(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, boottime.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+fractionOf(r.options.MaxDelay, requestWaitFraction))
	defer cancel()
	sent := r.options.Clock()
	changes, err := r.options.Source.Changes(ctx, peer, after, wait)
	if err != nil {
		if ctx.Err() != nil {
			err = &NoResponseError{Err: err}
		}
		return Changes{}, 0, err
	}
	if age := r.options.Clock().Sub(sent.Add(-changes.ProofAge)); age > fractionOf(r.options.MaxDelay, staleProofFraction) {
		return Changes{}, 0, &StaleError{Age: age}
	}
	return changes, sent, nil
}

// ErrLacksChanges reports that a followed host has not sent changes that the store has had for long.
var ErrLacksChanges = errors.New("the host lacks changes that the store has")

// stopFollowing skips a host. A call shows at once whether the store responds.
func (r *Replica) stopFollowing(peer Peer, err error) {
	r.skip(peer, err)
	if r.storeDoubted.Load() {
		signal(r.searchNow)
		return
	}
	r.proveAtOnce.Store(true)
	signal(r.proveNow)
}

// skip skips a host for avoidDuration and records that this host no longer follows it.
func (r *Replica) skip(peer Peer, err error) {
	var noResponse *NoResponseError
	r.mu.Lock()
	r.peers.avoid(peer.Name, r.options.Clock(), !errors.As(err, &noResponse))
	r.mu.Unlock()
	r.followedHost.Store(nil)
	_ = level.Warn(r.options.Logger).Log("event", "host not followed", "peer", peer.Name, "applied", r.Applied(), "proof_age", r.options.Clock().Sub(r.Proof()), "err", err)
}

func fractionOf(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
