package replica

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/knownfailure"
	"peridotrail/internal/kvstore"
)

// fakeStore is a fake store that keeps its history and counts the calls of one host.
type fakeStore struct {
	history  *history
	calls    *atomic.Int64
	mu       *sync.Mutex
	at       *kvstore.Revision
	wake     *chan struct{}
	down     *atomic.Bool
	failNext atomic.Int32 // number of next calls of this host that fail
}

func newFakeStore() *fakeStore {
	at := kvstore.Revision{Number: 1}
	wake := make(chan struct{})
	return &fakeStore{history: &history{}, calls: &atomic.Int64{}, mu: &sync.Mutex{}, at: &at, wake: &wake, down: &atomic.Bool{}}
}

// forHost returns the same store with a separate call count.
func (c *fakeStore) forHost() *fakeStore {
	return &fakeStore{history: c.history, calls: &atomic.Int64{}, mu: c.mu, at: c.at, wake: c.wake, down: c.down}
}

func (c *fakeStore) write(key string) kvstore.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	(*c.at).Number++
	c.history.add([]kvstore.Entry{{Key: key, Revision: *c.at}}, *c.at)
	close(*c.wake)
	*c.wake = make(chan struct{})
	return *c.at
}

func (c *fakeStore) call() error {
	c.calls.Add(1)
	if c.down.Load() {
		return errUnavailable()
	}
	if c.failNext.Load() > 0 {
		c.failNext.Add(-1)
		return errUnavailable()
	}
	return nil
}

func (c *fakeStore) Snapshot(context.Context, string) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return nil, kvstore.Revision{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, _ := c.history.since(kvstore.Revision{})
	return entries, *c.at, nil
}

func (c *fakeStore) Watch(ctx context.Context, _ string, after kvstore.Revision, wait time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return nil, kvstore.Revision{}, err
	}
	ended := time.After(wait)
	for {
		c.mu.Lock()
		entries, _ := c.history.since(after)
		at, wake := *c.at, *c.wake
		c.mu.Unlock()
		if len(entries) > 0 {
			return entries, at, nil
		}
		select {
		case <-wake:
		case <-ended:
			return nil, at, nil // as the store does
		case <-ctx.Done():
			return nil, kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Err: ctx.Err()}
		}
	}
}

func (c *fakeStore) Eras() *kvstore.EraTracker { return kvstore.NewEraTracker() }

func (c *fakeStore) Current(context.Context) (kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return kvstore.Revision{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.at, nil
}

// localSource is a Source that calls replicas in the same process.
type localSource struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	frozen   map[string]bool
}

func (d *localSource) Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error) {
	d.mu.Lock()
	r, frozen := d.replicas[peer.Name], d.frozen[peer.Name]
	d.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Err: ctx.Err()}
	}
	return r.Changes(ctx, after, wait)
}

func (d *localSource) freeze(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen[name] = true
}

// testDomain is a failure domain with a few replicas that share a store.
type testDomain struct {
	t        *testing.T
	store    *fakeStore
	source   *localSource
	replicas map[string]*Replica
	feeds    map[string]*fakeStore
	handlers map[string]*eventRecorder
}

const testDelay = 400 * time.Millisecond

func startDomain(t *testing.T, names ...string) *testDomain {
	t.Helper()
	return startDomainWith(t, testDelay, names...)
}

