package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotrail/internal/http1"
)

// conn is an upstream connection that counts the bytes written to it.
type conn struct {
	*http1.Conn
	written       atomic.Int64
	writesBlocked atomic.Bool
	closed        sync.Once
	onClose       func()
}

// Write implements net.Conn. It counts the bytes before it checks whether writes
// are blocked and before it sends them. Therefore an unchanged count after
// blockWrites proves that nothing was sent and that nothing will be sent.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.writesBlocked.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// blockWrites makes all later writes fail and returns the number of bytes counted
// so far.
func (c *conn) blockWrites() int64 {
	c.writesBlocked.Store(true)
	return c.written.Load()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// dialer holds at most limit() connections open at the same time.
type dialer struct {
	limit func() int
	open  atomic.Int64
	dial  http1.DialFunc
}

const dialTimeout = 5 * time.Second

func newDialer(o Options) *dialer {
	dial := o.Dial
	if dial == nil {
		dial = NewDialer(o.DialTimeout, o.DeadPeerTimeout).DialContext
	}
	return &dialer{limit: o.Limit, dial: dial}
}

// NewDialer returns a dialer with the timeouts of Options.
func NewDialer(timeout, deadPeerTimeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if timeout > 0 {
		d.Timeout = timeout
	}
	if deadPeerTimeout > 0 {
		d.KeepAliveConfig = keepAliveConfig(deadPeerTimeout)
		d.Control = setTCPUserTimeout(deadPeerTimeout)
	}
	return d
}

// keepAliveProbes is the number of unacknowledged keep-alive probes after which the
// kernel closes a connection.
const keepAliveProbes = 2

// keepAliveConfig distributes the keep-alive probes over the timeout. The interval
// is at least one second because the kernel counts whole seconds.
func keepAliveConfig(timeout time.Duration) net.KeepAliveConfig {
	interval := max(timeout/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// setTCPUserTimeout returns a net.Dialer.Control function that sets
// TCP_USER_TIMEOUT, which limits how long sent data may remain unacknowledged.
func setTCPUserTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// reserveConnection counts one more open connection. It returns false, without
// counting, if limit connections are open.
func (d *dialer) reserveConnection(limit int) bool {
	if d.open.Add(1) <= int64(limit) {
		return true
	}
	d.open.Add(-1)
	return false
}

func (d *dialer) releaseConnection() { d.open.Add(-1) }

func (d *dialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limit := d.limit()
	if !d.reserveConnection(limit) {
		return nil, &ConnectionLimitError{Address: address, Limit: limit}
	}
	raw, err := d.dial(ctx, network, address)
	if err != nil {
		d.releaseConnection()
		return nil, err
	}
	return &conn{Conn: http1.NewConn(raw), onClose: d.releaseConnection}, nil
}
