// Package distribution carries configurations and small state documents from
// the platform's store to every host.
//
// The leader of a failure domain watches the store and pushes to the hosts of
// its domain. Every host also asks peers, of its own and of other domains, for
// what it lacks, so that hosts repair each other while the store is away.
// Revisions in force only rise.
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

// Leadership tells whether this host leads its failure domain.
type Leadership interface {
	// Leading returns the fencing epoch while this host is the leader.
	Leading() (epoch uint64, ok bool)
}

// Config holds the dependencies and timings of a Distributor. Zero timings take
// their defaults.
type Config struct {
	Self       host.Identity
	Store      kvstore.Store
	Caller     fleet.Caller
	Registry   fleet.Registry
	View       host.View
	Leadership Leadership
	InForce    *configuration.InForce
	Logger     log.Logger       // nil logs nothing
	Metrics    metrics.Registry // nil counts in a private registry
	StaleKeys  StaleKeys
	Seed       uint64 // of the choice of peers and of jitter; derived from Self if zero

	WatchWait    time.Duration // length of one waiting watch
	RereadPeriod time.Duration // time between reads that make up for lost watches
	SyncPeriod   time.Duration // time between questions to one peer
	CallTimeout  time.Duration // bound of one message to a peer
	StoreTimeout time.Duration // bound of one call of the store, watches excepted
	PushPeriod   time.Duration // time between rounds of the leader's push
}

// StaleKeys is the operators' choice for a failure domain that is cut off from
// the store and from all other failure domains.
type StaleKeys struct {
	Refuse bool          // keyed requests are refused; served if false
	After  time.Duration // without contact
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

func setDefault(value *time.Duration, standard time.Duration) {
	if *value == 0 {
		*value = standard
	}
}

// Distributor is this host's part in the distribution.
type Distributor struct {
	config     Config
	repository *configuration.Repository
	state      *State
	contact    *contact
	intake     *task.Ring[proposal]
	hints      *task.Ring[host.Identity]
	published  atomic.Pointer[held] // what peers may fetch; nil before the first configuration
	reports    *task.Ring[report]
	counters   counters
	random     *random

	confirmations *task.Ring[Confirmation]
}

type counters struct {
	revision      metrics.Gauge
	fetchedBytes  metrics.Counter
	fetchFailures metrics.Counter
	storeFailures metrics.Counter
	storeBehind   metrics.Counter // readings of a root that is older than what is in force
	pushes        metrics.Counter
	pushFailures  metrics.Counter
}

const (
	intakeCapacity = 64
	hintsCapacity  = 64
	reportCapacity = 1024
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
	d.intake = task.NewRing(task.RingOptions[proposal]{
		Name: "distribution.intake", Capacity: intakeCapacity, Full: task.DropOldest,
		Key: proposal.key, Metrics: config.Metrics,
	})
	d.hints = task.NewRing(task.RingOptions[host.Identity]{
		Name: "distribution.hints", Capacity: hintsCapacity, Full: task.DropOldest,
		Key: func(peer host.Identity) string { return string(peer.ID) }, Metrics: config.Metrics,
	})
	d.reports = task.NewRing(task.RingOptions[report]{
		Name: "distribution.reports", Capacity: reportCapacity, Full: task.DropOldest,
		Key: func(r report) string { return string(r.peer.ID) }, Metrics: config.Metrics,
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

// Run runs the duties of the distributor until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	group := task.NewGroup(ctx, task.GroupOptions{Logger: d.config.Logger, Metrics: d.config.Metrics})
	group.GoUnwatched("distribution.intake", d.runIntake)
	group.GoUnwatched("distribution.sync", d.runSync)
	group.GoUnwatched("distribution.hints", d.runHints)
	group.GoUnwatched("distribution.watch.root", d.watchRoot)
	group.GoUnwatched("distribution.watch.state", d.watchState)
	group.GoUnwatched("distribution.push", d.runPush)
	group.GoUnwatched("distribution.confirm", d.runConfirm)
	return group.Wait()
}

// Hint says that a peer's heartbeat advertised a revision. The peer is asked at
// once if the revision is greater than the one in force. It never blocks.
func (d *Distributor) Hint(peer host.Identity, revision configuration.Revision) {
	if revision > d.config.InForce.Revision() {
		d.hints.TryPush(peer)
	}
}

// call sends one message with a bounded time.
func (d *Distributor) call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
	defer cancel()
	return d.config.Caller.Call(ctx, addr, kind, request, reply)
}