func startDomainWith(t *testing.T, delay time.Duration, names ...string) *testDomain {
	t.Helper()
	d := &testDomain{
		t: t, store: newFakeStore(), source: &localSource{replicas: map[string]*Replica{}, frozen: map[string]bool{}},
		replicas: map[string]*Replica{}, feeds: map[string]*fakeStore{}, handlers: map[string]*eventRecorder{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	for _, name := range names {
		d.feeds[name], d.handlers[name] = d.store.forHost(), &eventRecorder{}
		d.replicas[name] = New(Options{
			Feed: d.feeds[name], Handler: d.handlers[name], Logger: log.NewNopLogger(),
			ProofInterval: 2 * delay, BatchPause: delay / 5, Source: d.source, MaxDelay: delay,
		})
		d.source.replicas[name] = d.replicas[name]
	}
	for _, r := range d.replicas {
		wait.Go(func() { r.Run(ctx) })
		require.Eventually(t, func() bool { return r.Proof() != 0 }, testDelay, time.Millisecond)
	}
	for _, name := range names {
		var peers []Peer
		for _, other := range names {
			if other != name {
				peers = append(peers, Peer{Name: other})
			}
		}
		d.replicas[name].SetPeers(name, peers, nil)
	}
	d.store.write("hosts") // ends the watches, as host entries written to the store would
	return d
}

func (d *testDomain) hasApplied(name string, at kvstore.Revision) bool {
	return !d.replicas[name].Applied().Before(at)
}

// countCalls returns the number of calls that a host makes to the store within a time.
func (d *testDomain) countCalls(name string, during time.Duration) int64 {
	before := d.feeds[name].calls.Load()
	time.Sleep(during)
	return d.feeds[name].calls.Load() - before
}

// A host that follows another one makes no calls to the store, applies each change in
// time and has recent enough proofs.
func TestOneHostFollowsTheStoreForItsDomain(t *testing.T) {
	knownfailure.SkipIfListed(t)
	d := startDomain(t, "a", "b", "c")
	time.Sleep(testDelay)
	require.Zero(t, d.countCalls("b", 3*testDelay))
	require.Zero(t, d.countCalls("c", 3*testDelay))
	require.Positive(t, d.countCalls("a", 2*testDelay))
	for range 5 {
		at := d.store.write("k")
		for name := range d.replicas {
			require.Eventually(t, func() bool { return d.hasApplied(name, at) }, testDelay, time.Millisecond, name)
		}
	}
	for range 50 {
		age := boottime.Now().Sub(d.replicas["c"].Proof())
		require.Less(t, age, testDelay)
		time.Sleep(testDelay / 40)
	}
}

// Proofs stay recent enough for followers while entries change continuously.
func TestProofsStayRecentWhileEntriesChange(t *testing.T) {
	knownfailure.SkipIfListed(t)
	d := startDomain(t, "a", "b")
	time.Sleep(testDelay)
	for range 100 {
		d.store.write("k")
		time.Sleep(testDelay / 50)
	}
	require.Zero(t, d.countCalls("b", testDelay))
}

// When the followed host stops responding, the others still apply the next change
// within the delay, without being notified of the stop.
func TestUnresponsiveFollowedHostDelaysNoChange(t *testing.T) {
	d := startDomain(t, "a", "b", "c")
	time.Sleep(2 * testDelay)
	d.source.freeze("a")
	at := d.store.write("k")
	for _, name := range []string{"b", "c"} {
		require.Eventually(t, func() bool { return d.hasApplied(name, at) }, testDelay, time.Millisecond, name)
	}
}

// When only the followed host loses the store, its followers must not treat its view
// as current.
func TestHostCutOffFromTheStoreIsNotFollowed(t *testing.T) {
	d := startDomain(t, "a", "b")
	time.Sleep(2 * testDelay)
	d.feeds["a"].failNext.Store(1 << 20)
	d.replicas["a"].restartWatch()
	at := d.store.write("k")
	require.Eventually(t, func() bool { return d.hasApplied("b", at) }, testDelay, time.Millisecond)
	limit := 2*testDelay + testDelay/4 // ProofInterval and one call, since b has no followers
	require.Never(t, func() bool { return boottime.Now().Sub(d.replicas["b"].Proof()) > limit }, 4*testDelay, time.Millisecond)
}

// While the store is unreachable, proofs get no newer at the followers either, and all
// hosts report the outage.
func TestAnOutageReachesTheFollowers(t *testing.T) {
	d := startDomain(t, "a", "b")
	time.Sleep(2 * testDelay)
	d.store.down.Store(true)
	d.store.write("k") // ends the watches
	down := boottime.Now()
	time.Sleep(2 * testDelay)
	require.Less(t, d.replicas["b"].Proof(), down)
	require.Contains(t, d.handlers["b"].all(), "lost")
	d.store.down.Store(false)
	require.Eventually(t, func() bool { return d.replicas["b"].Proof() > down }, 2*time.Second, time.Millisecond)
	require.Contains(t, d.handlers["b"].all(), "regained")
}

// An outage that only the followed host has seen is reported to the followers before
// the changes after it, because entries may have expired during the outage.
func TestOutageSeenOnlyByTheFollowedHostIsReported(t *testing.T) {
	const delay = 2 * time.Second // much longer than the pauses after a failed call
	d := startDomainWith(t, delay, "a", "b")
	time.Sleep(delay / 2)
	require.NotContains(t, d.handlers["b"].all(), "regained")
	d.feeds["a"].failNext.Store(1)
	d.store.write("first") // ends the watch; the next call fails
	require.Eventually(t, func() bool { return d.feeds["a"].failNext.Load() == 0 }, delay, time.Millisecond)
	require.Eventually(t, func() bool { return d.replicas["a"].endedOutages.Load() == 1 }, delay, time.Millisecond)
	d.store.write("second")
	require.Eventually(t, func() bool {
		events := d.handlers["b"].all()
		for i, e := range events {
			if e == "regained" && i+1 < len(events) && events[i+1] == "apply" {
				return true
			}
		}
		return false
	}, 2*delay, time.Millisecond)
}

// Two hosts that follow each other get no new proofs from each other and must fall
// back to the store.
func TestFollowCycleFallsBackToTheStore(t *testing.T) {
	d := startDomain(t, "a", "b")
	d.replicas["a"].SetPeers("z", []Peer{{Name: "b"}}, nil)
	time.Sleep(2 * testDelay)
	at := d.store.write("k")
	for name := range d.replicas {
		require.Eventually(t, func() bool { return d.hasApplied(name, at) }, testDelay, time.Millisecond, name)
	}
}

func TestHostToFollow(t *testing.T) {
	const now = boottime.Instant(time.Hour)
	peers := []Peer{{Name: "c"}, {Name: "a"}}
	tests := []struct {
		name         string
		self         string
		avoided      map[string]time.Duration // time since the host was found unusable
		storeDoubted bool
		followed     string
		substitute   string
		want         string // empty: the store
	}{
		{name: "first by name", self: "b", want: "a"},
		{name: "this host is the first", self: "0", want: ""},
		{name: "the first is avoided", self: "d", avoided: map[string]time.Duration{"a": avoidDuration / 2}, want: "c"},
		{name: "the first is avoided and this host is next", self: "b", avoided: map[string]time.Duration{"a": avoidDuration / 2}, want: ""},
		{name: "the first may be followed again", self: "b", avoided: map[string]time.Duration{"a": avoidDuration}, want: "a"},
		{name: "all are avoided", self: "d", avoided: map[string]time.Duration{"a": 0, "c": 0}, want: ""},
		{name: "the first is followed and the store doubted", self: "b", storeDoubted: true, followed: "a", want: "a"},
		{name: "the store is followed and doubted", self: "b", storeDoubted: true, want: ""},
		{name: "the followed host is avoided and the store doubted", self: "d", avoided: map[string]time.Duration{"a": 0}, storeDoubted: true, followed: "a", want: ""},
		{name: "a substitute is followed", self: "b", storeDoubted: true, followed: "e", substitute: "e", want: "e"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r peerSelector
			r.setPeers(test.self, peers, nil)
			for name, since := range test.avoided {
				r.avoid(name, now.Add(-since), true)
			}
			r.substitute = Peer{Name: test.substitute}
			peer, ok := r.hostToFollow(now, test.storeDoubted, test.followed)
			require.Equal(t, test.want != "", ok)
			require.Equal(t, test.want, peer.Name)
		})
	}
}

func TestCandidatesWhileHostsAreSkipped(t *testing.T) {
	const now = boottime.Instant(time.Hour)
	tests := []struct {
		name     string
		since    time.Duration
		responds bool
		others   int // that are not being skipped
		asked    bool
	}{
		{"it responded", minAvoidDuration, true, 1, true},
		{"it responded just now", minAvoidDuration / 2, true, 1, false},
		{"it did not respond", minAvoidDuration, false, 1, false},
		{"there are enough others", minAvoidDuration, true, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r peerSelector
			skipped := Peer{Name: "skipped"}
			r.setPeers("self", append([]Peer{skipped}, []Peer{{Name: "a"}, {Name: "b"}}[:test.others]...), nil)
			r.avoid(skipped.Name, now.Add(-test.since), test.responds)
			candidates := r.candidates(2, now)
			require.Equal(t, test.asked, slices.Contains(candidates, skipped))
			require.NotEmpty(t, candidates)
		})
	}
}

