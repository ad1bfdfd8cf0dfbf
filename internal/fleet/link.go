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

// link is one authenticated connection to a peer process.
type link struct {
	connection *quic.Conn
	remote     host.Identity
	use        use
	dialed     bool
	owner      *peer        // uses the link for messages, may be nil
	active     atomic.Int32 // streams under way
	lastUsed   atomic.Int64 // Unix nanoseconds
}

func newLink(connection *quic.Conn, remote hello, dialed bool) *link {
	l := &link{connection: connection, remote: remote.Identity, use: remote.Use, dialed: dialed}
	l.touch()
	return l
}

func (l *link) touch() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) begin() {
	l.active.Add(1)
	l.touch()
}

func (l *link) end() {
	l.touch()
	l.active.Add(-1)
}

// unusedFor returns for how long no stream has been under way.
func (l *link) unusedFor(now time.Time) time.Duration {
	if l.active.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, l.lastUsed.Load()))
}

// usable reports whether new streams may be opened. The accepting side stops
// early, so that it opens none while the dialing side closes an unused link.
func (l *link) usable(now time.Time) bool {
	if l.connection.Context().Err() != nil {
		return false
	}
	return l.dialed || l.unusedFor(now) < unusedTimeout-unusedMargin
}

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	_ = l.connection.CloseWithError(code, reason)
}

// accept authenticates an incoming connection and serves its streams.
func (t *Transport) accept(connection *quic.Conn) {
	ctx, cancel := context.WithTimeout(t.root, handshakeTimeout)
	remote, err := t.receiveHello(ctx, connection)
	cancel()
	if err != nil {
		t.meters.refused.Inc(1)
		t.warn("connection refused", host.ID(connection.RemoteAddr().String()), err)
		_ = connection.CloseWithError(closeIdentity, err.Error())
		return
	}
	l := newLink(connection, remote, false)
	if !t.adopt(l) {
		return
	}
	t.serve(l)
}

// receiveHello answers the first stream of an incoming connection.
func (t *Transport) receiveHello(ctx context.Context, connection *quic.Conn) (hello, error) {
	stream, err := connection.AcceptStream(ctx)
	if err != nil {
		return hello{}, err
	}
	defer bindContext(ctx, stream)()
	var request requestFrame
	if err := ReadFrame(stream, &request, helloFrameSize); err != nil {
		return hello{}, err
	}
	if request.Mode != modeHello {
		return hello{}, &IdentityError{Reason: "first stream is not a hello"}
	}
	remote, err := t.checkHello(connection, request.Body)
	if err != nil {
		return hello{}, err
	}
	body, err := Marshal(hello{Identity: t.self, Use: remote.Use})
	if err != nil {
		return hello{}, err
	}
	if err := WriteFrame(stream, replyFrame{Status: statusOK, Body: body}, helloFrameSize); err != nil {
		return hello{}, err
	}
	return remote, stream.Close()
}

// sendHello announces this process on a new outgoing connection.
func (t *Transport) sendHello(ctx context.Context, connection *quic.Conn, purpose use) (hello, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return hello{}, err
	}
	defer bindContext(ctx, stream)()
	body, err := Marshal(hello{Identity: t.self, Use: purpose})
	if err != nil {
		return hello{}, err
	}
	if err := WriteFrame(stream, requestFrame{Mode: modeHello, Body: body}, helloFrameSize); err != nil {
		return hello{}, err
	}
	if err := stream.Close(); err != nil {
		return hello{}, err
	}
	var reply replyFrame
	if err := ReadFrame(stream, &reply, helloFrameSize); err != nil {
		return hello{}, err
	}
	return t.checkHello(connection, reply.Body)
}

// checkHello compares the announced identity with the peer's certificate and
// with the incarnations seen before.
func (t *Transport) checkHello(connection *quic.Conn, body []byte) (hello, error) {
	var announced hello
	if err := Unmarshal(body, &announced); err != nil {
		return hello{}, err
	}
	identity := announced.Identity
	name, err := keys.NameOf(connection.ConnectionState().TLS.PeerCertificates[0])
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
	return announced, t.noteIncarnation(identity)
}

func (t *Transport) noteIncarnation(identity host.Identity) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if identity.Incarnation < t.incarnations[identity.ID] {
		return &IdentityError{Announced: string(identity.ID), Reason: "a later incarnation is known"}
	}
	t.incarnations[identity.ID] = identity.Incarnation
	return nil
}

// adopt records a link and closes those of earlier incarnations of its host. An
// incoming link is reused for messages to its peer only if its packets come from
// the address that the peer announced.
func (t *Transport) adopt(l *link) bool {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		l.close(closeNormal, "transport closed")
		return false
	}
	var replaced []*link
	for other := range t.links {
		if other.remote.ID == l.remote.ID && other.remote.Incarnation < l.remote.Incarnation {
			replaced = append(replaced, other)
		}
	}
	t.links[l] = struct{}{}
	if !l.dialed && remoteAddr(l.connection) == l.remote.Fleet {
		l.owner = t.peerLocked(peerKey{l.remote.Fleet, l.use})
	}
	t.mu.Unlock()
	if !l.dialed && l.owner != nil {
		l.owner.offer(l)
	}
	t.meters.connections.Inc(1)
	for _, other := range replaced {
		other.close(closeReplaced, "a later incarnation connected")
	}
	return true
}

// serve handles the streams that the peer opens until the connection ends.
func (t *Transport) serve(l *link) {
	defer t.release(l)
	for {
		stream, err := l.connection.AcceptStream(t.root)
		if err != nil {
			return
		}
		t.spawn(func() { t.handle(l, stream) })
	}
}

func (t *Transport) release(l *link) {
	t.mu.Lock()
	delete(t.links, l)
	t.past.add(l.connection.ConnectionStats())
	t.mu.Unlock()
	t.meters.connections.Dec(1)
	if l.owner != nil {
		l.owner.forget(l)
	}
}

// bindContext makes blocked reads and writes of stream fail when ctx ends. The
// returned function releases the binding.
func bindContext(ctx context.Context, stream *quic.Stream) (release func()) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(quic.StreamErrorCode(CancelDeadline))
		stream.CancelWrite(quic.StreamErrorCode(CancelDeadline))
	})
	return func() { stop() }
}

// remoteCode returns the code with which the peer cancelled a stream.
func remoteCode(err error) (CancelCode, bool) {
	var failure *quic.StreamError
	if errors.As(err, &failure) && failure.Remote {
		return CancelCode(failure.ErrorCode), true
	}
	return 0, false
}
