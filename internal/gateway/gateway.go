package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/boottime"
	"peridotrail/internal/callerconn"
	"peridotrail/internal/catalog"
	"peridotrail/internal/changefeed"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/hostbudget"
	"peridotrail/internal/http1"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/linkhealth"
	"peridotrail/internal/registration"
	"peridotrail/internal/replica"
	"peridotrail/internal/routing"
)

// Store is the part of the store client that a gateway uses.
type Store interface {
	kvstore.Feed
	kvstore.Registrar
	kvstore.Committer
}

// Options configures a Gateway. All fields but DialUpstream are required.
type Options struct {
	Settings Settings
	Store    Store
	Schema   Schema
	Dialect  Dialect
	Logger   log.Logger
	Metrics  metrics.Registry
	// DialUpstream opens a connection to an upstream; nil: TCP. Tests use it to simulate
	// partitions.
	DialUpstream http1.DialFunc
}

// Gateway is one entry host. Create it with New and start it with Run.
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
	metrics    *requestMetrics
	logLimiter *logLimiter
	links      *linkhealth.Tracker
	crashes    *crashProber
	budget     *hostbudget.Budget // memory and connections of callers
	guard      *callerconn.Guard
	bodies     *forward.PayloadBudget // memory for request bodies, part of budget
	dial       http1.DialFunc
	relays     *relays // nil if the host neither relays requests nor sends them for others; set before requests are served
	started    int64   // incarnation of this process
	conns      *connTracker

	shuttingDown atomic.Bool // the readiness check fails and callers are asked to close connections
	rejecting    atomic.Bool // new requests are rejected
	stop         *plannedStop
}

// New returns a gateway that listens on no address until Run is called.
func New(o Options) *Gateway {
	settings := newLiveSettings(o.Settings)
	g := &Gateway{
		settings:   settings,
		dialect:    o.Dialect,
		logger:     o.Logger,
		store:      o.Store,
		limits:     newLimits(settings, o.Logger, boottime.Now),
		splitter:   newSplitter(),
		metrics:    newRequestMetrics(o.Metrics),
		logLimiter: &logLimiter{logger: o.Logger},
		links:      linkhealth.NewTracker(),
		dial:       o.DialUpstream,
		started:    time.Now().UnixNano(),
		conns:      newConnTracker(),
		stop:       newPlannedStop(),
		budget:     hostbudget.New(o.Settings.callerLimits()),
	}
	g.bodies = forward.NewPayloadBudget(o.Settings.bodyMemory(), g.budget)
	g.guard = callerconn.NewGuard(callerconn.Options{Budget: g.budget, Bounds: g.callerBounds, Logger: o.Logger, Metrics: o.Metrics, Clock: boottime.Now})
	g.state = newState(settings, o.Schema, o.Logger, g.limits, boottime.Now, func() boottime.Instant { return g.replica.Proof() })
	if g.dial == nil {
		g.dial = forward.NewDialer(upstreamDialTimeout, upstreamSilenceTimeout).DialContext
	}
	g.crashes = newCrashProber(g.probeCrash, g.reportCrash)
	g.transports = newTransports(g.maxConnections, g.dialUpstream)
	g.state.onUpstreams = g.transports.retain
	g.state.onPolicy = func(table *routing.Table) { g.metrics.showPolicyProblems(len(table.Problems())) }
	g.replica = replica.New(replica.Options{
		Feed: o.Store, Handler: g.state, Logger: o.Logger,
		ProofInterval: scale(o.Settings.KeyAge, proofIntervalFraction), BatchPause: scale(o.Settings.PolicyDelay, batchDelayFraction),
		Source: changefeed.NewClient(), MaxDelay: o.Settings.PolicyDelay,
	})
	g.state.storeDoubted = g.replica.StoreDoubted
	g.metrics.showBodyMemory(g.bodies.Free)
	g.metrics.showPolicyVersions(func() int64 { return int64(g.state.policyVersion()) }, func() int64 { return int64(g.state.versions.newest.Load()) })
	g.metrics.showShares(g.limits.shares.HeldShares, func() bool { return g.limits.shares.Leased(boottime.Now()) })
	g.metrics.showStore(o.Store.Eras(), func() time.Duration { return boottime.Now().Sub(g.replica.Proof()) })
	return g
}

// maxConnections returns this host's share of the connections to each upstream of
// a service.
func (g *Gateway) maxConnections(service string) int {
	table := g.state.table.Load()
	if table == nil {
		return 1
	}
	serviceConfig := table.Service(service)
	if serviceConfig == nil || serviceConfig.MaxConnections <= 0 {
		return defaultMaxConnections
	}
	return max(1, int(float64(serviceConfig.MaxConnections)*sharedLimitFraction)/max(1, len(*g.state.hosts.Load())))
}

// defaultMaxConnections is the limit for each upstream of a service that the
// policy sets no limit for.
const defaultMaxConnections = 64

// ready reports whether the host can serve and is not shutting down.
func (g *Gateway) ready() bool { return g.canServe() && !g.shuttingDown.Load() }

// canServe reports whether the host has a policy and has proved once that its keys are
// current. Without a proof, and while other hosts may know a newer policy, it refuses all
// requests that need a key.
func (g *Gateway) canServe() bool {
	return g.state.table.Load() != nil && g.replica.Proof() != 0 && g.state.keysOutdated(boottime.Now()) == ""
}

