package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// The store may reject some hosts while it serves others: it refuses or resets their calls, or
// does not respond. Such a host looks for a substitute, a host of any failure domain whose proof is
// recent and newer than its own, and follows it until a call of its own reaches the store again.

const (
	// substituteCandidates limits the hosts of the own failure domain, and those of other
	// ones, that are asked at the same time. If the store rejects half of the hosts, one of
	// eight is current in all but 1 of 256 rounds.
	substituteCandidates = 4
	// minSearchPause is the pause after the first round in which no host was current. It
	// grows by searchPauseGrowth up to maxSearchPause: the proofs of hosts that reach the store
	// are renewed within followedProofFraction of MaxDelay, so the first rounds matter most.
	minSearchPause    = 100 * time.Millisecond
	searchPauseGrowth = 1.3
	maxSearchPause    = 1600 * time.Millisecond
	// cutOffFraction of MaxDelay is the time without a response of the store after which a host without a
	// substitute tells those that follow it, which may reach the store. A single call that fails is repeated
	// before. It is well below staleProofFraction, at which they would notice themselves.
	cutOffFraction = 0.2
	// reportedRounds is the number of rounds without a current host after which this is logged.
	reportedRounds = 3
	// storeRetryInterval is the time between two calls to the store of a host that follows a
	// substitute.
	storeRetryInterval = time.Second
	// slowCallFraction of MaxDelay is the time after which a short call to the store is taken for
	// one without response. With staleProofFraction it leaves a fifth of MaxDelay to find a
	// substitute. Slow stores respond in less.
	slowCallFraction = 0.2
)

// doubtStore records that a call of this host to the store, sent at an instant, failed or has had no
// response for long. It has no effect if a call that was sent later has had one.
func (r *Replica) doubtStore(sent boottime.Instant) {
	r.mu.Lock()
	outdated := sent < r.respondedTo
	if !outdated && !r.storeDoubted.Swap(true) {
		r.doubtedAt = r.options.Clock()
	}
	r.mu.Unlock()
	if !outdated {
		signal(r.searchNow)
	}
}

// doubtLater doubts the store when a call sent at an instant has become slow, unless the timer is
// stopped.
func (r *Replica) doubtLater(sent boottime.Instant) *time.Timer {
	return time.AfterFunc(fractionOf(r.options.MaxDelay, slowCallFraction), func() { r.doubtStore(sent) })
}

// ObserveCall runs call, which makes one short call to the store, and doubts the store if it does
// not respond. It returns the error of call.
func (r *Replica) ObserveCall(call func() error) error {
	sent := r.options.Clock()
	defer r.doubtLater(sent).Stop()
	err := call()
	if kvstore.IsKind(err, kvstore.KindUnavailable) || kvstore.IsKind(err, kvstore.KindUnknownOutcome) {
		r.doubtStore(sent)
	}
	return err
}

// trustStore records that a call of this host, sent at an instant, has reached the store, which it
// follows again.
func (r *Replica) trustStore(sent boottime.Instant) {
	r.mu.Lock()
	r.respondedTo = max(r.respondedTo, sent)
	if !r.storeDoubted.Load() {
		r.mu.Unlock()
		return
	}
	r.storeDoubted.Store(false)
	r.cutOff.Store(false)
	substitute := r.peers.substitute
	r.peers.substitute = Peer{}
	r.mu.Unlock()
	signal(r.watchNow)
	if substitute != (Peer{}) {
		_ = level.Info(r.options.Logger).Log("event", "substitute left", "peer", substitute.Name, "applied", r.Applied())
	}
}

// needsSubstitute reports whether this host does not reach the store and has no host to follow.
func (r *Replica) needsSubstitute() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needsSubstituteLocked()
}

// needsSubstituteLocked is needsSubstitute for a caller that holds mu.
func (r *Replica) needsSubstituteLocked() bool {
	if r.options.Source == nil || !r.storeDoubted.Load() || r.applied.IsZero() {
		return false
	}
	_, ok := r.peers.hostToFollow(r.options.Clock(), true, r.FollowedHost())
	return !ok
}

