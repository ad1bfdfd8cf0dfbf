package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/host"
	"peridotrail/internal/httpstatus"
)

func startPair(t *testing.T, handler http.HandlerFunc) (*relay.Client, *fleettest.Process) {
	t.Helper()
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "a", FailureDomain: "toronto"}})
	b := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "b", FailureDomain: "detroit"}},
		func(transport *fleet.Transport) {
			server := &relay.Server{Handler: handler}
			server.Register(transport)
		})
	return &relay.Client{Streams: a}, b
}

func newRequest(t *testing.T, ctx context.Context, method, uri string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, uri, body)
	require.NoError(t, err)
	return r
}

func TestWholeExchange(t *testing.T) {
	client, b := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		origin, ok := relay.FromContext(r.Context())
		body, err := io.ReadAll(r.Body)
		_, deadline := r.Context().Deadline()
		if !ok || err != nil || !deadline || origin.From.ID != "a" || origin.Metadata.Account != "clinic" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" "+r.Header.Get("X-Sent"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	})
	long := strings.Repeat("0123456789", 100_000)
	cases := []struct {
		name string
		body io.Reader
		want string
	}{
		{name: "no body"},
		{name: "short body", body: strings.NewReader("hello"), want: "hello"},
		{name: "long body", body: strings.NewReader(long), want: long},
		{name: "body of unknown length", body: io.MultiReader(strings.NewReader("hel"), strings.NewReader("lo")), want: "hello"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			sent := newRequest(t, ctx, http.MethodPost, "http://service/desk/a%2fb?x=1", test.body)
			sent.Header.Set("X-Sent", "yes")
			response, err := client.Transport(b.Addr(), relay.Metadata{Account: "clinic"}).RoundTrip(sent)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusAccepted, response.StatusCode)
			require.Equal(t, "POST /desk/a%2fb?x=1 yes", response.Header.Get("X-Seen"))
			require.Equal(t, test.want, string(body))
		})
	}
}

// The receiving host read "//a/b" as the path "/b" of a host and cut "#c" from a path, so that it
// chose the route by another path.
func TestTargetArrivesUnchanged(t *testing.T) {
	client, b := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seen", r.RequestURI+" "+r.URL.Path)
	})
	for target, path := range map[string]string{
		"//a/b?c": "//a/b", "/a#b": "/a#b", "/a%2fb?": "/a/b", "*": "*", "/?%zz": "/", "http://h//a": "//a", "/a|b": "/a|b",
	} {
		sent := newRequest(t, t.Context(), http.MethodGet, "/", nil)
		sent.RequestURI = target
		response, err := client.Send(b.Addr(), relay.Metadata{}, sent)
		require.NoError(t, err, target)
		require.NoError(t, response.Body.Close())
		require.Equal(t, target+" "+path, response.Header.Get("X-Seen"))
	}
}

// A handler's response with status 0 arrived as a 200, and any status of a peer was passed on.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	ca := fleettest.Authority(t)
	for _, status := range []int{-1, 0, 1, 20, 99, 101, 199, 600, 999, 1 << 20} {
		sent := func() *http.Request { return newRequest(t, t.Context(), http.MethodGet, "/", nil) }
		requireBroken := func(_ *http.Response, err error) {
			var failure *relay.Error
			require.ErrorAs(t, err, &failure, "status %d", status)
			require.False(t, failure.NotRun)
		}
		if status != 199 { // of a handler it is informational
			client, b := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("ok"))
			})
			requireBroken(client.Send(b.Addr(), relay.Metadata{}, sent()))
		}
		a := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "a", FailureDomain: "toronto"}})
		peer := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "b", FailureDomain: "detroit"}}, func(transport *fleet.Transport) {
			transport.HandleStream(relay.StreamKind, func(_ context.Context, _ host.Identity, stream fleet.Stream) {
				_ = fleet.WriteFrame(stream, map[int]int{1: status, 3: 0}, 1<<10)
				_ = stream.CloseWrite()
			})
		})
		response, err := (&relay.Client{Streams: a}).Send(peer.Addr(), relay.Metadata{}, sent())
		requireBroken(response, err)
		var invalid *httpstatus.InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, status, invalid.Status)
	}
}

