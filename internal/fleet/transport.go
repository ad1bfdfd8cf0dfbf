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
// TLS. It keeps one connection to each active peer for messages and another for
// streams, and opens one QUIC stream for each message and each stream. It never
// sends a message twice. It implements Caller, Registry, Streamer and
// StreamRegistry and is safe for concurrent use.
type Transport struct {
	options  Options
	self     host.Identity
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	counters transportCounters

	handlers map[Kind]Handler       // written before Run only
	streams  map[Kind]StreamHandler // written before Run only

	lifetime   context.Context // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                 sync.Mutex
	closed             bool
	peers              map[connKey]*peer
	conns              map[*peerConn]struct{}
	latestIncarnations map[host.ID]host.Incarnation // highest seen
	closedTraffic      Traffic                      // of connections that have ended
}

// New opens the UDP socket. The transport accepts connections once Run is called.
// If the port of options.Self.Fleet is zero, the address of the socket replaces it.
func New(options Options) (*Transport, error) {
	options = options.withDefaults()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "open fleet socket")
	}
	lifetime, cancel := context.WithCancel(context.Background())
	t := &Transport{
		options:            options,
		self:               options.Self,
		socket:             socket,
		counters:           newTransportCounters(options.Metrics),
		handlers:           map[Kind]Handler{},
		streams:            map[Kind]StreamHandler{},
		lifetime:           lifetime,
		cancel:             cancel,
		peers:              map[connKey]*peer{},
		conns:              map[*peerConn]struct{}{},
		latestIncarnations: map[host.ID]host.Incarnation{},
	}
	if t.self.Fleet.Port() == 0 {
		t.self.Fleet = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	if options.Filter != nil {
		t.socket = &filteredConn{PacketConn: socket, allow: options.Filter}
	}
	t.quic = &quic.Transport{Conn: t.socket, StatelessResetKey: statelessResetKey(options.TLS)}
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
	t.spawn(func() { t.sweepPeriodically(ctx) })
	for {
		quicConn, err := listener.Accept(ctx)
		if err != nil {
			return t.Close()
		}
		t.spawn(func() { t.acceptConn(quicConn) })
	}
}

// Close ends all connections and waits for the handlers to return. Messages
// in flight fail.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	conns := make([]*peerConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	t.cancel()
	for _, c := range conns {
		c.close(closeNormal, "transport closed")
	}
	err := t.quic.Close()
	_ = t.socket.Close()
	t.goroutines.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. It reports false, and does not
// run f, if the transport is closed.
func (t *Transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(f)
	return true
}

// tlsConfig returns a configuration that reads the current material at each
// handshake, so that rotated certificates take effect without a restart.
func (t *Transport) tlsConfig() *tls.Config {
	source := t.options.TLS
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{applicationProtocol},
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Host certificates carry no DNS name, so the standard verification can't
		// be used. VerifyConnection checks the chain on both sides, and checkHello
		// checks the name.
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

// statelessResetKey derives the key of stateless resets from the host's private key,
// so that a restarted process can reset the connections of its predecessor. It
// returns nil if the private key can't be encoded.
func statelessResetKey(source keys.Source) *quic.StatelessResetKey {
	raw, err := x509.MarshalPKCS8PrivateKey(source.Current().Certificate.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("peridotrail stateless reset\x00"), raw...)))
	return &key
}

// Traffic counts the UDP packets sent and received, and the bytes of their payload.
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

// Traffic returns the total of all connections since the transport was created.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.closedTraffic
	for c := range t.conns {
		total.add(c.quicConn.ConnectionStats())
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

// sweepPeriodically runs sweep until ctx or the transport ends.
func (t *Transport) sweepPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.lifetime.Done():
			return
		case now := <-ticker.C:
			t.sweep(now)
		}
	}
}

// sweep closes connections whose peer's certificate is no longer accepted, and
// dialed connections that are unused.
func (t *Transport) sweep(now time.Time) {
	t.mu.Lock()
	conns := make([]*peerConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	material := t.options.TLS.Current()
	for _, c := range conns {
		chain := c.quicConn.ConnectionState().TLS.PeerCertificates
		if _, err := material.Verify(chain, now); err != nil {
			t.warn("peer certificate no longer accepted", c.remote.ID, err)
			c.close(closeRevoked, "certificate no longer accepted")
			continue
		}
		if c.dialed && c.unusedFor(now) > unusedTimeout {
			c.close(closeUnused, "unused")
		}
	}
}

func (t *Transport) warn(message string, peer host.ID, err error) {
	_ = level.Warn(t.logger()).Log("msg", message, "peer", peer, "err", err)
}

func (t *Transport) logger() log.Logger {
	return log.With(t.options.Logger, "component", "fleet")
}

// filteredConn drops the packets to and from peers that allow rejects.
type filteredConn struct {
	net.PacketConn
	allow func(netip.AddrPort) bool
}

func (c *filteredConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.PacketConn.ReadFrom(buffer)
		if err != nil || c.allow(addr.(*net.UDPAddr).AddrPort()) {
			return n, addr, err
		}
	}
}

func (c *filteredConn) WriteTo(packet []byte, addr net.Addr) (int, error) {
	if !c.allow(addr.(*net.UDPAddr).AddrPort()) {
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
