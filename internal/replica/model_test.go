package replica

import (
	"context"
	"fmt"
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

// The model plays random histories of a failure domain in virtual time: writes,
// slow, failing and silent calls, outages, hosts that stop answering each other.
// Its oracle knows nothing of replicas: it keeps when each write was acknowledged.

// modelStore is the store as all hosts see it.
type modelStore struct {
	mu      sync.Mutex
	history history
	at      kvstore.Revision
	wake    chan struct{}
	acked   []boottime.Instant // of each revision, the first is revision 1
	down    atomic.Bool
}

func newModelStore() *modelStore {
	s := &modelStore{wake: make(chan struct{})}
	s.write()
	return s
}

func (s *modelStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.history.add([]kvstore.Entry{{Key: "k", Revision: s.at}}, s.at)
	s.acked = append(s.acked, bubbleNow())
	close(s.wake)
	s.wake = make(chan struct{})
}

// before returns the last revision acknowledged before an instant.
func (s *modelStore) before(t boottime.Instant) kvstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := kvstore.Revision(0)
	for i, at := range s.acked {
		if at < t {
			last = kvstore.Revision(i + 1)
		}
	}
	return last
}

// bubbleNow is the clock of a synctest bubble.
func bubbleNow() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

// modelFeed is the store as one host reaches it. It implements kvstore.Feed.
type modelFeed struct {
	store   *modelStore
	failing atomic.Int32 // calls that fail next
	silent  atomic.Bool  // calls get no answer, those that wait included
	mute    atomic.Bool  // watches get no answer
	delay   atomic.Int64 // of the way there and of the way back, nanoseconds
}

func (f *modelFeed) call(ctx context.Context, answer func() error) error {
	unavailable := &kvstore.Error{Kind: kvstore.KindUnavailable}
	if !sleep(ctx, time.Duration(f.delay.Load())) || f.store.down.Load() {
		return unavailable
	}
	if f.failing.Load() > 0 {
		f.failing.Add(-1)
		return unavailable
	}
	if err := answer(); err != nil {
		return err
	}
	if f.silent.Load() {
		<-ctx.Done()
	}
	if !sleep(ctx, time.Duration(f.delay.Load())) {
		return unavailable
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	pause(ctx, d)
	return ctx.Err() == nil
}

func (f *modelFeed) Snapshot(ctx context.Context, _ string) (entries []kvstore.Entry, at kvstore.Revision, err error) {
	err = f.call(ctx, func() error {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		entries, _ = f.store.history.since(0)
		at = f.store.at
		return nil
	})
	return entries, at, err
}

func (f *modelFeed) Watch(ctx context.Context, _ string, after kvstore.Revision, wait time.Duration) (entries []kvstore.Entry, at kvstore.Revision, err error) {
	err = f.call(ctx, func() error {
		if f.mute.Load() {
			<-ctx.Done()
			return &kvstore.Error{Kind: kvstore.KindUnavailable}
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			f.store.mu.Lock()
			entries, _ = f.store.history.since(after)
			at = f.store.at
			wake := f.store.wake
			f.store.mu.Unlock()
			if len(entries) > 0 {
				return nil
			}
			select {
			case <-wake:
			case <-timer.C:
				return nil
			case <-ctx.Done():
				return &kvstore.Error{Kind: kvstore.KindUnavailable}
			}
		}
	})
	return entries, at, err
}

func (f *modelFeed) Current(ctx context.Context) (at kvstore.Revision, err error) {
	err = f.call(ctx, func() error {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		at = f.store.at
		return nil
	})
	return at, err
}

// applied is a handler that knows only the newest revision it was told of.
type applied struct{ newest atomic.Uint64 }

func (a *applied) Reset(entries []kvstore.Entry, _ bool) { a.Apply(entries) }
func (a *applied) Apply(entries []kvstore.Entry) {
	for _, e := range entries {
		a.newest.Store(max(a.newest.Load(), uint64(e.Revision)))
	}
}
func (a *applied) StoreLost(error) {}
func (a *applied) StoreRegained()  {}

// modelLinks carries questions between hosts, late if a link is slow.
type modelLinks struct {
	replicas map[string]*Replica
	silent   map[string]*atomic.Bool
	delay    atomic.Int64 // nanoseconds each way
}

func (l *modelLinks) Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error) {
	unavailable := &kvstore.Error{Kind: kvstore.KindUnavailable}
	if !sleep(ctx, time.Duration(l.delay.Load())) {
		return Changes{}, unavailable
	}
	changes, err := l.replicas[peer.Name].Changes(ctx, after, wait)
	if l.silent[peer.Name].Load() {
		<-ctx.Done()
	}
	if !sleep(ctx, time.Duration(l.delay.Load())) {
		return Changes{}, unavailable
	}
	return changes, err
}

const (
	modelDelay = 2 * time.Second // within which changes are to be known
	modelProof = 2400 * time.Millisecond
	modelStep  = 50 * time.Millisecond
)

var modelHosts = []string{"a", "b", "c"}

// action is one step of a history.
type action struct {
	kind string
	host string
	n    int
	last time.Duration
}

func drawHistory(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.SampledFrom([]string{"write", "write", "write", "fail", "silence", "mute", "slow", "down", "deaf peer", "slow peers", "rest"}).Draw(t, "kind"),
			host: rapid.SampledFrom(modelHosts).Draw(t, "host"),
			n:    rapid.IntRange(1, 4).Draw(t, "n"),
			last: time.Duration(rapid.IntRange(0, 150).Draw(t, "steps")) * modelStep,
		}
	}), 1, 25).Draw(t, "history")
}