func TestHistory(t *testing.T) {
	var h history
	h.load(nil, kvstore.Revision{Number: 10}, kvstore.Revision{})
	h.add([]kvstore.Entry{{Key: "a"}, {Key: "b"}}, kvstore.Revision{Number: 12})
	h.add([]kvstore.Entry{{Key: "c"}}, kvstore.Revision{Number: 13})
	tests := []struct {
		after kvstore.Revision
		want  []string
		ok    bool
	}{
		{kvstore.Revision{Number: 9}, nil, false},
		{kvstore.Revision{Number: 10}, []string{"a", "b", "c"}, true},
		{kvstore.Revision{Number: 11}, []string{"a", "b", "c"}, true}, // within a batch: the whole batch is returned
		{kvstore.Revision{Number: 12}, []string{"c"}, true},
		{kvstore.Revision{Number: 13}, nil, true},
		{kvstore.Revision{Number: 20}, nil, true},
	}
	for _, test := range tests {
		entries, ok := h.since(test.after)
		require.Equal(t, test.ok, ok, test.after)
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		require.Equal(t, test.want, keys, test.after)
	}
}

// When the history of the store ended, a host that had read all entries again had no changes for
// hosts that followed it, and those that the store rejected could not read them.
func TestHistoryContinuesOverASnapshot(t *testing.T) {
	revision := func(n uint64) kvstore.Revision { return kvstore.Revision{Era: 2, Number: n} }
	entry := func(key string, n uint64) kvstore.Entry { return kvstore.Entry{Key: key, Revision: revision(n)} }
	var h history
	h.load([]kvstore.Entry{entry("kept", 3), entry("gone", 4)}, revision(5), kvstore.Revision{})
	h.add([]kvstore.Entry{entry("changed", 6)}, revision(6))
	h.load([]kvstore.Entry{entry("kept", 3), entry("changed", 8), entry("new", 9)}, revision(9), revision(6))
	changes, ok := h.since(revision(6))
	require.True(t, ok)
	require.ElementsMatch(t, []kvstore.Entry{entry("changed", 8), entry("new", 9), {Key: "gone"}}, changes)
	h.load(nil, revision(7), revision(9))
	_, ok = h.since(revision(6))
	require.False(t, ok, "the store is at an older revision")
	h.load(nil, kvstore.Revision{Era: 3, Number: 8}, revision(7))
	_, ok = h.since(revision(7))
	require.False(t, ok, "revisions of two eras can't be compared")
}

