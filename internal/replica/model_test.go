package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// The model test runs random histories of a failure domain in virtual time: writes,
// slow, failing and blocked calls, outages, returns of the store from older copies, and
// hosts that stop responding to each other. Its oracle is independent of replicas: it
// records when each write was acknowledged, and which ones the store has lost.

// modelStore is the store as all hosts see it.
type modelStore struct {
	mu     sync.Mutex
	at     kvstore.Revision
	writes []modelWrite // that the store has, by revision; those of earlier eras keep theirs
	values int
	wake   chan struct{}
	down   atomic.Bool
}

// modelWrite is a write that was acknowledged.
type modelWrite struct {
	entry   kvstore.Entry // with the number that it got when it was made
	ackedAt boottime.Instant
}

const modelFirstEra = kvstore.Era(7)

func newModelStore() *modelStore {
	s := &modelStore{wake: make(chan struct{}), at: kvstore.Revision{Era: modelFirstEra}}
	s.write()
	return s
}

func (s *modelStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Number++
	s.values++
	entry := kvstore.Entry{Key: fmt.Sprintf("k%d", s.values%5), Value: []byte(fmt.Sprint(s.values)), Revision: s.at}
	s.writes = append(s.writes, modelWrite{entry, bubbleNow()})
	close(s.wake)
	s.wake = make(chan struct{})
}

// rollBack lets the store return from a copy that lacks up to n writes.
func (s *modelStore) rollBack(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = s.writes[:max(len(s.writes)-n, 1)]
	s.at = kvstore.Revision{Era: s.at.Era + 1, Number: s.writes[len(s.writes)-1].entry.Revision.Number}
	close(s.wake)
	s.wake = make(chan struct{})
}

// since returns the changes after a number, as the store names them now. The caller holds
// mu.
func (s *modelStore) since(number uint64) []kvstore.Entry {
	var entries []kvstore.Entry
	for _, w := range s.writes {
		if w.entry.Revision.Number > number {
			entry := w.entry
			entry.Revision.Era = s.at.Era
			entries = append(entries, entry)
		}
	}
	return entries
}

// view returns the values of all keys.
func (s *modelStore) view() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := map[string]string{}
	for _, e := range s.since(0) {
		view[e.Key] = string(e.Value)
	}
	return view
}

// lastAckedBefore returns the last write acknowledged before an instant that the store has
// not lost, by the revision that it got when it was made.
func (s *modelStore) lastAckedBefore(t boottime.Instant) kvstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := kvstore.Revision{}
	for _, w := range s.writes {
		if w.ackedAt < t {
			last = w.entry.Revision
		}
	}
	return last
}

// bubbleNow returns the virtual time of a synctest bubble.
func bubbleNow() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

// modelFeed is the store as one host reaches it. It implements kvstore.Feed.
type modelFeed struct {
	store        *modelStore
	failNext     atomic.Int32 // number of next calls that fail
	rejects      atomic.Bool  // calls fail at once, watches included
	blockCalls   atomic.Bool  // calls get no response, watches included
	blockWatches atomic.Bool  // watches get no response
	delay        atomic.Int64 // each way, in nanoseconds
	eras         *kvstore.EraTracker
	calls        atomic.Int64
}

func (f *modelFeed) call(ctx context.Context, respond func() (kvstore.Era, error)) error {
	f.calls.Add(1)
	start := f.eras.Begin()
	unavailable := &kvstore.Error{Kind: kvstore.KindUnavailable}
	if !sleep(ctx, time.Duration(f.delay.Load())) || f.store.down.Load() {
		return unavailable
	}
	if f.failNext.Load() > 0 {
		f.failNext.Add(-1)
		return unavailable
	}
	if f.rejects.Load() {
		return unavailable
	}
	era, err := respond()
	if f.rejects.Load() || kvstore.IsKind(err, kvstore.KindUnavailable) {
		return err
	}
	if f.blockCalls.Load() {
		<-ctx.Done()
	}
	if !sleep(ctx, time.Duration(f.delay.Load())) {
		return unavailable
	}
	if !f.eras.Observe(era, start) {
		return &kvstore.Error{Kind: kvstore.KindEraEnded}
	}
	return err
}

// reject lets all calls of this host fail, or get no response; accept ends that.
func (f *modelFeed) reject(silent bool) {
	f.rejects.Store(!silent)
	f.blockCalls.Store(silent)
}

