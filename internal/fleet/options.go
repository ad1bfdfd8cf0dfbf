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
	defaultMaxCallsPerPeer          = 256
	defaultMaxStreamsPerPeer        = 512
	maxIncomingStreamsPerConnection = 1024
	idleTimeout                     = 10 * time.Second
	keepAlivePeriod                 = 4 * time.Second
	handshakeTimeout                = 3 * time.Second
	sweepPeriod                     = 15 * time.Second
	unusedTimeout                   = 5 * time.Minute // after which the dialing side closes an unused connection
	unusedMargin                    = time.Minute     // by which the accepting side stops using it earlier
	minReconnectDelay               = 100 * time.Millisecond
	maxReconnectDelay               = 5 * time.Second
	initialStreamWindowBytes        = 64 << 10
	maxStreamWindowBytes            = 256 << 10
	// connectionWindowBytes holds the initial window of every stream, so that
	// streams whose bodies are not read do not block other streams.
	connectionWindowBytes    = (defaultMaxStreamsPerPeer + 1) * initialStreamWindowBytes
	applicationProtocol      = "peridotrail/1"
	defaultCallTimeout       = 5 * time.Second // for a call whose context has no deadline
	maxHelloFrameSize        = 4 << 10         // bytes
	maxStreamHeaderFrameSize = 64 << 10        // bytes
)

// Options configures a Transport.
type Options struct {
	Self   host.Identity
	Listen netip.AddrPort // UDP address; the zero value means Self.Fleet
	TLS    keys.Source

	// MaxFrameSize is the maximum size of one message in bytes. Zero means 2 MiB.
	MaxFrameSize int
	// MaxCallsPerPeer is the maximum number of messages in flight to one peer. Zero means 256.
	MaxCallsPerPeer int
	// MaxStreamsPerPeer is the maximum number of open streams to one peer. Zero means 512.
	MaxStreamsPerPeer int
	// Filter reports whether packets to and from a peer are passed on; the others
	// are dropped. If nil, all are passed. Tests and the emulator use it to
	// simulate partitions.
	Filter func(peer netip.AddrPort) bool

	Logger  log.Logger       // nil disables logging
	Metrics metrics.Registry // nil means a private registry
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
		InitialStreamReceiveWindow:     initialStreamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
		MaxIncomingStreams:             maxIncomingStreamsPerConnection,
		MaxIncomingUniStreams:          -1,
	}
}

// transportCounters are the counters of a Transport.
type transportCounters struct {
	calls       metrics.Counter
	callErrors  metrics.Counter
	handled     metrics.Counter
	panics      metrics.Counter
	refused     metrics.Counter
	connections metrics.Counter
	dials       metrics.Counter
	dialErrors  metrics.Counter
}

func newTransportCounters(registry metrics.Registry) transportCounters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("fleet."+name, registry)
	}
	return transportCounters{
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
