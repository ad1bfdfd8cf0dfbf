package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

// closingUpstream reads each request and closes the connection without a response.
func closingUpstream(t *testing.T, seen *atomic.Int64) netip.AddrPort {
	return serveRaw(t, func(_ net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		seen.Add(1)
	})
}

// sheddingUpstream responds to each request that it did not execute it.
func sheddingUpstream(t *testing.T, seen *atomic.Int64, status int) netip.AddrPort {
	return serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		seen.Add(1)
		w.Header().Set(problem.ExecutedHeader, string(problem.ExecutedNo))
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(status)
	})
}

func okUpstream(t *testing.T, seen *atomic.Int64) netip.AddrPort {
	return serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		_, _ = io.Copy(w, r.Body)
	})
}

func closedPort(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	return address
}

func TestOnlySafeRequestsGoToAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name       string
		method     string
		first      string
		status     int
		executed   string
		reachesTwo int64
	}{
		{"idempotent after a lost answer", "GET", "closing", 200, "", 1},
		{"other after a lost answer", "POST", "closing", 502, "unknown", 0},
		{"idempotent after shedding", "GET", "shedding", 200, "", 1},
		{"other after shedding", "POST", "shedding", 200, "", 1},
		{"other without a connection", "POST", "closed", 200, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var one, two atomic.Int64
			var first netip.AddrPort
			switch c.first {
			case "closing":
				first = closingUpstream(t, &one)
			case "shedding":
				first = sheddingUpstream(t, &one, http.StatusServiceUnavailable)
			default:
				first = closedPort(t)
			}
			h := newHarness(t, nil, first, okUpstream(t, &two))
			response, _ := h.do(h.request(c.method, "/desk/x", "adult"))
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.executed, response.Header.Get(problem.ExecutedHeader))
			require.Equal(t, c.reachesTwo, two.Load())
			require.LessOrEqual(t, one.Load(), int64(1))
		})
	}
}

// TWICE: the route stopped allowing repeats after the first upstream had run the request, and the
// host sent it to the second one.
func TestRequestIsNotRepeatedOnceItsRouteForbidsIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		waits  bool // the policy changes while the request waits for its second place
		routes []configuration.Route
	}{
		{"while the first upstream runs it", false, []configuration.Route{{Service: "desk", Prefix: "/", Idempotent: new(bool)}}},
		{"while it waits for a place", true, []configuration.Route{{Service: "desk", Prefix: "/", Idempotent: new(bool)}}},
		{"route removed", false, nil}, // the method decides then
	} {
		t.Run(c.name, func(t *testing.T) {
			var h *harness
			var one, two, acquired atomic.Int64
			setRoutes := func(routes []configuration.Route) {
				h.policy.Store(&fakePolicy{keys: h.policy.Load().keys, routes: routes})
			}
			first := serveRaw(t, func(_ net.Conn, in *bufio.Reader) {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				one.Add(1)
				if !c.waits {
					setRoutes(c.routes)
				}
			})
			h = newHarness(t, func(o *Options) {
				o.Dispatcher = DispatcherFunc(func(ctx context.Context, work upstream.Work) (Permit, error) {
					if acquired.Add(1) == 2 && c.waits {
						setRoutes(c.routes)
					}
					return h.acquire(ctx, work)
				})
			}, first, okUpstream(t, &two))
			allowed := true
			setRoutes([]configuration.Route{{Service: "desk", Prefix: "/", Idempotent: &allowed}})
			response, _ := h.do(h.request("POST", "/desk/x", "adult"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Equal(t, string(problem.ExecutedUnknown), response.Header.Get(problem.ExecutedHeader))
			require.Equal(t, int64(1), one.Load())
			require.Zero(t, two.Load())
			for range acquired.Load() {
				<-h.outcomes // each place is given back
			}
		})
	}
}

func TestShedRequestIsRefusedAsNotRun(t *testing.T) {
	var seen atomic.Int64
	h := newHarness(t, nil, sheddingUpstream(t, &seen, http.StatusTooManyRequests))
	response, body := h.do(h.request("POST", "/desk/x", "adult"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
	require.Equal(t, "7", response.Header.Get("Retry-After"))
	require.Contains(t, body, string(problem.TypeOverloaded))
}

// The first upstream may have executed the request, so it must not be reported as
// not executed when the second upstream sheds it.
func TestRefusalAfterALostResponseIsUnknown(t *testing.T) {
	var one, two atomic.Int64
	h := newHarness(t, nil, closingUpstream(t, &one), sheddingUpstream(t, &two, http.StatusServiceUnavailable))
	response, _ := h.do(h.request("GET", "/desk/x", ""))
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.Equal(t, int64(1), two.Load())
}

// A response with status 503 but without problem.ExecutedHeader is passed on.
func TestUpstreamErrorIsPassedOnWhole(t *testing.T) {
	h := newHarness(t, nil, serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "centre closed")
	}))
	response, body := h.do(h.request("POST", "/desk/x", ""))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "centre closed", body)
	require.Empty(t, response.Header.Get(problem.ExecutedHeader))
}
