// Package replica follows a store: it keeps a handler informed of every change
// and knows until when its picture is proved to be current. It may follow another
// replica in place of the store, as long as that one is current itself.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// Handler takes the changes of the store. Its methods are called by one goroutine
// at a time.
type Handler interface {
	// Reset replaces the whole picture. recovered is set if the store had been
	// out of reach.
	Reset(entries []kvstore.Entry, recovered bool)
	// Apply takes changed entries; those with revision zero are deleted.
	Apply(entries []kvstore.Entry)
	// StoreLost and StoreRegained tell of outages as this host sees them.
	StoreLost(err error)
	StoreRegained()
}

// Options configures a Replica.
type Options struct {
	Feed    kvstore.Feed
	Handler Handler
	Logger  log.Logger
	// ProofInterval is the age of the last proof that the picture is current at
	// which the next one is sought.
	ProofInterval time.Duration
	// Batch is the pause between two watches, in which changes gather.
	Batch time.Duration
	Clock boottime.Clock // nil: boottime.Now
	// Source reaches other replicas; nil follows the store only.
	Source Source
	// Delay is the time within which a change of the store must be known here. It
	// bounds how old the proof of a followed host may be. Needed with Source.
	Delay time.Duration
}

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// callTimeout bounds each call that does not wait.
	callTimeout = 1500 * time.Millisecond
	// catchUpWait is how long a watch may lag behind a proved revision, beyond the
	// pause between two watches, before its connection is taken for dead.
	catchUpWait = 400 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call. A host must be
	// current again within a second or two of the end of an outage.
	retryLeast = 60 * time.Millisecond
	retryMost  = 250 * time.Millisecond
)

// Replica follows a store. Create it with New and start it with Run.
type Replica struct {
	options Options

	applied atomic.Uint64 // revision up to which the handler was informed
	proved  atomic.Int64  // boottime.Instant at which the picture was last proved current
	lost    atomic.Bool
	outages atomic.Uint64 // of the store, that have ended
	asked   atomic.Int64  // boottime.Instant at which another replica last asked

	hurry chan struct{} // ends the pause between two watches
	rouse chan struct{} // ends the pause between two proofs

	// following and seenOutages belong to the goroutine that follows.
	following   string // name of the followed host, empty: the store
	seenOutages uint64 // that the followed host has told

	mu      sync.Mutex // guards the fields below
	cancel  context.CancelFunc
	wake    chan struct{} // closed and replaced when applied grows
	history history
	roster  roster
}

// New returns a replica that has seen nothing.
func New(options Options) *Replica {
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	return &Replica{options: options, wake: make(chan struct{}), hurry: make(chan struct{}, 1), rouse: make(chan struct{}, 1)}
}

// Proof returns the last instant at which the picture is known to have been
// current, zero if there is none.
func (r *Replica) Proof() boottime.Instant { return boottime.Instant(r.proved.Load()) }

// Run follows the store until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.prove(ctx) })
	r.follow(ctx)
	wait.Wait()
}

func (r *Replica) follow(ctx context.Context) {
	backoff := retryLeast
	loaded := false
	for ctx.Err() == nil {
		if peer, ok := r.leader(); ok && loaded && r.stepBehind(ctx, peer) == nil {
			continue
		}
		err := r.step(ctx, &loaded)
		switch {
		case err == nil:
			backoff = retryLeast
			r.gather(ctx)
		case kvstore.IsKind(err, kvstore.KindCompacted):
			loaded = false
			_ = level.Warn(r.options.Logger).Log("event", "store history lost", "applied", r.applied.Load())
		default:
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, retryMost)
		}
	}
}

// gather lets changes gather before the next watch, unless a proof waits for them.
func (r *Replica) gather(ctx context.Context) {
	timer := time.NewTimer(r.options.Batch)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.hurry:
	case <-ctx.Done():
	}
}

