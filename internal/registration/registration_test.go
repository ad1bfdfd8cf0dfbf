package registration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
)

// book is a store that keeps entries under leases and fails as a test says.
type book struct {
	mu       sync.Mutex
	last     kvstore.LeaseID
	live     map[kvstore.LeaseID]bool
	keys     map[string]kvstore.LeaseID
	failPut  int      // puts that fail although they take effect later
	late     []func() // their effects
	failCall error
}

func newBook() *book {
	return &book{live: map[kvstore.LeaseID]bool{}, keys: map[string]kvstore.LeaseID{}}
}

func (b *book) Grant(context.Context, time.Duration) (kvstore.LeaseID, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failCall != nil {
		return 0, b.failCall
	}
	b.last++
	b.live[b.last] = true
	return b.last, nil
}

func (b *book) Renew(_ context.Context, id kvstore.LeaseID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failCall != nil {
		return b.failCall
	}
	if !b.live[id] {
		return &kvstore.Error{Kind: kvstore.KindLeaseExpired}
	}
	return nil
}

func (b *book) Revoke(_ context.Context, id kvstore.LeaseID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(id)
	return nil
}

func (b *book) end(id kvstore.LeaseID) {
	delete(b.live, id)
	for key, lease := range b.keys {
		if lease == id {
			delete(b.keys, key)
		}
	}
}

func (b *book) Put(_ context.Context, key string, _ []byte, lease kvstore.LeaseID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failPut > 0 {
		b.failPut--
		b.late = append(b.late, func() { b.keys[key] = lease })
		return &kvstore.Error{Kind: kvstore.KindUnknownOutcome}
	}
	b.keys[key] = lease
	return nil
}

// applyLate lets the writes take effect whose answers were lost.
func (b *book) applyLate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, effect := range b.late {
		effect()
	}
}

func (b *book) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.keys)
}

func run(t *testing.T, b *book) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		Run(ctx, Options{Store: b, Host: catalog.Host{Name: "h"}, Logger: log.NewNopLogger(), TTL: time.Second, Interval: 10 * time.Millisecond})
		close(done)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func one(b *book) func() bool { return func() bool { return b.count() == 1 } }

func TestEntryComesAndGoes(t *testing.T) {
	b := newBook()
	stop := run(t, b)
	require.Eventually(t, one(b), time.Second, time.Millisecond)
	stop()
	require.Zero(t, b.count())
}

func TestLapsedLeaseIsMadeAnew(t *testing.T) {
	b := newBook()
	run(t, b)
	require.Eventually(t, one(b), time.Second, time.Millisecond)
	b.mu.Lock()
	b.end(b.last)
	b.mu.Unlock()
	require.Eventually(t, one(b), time.Second, time.Millisecond)
}

// A write under an old lease that takes effect late neither replaces the newer
// entry nor takes it along.
func TestLateWriteDoesNotHideTheHost(t *testing.T) {
	b := newBook()
	b.failPut = 1
	run(t, b)
	require.Eventually(t, one(b), time.Second, time.Millisecond)
	b.applyLate()
	require.Equal(t, 2, b.count())
	b.mu.Lock()
	b.end(1)
	left := len(b.keys)
	live := true
	for _, lease := range b.keys {
		live = live && b.live[lease]
	}
	b.mu.Unlock()
	require.Equal(t, 1, left)
	require.True(t, live)
}

func TestFailedCallsAreRepeated(t *testing.T) {
	b := newBook()
	b.failCall = fmt.Errorf("store: %w", &kvstore.Error{Kind: kvstore.KindUnavailable})
	run(t, b)
	time.Sleep(50 * time.Millisecond)
	b.mu.Lock()
	b.failCall = nil
	b.mu.Unlock()
	require.Eventually(t, one(b), time.Second, time.Millisecond)
}
