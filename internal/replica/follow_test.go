package replica

import (
	"context"
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

// counted is a store that keeps its history and counts the calls of one host.
type counted struct {
	store *history
	calls *atomic.Int64
	mu    *sync.Mutex
	at    *kvstore.Revision
	wake  *chan struct{}
	down  *atomic.Bool
	own   atomic.Int32 // calls of this host alone that fail next
}

func newCounted() *counted {
	at := kvstore.Revision(1)
	wake := make(chan struct{})
	return &counted{store: &history{}, calls: &atomic.Int64{}, mu: &sync.Mutex{}, at: &at, wake: &wake, down: &atomic.Bool{}}
}

// forHost returns the same store with a count of its own.
func (c *counted) forHost() *counted {
	return &counted{store: c.store, calls: &atomic.Int64{}, mu: c.mu, at: c.at, wake: c.wake, down: c.down}
}

func (c *counted) write(key string) kvstore.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.at++
	c.store.add([]kvstore.Entry{{Key: key, Revision: *c.at}}, *c.at)
	close(*c.wake)
	*c.wake = make(chan struct{})
	return *c.at
}

func (c *counted) call() error {
	c.calls.Add(1)
	if c.down.Load() {
		return unavailable()
	}
	if c.own.Load() > 0 {
		c.own.Add(-1)
		return unavailable()
	}
	return nil
}

func (c *counted) Snapshot(context.Context, string) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, _ := c.store.since(0)
	return entries, *c.at, nil
}

func (c *counted) Watch(ctx context.Context, _ string, after kvstore.Revision, wait time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		c.mu.Lock()
		entries, _ := c.store.since(after)
		at, wake := *c.at, *c.wake
		c.mu.Unlock()
		if len(entries) > 0 {
			return entries, at, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, 0, &kvstore.Error{Kind: kvstore.KindUnavailable, Err: ctx.Err()}
		}
	}
}

func (c *counted) Current(context.Context) (kvstore.Revision, error) {
	if err := c.call(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.at, nil
}

// direct lets replicas in one process ask each other.
type direct struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	frozen   map[string]bool
}

func (d *direct) Changes(ctx context.Context, peer Peer, after kvstore.Revision, wait time.Duration) (Changes, error) {
	d.mu.Lock()
	r, frozen := d.replicas[peer.Name], d.frozen[peer.Name]
	d.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return Changes{}, &kvstore.Error{Kind: kvstore.KindUnavailable, Err: ctx.Err()}
	}
	return r.Changes(ctx, after, wait)
}

func (d *direct) freeze(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen[name] = true
}

// domain is a failure domain with a few replicas.
type domain struct {
	t        *testing.T
	store    *counted
	links    *direct
	replicas map[string]*Replica
	feeds    map[string]*counted
	handlers map[string]*recorder
}

const testDelay = 400 * time.Millisecond

func startDomain(t *testing.T, names ...string) *domain {
	t.Helper()
	return startDomainWith(t, testDelay, names...)
}