// searchSubstitutes looks for a substitute whenever this host needs one, until ctx ends.
func (r *Replica) searchSubstitutes(ctx context.Context) {
	for ctx.Err() == nil {
		if r.needsSubstitute() {
			r.searchWhileNeeded(ctx)
			continue
		}
		select {
		case <-r.searchNow:
		case <-ctx.Done():
		}
	}
}

// searchWhileNeeded looks for a substitute in rounds until this host needs none or ctx ends. If it has not
// reached the store for long, the hosts that follow this one are told.
func (r *Replica) searchWhileNeeded(ctx context.Context) {
	report := time.AfterFunc(r.cutOffDue().Sub(r.options.Clock()), r.reportCutOff)
	defer r.cutOff.Store(false)
	defer report.Stop()
	backoff := minSearchPause
	for rounds := 1; r.needsSubstitute() && ctx.Err() == nil; rounds++ {
		asked, ok := r.searchSubstitute(ctx)
		if ok {
			r.restartWatch()
			r.wakeAfterStore()
			return
		}
		if rounds == reportedRounds {
			_ = level.Warn(r.options.Logger).Log("event", "no substitute", "asked", asked, "applied", r.Applied(), "proof_age", r.options.Clock().Sub(r.Proof()))
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(time.Duration(float64(backoff)*searchPauseGrowth), maxSearchPause)
	}
}

// wakeAfterStore ends the pauses of the goroutines that call the store, because another host can be
// followed instead. Called after each failure, it would leave no pause between two calls to the store.
func (r *Replica) wakeAfterStore() {
	signal(r.watchNow)
	signal(r.proveNow) // the next proof is due at another time
}

// cutOffDue returns when this host, unless it has a source by then, tells those that follow it. A host that
// loses a substitute knows already that it does not reach the store.
func (r *Replica) cutOffDue() boottime.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubtedAt.Add(fractionOf(r.options.MaxDelay, cutOffFraction))
}

// reportCutOff lets the hosts that follow this one look for another one at once, rather than when
// the proof of this host has become too old. It has no effect if this host needs no substitute any more.
func (r *Replica) reportCutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needsSubstituteLocked() {
		r.cutOff.Store(true)
		r.announce()
	}
}

// searchSubstitute asks some hosts for their proofs at the same time and takes the first that it can
// follow as substitute. Hosts of the own failure domain are near and usually respond first.
func (r *Replica) searchSubstitute(ctx context.Context) (asked int, ok bool) {
	r.mu.Lock()
	candidates := r.peers.candidates(substituteCandidates, r.options.Clock())
	r.mu.Unlock()
	peer, ok := r.firstCurrent(ctx, candidates)
	if ok && r.setSubstitute(peer) {
		_ = level.Warn(r.options.Logger).Log("event", "substitute found", "peer", peer.Name, "asked", len(candidates), "applied", r.Applied(), "proof_age", r.options.Clock().Sub(r.Proof()))
	}
	return len(candidates), ok
}

// setSubstitute sets the substitute, unless the store has responded meanwhile.
func (r *Replica) setSubstitute(peer Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeDoubted.Load() {
		return false
	}
	r.peers.substitute = peer
	return true
}

// firstCurrent returns the first host to respond with a newer proof than this host has.
func (r *Replica) firstCurrent(ctx context.Context, hosts []Peer) (Peer, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := r.Proof()
	current := make(chan Peer, len(hosts))
	var requests sync.WaitGroup
	for _, peer := range hosts {
		requests.Go(func() {
			if r.hasNewerProof(ctx, peer, own) {
				current <- peer
				cancel()
			}
		})
	}
	requests.Wait()
	select {
	case peer := <-current:
		return peer, true
	default:
		return Peer{}, false
	}
}

// hasNewerProof reports whether a host has a newer proof than own, or gets one soon.
func (r *Replica) hasNewerProof(ctx context.Context, peer Peer, own boottime.Instant) bool {
	noChanges := kvstore.Revision{Era: r.Applied().Era, Number: proofOnly}
	for _, wait := range []time.Duration{0, fractionOf(r.options.MaxDelay, requestWaitFraction)} {
		changes, sent, err := r.requestChanges(ctx, peer, noChanges, wait)
		if err == nil && changes.At.Era == noChanges.Era && !r.isOwnView(changes) && sent.Add(-changes.ProofAge) > own {
			return true
		}
	}
	return false
}
