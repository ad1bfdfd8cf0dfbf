// Package atmostonce tests that a request with an idempotency key runs at most
// once. It sends requests through a fleet of real hosts while hosts shut down
// and die, and counts the runs at the fake upstreams.
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
	accountKey   = "key-of-the-clinic-4711"
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fixture is a fleet of real hosts with fake upstreams.
type fixture struct {
	t         *testing.T
	fleet     *localfleet.Fleet
	upstreams []*fake.Upstream
}

// newFixture starts two hosts and one upstream in each of two failure domains
// and waits until the hosts are ready.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	c := &configuration.Configuration{
		Regions:        []configuration.Region{{Name: "north"}, {Name: "south"}},
		FailureDomains: []configuration.FailureDomain{{Name: "north-a", Region: "north"}, {Name: "south-a", Region: "south"}},
		Services:       []configuration.Service{{Name: "booking", DefaultDeadline: configuration.Duration(2 * time.Second), MaxDeadline: configuration.Duration(2 * time.Second)}},
		Routes:         []configuration.Route{{Service: "booking", Prefix: "/"}},
		ClientAccounts: []configuration.ClientAccount{{
			Name: "clinic", Rate: 1000, Burst: 500,
			Keys: []configuration.Key{{ID: "k1", Digest: clientaccount.DigestOf(accountKey).String()}},
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

// startUpstream starts a fake upstream and returns its configuration.
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

// runCount returns how often the upstreams ran the request with this key.
func (f *fixture) runCount(idempotencyKey string) int {
	sum := 0
	for _, u := range f.upstreams {
		sum += u.Runs(idempotencyKey)
	}
	return sum
}

// response is what a caller sees of an HTTP response.
type response struct {
	status   int
	executed string
	replayed bool
	body     string
}

// post sends one POST request, with an idempotency key unless it is empty.
func (f *fixture) post(host int, path, idempotencyKey string) response {
	url := fmt.Sprintf("http://%s%s", f.fleet.Host(host).Self().Entry, path)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, url, strings.NewReader("adult"))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	require.NoError(f.t, err)
	return response{
		status:   httpResponse.StatusCode,
		executed: httpResponse.Header.Get(problem.ExecutedHeader),
		replayed: httpResponse.Header.Get("Peridotrail-Replayed") == "true",
		body:     string(body),
	}
}

// bookUntil sends one booking repeatedly until a response is accepted, and
// returns that response. It fails the test after readyTimeout.
func (f *fixture) bookUntil(host int, key string, accept func(response) bool) response {
	deadline := time.Now().Add(readyTimeout)
	for {
		got := f.post(host, "/booking/reservations", key)
		if accept(got) {
			return got
		}
		require.True(f.t, time.Now().Before(deadline), "host %d: last response %+v", host, got)
		time.Sleep(pollInterval)
	}
}

func isOK(r response) bool { return r.status == http.StatusOK }

func isExecutionUnknown(r response) bool { return r.executed == string(problem.ExecutedUnknown) }

// issueKeys returns new idempotency keys whose records the given host keeps.
func (f *fixture) issueKeys(host, count int) []string {
	var issued struct {
		Keys []string `json:"idempotencyKeys"`
	}
	got := f.post(host, fmt.Sprintf("/v1/idempotency-keys?count=%d", count), "")
	require.Equal(f.t, http.StatusCreated, got.status, got.body)
	require.NoError(f.t, json.Unmarshal([]byte(got.body), &issued))
	return issued.Keys
}

// Guards against keys that are lost in a graceful shutdown. The keeper of two
// issued keys shuts down; the used key must still replay its response and the
// unused one must still run once, through any other host.
func TestKeysOutliveAPlannedStop(t *testing.T) {
	knownfailure.SkipIfListed(t)
	f := newFixture(t)
	issued := f.issueKeys(0, 2)
	used, unused := issued[0], issued[1]
	first := f.bookUntil(3, used, isOK)
	for _, host := range []int{1, 2, 0} {
		again := f.bookUntil(host, used, isOK)
		require.True(t, again.replayed)
		require.Equal(t, first.body, again.body)
	}
	require.NoError(t, f.fleet.Shutdown(t.Context(), 0))
	for _, host := range []int{1, 2, 3} {
		require.True(t, f.bookUntil(host, used, isOK).replayed)
	}
	require.False(t, f.bookUntil(2, unused, isOK).replayed)
	require.True(t, f.bookUntil(1, unused, isOK).replayed)
	require.Equal(t, 1, f.runCount(used))
	require.Equal(t, 1, f.runCount(unused))
}

// Guards against a second run after the keeper of a key died with its records.
// Requests with its keys are refused with executed "unknown", also after the
// host has restarted.
func TestKeysOfADeadKeeperAreUnknown(t *testing.T) {
	f := newFixture(t)
	issued := f.issueKeys(0, 2)
	used, unused := issued[0], issued[1]
	f.bookUntil(1, used, isOK)
	f.fleet.Kill(0)
	for _, host := range []int{1, 2, 3} {
		require.True(t, f.bookUntil(host, used, isExecutionUnknown).status >= 400)
		require.True(t, f.bookUntil(host, unused, isExecutionUnknown).status >= 400)
	}
	require.NoError(t, f.fleet.StartHost(0))
	f.waitReady()
	f.bookUntil(0, used, func(a response) bool { return isExecutionUnknown(a) && a.status == http.StatusConflict })
	f.bookUntil(0, unused, func(a response) bool { return isExecutionUnknown(a) && a.status == http.StatusConflict })
	require.Equal(t, 1, f.runCount(used))
	require.Equal(t, 0, f.runCount(unused))
}

// Guards against caller keys that are lost in a rolling restart. All hosts of a
// failure domain restart gracefully, one after another; requests with earlier
// keys must replay, and requests with new keys must run once. They are sent
// through the other domain, whose upstream has free slots throughout.
func TestCallerKeysOutliveARollingRestart(t *testing.T) {
	knownfailure.SkipIfListed(t)
	f := newFixture(t)
	var keys []string
	for i := range 8 {
		key := fmt.Sprintf("order-%d", i)
		keys = append(keys, key)
		f.bookUntil(i%4, key, isOK)
	}
	for host := range 2 {
		require.NoError(t, f.fleet.Shutdown(t.Context(), host))
		require.NoError(t, f.fleet.StartHost(host))
		f.waitReady()
	}
	for i, key := range keys {
		require.True(t, f.bookUntil(2+i%2, key, isOK).replayed)
		require.Equal(t, 1, f.runCount(key))
		f.bookUntil(2+i%2, "after-"+key, isOK)
		require.Equal(t, 1, f.runCount("after-"+key))
	}
}