// step makes one snapshot or one watch.
func (r *Replica) step(ctx context.Context, loaded *bool) error {
	if !*loaded {
		if err := r.load(ctx); err != nil {
			r.failed(err)
			return err
		}
		*loaded = true
		return nil
	}
	watch, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	r.setCancel(cancel)
	defer cancel()
	sent := r.options.Clock()
	entries, at, err := r.options.Feed.Watch(watch, "", kvstore.Revision(r.applied.Load()), watchWait)
	if err != nil {
		restarted := errors.Is(watch.Err(), context.Canceled) // says nothing of the store
		if !restarted && !kvstore.IsKind(err, kvstore.KindCompacted) {
			r.failed(err)
		}
		return err
	}
	r.regained() // before the changes: entries may have lapsed during the outage
	r.take(entries, at)
	r.noteProof(sent)
	return nil
}

// take hands changes on and keeps them for the hosts that follow this one.
func (r *Replica) take(entries []kvstore.Entry, at kvstore.Revision) {
	if len(entries) > 0 {
		r.options.Handler.Apply(entries)
	}
	r.mu.Lock()
	r.history.add(entries, at)
	r.mu.Unlock()
	r.advance(at)
}

func (r *Replica) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.options.Clock()
	entries, at, err := r.options.Feed.Snapshot(ctx, "")
	if err != nil {
		return err
	}
	recovered := r.lost.Load()
	r.regained()
	r.options.Handler.Reset(entries, recovered)
	r.mu.Lock()
	r.history.restart(at)
	r.mu.Unlock()
	r.advance(at)
	r.noteProof(sent)
	return nil
}

// advance notes that the handler knows all changes up to a revision.
func (r *Replica) advance(at kvstore.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied.Store(max(r.applied.Load(), uint64(at)))
	close(r.wake)
	r.wake = make(chan struct{})
}

// prove asks for the store's revision whenever the last proof grows old. The
// picture was current when the call was sent if it holds all changes up to the
// answer. Watches that answer are proofs as well.
func (r *Replica) prove(ctx context.Context) {
	for ctx.Err() == nil {
		due := r.Proof().Add(r.proofInterval())
		if wait := due.Sub(r.options.Clock()); wait > 0 && r.applied.Load() != 0 {
			r.awaitProof(ctx, wait)
			continue
		}
		if !r.proveOnce(ctx) {
			pause(ctx, retryMost/2+rand.N(retryMost/2))
		}
	}
}

// awaitProof waits until the next proof is due or another host begins to rely on it.
func (r *Replica) awaitProof(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.rouse:
	case <-ctx.Done():
	}
}

// proofInterval is shorter while other hosts rely on the proofs of this one.
func (r *Replica) proofInterval() time.Duration {
	if r.followed(r.options.Clock()) {
		return min(r.options.ProofInterval, part(r.options.Delay, followedProof))
	}
	return r.options.ProofInterval
}

func (r *Replica) proveOnce(ctx context.Context) bool {
	if r.applied.Load() == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.options.Clock()
	at, err := r.options.Feed.Current(call)
	if err != nil {
		r.failed(err)
		return false
	}
	if r.lost.Load() {
		r.restartWatch()
	}
	if !r.awaitApplied(ctx, at) {
		r.restartWatch()
		if !r.awaitApplied(ctx, at) {
			return false
		}
	}
	r.regained()
	r.noteProof(sent)
	return true
}

// awaitApplied waits until the handler knows all changes up to a revision.
func (r *Replica) awaitApplied(ctx context.Context, at kvstore.Revision) bool {
	timer := time.NewTimer(r.options.Batch + catchUpWait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		wake := r.wake
		r.mu.Unlock()
		if r.applied.Load() >= uint64(at) {
			return true
		}
		signal(r.hurry)
		select {
		case <-wake:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Replica) noteProof(sent boottime.Instant) {
	r.proved.Store(max(r.proved.Load(), int64(sent)))
}

func (r *Replica) setCancel(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
}

// restartWatch ends a watch whose connection may be dead.
func (r *Replica) restartWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

func (r *Replica) failed(err error) {
	if !r.lost.Swap(true) {
		_ = level.Warn(r.options.Logger).Log("event", "store lost", "err", err, "applied", r.applied.Load())
		r.options.Handler.StoreLost(err)
	}
}

func (r *Replica) regained() {
	if r.lost.Swap(false) {
		r.outages.Add(1)
		_ = level.Info(r.options.Logger).Log("event", "store regained", "applied", r.applied.Load())
		r.options.Handler.StoreRegained()
	}
}

// signal tells a goroutine once, however often it is called before that looks.
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
