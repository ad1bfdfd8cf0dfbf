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
	Configuration func() *configuration.Configuration // returns the configuration in force; nil before the first
	Capacity      CapacityShare
	Transports    TransportFactory
	Peers         func() []Peer    // returns the other entry hosts; no relays if nil
	Caller        fleet.Caller     // sends messages to other hosts; no relays if nil
	Now           func() time.Time // time.Now if nil
	Metrics       metrics.Registry // a new registry if nil
}

// Dispatcher issues permits to send requests to upstreams and peers. It is safe for
// concurrent use. Requests overflow to peers only while Run is running.
type Dispatcher struct {
	options        Options
	stats          *stats
	egress         *egressBudget
	mu             sync.Mutex // serialises apply
	view           atomic.Pointer[configurationView]
	wake           chan struct{}
	lendingStopped atomic.Bool
	peers          peerCache
	roomRequests   sync.WaitGroup // requests for room grants in progress
}

// configurationView is what the Dispatcher derives from one configuration. It is
// not modified after it was stored.
type configurationView struct {
	source          *configuration.Configuration
	services        map[string]*serviceDispatcher
	drains          drainTimes
	drainKnownSince drainTimes // start of each drain, or when this host learned of it if that was later
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
	d := &Dispatcher{options: options, egress: &egressBudget{}, wake: make(chan struct{}, 1)}
	d.stats = newStats(options.Metrics)
	d.view.Store(&configurationView{services: map[string]*serviceDispatcher{}})
	return d
}

func (d *Dispatcher) now() time.Time { return d.options.Now() }

// Acquire waits for a slot of an upstream or a room grant for work. A room grant
// permits another host to relay a number of requests at the same time. It returns a
// *RefusedError if none becomes available in time; no byte of the request has been
// sent in that case. Work that excludes an upstream of this failure domain is a
// retry and is charged to the retry budget of its service.
func (d *Dispatcher) Acquire(ctx context.Context, work Work) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, &RefusedError{Reason: ReasonWithdrawn, Service: work.Service, Err: context.Cause(ctx)}
	}
	s := d.current().services[work.Service]
	if s == nil {
		d.stats.refused(ReasonNoUpstream)
		return nil, &RefusedError{Reason: ReasonNoUpstream, Service: work.Service}
	}
	if work.Relayed {
		work.crossRegion = d.crossRegion(host.ID(work.Origin))
	}
	return s.acquire(ctx, work)
}

// Load is this host's use of one upstream.
type Load struct {
	Upstream string
	InUse    int
	// Wanted is the number of slots that this host claims as its share. All hosts
	// claim the same number, so that shares stay even: no host can use a slot while
	// its share moves between hosts. Room grants move slots within milliseconds and
	// follow demand instead.
	Wanted  int
	Queued  int  // queued requests of the service, divided among its upstreams
	Serving bool // neither ejected nor drained
}

// Loads returns this host's use of every upstream in its failure domain.
func (d *Dispatcher) Loads() []Load {
	now := d.now()
	var loads []Load
	for _, s := range d.current().services {
		s.mu.Lock()
		queued := s.pool.queue.len()
		for _, u := range s.pool.upstreams {
			share := (queued + len(s.pool.upstreams) - 1) / len(s.pool.upstreams)
			loads = append(loads, Load{
				Upstream: u.config.Name,
				InUse:    u.inUse,
				Wanted:   u.config.Slots,
				Queued:   share,
				Serving:  u.health.state != healthEjected && !u.drained(now),
			})
		}
		s.mu.Unlock()
	}
	return loads
}

// InUse returns the number of requests of this host in progress at an upstream.
func (d *Dispatcher) InUse(upstream string) int {
	for _, load := range d.Loads() {
		if load.Upstream == upstream {
			return load.InUse
		}
	}
	return 0
}

// FreeSlots returns the number of slots per service that this host could lend, for
// heartbeats and look-ups. Services without such slots are left out.
func (d *Dispatcher) FreeSlots() map[string]int {
	now := d.now()
	free := map[string]int{}
	if d.lendingStopped.Load() {
		return free
	}
	for service, s := range d.current().services {
		s.mu.Lock()
		if n := s.pool.lendable(now); n > 0 {
			free[service] = n
		}
		s.mu.Unlock()
	}
	return free
}