func TestHistoryIsBounded(t *testing.T) {
	var h history
	h.load(nil, kvstore.Revision{Number: 1}, kvstore.Revision{})
	for n := uint64(2); n < 2+2*maxHistoryEntries; n++ {
		at := kvstore.Revision{Number: n}
		h.add([]kvstore.Entry{{Key: "k", Revision: at}}, at)
	}
	require.LessOrEqual(t, h.entryCount, maxHistoryEntries)
	_, ok := h.since(kvstore.Revision{Number: 1})
	require.False(t, ok)
	entries, ok := h.since(kvstore.Revision{Number: maxHistoryEntries + 2})
	require.True(t, ok)
	require.Equal(t, kvstore.Revision{Number: maxHistoryEntries + 3}, entries[0].Revision)
}

// erasFeed is a store without changes, whose era the test sets.
type erasFeed struct {
	fakeFeed
	eras *kvstore.EraTracker
}

func newErasFeed(at kvstore.Revision) *erasFeed {
	f := &erasFeed{fakeFeed: fakeFeed{revision: at, watch: blockUntilDone}, eras: kvstore.NewEraTracker()}
	return f
}

func (f *erasFeed) Eras() *kvstore.EraTracker { return f.eras }

func (f *erasFeed) Snapshot(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	entries, at, err := f.fakeFeed.Snapshot(ctx, prefix)
	f.eras.Observe(at.Era, f.eras.Begin())
	return entries, at, err
}

