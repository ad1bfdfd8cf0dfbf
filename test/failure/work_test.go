package failure

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/problem"
)

func (s *site) runs(id string) int {
	sum := 0
	for _, u := range s.upstreams {
		sum += u.Runs(id)
	}
	return sum
}

func (s *site) issueKey(host int) string {
	status, body := s.send(host, http.MethodPost, "/v1/idempotency-keys", clinicKey, "")
	require.Equal(s.t, http.StatusCreated, status, body)
	var answer struct {
		Keys []string `json:"idempotencyKeys"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(body), &answer))
	return answer.Keys[0]
}

// The keeper of a key dies after the request has run. No retry may run it again,
// through whichever host it comes.
func TestARequestWhoseKeeperDiedIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", s.allServe)
	key := s.issueKey(0)
	status, _ := s.send(1, http.MethodPost, "/desk/book", clinicKey, key)
	require.Equal(t, http.StatusOK, status)
	s.eventually("the stored answer is replayed", func() bool {
		status, body := s.send(2, http.MethodPost, "/desk/book", clinicKey, key)
		require.True(t, status == http.StatusOK || strings.Contains(body, string(problem.TypeInProgress)), "%d %s", status, body)
		return status == http.StatusOK
	})
	require.Equal(t, 1, s.runs(key))

	s.Kill(0)
	for _, i := range s.all()[1:] {
		status, body := s.send(i, http.MethodPost, "/desk/book", clinicKey, key)
		require.NotEqual(t, http.StatusOK, status)
		require.Contains(t, body, `"executed":"unknown"`)
	}
	require.NoError(t, s.StartHost(0))
	s.eventually("the new process is known", func() bool {
		status, _ := s.send(1, http.MethodPost, "/desk/book", clinicKey, key)
		return status == http.StatusConflict
	})
	require.Equal(t, 1, s.runs(key))
}

// Retries of one key arrive at all hosts at the same time while a failure domain
// is cut off.
func TestConcurrentRetriesRunOnceDuringAPartition(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", s.allServe)
	s.cutOff("north")
	var keys []string
	for _, i := range s.all() {
		keys = append(keys, s.issueKey(i), "own-"+s.Host(i).Self().Entry.String())
	}
	var senders sync.WaitGroup
	for _, key := range keys {
		for _, i := range s.all() {
			senders.Go(func() { s.send(i, http.MethodPost, "/desk/book", clinicKey, key) })
		}
	}
	senders.Wait()
	s.rejoin("north")
	for _, key := range keys {
		for _, i := range s.all() {
			s.send(i, http.MethodPost, "/desk/book", clinicKey, key)
		}
		require.LessOrEqual(t, s.runs(key), 1, "key %s", key)
	}
}

// A host shuts down while its callers keep sending. Requests that it accepted
// are answered whole.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", s.allServe)
	for _, u := range s.upstreams {
		u.Faults.ExtraTime.Store(int64(300 * time.Millisecond))
	}
	url := "http://" + s.Host(0).Self().Entry.String() + "/desk/list"
	var mu sync.Mutex
	var failures []error
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := fetch(client, url); err != nil && !refusedToConnect(err) {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, s.Shutdown(t.Context(), 0))
	close(stop)
	senders.Wait()
	require.Empty(t, failures)
}

// A drained upstream gets no new request once all hosts know of the drain.
func TestADrainedUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", s.allServe)
	revision := s.apply(func(c *configuration.Configuration) {
		c.Drains = append(c.Drains, configuration.Drain{Name: "d", Kind: configuration.DrainUpstream, Target: "desk-east"})
	})
	s.inForce(revision, s.all()...)
	s.eventually("running work ends", func() bool { return s.Host(0).Status(time.Now()).Drains[0].RemainingRequests == 0 })
	before := s.upstreams["east"].Counts().Served
	for range 5 {
		for _, i := range s.all() {
			s.get(i, portKey)
		}
	}
	require.Equal(t, before, s.upstreams["east"].Counts().Served)
	s.eventually("hosts of the domain serve through others", s.allServe)
}

// The leader of a failure domain dies. Another takes over and shares go on.
func TestALeaderThatDiesIsReplaced(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.eventually("all hosts serve", s.allServe)
	old := s.leaderOf("east")
	require.NotEqual(t, -1, old)
	s.Kill(old)
	s.eventually("a new leader", func() bool {
		leader := s.leaderOf("east")
		return leader != -1 && leader != old
	})
	s.eventually("hosts serve", func() bool {
		for _, i := range s.in("east") {
			if i != old && s.get(i, clinicKey) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// leaderOf returns the host that a host of the domain takes for its leader.
func (s *site) leaderOf(domain string) int {
	for _, i := range s.in(domain) {
		h := s.Host(i)
		if h == nil {
			continue
		}
		for _, leader := range h.Status(time.Now()).Leaders {
			if leader.FailureDomain != domain {
				continue
			}
			for _, j := range s.in(domain) {
				if other := s.Host(j); other != nil && other.Self().ID == leader.Host {
					return j
				}
			}
		}
	}
	return -1
}
