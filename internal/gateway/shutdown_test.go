package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowListener delays the bytes that its connections read, as a busy processor delays the start
// of a handler, and notes when a connection is closed.
type slowListener struct {
	net.Listener
	delay  time.Duration
	closed sync.Map // remote address: time of the first Close
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, listener: l}, nil
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 { // net/http reads single bytes while a handler runs
		time.Sleep(c.listener.delay)
	}
	return n, err
}

// NetConn returns the connection itself.
func (c *slowConn) NetConn() net.Conn { return c.Conn }

func (c *slowConn) Close() error {
	c.listener.closed.LoadOrStore(c.RemoteAddr().String(), time.Now())
	return c.Conn.Close()
}

// keptCaller sends requests on one connection.
type keptCaller struct {
	conn  net.Conn
	in    *bufio.Reader
	ended bool // the last response asked for no further request on the connection
}

// request sends a request, the head in two parts with a pause between them. sent is the time at
// which the first was written.
func (c *keptCaller) request(pause time.Duration) (sent time.Time, err error) {
	_, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\n") // if it fails there is no response
	sent = time.Now()
	time.Sleep(pause)
	_, _ = io.WriteString(c.conn, "Host: h\r\n\r\n")
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return sent, err
	}
	c.ended = response.Close
	_, err = io.Copy(io.Discard, response.Body)
	return sent, err
}

// stopCase plays one stop with callers that go on sending. It returns how many requests were
// sent on kept connections before these were closed, and how many of them got no response.
func stopCase(t *testing.T, delay, pause time.Duration) (requests, unanswered int) {
	const callers = 40
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tracker, slow := newConnTracker(), &slowListener{Listener: inner, delay: delay}
	server := &http.Server{
		Handler:   tracker.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })),
		ConnState: tracker.stateChanged, IdleTimeout: 90 * time.Second, ReadHeaderTimeout: 30 * time.Second,
	}
	go func() { _ = server.Serve(tracker.listener(slow)) }()
	var mu sync.Mutex
	var running, warm sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		caller := &keptCaller{conn: conn, in: bufio.NewReader(conn)}
		warm.Add(1)
		running.Go(func() {
			_, err := caller.request(0)
			warm.Done()
			if err != nil {
				t.Error("the first request was not answered: ", err)
				return
			}
			<-stop
			time.Sleep(time.Duration(i) * time.Millisecond)
			for err == nil && !caller.ended {
				var sent time.Time
				sent, err = caller.request(pause)
				closed, ok := slow.closed.Load(conn.LocalAddr().String())
				if ok && !sent.Before(closed.(time.Time)) {
					return // sent after the host had closed the connection
				}
				mu.Lock()
				requests++
				if err != nil {
					unanswered++
				}
				mu.Unlock()
			}
		})
	}
	warm.Wait()
	time.Sleep(20 * time.Millisecond) // all connections are idle
	close(stop)
	time.Sleep(callers / 2 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	tracker.drain(ctx)
	require.NoError(t, server.Shutdown(ctx))
	running.Wait()
	return requests, unanswered
}

// A request that lay unread on a kept connection when the host stopped, or whose head had been
// read in part, got no response: the connection was closed as idle.
func TestStopAnswersRequestsThatWereNotRead(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		for _, parts := range []bool{false, true} {
			t.Run(fmt.Sprintf("delay %v, head in parts %t", delay, parts), func(t *testing.T) {
				t.Parallel()
				pause := time.Duration(0)
				if parts {
					pause = delay
				}
				requests, unanswered := stopCase(t, delay, pause)
				require.Positive(t, requests)
				require.Zero(t, unanswered, "of "+strconv.Itoa(requests))
			})
		}
	}
}