func (f *erasFeed) Current(ctx context.Context) (kvstore.Revision, error) {
	at, err := f.fakeFeed.Current(ctx)
	f.eras.Observe(at.Era, f.eras.Begin())
	return at, err
}

// snapshots returns how often all entries were read.
func (f *erasFeed) snapshots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resets
}

// fixedSource answers every request for changes the same way.
type fixedSource struct {
	mu      sync.Mutex
	changes Changes
	asked   int
}

func (s *fixedSource) Changes(context.Context, Peer, kvstore.Revision, time.Duration) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.changes, nil
}

func startFollower(t *testing.T, feed *erasFeed, source *fixedSource) *Replica {
	r := New(Options{Feed: feed, Handler: &eventRecorder{}, Logger: log.NewNopLogger(), ProofInterval: 2 * testDelay, BatchPause: testDelay / 5, Source: source, MaxDelay: testDelay})
	r.SetPeers("b", []Peer{{Name: "a"}}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool { return r.Proof() != 0 }, testDelay, time.Millisecond)
	return r
}

// A follower took the proof of a host for its own, although they were of different eras.
func TestFollowerAcceptsNoProofOfAnotherEra(t *testing.T) {
	const era = kvstore.Era(5)
	cases := []struct {
		name     string
		followed kvstore.Era
	}{{"an earlier build names no era", 0}, {"it has not learned of the era", era - 1}, {"its era is not that of the store", era + 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			feed := newErasFeed(kvstore.Revision{Era: era, Number: 7})
			source := &fixedSource{changes: Changes{At: kvstore.Revision{Era: c.followed, Number: 90}}}
			r := startFollower(t, feed, source)
			feed.set(func() { feed.current = errUnavailable }) // only the followed host could give proofs
			lost := boottime.Now()
			time.Sleep(2 * testDelay)
			require.Less(t, r.Proof(), lost.Add(testDelay/4))
			require.Equal(t, kvstore.Revision{Era: era, Number: 7}, r.Applied())
			require.Equal(t, 1, feed.snapshots(), "a host's word causes no read of all entries")
		})
	}
}

// A host learns of a new era by the host that it follows, and reads all entries once.
func TestNewEraOfTheFollowedHostCausesOneSnapshot(t *testing.T) {
	feed := newErasFeed(kvstore.Revision{Era: 5, Number: 7})
	source := &fixedSource{changes: Changes{At: kvstore.Revision{Era: 5, Number: 7}}}
	r := startFollower(t, feed, source)
	feed.set(func() { feed.revision = kvstore.Revision{Era: 6, Number: 3} })
	source.mu.Lock()
	source.changes.At = kvstore.Revision{Era: 6, Number: 3}
	source.mu.Unlock()
	require.Eventually(t, func() bool { return r.Applied() == kvstore.Revision{Era: 6, Number: 3} }, testDelay, time.Millisecond)
	time.Sleep(2 * testDelay)
	require.Equal(t, 2, feed.snapshots(), "at the start and in the new era")
}

// A host that has not learned of an era checks it when a follower names it.
func TestFollowerTellsTheFollowedHostOfANewEra(t *testing.T) {
	feed := newErasFeed(kvstore.Revision{Era: 5, Number: 7})
	r := startFollower(t, feed, &fixedSource{changes: Changes{At: kvstore.Revision{Era: 5, Number: 7}}})
	feed.set(func() { feed.revision = kvstore.Revision{Era: 6, Number: 3} })
	_, err := r.Changes(t.Context(), kvstore.Revision{Era: 6, Number: 2}, 0)
	require.True(t, kvstore.IsKind(err, kvstore.KindUnavailable), "%v", err)
	require.Eventually(t, func() bool { return r.Applied().Era == 6 }, testDelay, time.Millisecond)
	_, err = r.Changes(t.Context(), kvstore.Revision{Number: 2}, 0)
	require.True(t, kvstore.IsKind(err, kvstore.KindCompacted), "a host of an earlier build: %v", err)
}
