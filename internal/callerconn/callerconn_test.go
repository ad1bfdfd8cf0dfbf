package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/hostbudget"
)

const testWait = 10 * time.Second

// server is a guarded server. Its bounds can change while it runs.
type server struct {
	t       *testing.T
	address string
	budget  *hostbudget.Budget
	bounds  atomic.Pointer[hostbudget.Bounds]
	handled atomic.Int64
	ahead   atomic.Int64 // by how much the clock of the guard is ahead, in nanoseconds
}

func start(t *testing.T, limits hostbudget.Limits, bounds hostbudget.Bounds, handler http.HandlerFunc) *server {
	t.Helper()
	s := &server{t: t, budget: hostbudget.New(limits)}
	s.bounds.Store(&bounds)
	guard := NewGuard(Options{
		Budget: s.budget, Bounds: func() hostbudget.Bounds { return *s.bounds.Load() },
		Logger: log.NewNopLogger(), Metrics: metrics.NewRegistry(),
		Clock: func() boottime.Instant { return boottime.Now().Add(time.Duration(s.ahead.Load())) },
	})
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = inner.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		handler(w, r)
	})}
	listener := guard.Serve(web, inner, hostbudget.Callers, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { guard.Run(ctx); close(stopped) }()
	go func() { _ = web.Serve(listener) }() // ends with Close
	t.Cleanup(func() {
		_ = web.Close()
		stop()
		<-stopped
		require.Eventually(t, func() bool { _, usage := s.budget.Snapshot(); return usage == hostbudget.Usage{} }, testWait, 10*time.Millisecond, "all is given back")
	})
	return s
}

func succeed(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func (s *server) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetReadDeadline(time.Now().Add(testWait)))
	return conn, bufio.NewReader(conn)
}

// status reads one response and returns its status; zero if the connection ended instead.
func status(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		var timeout net.Error
		require.NotErrorAs(t, err, &timeout, "neither a response nor the end of the connection")
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

func wide() hostbudget.Limits { return hostbudget.LimitsFor(0, 0) }

func bounds() hostbudget.Bounds {
	return hostbudget.Bounds{HeaderBytes: 16384, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

// head returns a head of exactly n bytes.
func head(n int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: h\r\nX: ", "\r\n\r\n"
	return begin + strings.Repeat("x", n-len(begin)-len(end)) + end
}

// Guards against heads beyond the limit that are served, and heads within it that are not, also
// when they are followed by a body, on a reused connection and after a change of the policy.
func TestHeadsAreBoundedToTheByte(t *testing.T) {
	s := start(t, wide(), bounds(), succeed)
	tests := []struct{ size, want int }{{16385, 431}, {60000, 431}}
	for range 100 { // net/http reads on, at the limit, while it calls the handler
		tests = append(tests, struct{ size, want int }{16384, 200})
	}
	for _, test := range tests {
		conn, reader := s.dial()
		_, err := io.WriteString(conn, head(300))
		require.NoError(t, err)
		require.Equal(t, 200, status(t, reader))
		_, err = io.WriteString(conn, head(test.size))
		require.NoError(t, err)
		require.Equal(t, test.want, status(t, reader), "%d bytes", test.size)
	}
	conn, reader := s.dial()
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("b", 50000)+head(300))
	require.NoError(t, err)
	require.Equal(t, 200, status(t, reader), "the body does not count")
	require.Equal(t, 200, status(t, reader), "nor does it count for the next head")
	narrow := bounds()
	narrow.HeaderBytes = 2000
	s.bounds.Store(&narrow)
	_, err = io.WriteString(conn, head(3000))
	require.NoError(t, err)
	require.Equal(t, 431, status(t, reader), "the new policy is in force on the open connection")
}

// Guards against slow heads that are not refused, and against a refusal of a request that runs.
func TestSlowHeadsGet408AndDoNotRun(t *testing.T) {
	s := start(t, wide(), bounds(), succeed)
	conn, reader := s.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	short := bounds()
	short.HeaderTimeout = 10 * time.Millisecond
	s.bounds.Store(&short)
	require.Equal(t, 408, status(t, reader))
	require.Zero(t, s.handled.Load())
	_, err = reader.ReadByte()
	require.Error(t, err, "the connection is closed")
}

// Guards against responses that mix with a refusal: each of many requests that arrive about when
// the time for their head ends gets one whole response, and runs if and only if that is a 200.
func TestRefusalsAtTheEndOfTheHeaderTimeAreTrue(t *testing.T) {
	b := bounds()
	b.HeaderTimeout = 300 * time.Millisecond
	s := start(t, wide(), b, succeed)
	const n = 100
	got := make(chan int, n)
	for i := range n {
		conn, reader := s.dial()
		go func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
			time.Sleep(250*time.Millisecond + time.Duration(i)*4*time.Millisecond)
			_, _ = io.WriteString(conn, "\r\n") // the host may have refused
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				got <- 0
				return
			}
			_ = response.Body.Close()
			got <- response.StatusCode
		}()
	}
	counts := map[int]int64{}
	for range n {
		counts[<-got]++
	}
	require.Equal(t, s.handled.Load(), counts[200], "%v", counts)
	require.Equal(t, int64(n), counts[200]+counts[408], "%v", counts)
}

