package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/problem"
)

// keeperNetwork connects the keepers of several handlers.
type keeperNetwork struct {
	hosts    map[host.ID]host.Identity
	services map[netip.AddrPort]fleetHandlers
}

type fleetHandlers map[fleet.Kind]fleet.Handler

func (h fleetHandlers) Handle(kind fleet.Kind, handler fleet.Handler) { h[kind] = handler }

func (n *keeperNetwork) Call(ctx context.Context, to netip.AddrPort, kind fleet.Kind, request, reply any) error {
	service := n.services[to]
	if service == nil {
		return &fleet.Error{Kind: fleet.KindUnreachable, Peer: to, Message: kind}
	}
	data, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	replyValue, err := service[kind](ctx, host.Identity{}, func(into any) error { return cbor.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	data, err = cbor.Marshal(replyValue)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func (n *keeperNetwork) find(id host.ID) (host.Identity, bool) {
	identity, ok := n.hosts[id]
	return identity, ok
}

// join adds a process with an empty keeper to the network.
func (n *keeperNetwork) join(self host.Identity) *idempotency.Client {
	service := &idempotency.Service{Keeper: idempotency.NewKeeper(self, time.Now)}
	handlers := fleetHandlers{}
	service.Register(handlers)
	n.hosts[self.ID] = self
	n.services[self.Fleet] = handlers
	return &idempotency.Client{Self: self, Local: service, Calls: n, FindHost: n.find}
}

// newHandlerPair returns two handlers of one fleet that use the same upstreams.
func newHandlerPair(t *testing.T, upstreams ...netip.AddrPort) (*keeperNetwork, *harness, *harness) {
	n := &keeperNetwork{hosts: map[host.ID]host.Identity{}, services: map[netip.AddrPort]fleetHandlers{}}
	start := func(i int) *harness {
		self := host.Identity{ID: host.ID(fmt.Sprintf("h%d", i)), Incarnation: 7, Fleet: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))}
		client := n.join(self)
		return newHarness(t, func(o *Options) {
			o.Self = self
			o.Idempotency = client
		}, upstreams...)
	}
	return n, start(1), start(2)
}

func (h *harness) issueKey() string {
	response, body := h.do(h.request("POST", IssuePath+"?count=2", ""))
	require.Equal(h.t, http.StatusCreated, response.StatusCode, body)
	var issued issuedKeys
	require.NoError(h.t, json.Unmarshal([]byte(body), &issued))
	require.Len(h.t, issued.IdempotencyKeys, 2)
	return issued.IdempotencyKeys[0]
}

func (h *harness) postWithKey(key, body string) (*http.Response, string) {
	r := h.request("POST", "/desk/reservations", body)
	r.Header.Set(IdempotencyKey, key)
	return h.do(r)
}

// retryWhileInProgress repeats a keyed request until its earlier attempt has
// finished, as callers do when they get "request in progress".
func (h *harness) retryWhileInProgress(key, body string) (*http.Response, string) {
	for {
		response, text := h.postWithKey(key, body)
		if response.StatusCode != http.StatusConflict || response.Header.Get("Retry-After") == "" {
			return response, text
		}
	}
}

func bookingUpstream(t *testing.T, runs *atomic.Int64) netip.AddrPort {
	return serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Booking", "17")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "booking %d for %s", runs.Add(1), body)
	})
}

func TestRetryThroughAnotherHostRunsOnce(t *testing.T) {
	var runs atomic.Int64
	_, one, two := newHandlerPair(t, bookingUpstream(t, &runs))
	key := one.issueKey()
	for i, h := range []*harness{two, one, two} {
		response, body := h.retryWhileInProgress(key, "adult")
		require.Equal(t, http.StatusCreated, response.StatusCode)
		require.Equal(t, "booking 1 for adult", body)
		require.Equal(t, "17", response.Header.Get("X-Booking"))
		require.Equal(t, i > 0, response.Header.Get(ReplayedHeader) == "true")
	}
	require.Equal(t, int64(1), runs.Load())
}

