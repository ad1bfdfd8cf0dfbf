package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
)

// peerConn is one authenticated connection to a peer process.
type peerConn struct {
	quicConn      *quic.Conn
	remote        host.Identity
	purpose       purpose
	dialed        bool
	peer          *peer        // opens streams on the connection; nil if none does
	activeStreams atomic.Int32 // open streams in both directions
	lastUsed      atomic.Int64 // Unix nanoseconds
}

func newPeerConn(quicConn *quic.Conn, remote hello, dialed bool) *peerConn {
	c := &peerConn{quicConn: quicConn, remote: remote.Identity, purpose: remote.Purpose, dialed: dialed}
	c.markUsed()
	return c
}

func (c *peerConn) markUsed() { c.lastUsed.Store(time.Now().UnixNano()) }

func (c *peerConn) streamStarted() {
	c.activeStreams.Add(1)
	c.markUsed()
}

func (c *peerConn) streamEnded() {
	c.markUsed()
	c.activeStreams.Add(-1)
}

// unusedFor returns how long the connection has had no open stream.
func (c *peerConn) unusedFor(now time.Time) time.Duration {
	if c.activeStreams.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, c.lastUsed.Load()))
}

// usable reports whether new streams may be opened. The accepting side stops
// opening streams unusedMargin early, so that it opens none while the dialing side
// closes the connection as unused.
func (c *peerConn) usable(now time.Time) bool {
	if c.quicConn.Context().Err() != nil {
		return false
	}
	return c.dialed || c.unusedFor(now) < unusedTimeout-unusedMargin
}

func (c *peerConn) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.quicConn.CloseWithError(code, reason)
}

// acceptConn authenticates an incoming connection and serves its streams until it
// ends.
func (t *Transport) acceptConn(quicConn *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.lifetime, handshakeTimeout)
	remote, err := t.receiveHello(ctx, quicConn)
	cancel()
	if err != nil {
		t.counters.refused.Inc(1)
		t.warn("incoming connection rejected", host.ID(quicConn.RemoteAddr().String()), err)
		_ = quicConn.CloseWithError(closeIdentity, err.Error())
		return
	}
	c := newPeerConn(quicConn, remote, false)
	if !t.addConn(c) {
		return
	}
	t.acceptStreams(c)
}

// receiveHello checks the hello on the first stream of an incoming connection and
// replies with the identity of this process.
func (t *Transport) receiveHello(ctx context.Context, quicConn *quic.Conn) (hello, error) {
	stream, err := quicConn.AcceptStream(ctx)
	if err != nil {
		return hello{}, err
	}
	defer bindContext(ctx, stream)()
	var request requestFrame
	if err := ReadFrame(stream, &request, maxHelloFrameSize); err != nil {
		return hello{}, err
	}
	if request.Mode != modeHello {
		return hello{}, &IdentityError{Reason: "first stream is not a hello"}
	}
	remote, err := t.checkHello(quicConn, request.Body)
	if err != nil {
		return hello{}, err
	}
	body, err := Marshal(hello{Identity: t.self, Purpose: remote.Purpose})
	if err != nil {
		return hello{}, err
	}
	if err := WriteFrame(stream, replyFrame{Status: statusOK, Body: body}, maxHelloFrameSize); err != nil {
		return hello{}, err
	}
	return remote, stream.Close()
}

// sendHello sends the identity of this process on a new outgoing connection and
// returns the checked hello of the peer.
func (t *Transport) sendHello(ctx context.Context, quicConn *quic.Conn, purpose purpose) (hello, error) {
	stream, err := quicConn.OpenStreamSync(ctx)
	if err != nil {
		return hello{}, err
	}
	defer bindContext(ctx, stream)()
	body, err := Marshal(hello{Identity: t.self, Purpose: purpose})
	if err != nil {
		return hello{}, err
	}
	if err := WriteFrame(stream, requestFrame{Mode: modeHello, Body: body}, maxHelloFrameSize); err != nil {
		return hello{}, err
	}
	if err := stream.Close(); err != nil {
		return hello{}, err
	}
	var reply replyFrame
	if err := ReadFrame(stream, &reply, maxHelloFrameSize); err != nil {
		return hello{}, err
	}
	return t.checkHello(quicConn, reply.Body)
}

