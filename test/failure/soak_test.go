package failure

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/knownfailure"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the random fault sequence")
	soakLength = flag.Duration("soak.length", 15*time.Second, "duration of the soak run")
)

const (
	faultInterval   = 700 * time.Millisecond // between two faults
	bookingInterval = 25 * time.Millisecond  // between two bookings
	maxAttempts     = 3                      // of one booking
	applyTimeout    = time.Second
)

// soak injects faults and sends bookings while another client account exceeds
// its rate.
type soak struct {
	*fixture
	random   *rand.Rand
	killed   map[int]bool // hosts that were killed
	isolated string       // failure domain that is partitioned from the others; empty if none is

	mu          sync.Mutex // guards the fields below
	notExecuted []string   // keys of bookings whose only attempt was refused as not executed
	bookings    []string   // keys of all bookings
}

// TestSoak guards against faults in combination: random faults of the store, the
// network and the hosts overlap while requests run. No booking may run twice, no
// account may exceed its rate, and all hosts must serve afterwards. A violated
// invariant inside the program ends the test. The seed determines the sequence
// of faults, but not their timing relative to requests.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 15 seconds or longer")
	}
	s := &soak{fixture: newFixture(t), random: rand.New(rand.NewPCG(*soakSeed, 0)), killed: map[int]bool{}}
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	stop := make(chan struct{})
	flooded := make(chan []servedRequest)
	go func() { flooded <- s.flood(portKey, stop) }()
	var callers sync.WaitGroup
	callers.Go(func() { s.sendBookings(stop) })

	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		s.inject()
		time.Sleep(faultInterval)
	}
	s.clearFaults()
	close(stop)
	callers.Wait()
	checkRate(t, <-flooded)
	s.checkBookings()
	t.Run("hosts serve after the faults", func(t *testing.T) {
		knownfailure.SkipIfListed(t)
		s.t = t
		s.eventuallyServe("all hosts serve after the faults", s.allHosts()...)
	})
}

// inject turns one random fault on or off.
func (s *soak) inject() {
	switch s.random.IntN(9) {
	case 0:
		s.Store.SetDown(true)
	case 1:
		s.Store.SetDown(false)
	case 2:
		s.Store.LoseResponses(s.random.Float64()/2, s.random.Uint64())
	case 3:
		s.Store.SetDelay(time.Duration(s.random.IntN(300)) * time.Millisecond)
	case 4:
		s.Store.SetDropWatches(s.random.IntN(2) == 0)
	case 5, 6:
		s.toggleHost(s.random.IntN(s.Len()))
	case 7:
		s.toggleIsolation()
	default:
		s.tryApply()
	}
}

func (s *soak) toggleHost(i int) {
	if s.killed[i] {
		require.NoError(s.t, s.StartHost(i))
	} else {
		s.Kill(i)
	}
	s.killed[i] = !s.killed[i]
}

func (s *soak) toggleIsolation() {
	if s.isolated != "" {
		s.rejoin(s.isolated)
		s.isolated = ""
		return
	}
	s.isolated = hostDomains[s.random.IntN(len(hostDomains))]
	s.isolate(s.isolated)
}

// tryApply commits a random change of the configuration. The commit may fail
// while the store is faulty.
func (s *soak) tryApply() {
	next := *s.current
	setWeight(1 + s.random.IntN(100))(&next)
	next.Drains = []configuration.Drain{{
		Name: "soak", Kind: configuration.DrainUpstream, Target: next.Upstreams[s.random.IntN(len(next.Upstreams))].Name,
	}}
	ctx, cancel := context.WithTimeout(s.t.Context(), applyTimeout)
	defer cancel()
	if _, err := s.Apply(ctx, &next); err == nil {
		s.current = &next
	}
}

// clearFaults ends all faults and starts the killed hosts.
func (s *soak) clearFaults() {
	s.Store.SetDown(false)
	s.Store.SetDelay(0)
	s.Store.LoseResponses(0, 0)
	s.Store.SetDropWatches(false)
	if s.isolated != "" {
		s.rejoin(s.isolated)
	}
	for i, down := range s.killed {
		if down {
			require.NoError(s.t, s.StartHost(i))
		}
	}
}

// sendBookings sends non-idempotent requests, each with its own caller key, and
// retries some of them through other hosts.
func (s *soak) sendBookings(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(*soakSeed, 1))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(bookingInterval):
		}
		s.sendBooking(fmt.Sprintf("soak-%d-%d", *soakSeed, n), 1+random.IntN(maxAttempts), random)
	}
}

// sendBooking sends one booking up to the given number of times, until it
// succeeds.
func (s *soak) sendBooking(key string, attempts int, random *rand.Rand) {
	for range attempts {
		status, body := s.send(random.IntN(s.Len()), http.MethodPost, "/desk/book", clinicKey, key)
		if status == http.StatusOK {
			break
		}
		if attempts == 1 && strings.Contains(body, `"executed":"no"`) {
			s.mu.Lock()
			s.notExecuted = append(s.notExecuted, key)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings = append(s.bookings, key)
}

func (s *soak) checkBookings() {
	require.NotEmpty(s.t, s.bookings)
	totalRuns := 0
	for _, key := range s.bookings {
		runs := s.runCount(key)
		require.LessOrEqual(s.t, runs, 1, "booking %s, seed %d", key, *soakSeed)
		totalRuns += runs
	}
	for _, key := range s.notExecuted {
		require.Zero(s.t, s.runCount(key), "booking %s ran although it was refused as not executed, seed %d", key, *soakSeed)
	}
	s.t.Logf("%d bookings, %d ran, %d refused as not executed", len(s.bookings), totalRuns, len(s.notExecuted))
}