// Guards against idle connections that are never closed, and against a new policy that has no
// effect on them.
func TestIdleConnectionsEndWithTheNewPolicy(t *testing.T) {
	s := start(t, wide(), bounds(), succeed)
	conn, reader := s.dial()
	_, err := io.WriteString(conn, head(300))
	require.NoError(t, err)
	require.Equal(t, 200, status(t, reader))
	_, silent := s.dial()
	short := bounds()
	short.IdleTimeout = 10 * time.Millisecond
	s.bounds.Store(&short)
	require.Zero(t, status(t, reader))
	require.Zero(t, status(t, silent))
}

// Guards against connections in use that are closed to make room, and against a host that serves
// nobody beside idle ones.
func TestOnlyIdleConnectionsMakeRoom(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, hostbudget.Limits{Memory: 8 << 20, Connections: [2]int{2, 2}}, bounds(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-release
		}
		succeed(w, r)
	})
	busy, busyReader := s.dial()
	_, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	_, idleReader := s.dial()
	other, otherReader := s.dial()
	_, err = io.WriteString(other, head(300))
	require.NoError(t, err)
	require.Equal(t, 200, status(t, otherReader))
	require.Zero(t, status(t, idleReader), "the idle connection made room")
	close(release)
	require.Equal(t, 200, status(t, busyReader))
}

// Guards against a response that was cut off and looks complete to a caller of HTTP/1.0, for
// whom the end of the connection is the end of the response.
func TestCutResponseDoesNotLookComplete(t *testing.T) {
	s := start(t, wide(), bounds(), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 10000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	conn, _ := s.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}

// Guards against callers that hold a response, and with it an upstream's connection, without end,
// and against a response that ends as if it were complete.
func TestCallersThatReadNothingAreCutOff(t *testing.T) {
	const size = 64 << 20
	writing, failed := make(chan struct{}), make(chan error, 1)
	s := start(t, wide(), bounds(), func(w http.ResponseWriter, _ *http.Request) {
		close(writing)
		_, err := w.Write(make([]byte, size))
		failed <- err
	})
	conn, reader := s.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	<-writing
	select {
	case <-failed:
		t.Fatal("the write ended in calm, before the time had passed")
	case <-time.After(time.Second):
	}
	s.ahead.Store(int64(2 * time.Minute))
	select {
	case err := <-failed:
		require.Error(t, err)
	case <-time.After(testWait):
		t.Fatal("the caller was not cut off")
	}
	_, err = io.Copy(io.Discard, reader)
	require.Error(t, err)
}

// Guards against heads of many lines that take more than their bytes, and against a refusal that
// leaves memory taken (checked at the end of each test).
func TestHeadsWithoutMemoryGet503(t *testing.T) {
	s := start(t, hostbudget.Limits{Memory: 300 << 10, Connections: [2]int{10, 2}}, bounds(), succeed)
	conn, reader := s.dial()
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\r\n", 3000), "\r\n")
	require.NoError(t, err)
	require.Equal(t, 503, status(t, reader))
	require.Zero(t, s.handled.Load())
	require.Eventually(t, func() bool {
		conn, reader := s.dial()
		_, err := io.WriteString(conn, head(4000))
		require.NoError(t, err)
		return status(t, reader) == 200
	}, testWait, 50*time.Millisecond, "the memory of the refused head is free when its connection has ended")
}
