package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/task"
)

const (
	ticksPerPeriod        = 4
	maxInFlightHeartbeats = 64 // heartbeats sent and not yet answered
	storeReadPeriod       = 30 * time.Second
	storeReadTimeout      = 5 * time.Second
	syncTimeout           = 3 * time.Second
	syncAttemptRetention  = time.Minute     // time after which the last sync with an address is forgotten
	gossipPeriod          = 3 * time.Second // between syncs with representatives of other domains
	syncQueueCapacity     = 32
	digestRequestInterval = 4 // one in this many heartbeats requests the digests of other hosts and domains
)

// Options configures a Service.
type Options struct {
	Self   host.Identity
	Caller fleet.Caller
	Seeds  []netip.AddrPort // fleet addresses contacted first
	Store  kvstore.Store    // its host list provides more seeds; may be nil
	Timing Timing           // DefaultTiming if zero
	// Leadership returns the leader of the own domain. Nil means no leader.
	Leadership func() Leadership
	Logger     log.Logger       // nil disables logging
	Metrics    metrics.Registry // nil uses a private registry
}

// Service keeps a Table up to date by exchanging heartbeats. It implements
// host.View and is safe for concurrent use.
type Service struct {
	options        Options
	view           atomic.Pointer[View]
	syncQueue      *task.Ring[Target]
	heartbeatSlots chan struct{} // one element per heartbeat in flight
	background     sync.WaitGroup

	sent          metrics.Counter
	failed        metrics.Counter
	staleMessages metrics.Counter
	live          metrics.Gauge

	mu            sync.Mutex // guards the fields below; never held during I/O
	table         *Table
	providers     []Provider
	listeners     []func(host.Identity, Digest)
	seeds         []netip.AddrPort
	nextHeartbeat map[netip.AddrPort]time.Time // when the next heartbeat is due
	inFlight      map[netip.AddrPort]bool      // heartbeat sent and not yet answered
	lastSync      map[netip.AddrPort]time.Time // start of the last sync
	exchangeCount uint64
	lastGossip    time.Time // start of the last sync with another domain
	random        *rand.Rand

	publishedVersion uint64 // version of the table in the published view
	publishedAt      time.Time
}

// New returns a service whose view contains only this host until Run is called.
func New(options Options) *Service {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Leadership == nil {
		options.Leadership = func() Leadership { return Leadership{} }
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	s := &Service{
		options:        options,
		heartbeatSlots: make(chan struct{}, maxInFlightHeartbeats),
		syncQueue: task.NewRing(task.RingOptions[Target]{
			Name: "membership.sync", Capacity: syncQueueCapacity, Full: task.DropOldest,
			Key:     func(target Target) string { return target.Addr.String() },
			Metrics: options.Metrics,
		}),
		sent:          metrics.GetOrRegisterCounter("membership.heartbeats", options.Metrics),
		failed:        metrics.GetOrRegisterCounter("membership.heartbeat.errors", options.Metrics),
		staleMessages: metrics.GetOrRegisterCounter("membership.stale.messages", options.Metrics),
		live:          metrics.GetOrRegisterGauge("membership.live", options.Metrics),
		table:         NewTable(options.Self, options.Timing, time.Now()),
		seeds:         options.Seeds,
		nextHeartbeat: map[netip.AddrPort]time.Time{},
		inFlight:      map[netip.AddrPort]bool{},
		lastSync:      map[netip.AddrPort]time.Time{},
		random:        rand.New(rand.NewPCG(xxhash.Sum64String(string(options.Self.ID)), uint64(options.Self.Incarnation))),
	}
	s.publish(time.Now())
	return s
}

// AddProvider registers a provider, which is called for each heartbeat that this host
// sends.
func (s *Service) AddProvider(provider Provider) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.providers = append(s.providers, provider)
}

// OnDigest calls f with each digest received. f must not block.
func (s *Service) OnDigest(f func(from host.Identity, digest Digest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Register registers the handlers for messages of other hosts.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindHeartbeat, s.handleHeartbeat)
	registry.Handle(KindSync, s.handleSync)
}

// Self implements host.View.
func (s *Service) Self() host.Identity { return s.options.Self }

// Members implements host.View.
func (s *Service) Members() []host.Member { return s.view.Load().Members }

// View returns the current view of the fleet, at most one heartbeat period old.
func (s *Service) View() *View { return s.view.Load() }

