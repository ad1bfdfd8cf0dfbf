// Package callerconn enforces the limits on callers on the connections below net/http. It
// counts the bytes and lines of heads without parsing them: what is read before net/http calls
// the handler belongs to a head.
package callerconn

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/hostbudget"
)

const (
	// refusalTime is how long a caller that is refused has to read the refusal, while what
	// it still sends is discarded. net/http waits as long.
	refusalTime = 500 * time.Millisecond
	// refusalBytes limits what is discarded.
	refusalBytes = 256 << 10
	// idleReadBytes is the most that is read at a time while a connection is idle. A new
	// policy may lower the limit on heads while a read waits, so the first read is short;
	// most heads fit into it.
	idleReadBytes = 1 << 10
)

// refusals are written while no response is in progress. 408 and 503 promise that the request
// has not run, which holds because its head is incomplete.
var refusals = map[hostbudget.Verdict]string{
	hostbudget.TooSlow:  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	hostbudget.TooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	hostbudget.NoMemory: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	guard *Guard
	class hostbudget.Class

	mu        sync.Mutex // guards the fields below
	state     hostbudget.Connection
	pending   hostbudget.Verdict // to be carried out by the reader of the next head
	dead      bool               // nothing more is read or written
	closed    bool
	early     int64 // bytes of the next head that arrived during a request
	headBytes int64
	headLines int64
	headTaken int64 // bytes taken from the budget for the head
	taken     int64 // bytes taken for the request in progress
}

// Read implements net.Conn. In the head of a request it reads at most up to the limit.
func (c *conn) Read(p []byte) (int, error) {
	verdict, inHead, limit := c.beforeRead()
	if verdict != hostbudget.Keep {
		return 0, c.refuse(verdict)
	}
	if !inHead {
		n, err := c.TCPConn.Read(p)
		if n == 1 && len(p) == 1 {
			c.countEarly()
		}
		return n, err
	}
	n, err := c.TCPConn.Read(p[:min(int64(len(p)), limit)])
	if verdict := c.afterRead(p[:n]); verdict != hostbudget.Keep {
		return 0, c.refuse(verdict)
	}
	return n, err
}

// beforeRead returns why the connection ends, whether the next bytes may belong to a head, and
// how many of these may be read.
func (c *conn) beforeRead() (verdict hostbudget.Verdict, inHead bool, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return hostbudget.Close, false, 0
	}
	if c.state.Phase > hostbudget.Head {
		return hostbudget.Keep, false, 0
	}
	if c.pending != hostbudget.Keep {
		return c.pending, true, 0
	}
	limit = c.guard.bounds().HeaderBytes - c.headBytes
	if limit <= 0 {
		return hostbudget.TooLarge, true, 0
	}
	if c.state.Phase == hostbudget.Idle {
		limit = min(limit, idleReadBytes)
	}
	return hostbudget.Keep, true, limit
}

// countEarly counts a byte of the next head. net/http reads one byte at a time during a request,
// to notice that the caller has gone.
func (c *conn) countEarly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase <= hostbudget.Head {
		c.headBytes++ // the request has ended meanwhile
		return
	}
	c.early++
}

// afterRead counts bytes that were read in a head and returns why the connection ends.
func (c *conn) afterRead(p []byte) hostbudget.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase > hostbudget.Head {
		return hostbudget.Keep // the read began before the handler
	}
	if len(p) == 0 {
		return c.pending
	}
	if c.state.Phase == hostbudget.Idle {
		c.state.Phase, c.state.Since = hostbudget.Head, c.guard.clock()
		c.withdrawPending() // the caller has begun a request just in time
	}
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte{'\n'}))
	more := hostbudget.HeadCost(c.headBytes, c.headLines) - c.headTaken
	if more > 0 {
		if !c.guard.budget.Take(more) {
			return hostbudget.NoMemory
		}
		c.headTaken += more
	}
	return hostbudget.Keep
}

// withdrawPending withdraws a verdict that was not carried out. The caller holds mu.
func (c *conn) withdrawPending() {
	if c.pending != hostbudget.Keep {
		c.pending = hostbudget.Keep
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails only if the connection has ended
	}
}

// SetReadDeadline implements net.Conn. It does not withdraw a pending verdict.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != hostbudget.Keep && c.state.Phase <= hostbudget.Head {
		return nil
	}
	return c.TCPConn.SetReadDeadline(at)
}

// refuse ends the connection from within a read, so that no response is in progress. It
// returns the error for net/http.
func (c *conn) refuse(verdict hostbudget.Verdict) error {
	c.mu.Lock()
	wasDead := c.dead
	c.dead = true
	c.mu.Unlock()
	if wasDead {
		return io.EOF
	}
	c.guard.count(verdict)
	text, answer := refusals[verdict]
	if !answer {
		return io.EOF
	}
	// The connection ends whether or not the caller reads the refusal.
	_ = c.TCPConn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c.TCPConn, text); err != nil {
		return io.EOF
	}
	_ = c.CloseWrite()
	var discarded [4 << 10]byte
	for total := 0; total < refusalBytes; {
		n, err := c.TCPConn.Read(discarded[:])
		if err != nil {
			break
		}
		total += n
	}
	return io.EOF
}

// Write implements net.Conn. It writes pieces, so that callers that take none are noticed.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if !c.setBlocked(c.guard.clock()) {
			return written, net.ErrClosed
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+hostbudget.PieceBytes)])
		c.setBlocked(0)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// setBlocked records the start of the write of a piece, or its end. It returns false if the
// connection has been ended.
func (c *conn) setBlocked(since boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.BlockedSince = since
	return !c.dead
}

// ReadFrom hides the method of net.TCPConn, which would write past Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(writerOnly{c}, r) }

type writerOnly struct{ io.Writer }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed, c.dead = true, true
	if first {
		c.release()
	}
	c.mu.Unlock()
	if first {
		c.guard.remove(c)
	}
	return c.TCPConn.Close()
}

// release gives back the memory of the last request. The caller holds mu.
func (c *conn) release() {
	c.guard.budget.Give(c.headTaken + c.taken)
	c.headBytes, c.headLines, c.headTaken, c.taken = 0, 0, 0, 0
}

// awaitRequest begins the wait for the next request.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.release()
		c.state = hostbudget.Connection{Phase: hostbudget.Idle, Since: c.guard.clock()}
		if c.early > 0 {
			c.state.Phase, c.headBytes, c.early = hostbudget.Head, c.early, 0
		}
	}
}

// headComplete records that net/http has read a head. A verdict that was not carried out is
// withdrawn: the request is handled.
func (c *conn) headComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Phase, c.state.Since = hostbudget.Busy, c.guard.clock()
	c.withdrawPending()
}

// begin records that the handler is called, also for a request whose head was buffered together
// with the one before, of which net/http reports no state. It returns false if there is no
// memory for the request.
func (c *conn) begin() bool {
	c.headComplete()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.class == hostbudget.Internal {
		c.guard.budget.Charge(hostbudget.RequestBytes)
	} else if !c.guard.budget.Take(hostbudget.RequestBytes) {
		return false
	}
	c.taken += hostbudget.RequestBytes
	return true
}

// handled records that the handler has returned.
func (c *conn) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Phase, c.state.Since = hostbudget.Draining, c.guard.clock()
}
