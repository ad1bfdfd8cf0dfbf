package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// feed is a store whose watches a test holds in its hands.
type feed struct {
	mu       sync.Mutex
	revision kvstore.Revision
	entries  []kvstore.Entry
	watch    func(ctx context.Context, after kvstore.Revision) ([]kvstore.Entry, kvstore.Revision, error)
	current  func() error
	resets   int
}

func (f *feed) Snapshot(context.Context, string) ([]kvstore.Entry, kvstore.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		if err := f.current(); err != nil {
			return nil, 0, err
		}
	}
	f.resets++
	return f.entries, f.revision, nil
}

func (f *feed) Watch(ctx context.Context, _ string, after kvstore.Revision, _ time.Duration) ([]kvstore.Entry, kvstore.Revision, error) {
	f.mu.Lock()
	watch := f.watch
	f.mu.Unlock()
	return watch(ctx, after)
}

func (f *feed) Current(context.Context) (kvstore.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		if err := f.current(); err != nil {
			return 0, err
		}
	}
	return f.revision, nil
}

func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// silent never answers.
func silent(ctx context.Context, _ kvstore.Revision) ([]kvstore.Entry, kvstore.Revision, error) {
	<-ctx.Done()
	return nil, 0, &kvstore.Error{Kind: kvstore.KindUnavailable, Err: ctx.Err()}
}

// recorder keeps the order of what a handler is told.
type recorder struct {
	mu     sync.Mutex
	events []string
}

func (r *recorder) note(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) Reset(_ []kvstore.Entry, recovered bool) {
	if recovered {
		r.note("reset after outage")
		return
	}
	r.note("reset")
}
func (r *recorder) Apply([]kvstore.Entry) { r.note("apply") }
func (r *recorder) StoreLost(error)       { r.note("lost") }
func (r *recorder) StoreRegained()        { r.note("regained") }

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

func run(t *testing.T, f *feed) (*Replica, *recorder) {
	t.Helper()
	handler := &recorder{}
	r := New(Options{Feed: f, Handler: handler, Logger: log.NewNopLogger(), ProofInterval: 50 * time.Millisecond, Batch: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r, handler
}

func unavailable() error { return &kvstore.Error{Kind: kvstore.KindUnavailable} }

func TestProofGrowsWhileNothingChanges(t *testing.T) {
	f := &feed{revision: 7, watch: silent}
	r, _ := run(t, f)
	require.Eventually(t, func() bool { return r.Proof() != 0 }, time.Second, time.Millisecond)
	first := r.Proof()
	require.Eventually(t, func() bool { return r.Proof() > first }, time.Second, time.Millisecond)
}

// A picture that lacks changes is not proved current, however often the store
// answers.
func TestNoProofWhileChangesAreMissing(t *testing.T) {
	f := &feed{revision: 7, watch: silent}
	r, _ := run(t, f)
	require.Eventually(t, func() bool { return r.Proof() != 0 }, time.Second, time.Millisecond)
	f.set(func() { f.revision = 8 })
	changed := boottime.Now()
	time.Sleep(1200 * time.Millisecond)
	require.Less(t, r.Proof(), changed.Add(100*time.Millisecond))
	f.set(func() {
		f.watch = func(context.Context, kvstore.Revision) ([]kvstore.Entry, kvstore.Revision, error) {
			return []kvstore.Entry{{Key: "k", Revision: 8}}, 8, nil
		}
	})
	require.Eventually(t, func() bool { return r.Proof() > changed.Add(time.Second) }, 3*time.Second, 5*time.Millisecond)
}

// A proof counts from the sending of its call, not from the answer.
func TestProofCountsFromTheSending(t *testing.T) {
	slow := 80 * time.Millisecond
	f := &feed{revision: 7, watch: silent, current: func() error { time.Sleep(slow); return nil }}
	r, _ := run(t, f)
	for range 120 { // longer than the time between two proofs
		require.Eventually(t, func() bool { return r.Proof() != 0 }, time.Second, time.Millisecond)
		require.GreaterOrEqual(t, boottime.Now().Sub(r.Proof()), slow)
		time.Sleep(5 * time.Millisecond)
	}
}

func TestLostHistoryIsLoadedAgain(t *testing.T) {
	f := &feed{revision: 7}
	f.watch = func(context.Context, kvstore.Revision) ([]kvstore.Entry, kvstore.Revision, error) {
		return nil, 0, &kvstore.Error{Kind: kvstore.KindCompacted}
	}
	_, handler := run(t, f)
	require.Eventually(t, func() bool { return len(handler.all()) >= 2 }, time.Second, time.Millisecond)
	require.Equal(t, []string{"reset", "reset"}, handler.all()[:2], "lost history is no outage")
}

// Changes that are seen after an outage may be entries that lapsed during it, so
// the handler hears of the outage first.
func TestOutageIsToldBeforeItsChanges(t *testing.T) {
	f := &feed{revision: 7}
	calls := 0
	f.watch = func(ctx context.Context, after kvstore.Revision) ([]kvstore.Entry, kvstore.Revision, error) {
		calls++
		switch calls {
		case 1:
			f.set(func() { f.current = unavailable }) // only the watch tells of the end of the outage
			return nil, 0, unavailable()
		case 2:
			return []kvstore.Entry{{Key: "k"}}, 8, nil
		default:
			return silent(ctx, after)
		}
	}
	_, handler := run(t, f)
	require.Eventually(t, func() bool { return len(handler.all()) >= 4 }, time.Second, time.Millisecond)
	require.Equal(t, []string{"reset", "lost", "regained", "apply"}, handler.all()[:4])
}

func TestHostIsCurrentSoonAfterAnOutage(t *testing.T) {
	f := &feed{revision: 7, watch: silent}
	r, _ := run(t, f)
	require.Eventually(t, func() bool { return r.Proof() != 0 }, time.Second, time.Millisecond)
	f.set(func() { f.current = unavailable })
	time.Sleep(600 * time.Millisecond)
	f.set(func() { f.current = nil })
	back := boottime.Now()
	require.Eventually(t, func() bool { return r.Proof() > back }, 600*time.Millisecond, 5*time.Millisecond)
}

// A watch that is ended here because its connection is taken for dead is no outage
// of the store: entries that vanish afterwards have not lapsed.
func TestARestartedWatchIsNoOutage(t *testing.T) {
	f := &feed{revision: 7, watch: silent}
	r, handler := run(t, f)
	require.Eventually(t, func() bool { return r.Proof() != 0 }, time.Second, time.Millisecond)
	for range 3 {
		time.Sleep(5 * time.Millisecond)
		r.restartWatch()
	}
	time.Sleep(20 * time.Millisecond)
	require.NotContains(t, handler.all(), "lost")
}
