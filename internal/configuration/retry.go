package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotrail/internal/kvstore"
)

// Backoff between attempts to call the store, before jitter.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// concurrentWriteError reports that another writer changed a key between reading
// its revision and writing it.
type concurrentWriteError struct{}

// Error implements error.
func (*concurrentWriteError) Error() string { return "the key changed during the attempt" }

var errConcurrentWrite = &concurrentWriteError{}

// retry calls attempt with exponential backoff until it succeeds, fails with a
// permanent error or ctx ends. Attempts must be idempotent.
func retry(ctx context.Context, attempt func() error) error {
	backoff := initialBackoff
	for {
		err := attempt()
		if err == nil || !isTransient(err) {
			return err
		}
		if !sleep(ctx, jitter(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func isTransient(err error) bool {
	return err == errConcurrentWrite ||
		kvstore.IsKind(err, kvstore.KindUnavailable) ||
		kvstore.IsKind(err, kvstore.KindUnknownOutcome)
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
