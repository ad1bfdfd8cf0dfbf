// Package replica maintains a local view of the store. It passes every change to
// a handler and keeps a proof of freshness: the last instant at which the view is
// known to have been current. A replica may follow another replica instead of the
// store, as long as the followed one is itself current.
//
// A view, its proof and the changes passed on to followers are all of one era of the
// store. When a replica learns of another era, from a response to any call, it reads all
// entries again before it applies or proves anything else.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Handler receives the changes of the store. Reset and Apply are called by one
// goroutine at a time; StoreLost and StoreRegained may run concurrently with them.
type Handler interface {
	// Reset replaces the whole view by the entries at a revision. recovered is set if the
	// store was unreachable before this snapshot. The revision may be of another era than
	// the view before; entries may then be missing or older.
	Reset(entries []kvstore.Entry, at kvstore.Revision, recovered bool)
	// Apply updates the view with changed entries; entries with revision zero were
	// deleted.
	Apply(entries []kvstore.Entry)
	// StoreLost and StoreRegained report the start and the end of an outage of the
	// store as this host sees it.
	StoreLost(err error)
	StoreRegained()
}

// Options configures a Replica.
type Options struct {
	Feed    kvstore.Feed
	Handler Handler
	Logger  log.Logger
	// ProofInterval is the age of the last proof at which the replica asks the store
	// for a new one.
	ProofInterval time.Duration
	// BatchPause is the pause between two watches; changes that arrive in it are
	// read together.
	BatchPause time.Duration
	Clock      boottime.Clock // nil: boottime.Now
	// Source requests changes from other replicas; nil follows the store only.
	Source Source
	// MaxDelay is the time within which a change of the store must be applied here.
	// It limits the age of a followed host's proof. Required with Source.
	MaxDelay time.Duration
}

const (
	// watchWait is how long the store holds one watch open without a change.
	watchWait = 20 * time.Second
	// callTimeout limits each call that does not wait for a change.
	callTimeout = 1500 * time.Millisecond
	// catchUpTimeout is how long a watch may lag behind the store's revision, beyond
	// BatchPause, before its connection is considered dead.
	catchUpTimeout = 400 * time.Millisecond
	// minRetryPause and maxRetryPause limit the pause after a failed call. A host must
	// be current again within a second or two of the end of an outage.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
)

// Replica follows a store. Create it with New and start it with Run.
type Replica struct {
	options Options

	provedAt      atomic.Int64 // boottime.Instant at which the view was last proved current; written with mu held
	storeLost     atomic.Bool
	storeDoubted  atomic.Bool   // a call to the store failed or was slow since one for changes or a proof succeeded; written with mu held
	cutOff        atomic.Bool   // this host reaches neither the store nor a substitute
	endedOutages  atomic.Uint64 // number of outages of the store that have ended
	lastRequestAt atomic.Int64  // boottime.Instant of the last request from another replica
	neededAt      atomic.Int64  // boottime.Instant of the last call of NeedProof
	proveAtOnce   atomic.Bool   // the next proof does not wait until it is due

	watchNow  chan struct{} // ends the pause between two watches
	proveNow  chan struct{} // ends the pause between two proofs
	searchNow chan struct{} // ends the wait for the need of a substitute

	followedHost    atomic.Pointer[string] // name of the followed host; nil while following the store
	followedOutages uint64                 // last Changes.Outages from the followed host; used only by the goroutine running follow
	provingSince    boottime.Instant       // when the last call of keepProved was sent; used only by the goroutine running it

	mu          sync.Mutex         // guards the fields below
	cancelWatch context.CancelFunc // nil unless a watch is in progress
	applied     kvstore.Revision   // the view contains all changes up to it; zero before the first snapshot
	advanced    chan struct{}      // closed and replaced when applied or the proof changes
	respondedTo boottime.Instant   // when the last call was sent that the store responded to
	doubtedAt   boottime.Instant   // when the store was doubted, if it is
	path        []string           // names of the hosts through which the view came from the store, this one last; nil before this host knows its name; not changed in place
	history     history
	peers       peerSelector
}

// New returns a replica with an empty view.
func New(options Options) *Replica {
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	return &Replica{options: options, advanced: make(chan struct{}), watchNow: make(chan struct{}, 1), proveNow: make(chan struct{}, 1), searchNow: make(chan struct{}, 1)}
}

// Proof returns the last instant at which the view is known to have been current,
// zero if there is none. It is safe for concurrent use.
func (r *Replica) Proof() boottime.Instant { return boottime.Instant(r.provedAt.Load()) }

