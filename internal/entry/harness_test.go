package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream"
)

const testKey = "key-of-clinic-7f3a9c"

type fakePolicy struct {
	keys   map[clientaccount.Digest]string
	routes []configuration.Route
}

func (p *fakePolicy) KeyOwner(digest [32]byte) (string, string, bool) {
	account, ok := p.keys[digest]
	return account, "k1", ok
}

func (p *fakePolicy) Account(name string) *configuration.ClientAccount {
	return &configuration.ClientAccount{Name: name, Weight: 1}
}

func (p *fakePolicy) Service(name string) *configuration.Service {
	if name != "desk" {
		return nil
	}
	return &configuration.Service{Name: name}
}

func (p *fakePolicy) Route(_, path string) *configuration.Route {
	for i := range p.routes {
		if strings.HasPrefix(path, p.routes[i].Prefix) {
			return &p.routes[i]
		}
	}
	return nil
}

type admitFunc func(ctx context.Context, account string) error

func (f admitFunc) Admit(ctx context.Context, account string) error { return f(ctx, account) }

type fakePermit struct {
	target    upstream.Target
	transport http.RoundTripper
	done      func(upstream.Outcome)
}

func (p *fakePermit) Target() upstream.Target      { return p.target }
func (p *fakePermit) Transport() http.RoundTripper { return p.transport }
func (p *fakePermit) Done(o upstream.Outcome)      { p.done(o) }

type harness struct {
	t         testing.TB
	address   string // of the server
	handler   *Handler
	server    *Server
	policy    atomic.Pointer[fakePolicy]
	active    *clientaccount.ActiveRequests
	transport *forward.Transport
	targets   []netip.AddrPort
	outcomes  chan upstream.Outcome
	client    *http.Client
}

// newHarness starts a server that forwards to the upstreams at targets.
func newHarness(t testing.TB, change func(*Options), targets ...netip.AddrPort) *harness {
	h := &harness{t: t, active: clientaccount.NewActiveRequests(), targets: targets, outcomes: make(chan upstream.Outcome, 1024)}
	h.transport = forward.NewTransport(func() int { return 64 })
	h.policy.Store(&fakePolicy{
		keys:   map[clientaccount.Digest]string{clientaccount.DigestOf(testKey): "clinic"},
		routes: []configuration.Route{{Service: "desk", Prefix: "/open/", Open: true}},
	})
	options := Options{
		Self:       host.Identity{ID: "h1", Incarnation: 7},
		Policy:     func() Policy { return h.policy.Load() },
		Active:     h.active,
		Admitter:   admitFunc(func(context.Context, string) error { return nil }),
		Dispatcher: DispatcherFunc(h.acquire),
	}
	if change != nil {
		change(&options)
	}
	h.handler = New(options)
	h.server = NewServer(h.handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(listener) }()
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	h.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = h.server.Close()
		require.NoError(t, <-served)
		h.transport.CloseIdleConnections()
	})
	return h
}

func (h *harness) acquire(ctx context.Context, work upstream.Work) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, &upstream.RefusedError{Reason: upstream.ReasonWithdrawn, Err: err}
	}
	for i, address := range h.targets {
		target := upstream.Target{Upstream: "u" + string(rune('1'+i)), Address: address}
		if isListed(work.Excluded, target.Name()) {
			continue
		}
		done := func(o upstream.Outcome) { h.outcomes <- o }
		return &fakePermit{target: target, transport: h.transport, done: done}, nil
	}
	return nil, &upstream.RefusedError{Reason: upstream.ReasonNoUpstream, Service: work.Service}
}

// serveUpstream starts an upstream with net/http.
func serveUpstream(t testing.TB, handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// serveRaw starts an upstream that passes each connection to handle.
func serveRaw(t testing.TB, handle func(net.Conn, *bufio.Reader)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (h *harness) request(method, target, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+h.address+target, strings.NewReader(body))
	require.NoError(h.t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

func (h *harness) do(r *http.Request) (*http.Response, string) {
	response, err := h.client.Do(r)
	require.NoError(h.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(h.t, err)
	return response, string(body)
}

// raw sends text on a new connection and returns the response, with the part of
// its body that was received.
func (h *harness) raw(text string) (*http.Response, string) {
	conn, err := net.Dial("tcp", h.address)
	require.NoError(h.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	require.NoError(h.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(h.t, err)
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // some tests expect a truncated body
	return response, string(body)
}