func (f *modelFeed) accept() {
	f.rejects.Store(false)
	f.blockCalls.Store(false)
}

// renew makes a call that reads nothing, as hosts do for their leases.
func (f *modelFeed) renew(ctx context.Context, r *Replica) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = r.ObserveCall(func() error {
		_, err := f.Current(call) // only the era counts
		return err
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	pause(ctx, d)
	return ctx.Err() == nil
}

func (f *modelFeed) Snapshot(ctx context.Context, _ string) (entries []kvstore.Entry, at kvstore.Revision, err error) {
	err = f.call(ctx, func() (kvstore.Era, error) {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		entries, at = f.store.since(0), f.store.at
		return at.Era, nil
	})
	return entries, at, err
}

func (f *modelFeed) Watch(ctx context.Context, _ string, after kvstore.Revision, wait time.Duration) (entries []kvstore.Entry, at kvstore.Revision, err error) {
	if f.eras.Current() != after.Era {
		return nil, kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindEraEnded}
	}
	err = f.call(ctx, func() (kvstore.Era, error) {
		if f.blockWatches.Load() {
			<-ctx.Done()
			return 0, &kvstore.Error{Kind: kvstore.KindUnavailable}
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for pending := false; ; pending = true {
			f.store.mu.Lock()
			entries, at = f.store.since(after.Number), f.store.at
			wake := f.store.wake
			f.store.mu.Unlock()
			if at.Number < after.Number && !pending { // pending ones notice nothing
				return at.Era, &kvstore.Error{Kind: kvstore.KindCompacted}
			}
			if len(entries) > 0 {
				return at.Era, nil
			}
			select {
			case <-wake:
			case <-timer.C:
				return at.Era, nil
			case <-ctx.Done():
				return 0, &kvstore.Error{Kind: kvstore.KindUnavailable}
			}
		}
	})
	if err == nil && at.Era != after.Era {
		err = &kvstore.Error{Kind: kvstore.KindEraEnded}
	}
	return entries, at, err
}

func (f *modelFeed) Eras() *kvstore.EraTracker { return f.eras }

func (f *modelFeed) Current(ctx context.Context) (at kvstore.Revision, err error) {
	err = f.call(ctx, func() (kvstore.Era, error) {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		at = f.store.at
		return at.Era, nil
	})
	return at, err
}

// viewRecorder is a handler that keeps the values of all keys and the newest revision that it
// received.
type viewRecorder struct {
	mu     sync.Mutex
	newest kvstore.Revision
	values map[string]string
	resets int
}

func (a *viewRecorder) Reset(entries []kvstore.Entry, at kvstore.Revision, _ bool) {
	a.mu.Lock()
	a.newest, a.values = kvstore.Revision{Era: at.Era}, map[string]string{}
	a.resets++
	a.mu.Unlock()
	a.Apply(entries)
}

func (a *viewRecorder) Apply(entries []kvstore.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range entries {
		if e.Revision.Era != a.newest.Era {
			panic(fmt.Sprintf("a change of revision %v reached a view of %v", e.Revision, a.newest))
		}
		a.newest = kvstore.Latest(a.newest, e.Revision)
		a.values[e.Key] = string(e.Value)
	}
}

func (a *viewRecorder) StoreLost(error) {}
func (a *viewRecorder) StoreRegained()  {}

func (a *viewRecorder) received() kvstore.Revision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest
}

func (a *viewRecorder) view() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.values)
}

// modelSource is a Source that delays requests and responses between hosts and can
// drop the responses of a host.
type modelSource struct {
	replicas map[string]*Replica
	blocked  map[string]*atomic.Bool
	delay    atomic.Int64 // nanoseconds each way
}

func (l *modelSource) Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error) {
	unavailable := &kvstore.Error{Kind: kvstore.KindUnavailable}
	if !sleep(ctx, time.Duration(l.delay.Load())) {
		return Changes{}, unavailable
	}
	changes, err := l.replicas[peer.Name].Changes(ctx, after, wait)
	if l.blocked[peer.Name].Load() {
		<-ctx.Done()
	}
	if !sleep(ctx, time.Duration(l.delay.Load())) {
		return Changes{}, unavailable
	}
	return changes, err
}