// Run exchanges heartbeats until ctx ends. It reports progress to the watchdog after
// each tick.
func (s *Service) Run(ctx context.Context, reportProgress task.ProgressFunc) error {
	ticker := time.NewTicker(s.options.Timing.Period / ticksPerPeriod)
	defer ticker.Stop()
	s.background.Go(func() { s.runSync(ctx) })
	s.background.Go(func() { s.refreshSeeds(ctx) })
	defer s.background.Wait()
	for {
		s.tick(ctx, time.Now())
		reportProgress()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick advances the table and sends the heartbeats that are due.
func (s *Service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	s.table.SetLeadership(now, s.options.Leadership())
	s.table.Tick(now)
	targets := s.dueTargets(now)
	s.mu.Unlock()
	s.publish(now)
	for _, target := range targets {
		s.startExchange(ctx, target)
	}
}

// dueTargets returns the targets to which a heartbeat is due and schedules their next
// heartbeats. The caller holds s.mu.
func (s *Service) dueTargets(now time.Time) []Target {
	targets := s.table.Targets(now)
	targets = append(targets, s.seedTarget()...)
	schedule := make(map[netip.AddrPort]time.Time, len(targets))
	var due []Target
	for _, target := range targets {
		next, scheduled := s.nextHeartbeat[target.Addr]
		if scheduled && now.Before(next) || s.inFlight[target.Addr] {
			schedule[target.Addr] = next
			continue
		}
		schedule[target.Addr] = now.Add(target.Period)
		if !scheduled {
			// The first heartbeats get a random offset, which spreads them over the period.
			schedule[target.Addr] = now.Add(s.jitter(target.Period))
		}
		due = append(due, target)
	}
	s.nextHeartbeat = schedule
	return due
}

// jitter returns a random duration below limit. The caller holds s.mu.
func (s *Service) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

// seedTarget returns a seed that belongs to no known host, if this host is the
// representative of its domain or has no peers. The caller holds s.mu.
func (s *Service) seedTarget() []Target {
	if s.table.Representative() != s.options.Self.ID && len(s.table.peers()) > 0 {
		return nil
	}
	knownAddrs := map[netip.AddrPort]bool{s.options.Self.Fleet: true}
	for _, m := range s.table.members {
		if m.state != host.StateGone {
			knownAddrs[m.identity.Fleet] = true
		}
	}
	var unknownSeeds []netip.AddrPort
	for _, seed := range s.seeds {
		if !knownAddrs[seed] {
			unknownSeeds = append(unknownSeeds, seed)
		}
	}
	if len(unknownSeeds) == 0 {
		return nil
	}
	for _, seed := range unknownSeeds {
		if _, scheduled := s.nextHeartbeat[seed]; scheduled {
			return []Target{{Addr: seed, Period: s.options.Timing.Period}}
		}
	}
	return []Target{{Addr: unknownSeeds[s.random.IntN(len(unknownSeeds))], Period: s.options.Timing.Period}}
}

// startExchange sends one heartbeat in the background. It drops the heartbeat if
// maxInFlightHeartbeats are in flight.
func (s *Service) startExchange(ctx context.Context, target Target) {
	select {
	case s.heartbeatSlots <- struct{}{}:
	default:
		s.failed.Inc(1)
		return
	}
	s.mu.Lock()
	s.inFlight[target.Addr] = true
	s.mu.Unlock()
	s.background.Go(func() {
		defer func() {
			s.mu.Lock()
			delete(s.inFlight, target.Addr)
			if target.Identity.ID == "" {
				delete(s.nextHeartbeat, target.Addr)
			}
			s.mu.Unlock()
			<-s.heartbeatSlots
		}()
		s.exchange(ctx, target)
	})
}

// exchange sends a heartbeat to a target and processes the reply.
func (s *Service) exchange(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.Timing.Period)
	defer cancel()
	request := s.newHeartbeat(target.Period)
	request.ExpectedIncarnation = target.Identity.Incarnation
	if target.Identity.FailureDomain != s.options.Self.FailureDomain {
		request.DomainDigests = s.ownDomainDigests(request.Digest)
	}
	request.WantDigests = s.wantsDigests(target)
	s.sent.Inc(1)
	var reply Heartbeat
	if err := s.options.Caller.Call(ctx, target.Addr, KindHeartbeat, request, &reply); err != nil {
		s.failed.Inc(1)
		_ = level.Debug(s.options.Logger).Log("component", "membership", "msg", "heartbeat failed", "peer", target.Addr, "err", err)
		return
	}
	from := target.Identity
	if reply.Self != nil {
		from = *reply.Self
	}
	if from.ID == "" || from.ID == s.options.Self.ID {
		return
	}
	_ = s.receive(from, reply, target.Identity.ID == "")
}

// wantsDigests reports whether the next heartbeat to target requests digests: every
// digestRequestInterval-th does, if the target is in the own domain. Only its
// representative grants the request.
func (s *Service) wantsDigests(target Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchangeCount++
	return s.exchangeCount%digestRequestInterval == 0 && target.Identity.FailureDomain == s.options.Self.FailureDomain
}

// newHeartbeat returns the heartbeat to send now. period is the time until the next.
func (s *Service) newHeartbeat(period time.Duration) Heartbeat {
	digest := s.digest()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NewHeartbeat(now, digest, period)
}

// ownDomainDigests returns the digest of the own domain, for a heartbeat to another
// domain. It is empty unless this host is the representative.
func (s *Service) ownDomainDigests(digest Digest) []DomainDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Representative() != s.options.Self.ID {
		return nil
	}
	return []DomainDigest{s.table.OwnDomainDigest(time.Now(), digest)}
}