const (
	// absenceCheckInterval is the time between checks for members whose entries
	// have been absent since an outage of the store.
	absenceCheckInterval = 200 * time.Millisecond
	// readyPollInterval is how often a starting host checks whether it can serve and
	// register.
	readyPollInterval = 20 * time.Millisecond
)

// expireAbsent removes members whose entries stay absent after an outage of the
// store, until ctx ends.
func (g *Gateway) expireAbsent(ctx context.Context) {
	every(ctx, absenceCheckInterval, g.state.expireAbsent)
}

// every calls f after each interval until ctx ends. It skips calls that are due while f runs.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// register waits until the host can serve, then keeps its entry in the store
// until ctx ends.
func (g *Gateway) register(ctx context.Context) {
	for !g.canServe() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPollInterval):
		}
	}
	settings := g.settings.get()
	self := catalog.Host{
		Name: settings.Host, EntryAddress: settings.ListenCallers, PeerAddress: settings.ListenPeers, LoadReportAddress: settings.ListenLoadReports, LoadSamples: true,
		FailureDomain: settings.FailureDomain, Region: settings.Region, Incarnation: g.started,
	}
	if g.relays != nil {
		self.RelayAddress, self.RelayAuthority = settings.ListenRelays, g.relays.authority()
	}
	registration.Run(ctx, registration.Options{
		Store:    observedRegistrar{g.store, g.replica},
		Host:     self,
		Logger:   g.logger,
		TTL:      settings.leaseTTL(),
		Interval: hostLeaseRenewInterval,
		Complete: func(host *catalog.Host, lease kvstore.LeaseID) {
			if lease.Era.Named() {
				host.Era, host.PolicyVersion = lease.Era, uint64(g.state.policyVersion())
			}
		},
		OnLease: func(lease kvstore.LeaseID, validUntil boottime.Instant) {
			g.state.shares.SetLease(lease, validUntil, boottime.Now())
		},
	})
}

// observedRegistrar lets the replica know whether the store responds to renewals. They are the most
// frequent calls of a host that follows another one.
type observedRegistrar struct {
	kvstore.Registrar
	replica *replica.Replica
}

// Renew implements kvstore.Registrar.
func (o observedRegistrar) Renew(ctx context.Context, id kvstore.LeaseID) error {
	return o.replica.ObserveCall(func() error { return o.Registrar.Renew(ctx, id) })
}

// claimShares claims and gives up shares of the limits of cold upstreams until ctx
// ends.
func (g *Gateway) claimShares(ctx context.Context) {
	every(ctx, shareInterval, func() {
		transaction, due := g.state.shares.Next(boottime.Now())
		if !due {
			return
		}
		call, cancel := context.WithTimeout(ctx, shareCallTimeout)
		revision, err := g.store.Commit(call, transaction.Writes)
		cancel()
		g.state.shares.Finish(transaction, err, boottime.Now())
		if err != nil {
			_ = level.Warn(g.logger).Log("event", "shares not changed", "writes", len(transaction.Writes), "err", err)
			return
		}
		claimed, removed := transaction.Counts()
		_ = level.Info(g.logger).Log("event", "shares changed", "claimed", claimed, "removed", removed, "revision", revision)
	})
}

// keysCurrent reports whether the last proof that the keys are current is recent
// enough for a request to be sent, and no newer policy than the one in force may be known to
// other hosts. It returns the age of that proof.
func (g *Gateway) keysCurrent(now boottime.Instant) (age time.Duration, ok bool) {
	proof := g.replica.Proof()
	age = now.Sub(proof)
	return age, proof != 0 && age < g.settings.get().KeyAge-keyAgeMargin && g.state.keysOutdated(now) == ""
}

// policyDoubt returns why a newer policy than the one that was in force here at an instant after
// proof may be in force at other hosts, empty if that is not so. stale tells that the only reason
// is the age of the proof.
func (g *Gateway) policyDoubt(proof, now boottime.Instant) (reason string, stale bool) {
	if reason := g.state.keysOutdated(now); reason != "" {
		return reason, false
	}
	if age := now.Sub(proof); age > g.settings.get().PolicyDelay {
		return "the policy was last proved current " + age.String() + " ago", true
	}
	return "", false
}

// proofWait is how long a request or look-up waits for a proof that the policy is current. It has
// room for a call to a store in a distant region.
const proofWait = 250 * time.Millisecond

// awaitProof waits for a proof of the policy that policyDoubt accepts for proofWait after now. The
// response to a call that was sent before now may be one. It reports false if there is no such
// proof within proofWait.
func (g *Gateway) awaitProof(ctx context.Context, now boottime.Instant) bool {
	ctx, cancel := context.WithTimeout(ctx, proofWait)
	defer cancel()
	return g.replica.AwaitProof(ctx, now.Add(-max(0, g.settings.get().PolicyDelay-proofWait)))
}

// Reload replaces the settings. The name, failure domain, region and listen
// addresses of a running host stay as they are; a change of these is logged. It
// may be called while Run is running, but not concurrently with itself.
func (g *Gateway) Reload(settings Settings) {
	if g.settings.replace(settings) {
		_ = level.Warn(g.logger).Log("event", "settings need a restart", "detail", "name, place or listeners differ")
	}
	g.budget.SetLimits(settings.callerLimits())
	g.state.republish()
	_ = level.Info(g.logger).Log("event", "settings reloaded")
}
