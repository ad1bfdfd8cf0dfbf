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
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the faults")
	soakLength = flag.Duration("soak.length", 15*time.Second, "length of the soak run")
)

const (
	faultPause   = 700 * time.Millisecond // between two faults
	bookPause    = 25 * time.Millisecond  // between two bookings
	maxAttempts  = 3                      // of one booking
	applyTimeout = time.Second
)

// soak injects faults and sends bookings while the rate of one account is
// flooded.
type soak struct {
	*site
	random *rand.Rand
	down   map[int]bool // hosts that were killed
	cut    string       // failure domain that is cut off; empty if none

	mu       sync.Mutex // guards the fields below
	notRun   []string   // bookings whose only attempt was refused as not run
	bookings []string
}

// TestSoak runs random faults, together and twice, over the whole path. The
// invariants inside the program are fatal. Faults follow the seed; the moments
// at which they meet requests do not.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for a quarter of a minute or longer")
	}
	s := &soak{site: start(t), random: rand.New(rand.NewPCG(*soakSeed, 0)), down: map[int]bool{}}
	s.eventually("all hosts serve", s.allServe)
	stop := make(chan struct{})
	flooded := make(chan []served)
	go func() { flooded <- s.flood(portKey, stop) }()
	var callers sync.WaitGroup
	callers.Go(func() { s.book(stop) })

	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		s.inject()
		time.Sleep(faultPause)
	}
	s.heal()
	close(stop)
	callers.Wait()
	checkRate(t, <-flooded)
	s.checkBookings()
	s.eventually("all hosts serve after the faults", s.allServe)
}

// inject switches one fault on or off.
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
		s.killOrStart(s.random.IntN(s.Len()))
	case 7:
		s.cutOrRejoin()
	default:
		s.tryApply()
	}
}

func (s *soak) killOrStart(i int) {
	if s.down[i] {
		require.NoError(s.t, s.StartHost(i))
	} else {
		s.Kill(i)
	}
	s.down[i] = !s.down[i]
}

func (s *soak) cutOrRejoin() {
	if s.cut != "" {
		s.rejoin(s.cut)
		s.cut = ""
		return
	}
	s.cut = domains[s.random.IntN(len(domains))]
	s.cutOff(s.cut)
}

// tryApply changes the configuration. A store that is away may refuse it.
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

func (s *soak) heal() {
	s.Store.SetDown(false)
	s.Store.SetDelay(0)
	s.Store.LoseResponses(0, 0)
	s.Store.SetDropWatches(false)
	if s.cut != "" {
		s.rejoin(s.cut)
	}
	for i, down := range s.down {
		if down {
			require.NoError(s.t, s.StartHost(i))
		}
	}
}

// book sends non-idempotent requests, each with a key of the caller's own, and
// some of them again through other hosts.
func (s *soak) book(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(*soakSeed, 1))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(bookPause):
		}
		s.bookOnce(fmt.Sprintf("soak-%d-%d", *soakSeed, n), 1+random.IntN(maxAttempts), random)
	}
}

func (s *soak) bookOnce(key string, attempts int, random *rand.Rand) {
	for range attempts {
		status, body := s.send(random.IntN(s.Len()), http.MethodPost, "/desk/book", clinicKey, key)
		if status == http.StatusOK {
			break
		}
		if attempts == 1 && strings.Contains(body, `"executed":"no"`) {
			s.mu.Lock()
			s.notRun = append(s.notRun, key)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings = append(s.bookings, key)
}

func (s *soak) checkBookings() {
	require.NotEmpty(s.t, s.bookings)
	ran := 0
	for _, key := range s.bookings {
		runs := s.runs(key)
		require.LessOrEqual(s.t, runs, 1, "booking %s, seed %d", key, *soakSeed)
		ran += runs
	}
	for _, key := range s.notRun {
		require.Zero(s.t, s.runs(key), "booking %s was refused as not run, seed %d", key, *soakSeed)
	}
	s.t.Logf("%d bookings, %d ran, %d refused as not run", len(s.bookings), ran, len(s.notRun))
}