// digest collects the digest of this host from the providers. It calls them without
// holding s.mu.
func (s *Service) digest() Digest {
	s.mu.Lock()
	providers := s.providers
	s.mu.Unlock()
	var digest Digest
	for _, provider := range providers {
		provider(&digest)
	}
	return digest
}

// receive processes a heartbeat and queues a sync if the sender may have newer
// summaries or is contacted for the first time.
func (s *Service) receive(from host.Identity, beat Heartbeat, firstContact bool) error {
	s.mu.Lock()
	err := s.table.RecordHeartbeat(time.Now(), from, beat)
	needsSync := err == nil && (firstContact || s.table.NeedsSync(from, beat) || s.startGossip(from, beat))
	listeners := s.listeners
	s.mu.Unlock()
	if err != nil {
		s.staleMessages.Inc(1)
		return err
	}
	for _, listener := range listeners {
		listener(from, beat.Digest)
	}
	if needsSync {
		s.syncQueue.TryPush(Target{Addr: from.Fleet, Identity: from})
	}
	return nil
}

func (s *Service) handleHeartbeat(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request Heartbeat
	if err := decode(&request); err != nil {
		return nil, err
	}
	if err := s.receive(from, request, false); err != nil {
		return nil, err
	}
	reply := s.newHeartbeat(time.Duration(request.Period) * time.Millisecond)
	if request.ExpectedIncarnation != s.options.Self.Incarnation {
		self := s.options.Self
		reply.Self = &self
	}
	if from.FailureDomain != s.options.Self.FailureDomain {
		reply.DomainDigests = s.ownDomainDigests(reply.Digest)
	} else if request.WantDigests && reply.Representative {
		s.mu.Lock()
		reply.DomainDigests = s.table.RemoteDigests()
		reply.FreeHosts = s.table.FreeHosts(from.ID)
		s.mu.Unlock()
	}
	return reply, nil
}

// publish replaces the view after a change of the table, and once per period.
func (s *Service) publish(now time.Time) {
	s.mu.Lock()
	if s.publishedVersion == s.table.version && now.Sub(s.publishedAt) < s.options.Timing.Period {
		s.mu.Unlock()
		return
	}
	s.publishedVersion = s.table.version
	s.publishedAt = now
	view := s.table.View(now)
	s.mu.Unlock()
	live := int64(1)
	for _, m := range view.Members {
		if m.State == host.StateLive {
			live++
		}
	}
	s.live.Update(live)
	s.view.Store(view)
}

// Leave announces the graceful shutdown of this host to all hosts with which it
// exchanges heartbeats. It returns when all have replied or ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.table.Leave()
	targets := s.table.Targets(time.Now())
	for _, m := range s.table.peers() {
		if s.table.isFullMesh() || m.identity.ID == s.table.Representative() {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: s.options.Timing.Period})
		}
	}
	s.mu.Unlock()
	var sending sync.WaitGroup
	contacted := map[netip.AddrPort]bool{}
	for _, target := range targets {
		if contacted[target.Addr] {
			continue
		}
		contacted[target.Addr] = true
		sending.Go(func() { s.exchange(ctx, target) })
	}
	sending.Wait()
}
