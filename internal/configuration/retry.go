package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotrail/internal/kvstore"
)

// Pauses between attempts at the store.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 5 * time.Second
)

// raceError reports that a key changed between two attempts.
type raceError struct{}

// Error implements error.
func (*raceError) Error() string { return "the key changed during the attempt" }

var errRace = &raceError{}

// retry calls attempt until it succeeds, fails for good or ctx ends. Attempts
// must be idempotent.
func retry(ctx context.Context, attempt func() error) error {
	pause := firstPause
	for {
		err := attempt()
		if err == nil || !isTransient(err) {
			return err
		}
		if !sleep(ctx, jitter(pause)) {
			return err
		}
		pause = min(2*pause, maxPause)
	}
}

func isTransient(err error) bool {
	return err == errRace ||
		kvstore.IsKind(err, kvstore.KindUnavailable) ||
		kvstore.IsKind(err, kvstore.KindUnknownOutcome)
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// sleep reports false if ctx ended first.
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
