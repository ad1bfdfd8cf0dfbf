package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// connKey identifies the connection to one address for one purpose.
type connKey struct {
	addr    netip.AddrPort
	purpose purpose
}

// peer holds the connection to one address for one purpose. Concurrent callers
// share one attempt to connect; after a failed attempt the next one is delayed.
type peer struct {
	transport *Transport
	key       connKey
	slots     chan struct{} // one element per message or stream in flight

	mu       sync.Mutex
	conn     *peerConn
	dialDone chan struct{} // closed when the current attempt ends; nil if there is none
	failures int           // consecutive failed attempts
	lastErr  error         // error of the last attempt; nil if it succeeded
	nextDial time.Time     // earliest time of the next attempt
}

// peerLocked returns the peer of a key, which it creates if needed. The caller
// holds t.mu.
func (t *Transport) peerLocked(key connKey) *peer {
	p, ok := t.peers[key]
	if !ok {
		limit := t.options.MaxCallsPerPeer
		if key.purpose == purposeStreams {
			limit = t.options.MaxStreamsPerPeer
		}
		p = &peer{transport: t, key: key, slots: make(chan struct{}, limit)}
		t.peers[key] = p
	}
	return p
}

func (t *Transport) peer(key connKey) (*peer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, &ClosedError{}
	}
	return t.peerLocked(key), nil
}

// useIncoming makes an incoming connection the current one, unless a usable
// connection to the same process exists. It resets the delay of attempts.
func (p *peer) useIncoming(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.usable(time.Now()) && p.conn.remote.SameProcess(c.remote) {
		return
	}
	p.conn = c
	p.failures = 0
	p.nextDial = time.Time{}
}

func (p *peer) dropConn(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
}

// acquireSlot reserves a slot for one message or stream. It returns a *BusyError if
// none is free.
func (p *peer) acquireSlot() error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
		return &BusyError{Limit: cap(p.slots)}
	}
}

func (p *peer) releaseSlot() { <-p.slots }

// connect returns a usable connection. Concurrent callers share one attempt. It
// returns a *BackoffError at once until the delay after a failed attempt has
// passed.
func (p *peer) connect(ctx context.Context) (*peerConn, error) {
	for {
		p.mu.Lock()
		if p.conn != nil && p.conn.usable(time.Now()) {
			c := p.conn
			p.mu.Unlock()
			return c, nil
		}
		if p.dialDone == nil {
			if p.lastErr != nil && time.Now().Before(p.nextDial) {
				err := &BackoffError{Last: p.lastErr}
				p.mu.Unlock()
				return nil, err
			}
			p.dialDone = make(chan struct{})
			if !p.transport.spawn(p.dial) {
				p.dialDone = nil
				p.mu.Unlock()
				return nil, &ClosedError{}
			}
		}
		done := p.dialDone
		p.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if c, err, decided := p.dialResult(); decided {
			return c, err
		}
	}
}

// dialResult returns the result of the attempt that just ended. It reports false
// if the attempt succeeded but its connection is no longer usable.
func (p *peer) dialResult() (*peerConn, error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.usable(time.Now()) {
		return p.conn, nil, true
	}
	if p.lastErr != nil {
		return nil, p.lastErr, true
	}
	return nil, nil, false
}

// dial makes one attempt to connect. It does not depend on the contexts of the
// waiting callers.
func (p *peer) dial() {
	t := p.transport
	ctx, cancel := context.WithTimeout(t.lifetime, 2*handshakeTimeout)
	defer cancel()
	t.counters.dials.Inc(1)
	c, err := t.establish(ctx, p)
	if err != nil {
		t.counters.dialErrors.Inc(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialDone)
	p.dialDone = nil
	p.lastErr = err
	if err != nil {
		p.failures++
		p.nextDial = time.Now().Add(reconnectDelay(p.failures, rand.Float64()))
		return
	}
	p.failures = 0
	p.conn = c
}

// reconnectDelay returns the delay after a number of consecutive failures. It
// doubles from minReconnectDelay to maxReconnectDelay; jitter in [0, 1) scales the
// result between half of that value and all of it.
func reconnectDelay(failures int, jitter float64) time.Duration {
	delay := minReconnectDelay
	for i := 1; i < failures && delay < maxReconnectDelay; i++ {
		delay *= 2
	}
	delay = min(delay, maxReconnectDelay)
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// establish connects to the peer, exchanges identities and starts to accept the
// peer's streams.
func (t *Transport) establish(ctx context.Context, p *peer) (*peerConn, error) {
	quicConn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(p.key.addr), t.tlsConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	remote, err := t.sendHello(ctx, quicConn, p.key.purpose)
	if err != nil {
		_ = quicConn.CloseWithError(closeIdentity, err.Error())
		return nil, err
	}
	c := newPeerConn(quicConn, remote, true)
	c.peer = p
	if !t.addConn(c) {
		return nil, &ClosedError{}
	}
	if !t.spawn(func() { t.acceptStreams(c) }) {
		t.removeConn(c)
		return nil, &ClosedError{}
	}
	return c, nil
}

func remoteAddr(quicConn *quic.Conn) netip.AddrPort {
	udp, ok := quicConn.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	addr := udp.AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