// checkHello compares the announced identity with the peer's certificate and with
// the latest incarnation seen of that host. It returns an *IdentityError if they
// don't match.
func (t *Transport) checkHello(quicConn *quic.Conn, body []byte) (hello, error) {
	var announced hello
	if err := Unmarshal(body, &announced); err != nil {
		return hello{}, err
	}
	identity := announced.Identity
	name, err := keys.NameOf(quicConn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return hello{}, err
	}
	if !name.Matches(identity) {
		text := identity.FailureDomain + "/" + string(identity.ID)
		expected := name.FailureDomain + "/" + string(name.Host)
		return hello{}, &IdentityError{Announced: text, Expected: expected, Reason: "not the name in the certificate"}
	}
	if identity.ID == t.self.ID {
		return hello{}, &IdentityError{Announced: string(identity.ID), Reason: "the peer has this host's own name"}
	}
	return announced, t.recordIncarnation(identity)
}

func (t *Transport) recordIncarnation(identity host.Identity) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if identity.Incarnation < t.latestIncarnations[identity.ID] {
		return &IdentityError{Announced: string(identity.ID), Reason: "a later incarnation is known"}
	}
	t.latestIncarnations[identity.ID] = identity.Incarnation
	return nil
}

// addConn adds a connection and closes those of earlier incarnations of its host.
// An incoming connection is also used for outgoing streams, but only if its packets
// come from the address that the peer announced. addConn reports false, and closes
// the connection, if the transport is closed.
func (t *Transport) addConn(c *peerConn) bool {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		c.close(closeNormal, "transport closed")
		return false
	}
	var replaced []*peerConn
	for other := range t.conns {
		if other.remote.ID == c.remote.ID && other.remote.Incarnation < c.remote.Incarnation {
			replaced = append(replaced, other)
		}
	}
	t.conns[c] = struct{}{}
	if !c.dialed && remoteAddr(c.quicConn) == c.remote.Fleet {
		c.peer = t.peerLocked(connKey{c.remote.Fleet, c.purpose})
	}
	t.mu.Unlock()
	if !c.dialed && c.peer != nil {
		c.peer.useIncoming(c)
	}
	t.counters.connections.Inc(1)
	for _, other := range replaced {
		other.close(closeReplaced, "a later incarnation connected")
	}
	return true
}

// acceptStreams serves the streams that the peer opens until the connection ends.
func (t *Transport) acceptStreams(c *peerConn) {
	defer t.removeConn(c)
	for {
		stream, err := c.quicConn.AcceptStream(t.lifetime)
		if err != nil {
			return
		}
		t.spawn(func() { t.serveIncoming(c, stream) })
	}
}

func (t *Transport) removeConn(c *peerConn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.closedTraffic.add(c.quicConn.ConnectionStats())
	t.mu.Unlock()
	t.counters.connections.Dec(1)
	if c.peer != nil {
		c.peer.dropConn(c)
	}
}

// bindContext makes blocked reads and writes of stream fail when ctx ends. The
// returned function stops this.
func bindContext(ctx context.Context, stream *quic.Stream) (stop func()) {
	stopAfterFunc := context.AfterFunc(ctx, func() {
		stream.CancelRead(quic.StreamErrorCode(CancelDeadline))
		stream.CancelWrite(quic.StreamErrorCode(CancelDeadline))
	})
	return func() { stopAfterFunc() }
}

// remoteCode returns the code with which the peer cancelled a stream. It reports
// false if err has another cause.
func remoteCode(err error) (CancelCode, bool) {
	var failure *quic.StreamError
	if errors.As(err, &failure) && failure.Remote {
		return CancelCode(failure.ErrorCode), true
	}
	return 0, false
}
