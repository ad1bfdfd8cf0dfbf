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

// peerKey names a connection: the address of the peer and what is carried.
type peerKey struct {
	addr netip.AddrPort
	use  use
}

// peer holds the connection to one address for one use. It joins concurrent attempts to
// connect into one and spaces failed attempts.
type peer struct {
	transport *Transport
	key       peerKey
	underWay  chan struct{} // one element per message or stream

	mu       sync.Mutex
	link     *link
	dialing  chan struct{} // closed when the attempt under way ends
	failures int           // attempts failed in a row
	last     error         // failure of the last attempt
	next     time.Time     // earliest time of the next attempt
}

// peerLocked returns the peer of a key. The caller holds t.mu.
func (t *Transport) peerLocked(key peerKey) *peer {
	p, ok := t.peers[key]
	if !ok {
		limit := t.options.MaxCallsPerPeer
		if key.use == useStreams {
			limit = t.options.MaxStreamsPerPeer
		}
		p = &peer{transport: t, key: key, underWay: make(chan struct{}, limit)}
		t.peers[key] = p
	}
	return p
}

func (t *Transport) peer(key peerKey) (*peer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, &ClosedError{}
	}
	return t.peerLocked(key), nil
}

// offer makes an incoming link available unless a usable one exists.
func (p *peer) offer(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.link.usable(time.Now()) && p.link.remote.SameProcess(l.remote) {
		return
	}
	p.link = l
	p.failures = 0
	p.next = time.Time{}
}

func (p *peer) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
	}
}

// acquire reserves room for one message or stream. It returns a *BusyError at the bound.
func (p *peer) acquire() error {
	select {
	case p.underWay <- struct{}{}:
		return nil
	default:
		return &BusyError{Limit: cap(p.underWay)}
	}
}

func (p *peer) release() { <-p.underWay }

// connect returns a usable link. Concurrent callers share one attempt. While a
// failed attempt is recent it returns a *BackoffError at once.
func (p *peer) connect(ctx context.Context) (*link, error) {
	for {
		p.mu.Lock()
		if p.link != nil && p.link.usable(time.Now()) {
			l := p.link
			p.mu.Unlock()
			return l, nil
		}
		if p.dialing == nil {
			if p.last != nil && time.Now().Before(p.next) {
				err := &BackoffError{Last: p.last}
				p.mu.Unlock()
				return nil, err
			}
			p.dialing = make(chan struct{})
			if !p.transport.spawn(p.dial) {
				p.dialing = nil
				p.mu.Unlock()
				return nil, &ClosedError{}
			}
		}
		done := p.dialing
		p.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if l, err, settled := p.outcome(); settled {
			return l, err
		}
	}
}

// outcome returns the result of the attempt that just ended. It is not settled
// if the link has broken since.
func (p *peer) outcome() (*link, error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.link.usable(time.Now()) {
		return p.link, nil, true
	}
	if p.last != nil {
		return nil, p.last, true
	}
	return nil, nil, false
}

// dial makes one attempt, independent of the contexts of the waiting callers.
func (p *peer) dial() {
	t := p.transport
	ctx, cancel := context.WithTimeout(t.root, 2*handshakeTimeout)
	defer cancel()
	t.meters.dials.Inc(1)
	l, err := t.establish(ctx, p)
	if err != nil {
		t.meters.dialErrors.Inc(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing)
	p.dialing = nil
	p.last = err
	if err != nil {
		p.failures++
		p.next = time.Now().Add(reconnectDelay(p.failures, rand.Float64()))
		return
	}
	p.failures = 0
	p.link = l
}

// reconnectDelay doubles from reconnectBase to reconnectCap; jitter in [0, 1)
// picks a point between half of the delay and the whole.
func reconnectDelay(failures int, jitter float64) time.Duration {
	delay := reconnectBase
	for i := 1; i < failures && delay < reconnectCap; i++ {
		delay *= 2
	}
	delay = min(delay, reconnectCap)
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// establish connects to the peer and exchanges identities.
func (t *Transport) establish(ctx context.Context, p *peer) (*link, error) {
	connection, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(p.key.addr), t.tlsConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	remote, err := t.sendHello(ctx, connection, p.key.use)
	if err != nil {
		_ = connection.CloseWithError(closeIdentity, err.Error())
		return nil, err
	}
	l := newLink(connection, remote, true)
	l.owner = p
	if !t.adopt(l) {
		return nil, &ClosedError{}
	}
	if !t.spawn(func() { t.serve(l) }) {
		t.release(l)
		return nil, &ClosedError{}
	}
	return l, nil
}

func remoteAddr(connection *quic.Conn) netip.AddrPort {
	udp, ok := connection.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	addr := udp.AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
