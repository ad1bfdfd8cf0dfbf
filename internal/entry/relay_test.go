package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/host"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

// newRelayPair returns a handler that relays all requests to another one, which
// sends them to the upstreams. seen receives the work of the second handler.
func newRelayPair(t *testing.T, upstreams ...netip.AddrPort) (origin, remote *harness, seen chan upstream.Work) {
	seen = make(chan upstream.Work, 16)
	remote = newHarness(t, nil, upstreams...)
	acquire := remote.handler.options.Dispatcher
	remote.handler.options.Dispatcher = DispatcherFunc(func(ctx context.Context, work upstream.Work) (Permit, error) {
		seen <- work
		return acquire.Acquire(ctx, work)
	})
	authority := fleettest.Authority(t)
	near := fleettest.Start(t, authority, fleet.Options{Self: host.Identity{ID: "near", FailureDomain: "toronto"}})
	far := fleettest.Start(t, authority, fleet.Options{Self: host.Identity{ID: "far", FailureDomain: "detroit"}},
		func(transport *fleet.Transport) {
			(&relay.Server{Handler: remote.handler.RelayHandler()}).Register(transport)
		})
	client := &relay.Client{Streams: near}
	origin = newHarness(t, func(o *Options) {
		o.Dispatcher = DispatcherFunc(func(_ context.Context, work upstream.Work) (Permit, error) {
			if len(work.Excluded) > 0 {
				return nil, &upstream.RefusedError{Reason: upstream.ReasonOverloaded}
			}
			target := upstream.Target{IsPeer: true, Peer: far.Self(), Address: far.Addr(), Grant: 9}
			return &fakePermit{target: target, transport: client.Transport(far.Addr(), relay.Metadata{}), done: func(upstream.Outcome) {}}, nil
		})
	})
	return origin, remote, seen
}

func TestRelayedRequestRunsAtThePeer(t *testing.T) {
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for name := range r.Header {
			if strings.HasPrefix(name, "Peridotrail-Relay") {
				w.WriteHeader(http.StatusTeapot)
			}
		}
		fmt.Fprintf(w, "%s %s %s %v|%s", r.Method, r.URL.RequestURI(), r.Header.Get(AccountHeader), r.Header.Get("Authorization") == "", body)
	})
	origin, remote, seen := newRelayPair(t, address)
	remote.policy.Store(&fakePolicy{}) // the peer needs no keys: the origin has authenticated the request
	response, body := origin.do(origin.request("POST", "/desk/a/b?c=d", "adult"))
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	require.Equal(t, "POST /a/b?c=d clinic true|adult", body)
	work := <-seen
	require.Equal(t, "clinic", work.Account)
	require.Equal(t, "near", work.Origin)
	require.True(t, work.Relayed)
	require.False(t, work.Idempotent)
	require.Equal(t, uint64(9), work.Grant)
	require.Equal(t, configuration.PriorityNormal, work.Priority)
}

func TestPeerRefusalIsPassedOn(t *testing.T) {
	var runs atomic.Int64
	for name, c := range map[string]struct {
		upstreams []netip.AddrPort
		executed  string
		status    int
	}{
		"no upstream":     {nil, "no", http.StatusServiceUnavailable},
		"lost answer":     {[]netip.AddrPort{closingUpstream(t, &runs)}, "unknown", http.StatusBadGateway},
		"shed":            {[]netip.AddrPort{sheddingUpstream(t, &runs, 503)}, "no", http.StatusServiceUnavailable},
		"refused dialing": {[]netip.AddrPort{closedPort(t)}, "no", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			origin, _, _ := newRelayPair(t, c.upstreams...)
			response, body := origin.do(origin.request("POST", "/desk/a", "adult"))
			require.Equal(t, c.status, response.StatusCode, body)
			require.Equal(t, c.executed, response.Header.Get(problem.ExecutedHeader))
			require.Contains(t, body, `"executed":"`+c.executed+`"`)
		})
	}
}

// The caller gets a truncated response. It gets a refusal instead if the abort
// reached the origin before the beginning of the response.
func TestResponseTruncatedAtThePeerIsNeverComplete(t *testing.T) {
	address := serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	origin, _, _ := newRelayPair(t, address)
	for range 5 {
		response, err := origin.client.Do(origin.request("POST", "/desk/a", ""))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			continue
		}
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	}
}

// A caller must not be able to choose its account with relay headers.
func TestRelayHeadersOfCallersAreIgnored(t *testing.T) {
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(AccountHeader)+r.Header.Get(relayAccount))
	})
	h := newHarness(t, nil, address)
	r := h.request("GET", "/desk/a", "")
	r.Header.Set(relayAccount, "other")
	r.Header.Set(AccountHeader, "other")
	_, body := h.do(r)
	require.Equal(t, "clinic", body)
}
