package upstream

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"

	"github.com/rcrowley/go-metrics"
)

// Options configures a Dispatcher.
type Options struct {
	Self          host.Identity
	Configuration func() *configuration.Configuration // configuration in force, nil before the first
	Capacity      CapacityShare
	Transports    TransportFactory
	Peers         func() []Peer    // other entry hosts; no relays if nil
	Caller        fleet.Caller     // sends requests for room; no relays if nil
	Now           func() time.Time // time.Now if nil
	Metrics       metrics.Registry // a private one if nil
}

// Dispatcher hands out permits to run requests. It is safe for concurrent use.
// Run must be running for requests to overflow to peers.
type Dispatcher struct {
	options Options
	stats   *stats
	egress  *egress
	mu      sync.Mutex // serialises apply
	plan    atomic.Pointer[plan]
	wake    chan struct{}
	leaving atomic.Bool
	peers   peerCache
	asking  sync.WaitGroup // requests for room under way
}

// plan is the immutable view of one configuration.
type plan struct {
	source *configuration.Configuration
	lanes  map[string]*lane
	drains drainTimes
	since  drainTimes // start of each drain, not before this host learned of it
}

// New creates a Dispatcher.
func New(options Options) *Dispatcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Peers == nil || options.Caller == nil {
		options.Peers = func() []Peer { return nil }
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	d := &Dispatcher{options: options, egress: &egress{}, wake: make(chan struct{}, 1)}
	d.stats = newStats(options.Metrics)
	d.plan.Store(&plan{lanes: map[string]*lane{}})
	return d
}

func (d *Dispatcher) now() time.Time { return d.options.Now() }

// Acquire waits for a place to run work. It returns a *RefusedError when there
// is none in time; no byte of the request has been sent then. Work that excludes
// an upstream of this failure domain is a retry and draws on the retry budget of
// its service.
func (d *Dispatcher) Acquire(ctx context.Context, work Work) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, &RefusedError{Reason: ReasonWithdrawn, Service: work.Service, Err: context.Cause(ctx)}
	}
	l := d.current().lanes[work.Service]
	if l == nil {
		d.stats.refused(ReasonNoUpstream)
		return nil, &RefusedError{Reason: ReasonNoUpstream, Service: work.Service}
	}
	if work.Relayed {
		work.crossRegion = d.crossRegion(host.ID(work.Origin))
	}
	return l.acquire(ctx, work)
}

// Load is what this host does at one upstream.
type Load struct {
	Upstream string
	InUse    int
	// Wanted is the claim to a share. All hosts claim alike, so that shares stay
	// even and room grants, which move slots within milliseconds, follow demand: a
	// slot whose share moves is in nobody's share meanwhile.
	Wanted  int
	Queued  int  // requests of the service that wait, divided among its upstreams
	Serving bool // neither ejected nor drained
}

// Loads returns the use of every upstream of the failure domain.
func (d *Dispatcher) Loads() []Load {
	now := d.now()
	var loads []Load
	for _, l := range d.current().lanes {
		l.mu.Lock()
		queued := l.pool.queue.len()
		for _, w := range l.pool.workers {
			share := (queued + len(l.pool.workers) - 1) / len(l.pool.workers)
			loads = append(loads, Load{
				Upstream: w.upstream.Name,
				InUse:    w.inUse,
				Wanted:   w.upstream.Slots,
				Queued:   share,
				Serving:  w.health.state != healthEjected && !w.drained(now),
			})
		}
		l.mu.Unlock()
	}
	return loads
}

// InUse returns the requests of this host in progress at an upstream.
func (d *Dispatcher) InUse(upstream string) int {
	for _, load := range d.Loads() {
		if load.Upstream == upstream {
			return load.InUse
		}
	}
	return 0
}