const (
	modelDelay = 2 * time.Second // MaxDelay of the replicas
	modelProof = 2400 * time.Millisecond
	modelStep  = 50 * time.Millisecond
	// modelRenewal is the time between two renewals of a lease.
	modelRenewal = 1100 * time.Millisecond
)

var modelHosts = []string{"a", "b", "c"}

// action is one step of a history.
type action struct {
	kind     string
	host     string
	count    int
	duration time.Duration
}

func drawHistory(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:     rapid.SampledFrom([]string{"write", "write", "write", "fail", "block calls", "block watches", "slow store", "store outage", "reject", "reject silently", "block peer", "slow peers", "pause writes", "roll back", "roll back"}).Draw(t, "kind"),
			host:     rapid.SampledFrom(modelHosts).Draw(t, "host"),
			count:    rapid.IntRange(1, 4).Draw(t, "n"),
			duration: time.Duration(rapid.IntRange(0, 150).Draw(t, "steps")) * modelStep,
		}
	}), 1, 25).Draw(t, "history")
}

// modelDomain is the failure domain in which one history runs.
type modelDomain struct {
	store        *modelStore
	source       *modelSource
	feeds        map[string]*modelFeed
	handlers     map[string]*viewRecorder
	faultEnded   map[string]boottime.Instant // end of the last fault between a host and the store
	writesPaused bool                        // only actions write
	rolledBack   boottime.Instant            // last return of the store from an older copy
	violation    string                      // description of the first violation
}

// newModelDomain starts the hosts of a domain. They renew their leases at different times.
func newModelDomain(ctx context.Context, wait *sync.WaitGroup, store *modelStore, hosts []string) *modelDomain {
	return newModelFleet(ctx, wait, store, [][]string{hosts})
}

// newModelFleet starts the hosts of several domains.
func newModelFleet(ctx context.Context, wait *sync.WaitGroup, store *modelStore, domains [][]string) *modelDomain {
	hosts := slices.Concat(domains...)
	d := &modelDomain{
		store: store, faultEnded: map[string]boottime.Instant{}, feeds: map[string]*modelFeed{}, handlers: map[string]*viewRecorder{},
		source: &modelSource{replicas: map[string]*Replica{}, blocked: map[string]*atomic.Bool{}},
	}
	for _, name := range hosts {
		d.feeds[name], d.handlers[name] = &modelFeed{store: d.store, eras: kvstore.NewEraTracker()}, &viewRecorder{values: map[string]string{}}
		d.source.blocked[name] = &atomic.Bool{}
		r := New(Options{
			Feed: d.feeds[name], Handler: d.handlers[name], Logger: log.NewNopLogger(), Clock: bubbleNow,
			ProofInterval: modelProof, BatchPause: modelDelay / 5, Source: d.source, MaxDelay: modelDelay,
		})
		d.source.replicas[name] = r
		var near, far []Peer
		for _, domain := range domains {
			for _, other := range domain {
				switch {
				case other == name:
				case slices.Contains(domain, name):
					near = append(near, Peer{Name: other})
				default:
					far = append(far, Peer{Name: other})
				}
			}
		}
		r.SetPeers(name, near, far)
	}
	for i, name := range hosts { // all exist before one follows another
		r, feed := d.source.replicas[name], d.feeds[name]
		wait.Go(func() { r.Run(ctx) })
		wait.Go(func() {
			sleep(ctx, modelRenewal*time.Duration(i)/time.Duration(len(hosts)))
			for ctx.Err() == nil {
				sleep(ctx, modelRenewal)
				feed.renew(ctx, r)
			}
		})
	}
	return d
}

// start applies an action; end reverts its fault.
func (d *modelDomain) start(a action) (end func()) {
	feed := d.feeds[a.host]
	switch a.kind {
	case "write":
		for range a.count {
			d.store.write()
		}
	case "roll back":
		d.store.rollBack(a.count * a.count * 3)
		d.rolledBack = bubbleNow()
	case "pause writes":
		d.writesPaused = true
		return func() { d.writesPaused = false }
	case "fail":
		feed.failNext.Store(int32(a.count))
		return func() { feed.failNext.Store(0); d.recordFaultEnd(a.host) }
	case "block calls":
		feed.blockCalls.Store(true)
		return func() { feed.blockCalls.Store(false); d.recordFaultEnd(a.host) }
	case "reject", "reject silently":
		feed.reject(a.kind == "reject silently")
		return func() { feed.accept(); d.recordFaultEnd(a.host) }
	case "block watches":
		feed.blockWatches.Store(true)
		return func() { feed.blockWatches.Store(false); d.recordFaultEnd(a.host) }
	case "slow store":
		feed.delay.Store(int64(a.count) * int64(100*time.Millisecond))
		return func() { feed.delay.Store(0); d.recordFaultEnd(a.host) }
	case "store outage":
		d.store.down.Store(true)
		return func() { d.store.down.Store(false); d.recordFaultEnd(modelHosts...) }
	case "block peer":
		d.source.blocked[a.host].Store(true)
		return func() { d.source.blocked[a.host].Store(false) }
	case "slow peers":
		d.source.delay.Store(int64(a.count) * int64(40*time.Millisecond))
		return func() { d.source.delay.Store(0) }
	}
	return func() {}
}

