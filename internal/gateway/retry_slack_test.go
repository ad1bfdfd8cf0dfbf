package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

// Hosts that restart, or that know no other host yet, must not use the slack of the
// retry budget again.
func TestRetrySlackHoldsThroughRestarts(t *testing.T) {
	const service = "s"
	f := newColdFleet(coldShapes[0], 1)
	var retries []boottime.Instant
	retryAll := func(d time.Duration) {
		for end := f.now.Add(d); f.now < end; {
			f.step(0)
			for _, h := range f.hosts {
				for h.state != nil && h.state.limits.takeRetry(service, f.now) {
					retries = append(retries, f.now)
				}
			}
		}
	}
	retryAll(modelRetryWindow + 5*time.Second)
	require.NotEmpty(t, retries)
	for _, h := range f.hosts {
		f.stopHost(h, time.Second)
	}
	retryAll(5 * time.Second)
	for _, h := range f.hosts {
		f.stopHost(h, 5*time.Second) // longer than their leases, so they know no other host
	}
	retryAll(modelRetryWindow + 10*time.Second)
	first := 0
	for last := range retries {
		for retries[last].Sub(retries[first]) >= modelRetryWindow {
			first++
		}
		require.LessOrEqual(t, last-first+1, modelRetrySlack, "before %v", retries[last].Sub(f.start))
	}
}
