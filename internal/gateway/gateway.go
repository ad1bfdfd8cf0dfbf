package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/changefeed"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/registration"
	"peridotrail/internal/replica"
)

// Store is what a gateway needs of the store.
type Store interface {
	kvstore.Feed
	kvstore.Registrar
}

// Options configures a Gateway. All fields are required.
type Options struct {
	Settings Settings
	Store    Store
	Schema   Schema
	Dialect  Dialect
	Logger   log.Logger
	Metrics  metrics.Registry
}

// Gateway is one entry host.
type Gateway struct {
	settings *liveSettings
	dialect  Dialect
	logger   log.Logger
	store    Store

	state      *state
	limits     *limits
	replica    *replica.Replica
	splitter   *splitter
	transports *transports
	counters   *counters
	lines      *lineBudget

	leaving  atomic.Bool // look-ups and readiness say that the host leaves
	refusing atomic.Bool // new requests are refused
}

// New returns a gateway that serves nothing yet.
func New(o Options) *Gateway {
	settings := newLiveSettings(o.Settings)
	g := &Gateway{
		settings: settings,
		dialect:  o.Dialect,
		logger:   o.Logger,
		store:    o.Store,
		limits:   newLimits(settings, o.Logger),
		splitter: newSplitter(),
		counters: newCounters(o.Metrics),
		lines:    &lineBudget{logger: o.Logger},
	}
	g.state = newState(settings, o.Schema, o.Logger, g.limits)
	g.transports = newTransports(g.connectionBound)
	g.state.onUpstreams = g.transports.retain
	g.replica = replica.New(replica.Options{
		Feed: o.Store, Handler: g.state, Logger: o.Logger,
		ProofInterval: part(o.Settings.KeyAge, proofPart), BatchPause: part(o.Settings.PolicyDelay, batchPart),
		Source: changefeed.NewClient(), MaxDelay: o.Settings.PolicyDelay,
	})
	return g
}

// connectionBound is this host's part of the connections to one upstream.
func (g *Gateway) connectionBound(service string) int {
	table := g.state.table.Load()
	if table == nil {
		return 1
	}
	known := table.Service(service)
	if known == nil || known.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, int(float64(known.MaxConnections)*fairPart)/max(1, len(*g.state.hosts.Load())))
}

// defaultConnections applies to upstreams whose service states no bound.
const defaultConnections = 64

// ready reports whether the host can serve requests.
func (g *Gateway) ready() bool {
	return g.state.table.Load() != nil && !g.leaving.Load()
}

const (
	// expiryInterval is how often absent members are looked for.
	expiryInterval = 200 * time.Millisecond
	// readyInterval is how often a starting host looks whether it can register.
	readyInterval = 20 * time.Millisecond
)

func (g *Gateway) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.state.expire()
		}
	}
}

// register waits until the host can serve, then keeps its entry alive.
func (g *Gateway) register(ctx context.Context) {
	for g.state.table.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyInterval):
		}
	}
	registration.Run(ctx, registration.Options{
		Store: g.store,
		Host: catalog.Host{
			Name: g.settings.get().Host, Entry: g.settings.get().ListenCallers, Peer: g.settings.get().ListenPeers, Loads: g.settings.get().ListenLoads,
			FailureDomain: g.settings.get().FailureDomain, Region: g.settings.get().Region,
			Incarnation: time.Now().UnixNano(),
		},
		Logger:   g.logger,
		TTL:      max(hostLeaseTTL, g.settings.get().LeastLeaseTTL),
		Interval: hostRenewal,
	})
}

// keysCurrent reports whether the keys in force are proved young enough.
func (g *Gateway) keysCurrent(now boottime.Instant) (age time.Duration, ok bool) {
	proof := g.replica.Proof()
	age = now.Sub(proof)
	return age, proof != 0 && age < g.settings.get().KeyAge-proofMargin
}

// Reload puts new settings in force. The name, the place and the listeners of a
// running host stay as they are.
func (g *Gateway) Reload(settings Settings) {
	if g.settings.replace(settings) {
		_ = level.Warn(g.logger).Log("event", "settings need a restart", "detail", "name, place or listeners differ")
	}
	g.state.republish()
	_ = level.Info(g.logger).Log("event", "settings reloaded")
}
