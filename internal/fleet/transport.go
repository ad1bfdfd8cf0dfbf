package fleet

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
)

// Application error codes with which connections are closed.
const (
	closeNormal   quic.ApplicationErrorCode = 0
	closeIdentity quic.ApplicationErrorCode = 1 // identity not accepted
	closeReplaced quic.ApplicationErrorCode = 2 // a later incarnation connected
	closeUnused   quic.ApplicationErrorCode = 3
	closeRevoked  quic.ApplicationErrorCode = 4 // certificate no longer accepted
)

// Transport carries messages and streams between hosts over QUIC with mutual
// TLS. It keeps one connection to each peer in use for messages, one for streams,
// and opens one QUIC stream for each of them.
// It never sends a message twice. It implements Caller, Registry, Streamer and
// StreamRegistry and is safe for concurrent use.
type Transport struct {
	options  Options
	self     host.Identity
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	meters   meters

	handlers map[Kind]Handler       // written before Run only
	streams  map[Kind]StreamHandler // written before Run only

	root   context.Context // ends when the transport closes
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	peers        map[peerKey]*peer
	links        map[*link]struct{}
	incarnations map[host.ID]host.Incarnation // highest seen
	past         Traffic                      // of connections that ended
}

// New opens the UDP socket and accepts no connection until Run. If the port of
// options.Self.Fleet is zero, the address of the socket takes its place.
func New(options Options) (*Transport, error) {
	options = options.withDefaults()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "open fleet socket")
	}
	root, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options:      options,
		self:         options.Self,
		socket:       socket,
		meters:       newMeters(options.Metrics),
		handlers:     map[Kind]Handler{},
		streams:      map[Kind]StreamHandler{},
		root:         root,
		cancel:       cancel,
		peers:        map[peerKey]*peer{},
		links:        map[*link]struct{}{},
		incarnations: map[host.ID]host.Incarnation{},
	}
	if t.self.Fleet.Port() == 0 {
		t.self.Fleet = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	if options.Filter != nil {
		t.socket = &filteredConn{PacketConn: socket, pass: options.Filter}
	}
	t.quic = &quic.Transport{Conn: t.socket, StatelessResetKey: resetKey(options.TLS)}
	t.registerGauges()
	return t, nil
}

// Self returns the identity that this transport announces.
func (t *Transport) Self() host.Identity { return t.self }

// Handle implements Registry.
func (t *Transport) Handle(kind Kind, handler Handler) { t.handlers[kind] = handler }

// HandleStream implements StreamRegistry.
func (t *Transport) HandleStream(kind Kind, handler StreamHandler) { t.streams[kind] = handler }

// Run accepts connections until ctx ends, then closes the transport.
func (t *Transport) Run(ctx context.Context) error {
	listener, err := t.quic.Listen(t.tlsConfig(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	t.listener = listener
	t.spawn(func() { t.sweep(ctx) })
	for {
		connection, err := listener.Accept(ctx)
		if err != nil {
			return t.Close()
		}
		t.spawn(func() { t.accept(connection) })
	}
}

// Close ends all connections and waits for the handlers to return. Messages
// under way fail.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	links := make([]*link, 0, len(t.links))
	for l := range t.links {
		links = append(links, l)
	}
	t.mu.Unlock()
	t.cancel()
	for _, l := range links {
		l.close(closeNormal, "transport closed")
	}
	err := t.quic.Close()
	_ = t.socket.Close()
	t.work.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. It reports whether the
// transport is still open.
func (t *Transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.work.Go(f)
	return true
}

// tlsConfig reads the current material for each handshake, so that a rotation
// takes effect without a restart.
func (t *Transport) tlsConfig() *tls.Config {
	source := t.options.TLS
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{applicationProtocol},
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Host certificates carry no DNS name: VerifyConnection checks the chain
		// on both sides and the exchange of identities checks the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := source.Current().Verify(state.PeerCertificates, time.Now())
			return err
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return source.Current().Certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.Current().Certificate, nil
		},
	}
}

// resetKey derives the key of stateless resets from the host's private key, so
// that a restarted process can end the connections of its predecessor.
func resetKey(source keys.Source) *quic.StatelessResetKey {
	raw, err := x509.MarshalPKCS8PrivateKey(source.Current().Certificate.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("peridotrail stateless reset\x00"), raw...)))
	return &key
}

// Traffic counts datagram payload sent and received.
type Traffic struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

func (t *Traffic) add(stats quic.ConnectionStats) {
	t.BytesSent += stats.BytesSent
	t.BytesReceived += stats.BytesReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
}

// Traffic returns the traffic of all connections since the start.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.past
	for l := range t.links {
		total.add(l.connection.ConnectionStats())
	}
	return total
}

func (t *Transport) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = t.options.Metrics.Register("fleet."+name, metrics.NewFunctionalGauge(value))
	}
	gauge("bytes.out", func() int64 { return int64(t.Traffic().BytesSent) })
	gauge("bytes.in", func() int64 { return int64(t.Traffic().BytesReceived) })
}

// sweep closes connections that are unused or whose peer's certificate is no
// longer accepted.
func (t *Transport) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.root.Done():
			return
		case now := <-ticker.C:
			t.sweepOnce(now)
		}
	}
}

func (t *Transport) sweepOnce(now time.Time) {
	t.mu.Lock()
	links := make([]*link, 0, len(t.links))
	for l := range t.links {
		links = append(links, l)
	}
	t.mu.Unlock()
	material := t.options.TLS.Current()
	for _, l := range links {
		chain := l.connection.ConnectionState().TLS.PeerCertificates
		if _, err := material.Verify(chain, now); err != nil {
			t.warn("peer certificate no longer accepted", l.remote.ID, err)
			l.close(closeRevoked, "certificate no longer accepted")
			continue
		}
		if l.dialed && l.unusedFor(now) > unusedTimeout {
			l.close(closeUnused, "unused")
		}
	}
}

func (t *Transport) warn(message string, peer host.ID, err error) {
	_ = level.Warn(t.logger()).Log("msg", message, "peer", peer, "err", err)
}

func (t *Transport) logger() log.Logger {
	return log.With(t.options.Logger, "component", "fleet")
}

// filteredConn drops packets that the filter does not let pass.
type filteredConn struct {
	net.PacketConn
	pass func(netip.AddrPort) bool
}

func (c *filteredConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.PacketConn.ReadFrom(buffer)
		if err != nil || c.pass(addr.(*net.UDPAddr).AddrPort()) {
			return n, addr, err
		}
	}
}

func (c *filteredConn) WriteTo(packet []byte, addr net.Addr) (int, error) {
	if !c.pass(addr.(*net.UDPAddr).AddrPort()) {
		return len(packet), nil
	}
	return c.PacketConn.WriteTo(packet, addr)
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *filteredConn) SetReadBuffer(size int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(size)
}

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *filteredConn) SetWriteBuffer(size int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(size)
}
