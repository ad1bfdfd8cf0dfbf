// Package distribution carries configurations and small state documents from
// the platform's store to every host.
//
// The leader of a failure domain watches the store and pushes changes to the hosts
// of its domain. Every host also pulls what it lacks from peers in its own and in
// other domains (anti-entropy), so that hosts converge while the store is
// unavailable. The revision in force on a host never decreases.
package distribution

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/task"
)

// Leadership reports whether this host leads its failure domain.
type Leadership interface {
	// Leading returns the fencing epoch, and true while this host is the leader.
	Leading() (epoch uint64, ok bool)
}

// Config holds the dependencies and timings of a Distributor. Timings that are zero
// get their defaults.
type Config struct {
	Self       host.Identity
	Store      kvstore.Store
	Caller     fleet.Caller
	Registry   fleet.Registry
	View       host.View
	Leadership Leadership
	InForce    *configuration.InForce
	Logger     log.Logger       // nil disables logging
	Metrics    metrics.Registry // nil uses a private registry
	StaleKeys  StaleKeys
	Seed       uint64 // of the random numbers for peer selection and jitter; derived from Self if zero

	WatchWait    time.Duration // longest wait of one watch call
	RereadPeriod time.Duration // time between reads of a watched prefix, which find changes that watches missed
	SyncPeriod   time.Duration // time between sync requests, each to one peer
	CallTimeout  time.Duration // timeout of one call to a peer
	StoreTimeout time.Duration // timeout of one call to the store; a watch may take its wait longer
	PushPeriod   time.Duration // time between checks by the leader for hosts that need a push
}

// StaleKeys configures how hosts treat keyed requests when their failure domain has
// no contact with the store and with any other failure domain.
type StaleKeys struct {
	Refuse bool          // refuse keyed requests; serve them if false
	After  time.Duration // time without contact after which Refuse applies
}

// Defaults of Config.
const (
	DefaultWatchWait    = 8 * time.Second
	DefaultRereadPeriod = 3 * time.Second
	DefaultSyncPeriod   = time.Second
	DefaultCallTimeout  = time.Second
	DefaultStoreTimeout = 5 * time.Second
	DefaultPushPeriod   = 250 * time.Millisecond
)

func (c *Config) setDefaults() {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Seed == 0 {
		c.Seed = xxhash.Sum64String(string(c.Self.ID)) ^ uint64(c.Self.Incarnation)
	}
	setDefault(&c.WatchWait, DefaultWatchWait)
	setDefault(&c.RereadPeriod, DefaultRereadPeriod)
	setDefault(&c.SyncPeriod, DefaultSyncPeriod)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.StoreTimeout, DefaultStoreTimeout)
	setDefault(&c.PushPeriod, DefaultPushPeriod)
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Distributor distributes configurations and state documents on one host. Its
// methods are safe for concurrent use; Run is called once.
type Distributor struct {
	config      Config
	repository  *configuration.Repository
	state       *State
	contact     *contact
	proposals   *task.Ring[proposal]
	peersAhead  *task.Ring[host.Identity]
	published   atomic.Pointer[publishedConfiguration] // served to peers; nil before the first configuration
	peerReports *task.Ring[peerReport]
	counters    counters
	random      *random

	confirmations *task.Ring[Confirmation]
}

type counters struct {
	revision      metrics.Gauge
	fetchedBytes  metrics.Counter
	fetchFailures metrics.Counter
	storeFailures metrics.Counter
	storeBehind   metrics.Counter // reads of a root document older than the configuration in force
	pushes        metrics.Counter
	pushFailures  metrics.Counter
}

const (
	proposalCapacity   = 64
	peersAheadCapacity = 64
	peerReportCapacity = 1024
)

// New returns a distributor and registers its message handlers.
func New(config Config) *Distributor {
	config.setDefaults()
	d := &Distributor{
		config:     config,
		repository: configuration.NewRepository(configuration.RepositoryConfig{Store: config.Store}),
		state:      newState(),
		contact:    &contact{started: time.Now()},
		counters:   newCounters(config.Metrics),
		random:     newRandom(config.Seed),
	}
	d.proposals = task.NewRing(task.RingOptions[proposal]{
		Name: "distribution.intake", Capacity: proposalCapacity, Full: task.DropOldest,
		Key: proposal.key, Metrics: config.Metrics,
	})
	d.peersAhead = task.NewRing(task.RingOptions[host.Identity]{
		Name: "distribution.hints", Capacity: peersAheadCapacity, Full: task.DropOldest,
		Key: func(peer host.Identity) string { return string(peer.ID) }, Metrics: config.Metrics,
	})
	d.peerReports = task.NewRing(task.RingOptions[peerReport]{
		Name: "distribution.reports", Capacity: peerReportCapacity, Full: task.DropOldest,
		Key: func(r peerReport) string { return string(r.peer.ID) }, Metrics: config.Metrics,
	})
	d.confirmations = task.NewRing(task.RingOptions[Confirmation]{
		Name: "distribution.confirmations", Capacity: 1, Full: task.DropOldest, Metrics: config.Metrics,
	})
	config.Registry.Handle(KindOffer, d.handleOffer)
	config.Registry.Handle(KindSync, d.handleSync)
	config.Registry.Handle(KindChunks, d.handleChunks)
	return d
}

func newCounters(registry metrics.Registry) counters {
	return counters{
		revision:      metrics.GetOrRegisterGauge("configuration.revision", registry),
		fetchedBytes:  metrics.GetOrRegisterCounter("distribution.fetched.bytes", registry),
		fetchFailures: metrics.GetOrRegisterCounter("distribution.fetch.failures", registry),
		storeFailures: metrics.GetOrRegisterCounter("distribution.store.failures", registry),
		storeBehind:   metrics.GetOrRegisterCounter("distribution.store.behind", registry),
		pushes:        metrics.GetOrRegisterCounter("distribution.pushes", registry),
		pushFailures:  metrics.GetOrRegisterCounter("distribution.push.failures", registry),
	}
}

// State returns the state documents known to this host.
func (d *Distributor) State() *State { return d.state }

// Run runs the tasks of the distributor until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	group := task.NewGroup(ctx, task.GroupOptions{Logger: d.config.Logger, Metrics: d.config.Metrics})
	group.GoUnwatched("distribution.intake", d.runIntake)
	group.GoUnwatched("distribution.sync", d.runSync)
	group.GoUnwatched("distribution.hints", d.syncWithPeersAhead)
	group.GoUnwatched("distribution.watch.root", d.watchRoot)
	group.GoUnwatched("distribution.watch.state", d.watchState)
	group.GoUnwatched("distribution.push", d.runPush)
	group.GoUnwatched("distribution.confirm", d.runConfirm)
	return group.Wait()
}

// ObserveRevision records a configuration revision that a peer advertised. If it is
// greater than the one in force, a sync with the peer is queued. It never blocks.
func (d *Distributor) ObserveRevision(peer host.Identity, revision configuration.Revision) {
	if revision > d.config.InForce.Revision() {
		d.peersAhead.TryPush(peer)
	}
}

// call sends one request to a peer and waits for the reply, for at most CallTimeout.
func (d *Distributor) call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
	defer cancel()
	return d.config.Caller.Call(ctx, addr, kind, request, reply)
}
