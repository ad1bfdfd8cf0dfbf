// Package atmostonce sends keyed requests through a fleet of real hosts while
// hosts stop, die and are cut off, and counts the runs at the upstreams.
package atmostonce

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	fake "peridotrail/internal/fake/upstream"
	"peridotrail/internal/knownfailure"
	"peridotrail/internal/localfleet"
	"peridotrail/internal/problem"
)

const (
	callerKey    = "key-of-the-clinic-4711"
	readyTimeout = 30 * time.Second
	poll         = 20 * time.Millisecond
)

type fixture struct {
	t         *testing.T
	fleet     *localfleet.Fleet
	upstreams []*fake.Upstream
}

// newFixture starts two hosts in each of two failure domains and an upstream in
// both.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	c := &configuration.Configuration{
		Regions:        []configuration.Region{{Name: "north"}, {Name: "south"}},
		FailureDomains: []configuration.FailureDomain{{Name: "north-a", Region: "north"}, {Name: "south-a", Region: "south"}},
		Services:       []configuration.Service{{Name: "booking", DefaultDeadline: configuration.Duration(2 * time.Second), MaxDeadline: configuration.Duration(2 * time.Second)}},
		Routes:         []configuration.Route{{Service: "booking", Prefix: "/"}},
		ClientAccounts: []configuration.ClientAccount{{
			Name: "clinic", Rate: 1000, Burst: 500,
			Keys: []configuration.Key{{ID: "k1", Digest: clientaccount.DigestOf(callerKey).String()}},
		}},
	}
	for _, domain := range c.FailureDomains {
		c.Upstreams = append(c.Upstreams, f.startUpstream(domain.Name))
	}
	fleet, err := localfleet.Start(t.Context(), localfleet.Options{
		Configuration: c,
		Domains:       []string{"north-a", "north-a", "south-a", "south-a"},
		Grace:         readyTimeout,
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	f.fleet = fleet
	f.waitReady()
	return f
}

func (f *fixture) startUpstream(domain string) configuration.Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	name := "booking-" + domain
	u := fake.New(fake.Settings{Name: name, Slots: 8, Queue: 8, ServiceTime: time.Millisecond})
	f.upstreams = append(f.upstreams, u)
	go func() { _ = u.Serve(listener) }() // ends with Close
	f.t.Cleanup(func() { _ = u.Close() })
	address := netip.MustParseAddrPort(listener.Addr().String())
	return configuration.Upstream{Name: name, Service: "booking", FailureDomain: domain, Address: address, Slots: 8, Connections: 64}
}

func (f *fixture) waitReady() {
	ctx, cancel := context.WithTimeout(f.t.Context(), readyTimeout)
	defer cancel()
	require.NoError(f.t, f.fleet.WaitReady(ctx))
}

func (f *fixture) runs(key string) int {
	sum := 0
	for _, u := range f.upstreams {
		sum += u.Runs(key)
	}
	return sum
}

type answer struct {
	status   int
	executed string
	replayed bool
	body     string
}

func (f *fixture) post(host int, path, key string) answer {
	url := fmt.Sprintf("http://%s%s", f.fleet.Host(host).Self().Entry, path)
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, strings.NewReader("adult"))
	require.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return answer{
		status:   response.StatusCode,
		executed: response.Header.Get(problem.ExecutedHeader),
		replayed: response.Header.Get("Peridotrail-Replayed") == "true",
		body:     string(body),
	}
}

// book sends a keyed request as a careful caller does: again while it certainly
// did not run, or while an earlier attempt may still end.
func (f *fixture) book(host int, key string, wanted func(answer) bool) answer {
	limit := time.Now().Add(readyTimeout)
	for {
		got := f.post(host, "/booking/reservations", key)
		if wanted(got) {
			return got
		}
		require.True(f.t, time.Now().Before(limit), "host %d: last answer %+v", host, got)
		time.Sleep(poll)
	}
}

func isOK(a answer) bool { return a.status == http.StatusOK }

func isUnknown(a answer) bool { return a.executed == string(problem.ExecutedUnknown) }

func (f *fixture) issue(host, count int) []string {
	var issued struct {
		Keys []string `json:"idempotencyKeys"`
	}
	got := f.post(host, fmt.Sprintf("/v1/idempotency-keys?count=%d", count), "")
	require.Equal(f.t, http.StatusCreated, got.status, got.body)
	require.NoError(f.t, json.Unmarshal([]byte(got.body), &issued))
	return issued.Keys
}

// A keeper that stops as planned takes no key along.
func TestKeysOutliveAPlannedStop(t *testing.T) {
	knownfailure.SkipIfListed(t)
	f := newFixture(t)
	issued := f.issue(0, 2)
	used, unused := issued[0], issued[1]
	first := f.book(3, used, isOK)
	for _, host := range []int{1, 2, 0} {
		again := f.book(host, used, isOK)
		require.True(t, again.replayed)
		require.Equal(t, first.body, again.body)
	}
	require.NoError(t, f.fleet.Shutdown(t.Context(), 0))
	for _, host := range []int{1, 2, 3} {
		require.True(t, f.book(host, used, isOK).replayed)
	}
	require.False(t, f.book(2, unused, isOK).replayed)
	require.True(t, f.book(1, unused, isOK).replayed)
	require.Equal(t, 1, f.runs(used))
	require.Equal(t, 1, f.runs(unused))
}

// A keeper that dies makes its keys unknown, also after its host came back.
func TestKeysOfADeadKeeperAreUnknown(t *testing.T) {
	f := newFixture(t)
	issued := f.issue(0, 2)
	used, unused := issued[0], issued[1]
	f.book(1, used, isOK)
	f.fleet.Kill(0)
	for _, host := range []int{1, 2, 3} {
		require.True(t, f.book(host, used, isUnknown).status >= 400)
		require.True(t, f.book(host, unused, isUnknown).status >= 400)
	}
	require.NoError(t, f.fleet.StartHost(0))
	f.waitReady()
	f.book(0, used, func(a answer) bool { return isUnknown(a) && a.status == http.StatusConflict })
	f.book(0, unused, func(a answer) bool { return isUnknown(a) && a.status == http.StatusConflict })
	require.Equal(t, 1, f.runs(used))
	require.Equal(t, 0, f.runs(unused))
}

// Own keys run once through any host, and planned restarts of all hosts of a
// failure domain lose neither records nor the right to begin. The requests are
// sent through the other domain, whose upstreams are free all the time.
func TestOwnKeysOutliveARollingRestart(t *testing.T) {
	f := newFixture(t)
	var keys []string
	for i := range 8 {
		key := fmt.Sprintf("order-%d", i)
		keys = append(keys, key)
		f.book(i%4, key, isOK)
	}
	for host := range 2 {
		require.NoError(t, f.fleet.Shutdown(t.Context(), host))
		require.NoError(t, f.fleet.StartHost(host))
		f.waitReady()
	}
	for i, key := range keys {
		require.True(t, f.book(2+i%2, key, isOK).replayed)
		require.Equal(t, 1, f.runs(key))
		f.book(2+i%2, "after-"+key, isOK)
		require.Equal(t, 1, f.runs("after-"+key))
	}
}