func startDomainWith(t *testing.T, delay time.Duration, names ...string) *domain {
	t.Helper()
	d := &domain{
		t: t, store: newCounted(), links: &direct{replicas: map[string]*Replica{}, frozen: map[string]bool{}},
		replicas: map[string]*Replica{}, feeds: map[string]*counted{}, handlers: map[string]*recorder{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	for _, name := range names {
		d.feeds[name], d.handlers[name] = d.store.forHost(), &recorder{}
		d.replicas[name] = New(Options{
			Feed: d.feeds[name], Handler: d.handlers[name], Logger: log.NewNopLogger(),
			ProofInterval: 2 * delay, Batch: delay / 5, Source: d.links, Delay: delay,
		})
		d.links.replicas[name] = d.replicas[name]
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
		d.replicas[name].SetPeers(name, peers)
	}
	d.store.write("hosts") // ends the watches, as their entries would
	return d
}

func (d *domain) knows(name string, at kvstore.Revision) bool {
	return kvstore.Revision(d.replicas[name].applied.Load()) >= at
}

// calls returns the calls of a host during a time.
func (d *domain) calls(name string, during time.Duration) int64 {
	before := d.feeds[name].calls.Load()
	time.Sleep(during)
	return d.feeds[name].calls.Load() - before
}

// A host of a domain follows another one: it makes no call of its own, knows each
// change in time and has proofs as young as it needs.
func TestOneHostFollowsTheStoreForItsDomain(t *testing.T) {
	knownfailure.PassOver(t)
	d := startDomain(t, "a", "b", "c")
	time.Sleep(testDelay)
	require.Zero(t, d.calls("b", 3*testDelay))
	require.Zero(t, d.calls("c", 3*testDelay))
	require.Positive(t, d.calls("a", 2*testDelay))
	for range 5 {
		at := d.store.write("k")
		for name := range d.replicas {
			require.Eventually(t, func() bool { return d.knows(name, at) }, testDelay, time.Millisecond, name)
		}
	}
	for range 50 {
		age := boottime.Now().Sub(d.replicas["c"].Proof())
		require.Less(t, age, testDelay)
		time.Sleep(testDelay / 40)
	}
}

// While entries change all the time, proofs stay as young as followers need.
func TestProofsStayYoungWhileEntriesChange(t *testing.T) {
	knownfailure.PassOver(t)
	d := startDomain(t, "a", "b")
	time.Sleep(testDelay)
	for range 100 {
		d.store.write("k")
		time.Sleep(testDelay / 50)
	}
	require.Zero(t, d.calls("b", testDelay))
}

// The followed host stops: the others know the next change within the delay,
// although no one has told them of the stop.
func TestAFrozenLeaderDelaysNoChange(t *testing.T) {
	d := startDomain(t, "a", "b", "c")
	time.Sleep(2 * testDelay)
	d.links.freeze("a")
	at := d.store.write("k")
	for _, name := range []string{"b", "c"} {
		require.Eventually(t, func() bool { return d.knows(name, at) }, testDelay, time.Millisecond, name)
	}
}

// The followed host alone is refused by the store. Its followers must not take its
// picture for current.
func TestALeaderCutOffFromTheStoreIsNotFollowed(t *testing.T) {
	d := startDomain(t, "a", "b")
	time.Sleep(2 * testDelay)
	d.feeds["a"].own.Store(1 << 20)
	d.replicas["a"].restartWatch()
	at := d.store.write("k")
	require.Eventually(t, func() bool { return d.knows("b", at) }, testDelay, time.Millisecond)
	limit := 2*testDelay + testDelay/4 // ProofInterval and one call, since b is followed by no one
	require.Never(t, func() bool { return boottime.Now().Sub(d.replicas["b"].Proof()) > limit }, 4*testDelay, time.Millisecond)
}

// With the store away proofs age at the followers as at the followed host, and
// everyone hears of the outage.
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

// An outage that only the followed host has seen is told before the changes that
// follow it: entries may have lapsed in it.
func TestAnOutageThatOnlyTheLeaderSawIsTold(t *testing.T) {
	const delay = 2 * time.Second // long against the pauses after a failed call
	d := startDomainWith(t, delay, "a", "b")
	time.Sleep(delay / 2)
	require.NotContains(t, d.handlers["b"].all(), "regained")
	d.feeds["a"].own.Store(1)
	d.store.write("first") // ends the watch; the next call fails
	require.Eventually(t, func() bool { return d.feeds["a"].own.Load() == 0 }, delay, time.Millisecond)
	require.Eventually(t, func() bool { return d.replicas["a"].outages.Load() == 1 }, delay, time.Millisecond)
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

// Two hosts that take each other for the leader both see proofs age and go back to
// the store.
func TestACircleOfFollowersGoesBackToTheStore(t *testing.T) {
	d := startDomain(t, "a", "b")
	d.replicas["a"].SetPeers("z", []Peer{{Name: "b"}})
	time.Sleep(2 * testDelay)
	at := d.store.write("k")
	for name := range d.replicas {
		require.Eventually(t, func() bool { return d.knows(name, at) }, testDelay, time.Millisecond, name)
	}
}

func TestRosterLeader(t *testing.T) {
	const now = boottime.Instant(time.Hour)
	peers := []Peer{{Name: "c"}, {Name: "a"}}
	tests := []struct {
		name    string
		self    string
		avoided map[string]time.Duration // since when
		want    string                   // empty: the store
	}{
		{"first by name", "b", nil, "a"},
		{"this host is the first", "0", nil, ""},
		{"the first is avoided", "d", map[string]time.Duration{"a": avoidPause / 2}, "c"},
		{"the first is avoided and this host is next", "b", map[string]time.Duration{"a": avoidPause / 2}, ""},
		{"the first may be followed again", "b", map[string]time.Duration{"a": avoidPause}, "a"},
		{"all are avoided", "d", map[string]time.Duration{"a": 0, "c": 0}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r roster
			r.set(test.self, peers)
			for name, since := range test.avoided {
				r.avoid(name, now.Add(-since))
			}
			leader, ok := r.leader(now)
			require.Equal(t, test.want != "", ok)
			require.Equal(t, test.want, leader.Name)
		})
	}
}

func TestHistory(t *testing.T) {
	var h history
	h.restart(10)
	h.add([]kvstore.Entry{{Key: "a"}, {Key: "b"}}, 12)
	h.add([]kvstore.Entry{{Key: "c"}}, 13)
	tests := []struct {
		after kvstore.Revision
		want  []string
		ok    bool
	}{
		{9, nil, false},
		{10, []string{"a", "b", "c"}, true},
		{11, []string{"a", "b", "c"}, true}, // within a batch: all of it
		{12, []string{"c"}, true},
		{13, nil, true},
		{20, nil, true},
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

func TestHistoryIsBounded(t *testing.T) {
	var h history
	h.restart(1)
	for at := kvstore.Revision(2); at < 2+2*historyMost; at++ {
		h.add([]kvstore.Entry{{Key: "k", Revision: at}}, at)
	}
	require.LessOrEqual(t, h.held, historyMost)
	_, ok := h.since(1)
	require.False(t, ok)
	entries, ok := h.since(historyMost + 2)
	require.True(t, ok)
	require.Equal(t, kvstore.Revision(historyMost+3), entries[0].Revision)
}
