// Package http1 decides which HTTP/1.1 responses are well-formed and complete. Every HTTP client
// of a host reads its responses through it: net/http alone accepts some malformed heads, and can
// take a response that a reset cut short for one that ended with its connection.
package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"peridotrail/internal/socket"
)

// DialFunc opens a connection to address on the named network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are of type *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Conn is a client's connection on which http.Transport reads responses. Read returns a
// *MalformedError instead of the bytes of a malformed head, and a *ResetError instead of an
// io.EOF that is not known to be the peer's end of the stream. One goroutine may read while
// another writes.
type Conn struct {
	net.Conn
	writing     atomic.Int64 // calls of Write in progress
	writeFailed atomic.Bool

	mu   sync.Mutex // guards head; never held while Conn is read
	head headScanner
}

// NewConn returns a Conn that reads from and writes to inner.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse says that a request is about to be sent: the next bytes that are read begin the
// head of its response.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.start()
}

// received reports whether a whole head was read since the last call of ExpectResponse.
func (c *Conn) received() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.complete
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
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
	if n == 0 && err == io.EOF && !c.endedByPeer() {
		return 0, &ResetError{}
	}
	return n, err
}

// endedByPeer reports whether an end of the stream that was just read was sent by the peer. A
// socket reports the error of a reset once, to the call that comes first. If that is a write,
// reads after it return the end of the stream, whether the peer sent one or not.
func (c *Conn) endedByPeer() bool {
	writing := c.writing.Load() > 0 // before writeFailed: a write that ends in between has set that
	if c.writeFailed.Load() {
		return false
	}
	return !writing || c.open()
}

// open reports whether the socket may still be written to, which it may not after a reset.
func (c *Conn) open() bool {
	raw, ok := socket.Raw(c.Conn)
	if !ok {
		return false
	}
	open := false
	err := raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(events, 0)
		open = err == nil && events[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) == 0
	})
	return err == nil && open
}

// ResetError reports a connection whose end can't be told from a reset, because a write on it
// failed before. It is a syscall.ECONNRESET.
type ResetError struct{}

// Error implements error.
func (*ResetError) Error() string {
	return "the connection was reset, or ended after a write on it had failed"
}

// Unwrap returns syscall.ECONNRESET.
func (*ResetError) Unwrap() error { return syscall.ECONNRESET }
