package failure

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/knownfailure"
	"peridotrail/internal/problem"
)

// runCount returns how often the upstreams ran the request with this key.
func (s *fixture) runCount(idempotencyKey string) int {
	sum := 0
	for _, u := range s.upstreams {
		sum += u.Runs(idempotencyKey)
	}
	return sum
}

// issueKey returns a new idempotency key whose record the given host keeps.
func (s *fixture) issueKey(host int) string {
	status, body := s.send(host, http.MethodPost, "/v1/idempotency-keys", clinicKey, "")
	require.Equal(s.t, http.StatusCreated, status, body)
	var issued struct {
		Keys []string `json:"idempotencyKeys"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(body), &issued))
	return issued.Keys[0]
}

// Guards against a second run after the record of an idempotency key is lost.
// The keeper dies after the request has run; retries through any host must not
// run it again.
func TestARequestWhoseKeeperDiedIsNeverRunAgain(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	key := s.issueKey(0)
	status, _ := s.send(1, http.MethodPost, "/desk/book", clinicKey, key)
	require.Equal(t, http.StatusOK, status)
	s.eventually("the stored response is replayed", func() bool {
		status, body := s.send(2, http.MethodPost, "/desk/book", clinicKey, key)
		require.True(t, status == http.StatusOK || strings.Contains(body, string(problem.TypeInProgress)), "%d %s", status, body)
		return status == http.StatusOK
	})
	require.Equal(t, 1, s.runCount(key))

	s.Kill(0)
	for _, i := range s.allHosts()[1:] {
		status, body := s.send(i, http.MethodPost, "/desk/book", clinicKey, key)
		require.NotEqual(t, http.StatusOK, status)
		require.Contains(t, body, `"executed":"unknown"`)
	}
	require.NoError(t, s.StartHost(0))
	s.eventually("host 1 reaches the restarted keeper", func() bool {
		status, _ := s.send(1, http.MethodPost, "/desk/book", clinicKey, key)
		return status == http.StatusConflict
	})
	require.Equal(t, 1, s.runCount(key))
}

// Guards against two hosts that run one request because they cannot reach each
// other. Requests with the same key arrive at all hosts at the same time while a
// failure domain is isolated.
func TestConcurrentRetriesRunOnceDuringAPartition(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	s.isolate("north")
	var keys []string
	for _, i := range s.allHosts() {
		keys = append(keys, s.issueKey(i), "own-"+s.Host(i).Self().Entry.String())
	}
	var senders sync.WaitGroup
	for _, key := range keys {
		for _, i := range s.allHosts() {
			senders.Go(func() { s.send(i, http.MethodPost, "/desk/book", clinicKey, key) })
		}
	}
	senders.Wait()
	s.rejoin("north")
	for _, key := range keys {
		for _, i := range s.allHosts() {
			s.send(i, http.MethodPost, "/desk/book", clinicKey, key)
		}
		require.LessOrEqual(t, s.runCount(key), 1, "key %s", key)
	}
}

// Guards against responses that a graceful shutdown truncates. A host shuts down while
// callers keep sending; every request that it accepted gets a whole response.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	knownfailure.SkipIfListed(t)
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	for _, u := range s.upstreams {
		u.Faults.ExtraServiceTime.Store(int64(300 * time.Millisecond))
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
				if err := fetch(client, url); err != nil && !isDialError(err) {
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

// Guards against new requests at a drained upstream. Once the drain is in force
// on all hosts and running requests have ended, the upstream serves no more.
func TestADrainedUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	revision := s.apply(func(c *configuration.Configuration) {
		c.Drains = append(c.Drains, configuration.Drain{Name: "d", Kind: configuration.DrainUpstream, Target: "desk-east"})
	})
	s.waitInForce(revision, s.allHosts()...)
	s.eventually("running requests end", func() bool { return s.Host(0).Status(time.Now()).Drains[0].RemainingRequests == 0 })
	servedBefore := s.upstreams["east"].Counts().Served
	for range 5 {
		for _, i := range s.allHosts() {
			s.get(i, portKey)
		}
	}
	require.Equal(t, servedBefore, s.upstreams["east"].Counts().Served)
	s.eventuallyServe("all hosts serve through the other upstreams", s.allHosts()...)
}

// Guards against a failure domain that stays without shares of its rates. Its
// leader dies; another host must take over and the remaining hosts must serve.
func TestALeaderThatDiesIsReplaced(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.eventuallyServe("all hosts serve", s.allHosts()...)
	oldLeader := s.leaderOf("east")
	require.NotEqual(t, -1, oldLeader)
	s.Kill(oldLeader)
	s.eventually("another host leads the failure domain", func() bool {
		newLeader := s.leaderOf("east")
		return newLeader != -1 && newLeader != oldLeader
	})
	remaining := slices.DeleteFunc(s.hostsIn("east"), func(i int) bool { return i == oldLeader })
	s.eventuallyServe("the remaining hosts of the domain serve", remaining...)
}

// leaderOf returns the index of the domain leader as reported by the first host
// of the domain that names a running one, or -1 if none does.
func (s *fixture) leaderOf(domain string) int {
	for _, i := range s.hostsIn(domain) {
		h := s.Host(i)
		if h == nil {
			continue
		}
		for _, leader := range h.Status(time.Now()).Leaders {
			if leader.FailureDomain != domain {
				continue
			}
			for _, j := range s.hostsIn(domain) {
				if other := s.Host(j); other != nil && other.Self().ID == leader.Host {
					return j
				}
			}
		}
	}
	return -1
}