// StopLending refuses further room grants to peers, before a graceful shutdown.
// Requests are still served, and relays under existing grants are still accepted.
func (d *Dispatcher) StopLending() { d.lendingStopped.Store(true) }

// current returns the view of the configuration in force and applies that
// configuration first if it is new.
func (d *Dispatcher) current() *configurationView {
	view := d.view.Load()
	if source := d.options.Configuration(); source != nil && source != view.source {
		return d.apply(source)
	}
	return view
}

// apply builds and stores the view of a configuration. Requests in progress are
// not interrupted.
func (d *Dispatcher) apply(source *configuration.Configuration) *configurationView {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.view.Load()
	if previous.source == source {
		return previous
	}
	next := &configurationView{source: source, services: maps.Clone(previous.services), drains: newDrainTimes(source)}
	next.drainKnownSince = next.drains.knownSince(previous.drainKnownSince, d.now())
	d.applyServices(next)
	d.applyUpstreams(next, previous)
	d.view.Store(next)
	return next
}

func (d *Dispatcher) applyServices(next *configurationView) {
	configured := map[string]bool{}
	for _, s := range next.source.Services {
		configured[s.Name] = true
		if next.services[s.Name] == nil {
			pool := newPool(s.Name, d.options.Capacity, d.options.Self.Incarnation, d.egress)
			next.services[s.Name] = &serviceDispatcher{dispatcher: d, pool: pool, planner: newRoomPlanner()}
		}
	}
	maps.DeleteFunc(next.services, func(name string, _ *serviceDispatcher) bool { return !configured[name] })
}

func (d *Dispatcher) applyUpstreams(next, previous *configurationView) {
	now := d.now()
	byService := map[string][]configuration.Upstream{}
	for _, u := range next.source.Upstreams {
		if u.FailureDomain == d.options.Self.FailureDomain {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for name, s := range next.services {
		s.mu.Lock()
		s.pool.upstreams = d.mergeUpstreams(s.pool.upstreams, byService[name], next.drains, now)
		s.mu.Unlock()
	}
}

// mergeUpstreams returns the states of the configured upstreams and keeps those of
// upstreams that remain at the same address. A new upstream begins with a slow
// start, unless the service had no upstreams here before.
func (d *Dispatcher) mergeUpstreams(old []*upstreamState, upstreams []configuration.Upstream, drains drainTimes, now time.Time) []*upstreamState {
	existing := map[string]*upstreamState{}
	for _, u := range old {
		existing[u.config.Name] = u
	}
	merged := make([]*upstreamState, 0, len(upstreams))
	for _, config := range upstreams {
		u := existing[config.Name]
		if u == nil || u.config.Address != config.Address {
			u = d.newUpstreamState(config, len(old) > 0, now)
		}
		u.config = config
		u.drainAt = drains[config.Name]
		merged = append(merged, u)
	}
	return merged
}

func (d *Dispatcher) newUpstreamState(config configuration.Upstream, cold bool, now time.Time) *upstreamState {
	var warmFrom time.Time
	if cold {
		warmFrom = now
	}
	limit := func() int { return d.options.Capacity.Connections(config.Name, d.now()) }
	return &upstreamState{transport: d.options.Transports.Upstream(config, limit), health: newHealth(warmFrom)}
}

// handleRoomRequest handles another host's request for a room grant.
func (d *Dispatcher) handleRoomRequest(ctx context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request room.Request
	if err := decode(&request); err != nil {
		return nil, err
	}
	s := d.current().services[request.Service]
	if s == nil {
		return room.Reply{}, nil
	}
	now := d.now()
	if d.lendingStopped.Load() {
		return room.Reply{}, nil
	}
	if distanceTo(d.options.Self, from) >= distanceOtherRegion && !d.egress.available(now) {
		return room.Reply{}, nil
	}
	reply := s.lend(ctx, from, request, now)
	d.stats.roomSlotsLent.Inc(int64(reply.Slots))
	return reply, nil
}