// recordFaultEnd records that hosts can reach the store again.
func (d *modelDomain) recordFaultEnd(hosts ...string) {
	for _, host := range hosts {
		d.faultEnded[host] = bubbleNow()
	}
}

// recoveryTime is how long a host may need after a fault of its own: until it requests
// a proof, finds that changes are missing and reads them.
const recoveryTime = 5 * time.Second

// checkHosts compares each host with the oracle. A view that is proved current at an
// instant must contain every write that was acknowledged before it. A host that can
// reach the store must apply each write in time, whatever the other hosts do.
func (d *modelDomain) checkHosts(during action) {
	for name, r := range d.source.replicas {
		proof := r.Proof()
		want := d.store.lastAckedBefore(proof)
		got := d.handlers[name].received()
		if got.Before(want) && d.violation == "" {
			d.violation = fmt.Sprintf("host %s was proved current %v ago without revision %v; it has applied %v", name, bubbleNow().Sub(proof), want, got)
		}
		ownFault := during.host == name && during.kind != "write" && during.kind != "pause writes" && during.kind != "roll back" && during.kind != "block peer" && during.kind != "slow peers"
		if ownFault || during.kind == "store outage" || bubbleNow().Sub(d.faultEnded[name]) < recoveryTime {
			continue
		}
		if want := d.store.lastAckedBefore(bubbleNow().Add(-modelDelay)); got.Before(want) && d.violation == "" {
			d.violation = fmt.Sprintf("host %s has applied revision %v, not %v, more than %v after its write", name, got, want, modelDelay)
		}
	}
}

// advanceTime lets virtual time pass, with regular writes, and checks the hosts at
// each step.
func (d *modelDomain) advanceTime(span time.Duration, during action) {
	for n := range int(span / modelStep) {
		if n%7 == 3 && !d.writesPaused {
			d.store.write()
		}
		time.Sleep(modelStep)
		d.checkHosts(during)
	}
}

// checkRecovered checks that a write is applied in time after all faults have ended.
func (d *modelDomain) checkRecovered() {
	d.advanceTime(6*time.Second, action{})
	d.store.write()
	time.Sleep(modelDelay)
	for name := range d.source.replicas {
		if got, want := d.handlers[name].received(), d.store.at; got.Before(want) && d.violation == "" {
			d.violation = fmt.Sprintf("host %s has applied revision %v, not %v, %v after its write", name, got, want, modelDelay)
		}
		if got, want := d.handlers[name].view(), d.store.view(); !maps.Equal(got, want) && d.violation == "" {
			d.violation = fmt.Sprintf("host %s sees %v, the store has %v", name, got, want)
		}
		if age := bubbleNow().Sub(d.source.replicas[name].Proof()); age > modelProof+time.Second && d.violation == "" {
			d.violation = fmt.Sprintf("host %s was proved current %v ago", name, age)
		}
	}
}

// runHistory runs one history and returns a description of the first violation.
func runHistory(t *testing.T, actions []action) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		d := newModelDomain(ctx, &wait, newModelStore(), modelHosts)
		d.recordFaultEnd(modelHosts...)
		d.advanceTime(time.Second, action{})
		for _, a := range actions {
			end := d.start(a)
			d.advanceTime(a.duration, a)
			end()
		}
		d.checkRecovered()
		violation = d.violation
		cancel()
		wait.Wait()
	})
	return violation
}

func TestFreshnessModel(t *testing.T) {
	skipUnderTheRaceDetector(t)
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawHistory(rt)
		require.Empty(rt, runHistory(t, actions))
	})
}
