package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"peridotrail/internal/socket"
)

const (
	// drainInterval is the time between looks at the connections that remain open during a
	// stop. It delays the end of a stop by at most this.
	drainInterval = 10 * time.Millisecond
	// lastReadTime is how long a stop waits for a request on an idle connection before it
	// closes the connection. Bytes that have arrived are read at once.
	lastReadTime = 2 * time.Millisecond
)

// connTracker knows the open connections of all servers of a host, and closes them in a stop.
//
// http.Server.Shutdown closes a connection as idle while the head of a request lies unread in
// it, or has been read in part. drain lets the goroutine that reads a connection decide: it
// tries to read once more, and closes the connection only if nothing has arrived. A request
// that arrives while the connection is being closed stays without a response: HTTP/1.1 has no
// way to tell a caller beforehand other than a response. It is safe for concurrent use.
type connTracker struct {
	mu        sync.Mutex // guards the fields below
	draining  bool
	listeners []net.Listener
	conns     map[*trackedConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{conns: map[*trackedConn]struct{}{}} }

// listener returns a listener whose connections are tracked. The server that accepts them must
// report their states with stateChanged, so no other wrapper may lie between them.
func (t *connTracker) listener(inner net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, inner)
	return &trackedListener{Listener: inner, tracker: t}
}

// stateChanged is the http.Server.ConnState hook.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*trackedConn); ok && state == http.StateIdle {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waiting = true
	}
}

// handler returns a handler whose responses during a stop ask the callers to send no further
// request on the connection. net/http closes it after the response.
func (t *connTracker) handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.isDraining() {
			w.Header().Set("Connection", "close")
		}
		inner.ServeHTTP(w, r)
	})
}

// drain closes the listeners, and each connection when it carries no request. It returns when
// all are closed or ctx has ended.
func (t *connTracker) drain(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	listeners := t.listeners
	t.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // the process ends, whether it succeeds or not
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for t.closeWaiting() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeWaiting lets the connections that wait for a request close. It returns the number of
// open connections.
func (t *connTracker) closeWaiting() int {
	t.mu.Lock()
	open := make([]*trackedConn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		c.closeIfWaiting()
	}
	return len(open)
}

func (t *connTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// trackedListener is a listener of a connTracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener. It returns http.ErrServerClosed during a stop.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		if l.tracker.isDraining() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	c := &trackedConn{Conn: conn, tracker: l.tracker, waiting: true}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = struct{}{}
	return c, nil
}

// trackedConn is a connection of a connTracker.
type trackedConn struct {
	net.Conn
	tracker *connTracker

	mu       sync.Mutex // guards the fields below; never held while Conn is read
	waiting  bool       // nothing was read since the connection was accepted or its last response
	closing  bool       // a stop wants the connection closed if no request has arrived
	deadline time.Time  // for reads, as the server has set it
}

// NetConn returns the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// closeIfWaiting ends the read of a connection that waits for a request, which then closes the
// connection if no request has arrived.
func (c *trackedConn) closeIfWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.closing {
		c.closing = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed
	}
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if c.expired() {
			return 0, err
		}
		last := c.resetDeadline()
		n, err = c.Conn.Read(p)
		if last && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !hasUnread(c.Conn) {
			_ = c.Close() // nothing was read that a response is due for
			return 0, io.EOF
		}
	}
	if n > 0 {
		c.received()
	}
	return n, err
}

// hasUnread reports whether bytes have arrived on a connection that were not read. A read whose
// deadline passes does not tell: bytes may arrive before its goroutine runs again.
func hasUnread(conn net.Conn) bool {
	raw, ok := socket.Raw(conn)
	if !ok {
		return false
	}
	unread := 0
	err := raw.Control(func(fd uintptr) {
		var first [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// expired reports whether the deadline that the server has set has passed.
func (c *trackedConn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// resetDeadline sets the deadline of the next read after a stop has ended one. last tells that
// the connection is to be closed if this read returns nothing.
func (c *trackedConn) resetDeadline() (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.deadline
	if last = c.waiting && c.closing; last {
		deadline = time.Now().Add(lastReadTime)
	}
	_ = c.Conn.SetReadDeadline(deadline) // an error means that it is closed
	return last
}

// received notes that a request, or a part of one, was read.
func (c *trackedConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline) // an error means that it is closed
	}
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.closing = at, false
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// CloseWrite lets net/http close a connection whose request it has not read to its end so that
// the caller still gets the response.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}
