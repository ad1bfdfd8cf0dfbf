package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn counts the bytes written to an upstream connection.
type conn struct {
	net.Conn
	written atomic.Int64
	sealed  atomic.Bool
	closed  sync.Once
	onClose func()
}

// Write implements net.Conn. The bytes count before the seal is checked and
// before they are sent: after seal, an unchanged count proves that nothing left
// and that nothing will.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// seal fails all later writes and returns the bytes counted so far.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	return c.written.Load()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// dialer opens at most limit() connections at a time.
type dialer struct {
	limit func() int
	open  atomic.Int64
	dial  net.Dialer
}

const dialTimeout = 5 * time.Second

func newDialer(o Options) *dialer {
	d := &dialer{limit: o.Limit, dial: net.Dialer{Timeout: dialTimeout}}
	if o.DialTimeout > 0 {
		d.dial.Timeout = o.DialTimeout
	}
	if o.SilenceTimeout > 0 {
		d.dial.KeepAliveConfig = probes(o.SilenceTimeout)
		d.dial.Control = userTimeout(o.SilenceTimeout)
	}
	return d
}

// silenceProbes is the number of unanswered probes that end a silent connection.
const silenceProbes = 2

// probes spreads the keep-alive probes over a timeout. The kernel counts whole
// seconds.
func probes(timeout time.Duration) net.KeepAliveConfig {
	interval := max(timeout/(silenceProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: silenceProbes}
}

// userTimeout bounds how long sent data may stay unacknowledged.
func userTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
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

// reserve takes the room of one connection.
func (d *dialer) reserve(limit int) bool {
	if d.open.Add(1) <= int64(limit) {
		return true
	}
	d.open.Add(-1)
	return false
}

func (d *dialer) release() { d.open.Add(-1) }

func (d *dialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limit := d.limit()
	if !d.reserve(limit) {
		return nil, &ConnectionLimitError{Address: address, Limit: limit}
	}
	raw, err := d.dial.DialContext(ctx, network, address)
	if err != nil {
		d.release()
		return nil, err
	}
	return &conn{Conn: raw, onClose: d.release}, nil
}