// StoreDoubted reports whether the latest call of this host to the store failed, or has had no response
// for long. It is safe for concurrent use.
func (r *Replica) StoreDoubted() bool { return r.storeDoubted.Load() }

// NeedProof records that decisions need a proof no older than MaxDelay. For that time from now on the
// next proof is asked for early enough that a slow call ends before the last proof is too old. It is
// safe for concurrent use.
func (r *Replica) NeedProof() {
	before := boottime.Instant(r.neededAt.Swap(int64(r.options.Clock())))
	if r.options.Clock().Sub(before) > r.options.MaxDelay {
		signal(r.proveNow) // the next proof is due at another time
	}
}

// AwaitProof asks the store for a proof and waits until the view is proved to have been current
// at an instant. It reports false when ctx ends, and at once if the store is known not to
// respond. It is safe for concurrent use.
func (r *Replica) AwaitProof(ctx context.Context, at boottime.Instant) bool {
	for asked := false; ; {
		r.mu.Lock()
		advanced := r.advanced
		r.mu.Unlock()
		switch {
		case r.Proof() >= at:
			return true
		case r.storeDoubted.Load() || ctx.Err() != nil:
			return false
		}
		if !asked {
			asked = true
			r.proveAtOnce.Store(true)
			signal(r.proveNow)
		}
		select {
		case <-advanced:
		case <-ctx.Done():
		}
	}
}

// Applied returns the revision up to which the view contains all changes, zero before the
// first snapshot. It is safe for concurrent use.
func (r *Replica) Applied() kvstore.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied
}

// FollowedHost returns the name of the host from which the latest changes came, empty if they
// came from the store. It is safe for concurrent use.
func (r *Replica) FollowedHost() string {
	if name := r.followedHost.Load(); name != nil {
		return *name
	}
	return ""
}

// Run keeps the view up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.keepProved(ctx) })
	wait.Go(func() { r.observeEras(ctx) })
	if r.options.Source != nil {
		wait.Go(func() { r.searchSubstitutes(ctx) })
	}
	r.follow(ctx)
	wait.Wait()
}

