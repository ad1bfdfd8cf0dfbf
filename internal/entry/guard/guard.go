// Package guard detects requests with ambiguous framing on connections that are
// served by net/http.
//
// net/http drops Content-Length when Transfer-Encoding is present and joins
// folded lines, so a handler can detect neither. The guard parses the raw bytes of
// each connection and records the first violation. A handler calls Conn.Violation
// and refuses the request.
package guard

import (
	"context"
	"net"
	"sync/atomic"
)

// Conn is a connection whose request framing is checked. Only one goroutine at a
// time may call Read, as in net/http. Violation is safe for concurrent use.
type Conn struct {
	net.Conn
	scanner   scanner
	violation atomic.Uint32
}

// NewConn returns a Conn that reads from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scanner.scan(p[:n])
	if c.scanner.violation != ViolationNone {
		c.violation.Store(uint32(c.scanner.violation))
	}
	return n, err
}

// Violation returns the first violation in the bytes read so far. Because net/http
// reads ahead, a valid request before the violation may be refused as well, but an
// ambiguous request is never accepted.
func (c *Conn) Violation() Violation { return Violation(c.violation.Load()) }

// Listener wraps each accepted connection in a Conn.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

type contextKey struct{}

// ConnContext stores conn in ctx. It has the signature of http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if guarded, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, guarded)
	}
	return ctx
}

// FromContext returns the guarded connection of a request's context, nil if the
// connection is not guarded.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}