func TestKeyForAnotherRequestOrAccountIsRefused(t *testing.T) {
	var runs atomic.Int64
	_, one, two := newHandlerPair(t, bookingUpstream(t, &runs))
	key := one.issueKey()
	two.postWithKey(key, "adult")
	response, _ := two.postWithKey(key, "elder")
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode)
	require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
	two.policy.Store(&fakePolicy{keys: map[clientaccount.Digest]string{clientaccount.DigestOf(testKey): "centre"}})
	response, _ = two.postWithKey(one.issueKey(), "adult")
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Equal(t, int64(1), runs.Load())
}

func TestUnreachableOrRestartedKeeperMeansUnknown(t *testing.T) {
	var runs atomic.Int64
	n, one, two := newHandlerPair(t, bookingUpstream(t, &runs))
	key := one.issueKey()
	self := n.hosts["h1"]
	delete(n.services, self.Fleet)
	response, body := two.postWithKey(key, "adult")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.Contains(t, body, string(problem.TypeIdempotencyUnknown))
	self.Incarnation++
	n.join(self)
	response, _ = two.postWithKey(key, "adult")
	require.Equal(t, http.StatusConflict, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.Zero(t, runs.Load())
}

func TestConcurrentRetryIsInProgress(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	_, one, two := newHandlerPair(t, serveUpstream(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	key := one.issueKey()
	ended := make(chan int, 1)
	go func() {
		response, _ := one.postWithKey(key, "adult")
		ended <- response.StatusCode
	}()
	<-started
	response, _ := two.postWithKey(key, "adult")
	require.Equal(t, http.StatusConflict, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	close(release)
	require.Equal(t, http.StatusOK, <-ended)
}

func TestLostUpstreamResponseStaysUnknown(t *testing.T) {
	var runs atomic.Int64
	_, one, two := newHandlerPair(t, closingUpstream(t, &runs))
	key := one.issueKey()
	for _, h := range []*harness{one, two, one} {
		response, _ := h.retryWhileInProgress(key, "adult")
		require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	}
	require.Equal(t, int64(1), runs.Load())
}

func TestNotRunRequestMayBeSentAgain(t *testing.T) {
	var shed atomic.Int64
	_, one, two := newHandlerPair(t, sheddingUpstream(t, &shed, http.StatusServiceUnavailable))
	key := one.issueKey()
	for _, h := range []*harness{one, two} {
		response, _ := h.retryWhileInProgress(key, "adult")
		require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
	}
	require.Equal(t, int64(2), shed.Load())
}

// The caller's connection closes while its request runs. The request continues
// and the caller's retry gets the response.
func TestRetryAfterALostConnectionGetsTheResponse(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	_, one, two := newHandlerPair(t, serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(started)
		<-release
		_, _ = w.Write(bytes.Repeat([]byte{'b'}, 20<<10))
	}))
	key := one.issueKey()
	conn, err := net.Dial("tcp", one.address)
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /desk/reservations HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 5\r\n\r\nadult", testKey, key)
	<-started
	require.NoError(t, conn.Close())
	close(release)
	response, body := two.retryWhileInProgress(key, "adult")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, body, 20<<10)
	require.Equal(t, int64(1), runs.Load())
}

func TestKeysOnOpenRoutesAreRefused(t *testing.T) {
	_, one, _ := newHandlerPair(t, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	r := one.request("POST", "/desk/open/x", "")
	r.Header.Set(IdempotencyKey, one.issueKey())
	response, _ := one.do(r)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}

func TestCallerKeyWithoutKeeperIsUnknown(t *testing.T) {
	var runs atomic.Int64
	_, one, _ := newHandlerPair(t, bookingUpstream(t, &runs))
	response, _ := one.postWithKey("order-17", "adult")
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.Zero(t, runs.Load())
}