// observeEras logs each era of the store that this host learns of, and ends calls that wait
// for changes of the one before, until ctx ends.
func (r *Replica) observeEras(ctx context.Context) {
	known := kvstore.Era(0)
	for {
		changed := r.options.Feed.Eras().Changed()
		if era := r.options.Feed.Eras().Current(); era != known {
			_ = level.Warn(r.options.Logger).Log("event", "store era", "era", era, "before", known, "applied", r.Applied(), "proof_age", r.options.Clock().Sub(r.Proof()))
			known = era
			r.restartWatch()
			signal(r.watchNow)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) follow(ctx context.Context) {
	backoff := minRetryPause
	loaded := false
	for ctx.Err() == nil {
		loaded = loaded && r.Applied().Era == r.options.Feed.Eras().Current()
		if peer, ok := r.hostToFollow(); ok && loaded {
			if r.followHost(ctx, peer) == nil || r.storeDoubted.Load() && r.followsSubstitute() {
				continue
			}
		}
		if r.storeDoubted.Load() && loaded && r.options.Source != nil {
			// keepProved finds out when the store responds again.
			signal(r.searchNow)
			signal(r.proveNow)
			r.pauseFollowing(ctx, maxRetryPause)
			continue
		}
		err := r.followStore(ctx, &loaded)
		switch {
		case err == nil:
			backoff = minRetryPause
			r.pauseFollowing(ctx, r.options.BatchPause)
		case kvstore.IsKind(err, kvstore.KindCompacted):
			loaded = false
			_ = level.Warn(r.options.Logger).Log("event", "store history lost", "applied", r.Applied(), "err", err)
		default:
			r.pauseFollowing(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxRetryPause)
		}
	}
}

// pauseFollowing waits before changes are read again. It returns early if a proof is waiting for
// changes or a substitute was found.
func (r *Replica) pauseFollowing(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.watchNow:
	case <-ctx.Done():
	}
}

// followStore makes one call to the store: a snapshot if none is loaded, otherwise a
// watch.
func (r *Replica) followStore(ctx context.Context, loaded *bool) error {
	if !*loaded {
		if err := r.loadSnapshot(ctx); err != nil {
			r.recordFailure(err, r.options.Clock())
			return err
		}
		*loaded = true
		return nil
	}
	watch, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	r.setCancelWatch(cancel)
	defer r.setCancelWatch(nil)
	defer cancel()
	if r.followsSubstitute() {
		return context.Canceled // it was found since the choice of the source
	}
	r.followedHost.Store(nil)
	sent := r.options.Clock()
	entries, at, err := r.options.Feed.Watch(watch, "", r.Applied(), watchWait)
	if err != nil {
		restarted := errors.Is(watch.Err(), context.Canceled) // by restartWatch; not a failure of the store
		if !restarted && !kvstore.IsKind(err, kvstore.KindCompacted) {
			r.recordFailure(err, r.options.Clock()) // the connection has failed now
		}
		return err
	}
	r.trustStore(sent)
	r.recordRecovery() // before the changes: entries may have expired during the outage
	r.applyChanges(entries, at, sent, nil)
	return nil
}

// applyChanges passes changes to the handler and keeps them for the hosts that follow
// this one. They are of the era of the view and were current at the instant proved. path holds the
// hosts through which they came from the store, without this one.
func (r *Replica) applyChanges(entries []kvstore.Entry, at kvstore.Revision, proved boottime.Instant, path []string) {
	if len(entries) > 0 {
		r.options.Handler.Apply(entries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.add(entries, at)
	r.applied = kvstore.Latest(r.applied, at)
	r.setPath(path)
	r.prove(proved, at)
	r.announce()
}

// setPath records the hosts through which the view came from the store, without this one. The caller
// holds mu.
func (r *Replica) setPath(path []string) {
	if r.peers.self != "" {
		r.path = append(slices.Clone(path), r.peers.self)
	}
}

func (r *Replica) loadSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.options.Clock()
	entries, at, err := r.options.Feed.Snapshot(ctx, "")
	if err != nil {
		return err
	}
	_ = level.Info(r.options.Logger).Log("event", "snapshot read", "at", at, "applied", r.Applied(), "entries", len(entries), "era", at.Era)
	r.trustStore(sent)
	recovered := r.storeLost.Load()
	r.recordRecovery()
	r.options.Handler.Reset(entries, at, recovered)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applied.Before(at) && r.applied.Era == at.Era {
		sent = max(sent, r.Proof())
	}
	r.history.load(entries, at, r.applied)
	r.setPath(nil)
	r.applied = at // even if it is lower than before: the view is what the snapshot had
	r.provedAt.Store(int64(sent))
	r.announce()
	return nil
}

// announce wakes those who wait for changes or for a proof. The caller holds mu.
func (r *Replica) announce() {
	close(r.advanced)
	r.advanced = make(chan struct{})
}

// keepProved asks for the store's current revision whenever the last proof is older than
// the proof interval. The view was current when the call was sent if it contains all
// changes up to the returned revision. Successful watches are proofs as well. While this host
// follows a substitute, whose proofs it has, it only asks whether the store responds again.
func (r *Replica) keepProved(ctx context.Context) {
	for ctx.Err() == nil {
		due := r.nextProof()
		if wait := due.Sub(r.options.Clock()); wait > 0 && !r.Applied().IsZero() && !r.proveAtOnce.Swap(false) {
			r.awaitProofDue(ctx, wait)
			continue
		}
		if !r.proveOnce(ctx) {
			pause(ctx, maxRetryPause/2+rand.N(maxRetryPause/2))
		}
	}
}

// nextProof returns when the store is asked next.
func (r *Replica) nextProof() boottime.Instant {
	if r.storeDoubted.Load() && r.options.Source != nil {
		if r.followsSubstitute() {
			return r.provingSince.Add(storeRetryInterval)
		}
		if _, ok := r.hostToFollow(); !ok {
			return r.provingSince.Add(maxRetryPause)
		}
	}
	return r.Proof().Add(r.proofInterval())
}

// awaitProofDue waits for the given time or until another host starts to follow this
// one.
func (r *Replica) awaitProofDue(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.proveNow:
	case <-ctx.Done():
	}
}

// proofInterval returns the time between two proofs. It is shorter while other hosts follow this one or
// decisions need recent proofs, unless this one has its proofs from another host, too.
func (r *Replica) proofInterval() time.Duration {
	now, interval := r.options.Clock(), r.options.ProofInterval
	if r.FollowedHost() != "" {
		return interval
	}
	if now.Sub(boottime.Instant(r.neededAt.Load())) <= r.options.MaxDelay {
		interval = min(interval, fractionOf(r.options.MaxDelay, neededProofFraction))
	}
	if r.hasFollowers(now) {
		interval = min(interval, fractionOf(r.options.MaxDelay, followedProofFraction))
	}
	return interval
}

func (r *Replica) proveOnce(ctx context.Context) bool {
	if r.Applied().IsZero() {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.options.Clock()
	r.provingSince = sent
	slow := r.doubtLater(sent)
	at, err := r.storeRevision(call)
	slow.Stop()
	if err != nil {
		r.recordFailure(err, sent)
		return false
	}
	r.trustStore(sent)
	if r.storeLost.Load() {
		r.restartWatch()
	}
	if !r.awaitApplied(ctx, at) {
		r.restartWatch()
		if r.needsSubstitute() {
			return false // the next call to the store lets this host follow it again
		}
		if !r.awaitApplied(ctx, at) {
			return false
		}
	}
	r.recordRecovery()
	r.recordProof(sent, at)
	return true
}

// storeRevision returns the current revision of the store. A host that follows a substitute asks for
// changes: a store that names its revision, but sends no changes, is not to be followed.
func (r *Replica) storeRevision(ctx context.Context) (kvstore.Revision, error) {
	if r.followsSubstitute() {
		_, at, err := r.options.Feed.Watch(ctx, "", r.Applied(), 0)
		if !kvstore.IsKind(err, kvstore.KindCompacted) {
			return at, err
		}
	}
	return r.options.Feed.Current(ctx)
}

// awaitApplied waits until the view contains all changes up to a revision. If the followed host is slow to
// send them, it is followed no longer. If the store is, another host is looked for: it may have stopped
// responding since it named the revision. It reports false on a timeout, when ctx ends, and when no watch
// is in progress that could bring the changes.
func (r *Replica) awaitApplied(ctx context.Context, at kvstore.Revision) bool {
	timer := time.NewTimer(r.options.BatchPause + catchUpTimeout)
	defer timer.Stop()
	var slow <-chan time.Time
	if r.options.Source != nil {
		slow = time.After(fractionOf(r.options.MaxDelay, slowCallFraction))
	}
	for {
		r.mu.Lock()
		advanced, applied := r.advanced, r.applied
		r.mu.Unlock()
		if applied.Era == at.Era && !applied.Before(at) {
			return true
		}
		signal(r.watchNow)
		select {
		case <-advanced:
		case <-slow:
			if followed := r.FollowedHost(); followed != "" && !r.storeDoubted.Load() {
				r.skip(Peer{Name: followed}, &kvstore.Error{Kind: kvstore.KindUnavailable, Op: "changes", Key: followed, Err: ErrLacksChanges})
				continue
			}
			r.doubtStore(r.options.Clock())
			if r.needsSubstitute() && !r.watching() {
				return false
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// recordProof records that the view was current at an instant, as a response that named a
// revision proves. It proves nothing about a view that lacks that revision, nor about one of
// another era, which may lack what the store has lost.
func (r *Replica) recordProof(sent boottime.Instant, at kvstore.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prove(sent, at) {
		r.announce()
	}
}

// prove is recordProof for a caller that holds mu. It reports whether the proof is newer than the
// last one.
func (r *Replica) prove(sent boottime.Instant, at kvstore.Revision) bool {
	if r.applied.Era != at.Era || r.applied.Before(at) || sent <= r.Proof() {
		return false
	}
	r.provedAt.Store(int64(sent))
	return true
}

func (r *Replica) setCancelWatch(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWatch = cancel
}

// watching reports whether a watch is in progress.
func (r *Replica) watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelWatch != nil
}

// restartWatch cancels the current watch, whose connection may be dead.
func (r *Replica) restartWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelWatch != nil {
		r.cancelWatch()
		r.cancelWatch = nil
	}
}

// recordFailure records that the store could not be reached by a call that was sent at an instant. A
// response of an older era is no such failure.
func (r *Replica) recordFailure(err error, sent boottime.Instant) {
	if kvstore.IsKind(err, kvstore.KindEraEnded) {
		return
	}
	r.doubtStore(sent)
	if r.followsSubstitute() {
		return // the view does not depend on the store's responses to this host
	}
	if !r.storeLost.Swap(true) {
		_ = level.Warn(r.options.Logger).Log("event", "store lost", "err", err, "applied", r.Applied(), "proof_age", r.options.Clock().Sub(r.Proof()))
		r.options.Handler.StoreLost(err)
	}
}

func (r *Replica) recordRecovery() {
	if r.storeLost.Swap(false) {
		r.endedOutages.Add(1)
		_ = level.Info(r.options.Logger).Log("event", "store regained", "applied", r.Applied())
		r.options.Handler.StoreRegained()
	}
}

// signal sends without blocking. Signals sent before the receiver reads are merged
// into one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