// modelDomain is what one history runs in.
type modelDomain struct {
	store    *modelStore
	links    *modelLinks
	feeds    map[string]*modelFeed
	handlers map[string]*applied
	troubled map[string]boottime.Instant // end of the last trouble of a host's own way to the store
	quiet    bool                        // no writes beside those of actions
	broken   string                      // first finding
}

func newModelDomain(ctx context.Context, wait *sync.WaitGroup) *modelDomain {
	d := &modelDomain{
		store: newModelStore(), troubled: map[string]boottime.Instant{}, feeds: map[string]*modelFeed{}, handlers: map[string]*applied{},
		links: &modelLinks{replicas: map[string]*Replica{}, silent: map[string]*atomic.Bool{}},
	}
	for _, name := range modelHosts {
		d.feeds[name], d.handlers[name] = &modelFeed{store: d.store}, &applied{}
		d.links.silent[name] = &atomic.Bool{}
		r := New(Options{
			Feed: d.feeds[name], Handler: d.handlers[name], Logger: log.NewNopLogger(), Clock: bubbleNow,
			ProofInterval: modelProof, Batch: modelDelay / 5, Source: d.links, Delay: modelDelay,
		})
		d.links.replicas[name] = r
		var peers []Peer
		for _, other := range modelHosts {
			if other != name {
				peers = append(peers, Peer{Name: other})
			}
		}
		r.SetPeers(name, peers)
		wait.Go(func() { r.Run(ctx) })
	}
	return d
}

// begin starts a trouble; end undoes it.
func (d *modelDomain) begin(a action) (end func()) {
	feed := d.feeds[a.host]
	switch a.kind {
	case "write":
		for range a.n {
			d.store.write()
		}
	case "rest":
		d.quiet = true
		return func() { d.quiet = false }
	case "fail":
		feed.failing.Store(int32(a.n))
		return func() { feed.failing.Store(0); d.over(a.host) }
	case "silence":
		feed.silent.Store(true)
		return func() { feed.silent.Store(false); d.over(a.host) }
	case "mute":
		feed.mute.Store(true)
		return func() { feed.mute.Store(false); d.over(a.host) }
	case "slow":
		feed.delay.Store(int64(a.n) * int64(100*time.Millisecond))
		return func() { feed.delay.Store(0); d.over(a.host) }
	case "down":
		d.store.down.Store(true)
		return func() { d.store.down.Store(false); d.over(modelHosts...) }
	case "deaf peer":
		d.links.silent[a.host].Store(true)
		return func() { d.links.silent[a.host].Store(false) }
	case "slow peers":
		d.links.delay.Store(int64(a.n) * int64(40*time.Millisecond))
		return func() { d.links.delay.Store(0) }
	}
	return func() {}
}

// over notes that hosts reach the store again.
func (d *modelDomain) over(hosts ...string) {
	for _, host := range hosts {
		d.troubled[host] = bubbleNow()
	}
}

// recovery is how long a host may need after its own troubles: until it looks for
// a proof, finds that changes are missing and reads them.
const recovery = 5 * time.Second

// observe compares each host with the oracle: a picture that is proved current at
// an instant holds every write that was acknowledged before it, and a host whose
// own way to the store is sound knows each write in time, whatever the others do.
func (d *modelDomain) observe(during action) {
	for name, r := range d.links.replicas {
		proof := r.Proof()
		want := d.store.before(proof)
		got := kvstore.Revision(d.handlers[name].newest.Load())
		if got < want && d.broken == "" {
			d.broken = fmt.Sprintf("host %s is proved current %v ago without revision %d, it knows %d", name, bubbleNow().Sub(proof), want, got)
		}
		own := during.host == name && during.kind != "write" && during.kind != "rest" && during.kind != "deaf peer" && during.kind != "slow peers"
		if own || during.kind == "down" || bubbleNow().Sub(d.troubled[name]) < recovery {
			continue
		}
		if want := d.store.before(bubbleNow().Add(-modelDelay)); got < want && d.broken == "" {
			d.broken = fmt.Sprintf("host %s knows revision %d, not %d, later than %v after its write", name, got, want, modelDelay)
		}
	}
}

// pass lets time pass, writing now and then, under observation.
func (d *modelDomain) pass(span time.Duration, during action) {
	for n := range int(span / modelStep) {
		if n%7 == 3 && !d.quiet {
			d.store.write()
		}
		time.Sleep(modelStep)
		d.observe(during)
	}
}

// settle checks that a write is known in time once all troubles are over.
func (d *modelDomain) settle() {
	d.pass(6*time.Second, action{})
	d.store.write()
	time.Sleep(modelDelay)
	for name := range d.links.replicas {
		if got, want := kvstore.Revision(d.handlers[name].newest.Load()), d.store.at; got < want && d.broken == "" {
			d.broken = fmt.Sprintf("host %s knows revision %d, not %d, %v after its write", name, got, want, modelDelay)
		}
		if age := bubbleNow().Sub(d.links.replicas[name].Proof()); age > modelProof+time.Second && d.broken == "" {
			d.broken = fmt.Sprintf("host %s was proved current %v ago", name, age)
		}
	}
}

// play runs one history and returns the first finding.
func play(t *testing.T, actions []action) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		d := newModelDomain(ctx, &wait)
		d.over(modelHosts...)
		d.pass(time.Second, action{})
		for _, a := range actions {
			end := d.begin(a)
			d.pass(a.last, a)
			end()
		}
		d.settle()
		broken = d.broken
		cancel()
		wait.Wait()
	})
	return broken
}

func TestFreshnessModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawHistory(rt)
		require.Empty(rt, play(t, actions))
	})
}