// FreeSlots returns the slots per service that this host could lend, for its
// heartbeats and for look-ups.
func (d *Dispatcher) FreeSlots() map[string]int {
	now := d.now()
	free := map[string]int{}
	if d.leaving.Load() {
		return free
	}
	for service, l := range d.current().lanes {
		l.mu.Lock()
		if n := l.pool.lendable(now); n > 0 {
			free[service] = n
		}
		l.mu.Unlock()
	}
	return free
}

// Leave stops lending room, before a graceful shutdown. Work goes on.
func (d *Dispatcher) Leave() { d.leaving.Store(true) }

// current returns the plan of the configuration in force.
func (d *Dispatcher) current() *plan {
	now := d.plan.Load()
	if source := d.options.Configuration(); source != nil && source != now.source {
		return d.apply(source)
	}
	return now
}

// apply takes over a configuration. Work in progress keeps its place.
func (d *Dispatcher) apply(source *configuration.Configuration) *plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.plan.Load()
	if previous.source == source {
		return previous
	}
	next := &plan{source: source, lanes: maps.Clone(previous.lanes), drains: newDrainTimes(source)}
	next.since = next.drains.since(previous.since, d.now())
	d.applyServices(next)
	d.applyUpstreams(next, previous)
	d.plan.Store(next)
	return next
}

func (d *Dispatcher) applyServices(next *plan) {
	known := map[string]bool{}
	for _, s := range next.source.Services {
		known[s.Name] = true
		if next.lanes[s.Name] == nil {
			pool := newPool(s.Name, d.options.Capacity, d.options.Self.Incarnation, d.egress)
			next.lanes[s.Name] = &lane{dispatcher: d, pool: pool, asker: newAsker()}
		}
	}
	maps.DeleteFunc(next.lanes, func(name string, _ *lane) bool { return !known[name] })
}

func (d *Dispatcher) applyUpstreams(next, previous *plan) {
	now := d.now()
	byService := map[string][]configuration.Upstream{}
	for _, u := range next.source.Upstreams {
		if u.FailureDomain == d.options.Self.FailureDomain {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for name, l := range next.lanes {
		l.mu.Lock()
		l.pool.workers = d.mergeWorkers(l.pool.workers, byService[name], next.drains, now)
		l.mu.Unlock()
	}
}

// mergeWorkers keeps the state of upstreams that are still configured. An
// upstream that joins others begins with a slow start.
func (d *Dispatcher) mergeWorkers(old []*worker, upstreams []configuration.Upstream, drains drainTimes, now time.Time) []*worker {
	known := map[string]*worker{}
	for _, w := range old {
		known[w.upstream.Name] = w
	}
	workers := make([]*worker, 0, len(upstreams))
	for _, u := range upstreams {
		w := known[u.Name]
		if w == nil || w.upstream.Address != u.Address {
			w = d.newWorker(u, len(old) > 0, now)
		}
		w.upstream = u
		w.drainAt = drains[u.Name]
		workers = append(workers, w)
	}
	return workers
}

func (d *Dispatcher) newWorker(u configuration.Upstream, cold bool, now time.Time) *worker {
	var warmFrom time.Time
	if cold {
		warmFrom = now
	}
	limit := func() int { return d.options.Capacity.Connections(u.Name, d.now()) }
	return &worker{transport: d.options.Transports.Upstream(u, limit), health: newHealth(warmFrom)}
}

// lendRoom handles a request for room from another host.
func (d *Dispatcher) lendRoom(ctx context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request room.Request
	if err := decode(&request); err != nil {
		return nil, err
	}
	l := d.current().lanes[request.Service]
	if l == nil {
		return room.Reply{}, nil
	}
	now := d.now()
	if d.leaving.Load() {
		return room.Reply{}, nil
	}
	if distanceTo(d.options.Self, from) >= distanceOtherRegion && !d.egress.open(now) {
		return room.Reply{}, nil
	}
	reply := l.lend(ctx, from, request, now)
	d.stats.roomLent.Inc(int64(reply.Slots))
	return reply, nil
}
