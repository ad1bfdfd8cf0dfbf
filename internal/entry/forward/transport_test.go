package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/http1"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// flakyServer responds to the first request of each connection. After it has read
// the second, it closes the connection without a response.
type flakyServer struct {
	listener net.Listener
	heads    atomic.Int64 // requests read
	conns    atomic.Int64
}

func newFlakyServer(t *testing.T) *flakyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &flakyServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *flakyServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.heads.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func (s *flakyServer) request(t *testing.T, method, body string) *http.Request {
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.listener.Addr().String()+"/", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set("X-Idempotency-Key", "k")
	return r
}

func sendAndReadAll(t *testing.T, transport http.RoundTripper, r *http.Request) {
	response, err := transport.RoundTrip(r)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// A request whose response was lost ran a second time: http.Transport sends requests of some
// methods, or with some headers, again by itself.
func TestTransportNeverResends(t *testing.T) {
	methods := []string{
		"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT", "PROPFIND", "UNKNOWN",
	}
	headers := map[string][]string{
		"no key": nil, "key": {"Idempotency-Key"}, "x-key": {"X-Idempotency-Key"},
		"keys": {"Idempotency-Key", "X-Idempotency-Key"}, "lower case": {"idempotency-key"},
	}
	for _, method := range methods {
		for header, names := range headers {
			for _, body := range []string{"", "adult"} {
				t.Run(method+" "+header+" "+body, func(t *testing.T) {
					s := newFlakyServer(t)
					transport := NewTransport(func() int { return 4 })
					defer transport.CloseIdleConnections()
					sendAndReadAll(t, transport, s.request(t, "POST", "warm"))
					r := s.request(t, method, body)
					r.Header = http.Header{}
					for _, name := range names {
						r.Header[name] = []string{"k"}
					}
					_, err := transport.RoundTrip(r)
					var failure *Error
					require.ErrorAs(t, err, &failure)
					require.Equal(t, problem.ExecutedUnknown, failure.Executed)
					require.Equal(t, PhaseSend, failure.Phase)
					require.Equal(t, int64(2), s.heads.Load())
					require.Equal(t, int64(1), s.conns.Load())
				})
			}
		}
	}
}

// A request that was written on one connection was written on a second one if http.Transport
// took it for replayable.
func TestSecondConnectionOfASentRequestIsRefused(t *testing.T) {
	violations := 0
	defer invariant.SetHandler(func(*invariant.Violation) { violations++ })()
	s := newFlakyServer(t)
	transport := NewTransport(func() int { return 4 })
	defer transport.CloseIdleConnections()
	sendAndReadAll(t, transport, s.request(t, "POST", "warm"))
	r := s.request(t, "GET", "")
	r.Body, r.GetBody = http.NoBody, nil
	_, err := track(transport.base, r)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, problem.ExecutedUnknown, failure.Executed)
	var resent *ResentError
	require.ErrorAs(t, err, &resent)
	require.Equal(t, 1, violations)
	require.Equal(t, int64(2), s.heads.Load())
}

// http.Transport itself resends the same request, which shows that
// TestTransportNeverResends can fail.
func TestNetHTTPTransportResends(t *testing.T) {
	s := newFlakyServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	sendAndReadAll(t, transport, s.request(t, "POST", "warm"))
	sendAndReadAll(t, transport, s.request(t, "POST", ""))
	require.Equal(t, int64(3), s.heads.Load())
}

func TestFramingOfEmptyBodiesIsUnchanged(t *testing.T) {
	for method, want := range map[string]string{"GET": "", "HEAD": "", "OPTIONS": "", "DELETE": "", "TRACE": "", "PROPFIND": "", "UNKNOWN": "", "POST": "0", "PUT": "0", "PATCH": "0"} {
		t.Run(method, func(t *testing.T) {
			seen := make(chan *http.Request, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r })}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			transport := NewTransport(func() int { return 4 })
			r, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String()+"/", http.NoBody)
			require.NoError(t, err)
			r.Header.Set("Idempotency-Key", "k")
			sendAndReadAll(t, transport, r)
			got := <-seen
			require.Empty(t, got.TransferEncoding)
			require.Equal(t, want, got.Header.Get("Content-Length"))
			require.Equal(t, "k", got.Header.Get("Idempotency-Key"))
		})
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	transport := NewTransport(func() int { return 4 })
	r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+address+"/", strings.NewReader("a"))
	require.NoError(t, err)
	_, err = transport.RoundTrip(r)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, problem.ExecutedNo, failure.Executed)
	require.Equal(t, PhaseConnect, failure.Phase)
	require.Zero(t, transport.OpenConnections())
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 8)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	transport := NewTransport(func() int { return 2 })
	send := func(ctx context.Context) error {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+listener.Addr().String()+"/", nil)
		response, err := transport.RoundTrip(r)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	ended := make(chan error, 2)
	for range 2 {
		go func() { ended <- send(t.Context()) }()
	}
	<-started
	<-started
	err = send(t.Context())
	var limit *ConnectionLimitError
	require.ErrorAs(t, err, &limit)
	var failure *Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, problem.ExecutedNo, failure.Executed)
	close(release)
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
}

// An upstream sends a second response on a connection after the first one. The
// next request must not receive it as its response.
func TestLateResponseIsNotReadByTheNextRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	late := make(chan struct{})
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				name := r.URL.Path[1:]
				response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name
				_, _ = io.WriteString(conn, response)
				if first && name == "a" {
					_, _ = io.WriteString(conn, response)
					_, _ = in.Peek(1) // the client closes the connection
					close(late)
				}
			}
			conn.Close()
		}
	}()
	transport := NewTransport(func() int { return 4 })
	defer transport.CloseIdleConnections()
	get := func(name string) string {
		r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+listener.Addr().String()+"/"+name, nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(r)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Equal(t, "a", get("a"))
	<-late
	require.Equal(t, "b", get("b"))
}

// After a failed request was reported as not executed, its write goroutine must
// not be able to send it.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: http1.NewConn(near), onClose: func() {}}
	tracker := &writeTracker{conn: c, writtenBefore: 0}
	require.Equal(t, problem.ExecutedNo, tracker.executed())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, c.Close())
}

// A request that must not be sent any more was written to a connection that it had waited for.
func TestSendCheckKeepsARequestFromBeingWritten(t *testing.T) {
	for _, warm := range []bool{false, true} {
		s := newFlakyServer(t)
		transport := NewTransport(func() int { return 4 })
		defer transport.CloseIdleConnections()
		if warm {
			sendAndReadAll(t, transport, s.request(t, "POST", "warm"))
		}
		heads := s.heads.Load()
		forbidden := errors.New("forbidden")
		r := s.request(t, "GET", "")
		_, err := transport.RoundTrip(r.WithContext(WithSendCheck(r.Context(), func() error { return forbidden })))
		var failure *Error
		require.ErrorAs(t, err, &failure)
		require.ErrorIs(t, err, forbidden)
		require.Equal(t, problem.ExecutedNo, failure.Executed)
		require.Equal(t, heads, s.heads.Load())

		r = s.request(t, "GET", "")
		sendAndReadAll(t, transport, r.WithContext(WithSendCheck(r.Context(), func() error { return nil })))
		require.Equal(t, heads+1, s.heads.Load())
	}
}
