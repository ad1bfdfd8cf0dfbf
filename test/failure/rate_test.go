package failure

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/knownfailure"
)

// servedRequest is a request that was admitted at some time between sent and
// answered.
type servedRequest struct {
	sent     time.Time
	answered time.Time
}

// flood sends requests of one client account to all hosts, far above its rate,
// until stop is closed. It returns the requests that were served.
func (s *fixture) flood(accountKey string, stop <-chan struct{}) []servedRequest {
	var mu sync.Mutex
	var requests []servedRequest
	var senders sync.WaitGroup
	for _, i := range s.allHosts() {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(floodInterval):
				}
				sent := time.Now()
				if s.get(i, accountKey) == http.StatusOK {
					mu.Lock()
					requests = append(requests, servedRequest{sent: sent, answered: time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return requests
}

const floodInterval = 30 * time.Millisecond

// checkRate fails if more requests were certainly admitted within any time
// window than the rate and the burst allow.
func checkRate(t *testing.T, requests []servedRequest) {
	t.Helper()
	slices.SortFunc(requests, func(a, b servedRequest) int { return a.answered.Compare(b.answered) })
	for i, first := range requests {
		requestCount := 0
		for _, last := range requests {
			if last.sent.Before(first.sent) {
				continue
			}
			requestCount++
			window := last.answered.Sub(first.sent)
			allowed := accountRate*window.Seconds() + accountBurst
			require.LessOrEqual(t, float64(requestCount), allowed+roundingTolerance, "%d requests within %s from request %d on", requestCount, window, i)
		}
	}
}

const roundingTolerance = 1e-6 // requests; absorbs floating-point errors

// Guards against shares of a rate that are used twice. An account's callers send
// several times its rate to all hosts while the store fails, a failure domain is
// isolated and hosts die, one at a time and together.
func TestRateHoldsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	t.Parallel()
	s := newFixture(t)
	stop := make(chan struct{})
	done := make(chan []servedRequest)
	go func() { done <- s.flood(clinicKey, stop) }()

	step := 2 * time.Second
	time.Sleep(step)
	s.Store.LoseResponses(0.5, 1)
	time.Sleep(step)
	s.Kill(0)
	s.Store.SetDown(true)
	time.Sleep(3 * step)
	require.NoError(t, s.StartHost(0))
	s.isolate("west")
	time.Sleep(3 * step)
	s.Store.SetDown(false)
	s.Kill(1)
	time.Sleep(2 * step)
	s.rejoin("west")
	s.Store.LoseResponses(0, 1)
	require.NoError(t, s.StartHost(1))
	time.Sleep(2 * step)
	close(stop)
	requests := <-done
	require.NotEmpty(t, requests)
	t.Logf("%d requests served", len(requests))
	checkRate(t, requests)
}

// Guards against hosts that refuse requests during a store outage. With the
// store down for 25 s, requests within the rate must all be served.
func TestTheFleetServesOnWithoutAStore(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	s.Store.SetDown(true)
	end := time.Now().Add(25 * time.Second)
	refused := map[int]int{}
	sent := 0
	for time.Now().Before(end) {
		for _, i := range s.allHosts() {
			sent++
			if status := s.get(i, clinicKey); status != http.StatusOK {
				refused[status]++
			}
		}
		time.Sleep(500 * time.Millisecond) // 20 requests a second of 50
	}
	require.Empty(t, refused, "of %d requests", sent)
}
