package failure

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// served is a request that was admitted at some moment from sent to answered.
type served struct {
	sent     time.Time
	answered time.Time
}

// flood sends requests of one account to all hosts, well over its rate, until
// stop is closed, and returns those that were served.
func (s *site) flood(key string, stop <-chan struct{}) []served {
	var mu sync.Mutex
	var all []served
	var senders sync.WaitGroup
	for _, i := range s.all() {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(floodPause):
				}
				sent := time.Now()
				if s.get(i, key) == http.StatusOK {
					mu.Lock()
					all = append(all, served{sent: sent, answered: time.Now()})
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return all
}

const floodPause = 30 * time.Millisecond

// checkRate fails if more requests were surely admitted within any window than
// the rate and the burst allow.
func checkRate(t *testing.T, all []served) {
	t.Helper()
	slices.SortFunc(all, func(a, b served) int { return a.answered.Compare(b.answered) })
	for i, first := range all {
		count := 0
		for _, last := range all {
			if last.sent.Before(first.sent) {
				continue
			}
			count++
			window := last.answered.Sub(first.sent)
			allowed := rate*window.Seconds() + burst
			require.LessOrEqual(t, float64(count), allowed+rounding, "%d requests within %s from request %d on", count, window, i)
		}
	}
}

const rounding = 1e-6 // of floating-point sums

// The account's callers send several times its rate to all hosts while the
// store is away, a failure domain is cut off and hosts die, one after another
// and together.
func TestRateHoldsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	t.Parallel()
	s := start(t)
	stop := make(chan struct{})
	done := make(chan []served)
	go func() { done <- s.flood(clinicKey, stop) }()

	step := 2 * time.Second
	time.Sleep(step)
	s.Store.LoseResponses(0.5, 1)
	time.Sleep(step)
	s.Kill(0)
	s.Store.SetDown(true)
	time.Sleep(3 * step)
	require.NoError(t, s.StartHost(0))
	s.cutOff("west")
	time.Sleep(3 * step)
	s.Store.SetDown(false)
	s.Kill(1)
	time.Sleep(2 * step)
	s.rejoin("west")
	s.Store.LoseResponses(0, 1)
	require.NoError(t, s.StartHost(1))
	time.Sleep(2 * step)
	close(stop)
	all := <-done
	require.NotEmpty(t, all)
	t.Logf("%d requests served", len(all))
	checkRate(t, all)
}

// A site whose store is away goes on within its rates.
func TestTheFleetServesOnWithoutAStore(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", func() bool { return s.allServe() })
	s.Store.SetDown(true)
	end := time.Now().Add(25 * time.Second)
	refused := map[int]int{}
	sent := 0
	for time.Now().Before(end) {
		for _, i := range s.all() {
			sent++
			if status := s.get(i, clinicKey); status != http.StatusOK {
				refused[status]++
			}
		}
		time.Sleep(500 * time.Millisecond) // 20 requests a second of 50
	}
	require.Empty(t, refused, "of %d requests", sent)
}

func (s *site) allServe() bool {
	for _, i := range s.all() {
		if s.get(i, clinicKey) != http.StatusOK {
			return false
		}
	}
	return true
}
