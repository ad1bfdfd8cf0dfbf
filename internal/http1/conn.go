// Package http1 decides which HTTP/1.1 responses are well-formed and complete. Every HTTP client
// of a host reads its responses through it: net/http alone accepts some malformed heads, and can
// take a response that a reset cut short for one that ended with its connection.
package http1

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotrail/internal/socket"
)

// DialFunc opens a connection to address on the named network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial returns a DialFunc whose connections are of type *Conn.
func wrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// settleInterval is the time between two looks at a request that is still being sent when the
// end of its response arrives.
const settleInterval = 2 * time.Millisecond

// Conn is a client's connection on which http.Transport reads responses. Read returns a
// *MalformedError instead of the bytes of a malformed head, and a *ResetError instead of an
// io.EOF that does not complete the response. One goroutine may read while another writes.
type Conn struct {
	net.Conn
	writeFailed atomic.Bool
	requestSent atomic.Bool // the request was handed to Write
	closed      chan struct{}
	closeOnce   sync.Once

	mu   sync.Mutex // guards head; never held while Conn is read
	head headScanner
}

// NewConn returns a Conn that reads from and writes to inner.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner, closed: make(chan struct{})} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse says that a request is about to be sent: the next bytes that are read begin the
// head of its response.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestSent.Store(false)
	c.head.start()
}

// RequestSent says that the request was written. It has the signature of
// httptrace.ClientTrace.WroteRequest.
func (c *Conn) RequestSent(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		c.requestSent.Store(true)
	}
}

// received reports whether a whole head was read since the last call of ExpectResponse, and
// whether the body after it lasts until the connection ends.
func (c *Conn) received() (complete, untilClose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.complete, c.head.complete && !c.head.framing.length && !c.head.framing.encoded
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		malformed := c.head.scan(p[:n])
		c.mu.Unlock()
		if malformed != nil {
			return 0, malformed
		}
	}
	if n == 0 && err == io.EOF && !c.completesResponse() {
		return 0, &ResetError{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// completesResponse reports whether an end of the stream that was just read completes a response
// that lasts until then. It does if the peer's system has accepted the whole request. Otherwise it
// may come from a reset, whose error a socket reports only once, to a write if that comes first;
// or the peer closed the connection in the middle of the request, which ends in a reset when more
// of the request arrives.
//
// It waits until the request was accepted or the connection has ended. Other responses are not
// concerned: to them an end of the stream is an error, or comes after their own.
func (c *Conn) completesResponse() bool {
	if _, untilClose := c.received(); !untilClose {
		return true
	}
	for {
		sent := c.requestSent.Load()
		open, unacknowledged := c.state()
		if c.writeFailed.Load() || !open {
			return false
		}
		if sent && unacknowledged == 0 {
			return true
		}
		select {
		case <-c.closed:
			return false
		case <-time.After(settleInterval):
		}
	}
}

// state returns whether the socket may still be written to, which it may not after a reset, and
// how many bytes the peer has not acknowledged. Of a connection without a socket it is not known:
// it counts as open, with no such bytes.
func (c *Conn) state() (open bool, unacknowledged int) {
	raw, ok := socket.Raw(c.Conn)
	if !ok {
		return true, 0
	}
	err := raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(events, 0)
		open = err != nil || events[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) == 0
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	return err == nil && open, unacknowledged
}

// ResetError reports a connection that was reset, or ended before its request was sent. It is a
// syscall.ECONNRESET.
type ResetError struct{}

// Error implements error.
func (*ResetError) Error() string {
	return "the connection was reset, or ended before its request was sent"
}

// Unwrap returns syscall.ECONNRESET.
func (*ResetError) Unwrap() error { return syscall.ECONNRESET }
