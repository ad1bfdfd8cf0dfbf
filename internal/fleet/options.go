package fleet

import (
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
)

const (
	defaultMaxCallsPerPeer   = 256
	defaultMaxStreamsPerPeer = 512
	maxIncomingStreams       = 1024 // of one connection
	idleTimeout              = 10 * time.Second
	keepAlivePeriod          = 4 * time.Second
	handshakeTimeout         = 3 * time.Second
	sweepPeriod              = 15 * time.Second
	unusedTimeout            = 5 * time.Minute // the dialing side closes a connection unused for longer
	unusedMargin             = time.Minute     // the accepting side stops using it earlier by this much
	reconnectBase            = 100 * time.Millisecond
	reconnectCap             = 5 * time.Second
	initialStreamWindow      = 64 << 10  // bytes
	maxStreamWindow          = 256 << 10 // bytes
	// streamConnectionWindow leaves room for the first window of every stream, so
	// that bodies which are not read stop no other stream.
	streamConnectionWindow   = (defaultMaxStreamsPerPeer + 1) * initialStreamWindow // bytes
	applicationProtocol      = "peridotrail/1"
	defaultCallTimeout       = 5 * time.Second // of a call whose context has no deadline
	helloFrameSize           = 4 << 10         // bytes
	streamHeaderFrameMaxSize = 64 << 10        // bytes
)

// Options configures a Transport.
type Options struct {
	Self   host.Identity
	Listen netip.AddrPort // UDP address; Self.Fleet if not valid
	TLS    keys.Source

	// MaxFrameSize bounds one message, in bytes. Zero means 2 MiB.
	MaxFrameSize int
	// MaxCallsPerPeer bounds the messages under way to one peer. Zero means 256.
	MaxCallsPerPeer int
	// MaxStreamsPerPeer bounds the streams under way to one peer. Zero means 512.
	MaxStreamsPerPeer int
	// Filter reports whether packets to and from a peer are carried. Nil carries
	// all. Tests and the emulator cut links with it.
	Filter func(peer netip.AddrPort) bool

	Logger  log.Logger       // nil logs nothing
	Metrics metrics.Registry // nil counts in a private registry
}

func (o Options) withDefaults() Options {
	if !o.Listen.IsValid() {
		o.Listen = o.Self.Fleet
	}
	if o.MaxFrameSize == 0 {
		o.MaxFrameSize = defaultMaxFrameSize
	}
	if o.MaxCallsPerPeer == 0 {
		o.MaxCallsPerPeer = defaultMaxCallsPerPeer
	}
	if o.MaxStreamsPerPeer == 0 {
		o.MaxStreamsPerPeer = defaultMaxStreamsPerPeer
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: streamConnectionWindow,
		MaxConnectionReceiveWindow:     streamConnectionWindow,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// meters are the transport's metrics.
type meters struct {
	calls       metrics.Counter
	callErrors  metrics.Counter
	handled     metrics.Counter
	panics      metrics.Counter
	refused     metrics.Counter
	connections metrics.Counter
	dials       metrics.Counter
	dialErrors  metrics.Counter
}

func newMeters(registry metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("fleet."+name, registry)
	}
	return meters{
		calls:       counter("calls"),
		callErrors:  counter("call.errors"),
		handled:     counter("handled"),
		panics:      counter("handler.panics"),
		refused:     counter("refused"),
		connections: counter("connections"),
		dials:       counter("dials"),
		dialErrors:  counter("dial.errors"),
	}
}