func TestTruncatedResponse(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("half"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"panic": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("half"))
			panic("boom")
		},
		"fewer bytes than announced": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "8")
			_, _ = w.Write([]byte("half"))
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			client, b := startPair(t, handler)
			response, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, t.Context(), http.MethodGet, "/", nil))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
			}
			var failure *relay.Error
			require.ErrorAs(t, err, &failure)
			require.False(t, failure.NotSent)
			require.False(t, failure.NotRun)
		})
	}
}

func TestPeerKilledDuringResponse(t *testing.T) {
	client, b := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	response, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, t.Context(), http.MethodGet, "/", nil))
	require.NoError(t, err)
	b.Stop()
	_, err = io.ReadAll(response.Body)
	var failure *relay.Error
	require.ErrorAs(t, err, &failure)
}

func TestNotSentAndNotRun(t *testing.T) {
	runs := 0
	client, b := startPair(t, func(http.ResponseWriter, *http.Request) { runs++ })
	ca := fleettest.Authority(t)
	noHandler := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "c", FailureDomain: "detroit"}})
	huge := newRequest(t, t.Context(), http.MethodGet, "/", nil)
	huge.Header.Set("X-Huge", strings.Repeat("x", 300<<10))
	failing := newRequest(t, t.Context(), http.MethodPost, "/", io.NopCloser(failingReader{}))
	failing.ContentLength = 10
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		peer    netip.AddrPort
		request *http.Request
	}{
		{"peer with another authority", noHandler.Addr(), newRequest(t, t.Context(), http.MethodGet, "/", nil)},
		{"head too large", b.Addr(), huge},
		{"short body fails before it is complete", b.Addr(), failing},
		{"already cancelled", b.Addr(), newRequest(t, cancelled, http.MethodGet, "/", nil)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := client.Send(test.peer, relay.Metadata{}, test.request)
			var failure *relay.Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.NotSent, "%v", err)
			require.True(t, failure.NotRun, "%v", err)
		})
	}
	require.Zero(t, runs)
}

// failingReader returns an error from Read. If failAfter is set, Read first waits
// until it is closed.
type failingReader struct{ failAfter <-chan struct{} }

func (r failingReader) Read([]byte) (int, error) {
	if r.failAfter != nil {
		<-r.failAfter
	}
	return 0, errors.New("broken")
}

func TestRefusedIsNotRun(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "a", FailureDomain: "toronto"}})
	b := fleettest.Start(t, ca, fleet.Options{Self: host.Identity{ID: "b", FailureDomain: "detroit"}})
	client := &relay.Client{Streams: a}
	_, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, t.Context(), http.MethodGet, "/", nil))
	var failure *relay.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.NotRun, "%v", err)
	require.False(t, failure.NotSent)
}

func TestCancellationReachesHandler(t *testing.T) {
	for _, when := range []string{"before the response", "by deadline", "during the response", "by closing the body"} {
		t.Run(when, func(t *testing.T) {
			started, ended, returned := make(chan struct{}), make(chan struct{}), make(chan struct{})
			client, b := startPair(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(when, "body") || strings.Contains(when, "during") {
					w.(http.Flusher).Flush()
				}
				close(started)
				<-r.Context().Done()
				close(ended)
				<-returned // Send does not depend on a response at the deadline
			})
			ctx, cancel := context.WithCancel(t.Context())
			if when == "by deadline" {
				ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
			}
			defer cancel()
			if when == "before the response" {
				go func() { <-started; cancel() }()
			}
			response, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, ctx, http.MethodGet, "/", nil))
			close(returned)
			switch when {
			case "during the response":
				require.NoError(t, err)
				cancel()
				_, err = io.ReadAll(response.Body)
				require.ErrorIs(t, err, context.Canceled)
			case "by closing the body":
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			default:
				require.Error(t, err)
			}
			<-ended
		})
	}
}

func TestTruncatedRequestBody(t *testing.T) {
	started, seen := make(chan struct{}), make(chan error, 1)
	client, b := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, len("half")))
		close(started)
		_, err := io.ReadAll(r.Body)
		seen <- err
	})
	body := io.MultiReader(strings.NewReader("half"), failingReader{failAfter: started})
	_, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, t.Context(), http.MethodPost, "/", body))
	var failure *relay.Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.NotSent)
	require.Error(t, <-seen)
}

func TestEarlyResponseEndsUpload(t *testing.T) {
	client, b := startPair(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	go func() { _, _ = writer.Write([]byte("first")) }()
	response, err := client.Send(b.Addr(), relay.Metadata{}, newRequest(t, t.Context(), http.MethodPost, "/", reader))
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, response.StatusCode)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}
