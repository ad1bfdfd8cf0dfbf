package gateway

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/catalog"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/host"
)

const (
	// maxReceivedRelays limits the requests that this host sends for others at the same
	// time.
	maxReceivedRelays = 64
	// relayOpenTimeout limits the time until a connection to another host is open. It
	// covers the round trips of a handshake between the farthest regions.
	relayOpenTimeout = 150 * time.Millisecond
)

// relays carries requests between this host and others. A host that is cut off from its
// upstreams lets others send its requests. It is safe for concurrent use.
type relays struct {
	peers     *relayPeers
	client    *relay.Client
	transport *fleet.Transport
	keys      *keys.PublishedSource
	logger    log.Logger

	slots chan struct{} // one element per request that this host sends for another
}

// newRelays opens the UDP socket for relayed requests. handler serves those of other
// hosts.
func newRelays(settings Settings, incarnation int64, handler http.Handler, logger log.Logger, registry metrics.Registry) (*relays, error) {
	address, err := netip.ParseAddrPort(settings.ListenRelays)
	if err != nil {
		return nil, err
	}
	self := host.Identity{
		ID: host.ID(settings.Host), Incarnation: host.Incarnation(incarnation), FailureDomain: settings.FailureDomain,
		Region: settings.Region, Fleet: address,
	}
	source, err := keys.NewPublishedSource(keys.Name{Host: self.ID, FailureDomain: self.FailureDomain})
	if err != nil {
		return nil, err
	}
	transport, err := fleet.New(fleet.Options{Self: self, TLS: source, Logger: log.With(logger, "event", "host link"), Metrics: registry})
	if err != nil {
		return nil, err
	}
	r := &relays{
		peers:     newRelayPeers(settings.FailureDomain, settings.Region),
		client:    &relay.Client{Streams: openTimeout{transport}},
		transport: transport, keys: source, logger: logger,
		slots: make(chan struct{}, maxReceivedRelays),
	}
	server := &relay.Server{Handler: handler, Logger: log.With(logger, "event", "host link"), Metrics: registry}
	server.Register(transport)
	return r, nil
}

// relayCheckKey is the context key of a func() error that is called when a stream is open. Unless it returns
// nil, nothing is sent on the stream.
type relayCheckKey struct{}

// openTimeout limits the time to open a stream.
type openTimeout struct{ fleet.Streamer }

// OpenStream implements fleet.Streamer.
func (o openTimeout) OpenStream(ctx context.Context, address netip.AddrPort, kind fleet.Kind) (fleet.Stream, error) {
	opening, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	stream, err := o.Streamer.OpenStream(opening, address, kind)
	if err != nil {
		return nil, err
	}
	if check, ok := ctx.Value(relayCheckKey{}).(func() error); ok {
		if err := check(); err != nil {
			stream.CancelRead(fleet.CancelAbandoned)
			stream.CancelWrite(fleet.CancelAbandoned)
			_ = stream.Close() // nothing was sent
			return nil, err
		}
	}
	return stream, nil
}

// run serves the requests of other hosts until ctx ends.
func (r *relays) run(ctx context.Context) {
	if err := r.transport.Run(ctx); err != nil {
		_ = level.Error(r.logger).Log("event", "relays failed", "err", err)
	}
}

// authority returns the certificate to publish in this host's entry.
func (r *relays) authority() string { return base64.StdEncoding.EncodeToString(r.keys.Authority()) }

// setHosts replaces the hosts to which this host may relay and whose requests it accepts.
func (r *relays) setHosts(hosts []catalog.Host, self string) {
	var authorities []string
	for _, h := range hosts {
		if h.Name == self || h.RelayAuthority == "" {
			continue
		}
		der, err := base64.StdEncoding.DecodeString(h.RelayAuthority)
		if err != nil {
			_ = level.Warn(r.logger).Log("event", "authority rejected", "peer", h.Name, "err", err)
			continue
		}
		authorities = append(authorities, string(der))
	}
	if err := r.keys.Trust(authorities); err != nil {
		_ = level.Warn(r.logger).Log("event", "authority rejected", "peer", "", "err", err)
	}
	r.peers.setHosts(hosts, self)
}

// begin counts a request that this host sends for another. It returns false if there are
// too many. Otherwise the caller must call end.
func (r *relays) begin() bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *relays) end() { <-r.slots }

// drain takes all slots, so that begin returns false from then on. It returns when this
// host sends no more requests for others, or when ctx ends.
func (r *relays) drain(ctx context.Context) {
	for range cap(r.slots) {
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// relayResult returns the result of a relayed request that ended without a response.
func relayResult(err error) (result result, unreachable bool) {
	var failure *relay.Error
	if errors.As(err, &failure) && failure.NotRun {
		return resultNotRun, failure.NotSent
	}
	return resultUnknown, true
}
