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
	ticksPerPeriod = 4
	maxExchanges   = 64 // heartbeats under way at the same time
	hintPeriod     = 30 * time.Second
	hintTimeout    = 5 * time.Second
	syncTimeout    = 3 * time.Second
	syncMemory     = time.Minute     // after which an attempt is forgotten
	gossipPeriod   = 3 * time.Second // between comparisons with speakers of other domains
	syncRingSize   = 32
	wantEvery      = 4 // heartbeats of which one asks for the digests of others
)

// Options configures a Service.
type Options struct {
	Self   host.Identity
	Caller fleet.Caller
	Seeds  []netip.AddrPort // fleet addresses to begin with
	Store  kvstore.Store    // its list of hosts is a hint; may be nil
	Timing Timing           // DefaultTiming if zero
	// Leadership gives the leader of the own domain. Nil knows none.
	Leadership func() Leadership
	Logger     log.Logger       // nil logs nothing
	Metrics    metrics.Registry // nil counts in a private registry
}

// Service keeps a Table up to date by exchanging heartbeats. It implements
// host.View and is safe for concurrent use.
type Service struct {
	options   Options
	view      atomic.Pointer[View]
	syncs     *task.Ring[Target]
	exchanges chan struct{} // one element per heartbeat under way
	work      sync.WaitGroup

	sent   metrics.Counter
	failed metrics.Counter
	late   metrics.Counter
	live   metrics.Gauge

	mu        sync.Mutex // held for computation only
	table     *Table
	providers []Provider
	listeners []func(host.Identity, Digest)
	seeds     []netip.AddrPort
	due       map[netip.AddrPort]time.Time // next heartbeat
	busy      map[netip.AddrPort]bool      // heartbeat under way
	synced    map[netip.AddrPort]time.Time // last attempt
	wants     uint64
	gossiped  time.Time // last comparison with another domain
	random    *rand.Rand

	published   uint64 // version of the table in the published view
	publishedAt time.Time
}

// New returns a service that knows only this host.
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
		options:   options,
		exchanges: make(chan struct{}, maxExchanges),
		syncs: task.NewRing(task.RingOptions[Target]{
			Name: "membership.sync", Capacity: syncRingSize, Full: task.DropOldest,
			Key:     func(target Target) string { return target.Addr.String() },
			Metrics: options.Metrics,
		}),
		sent:   metrics.GetOrRegisterCounter("membership.heartbeats", options.Metrics),
		failed: metrics.GetOrRegisterCounter("membership.heartbeat.errors", options.Metrics),
		late:   metrics.GetOrRegisterCounter("membership.stale.messages", options.Metrics),
		live:   metrics.GetOrRegisterGauge("membership.live", options.Metrics),
		table:  NewTable(options.Self, options.Timing, time.Now()),
		seeds:  options.Seeds,
		due:    map[netip.AddrPort]time.Time{},
		busy:   map[netip.AddrPort]bool{},
		synced: map[netip.AddrPort]time.Time{},
		random: rand.New(rand.NewPCG(xxhash.Sum64String(string(options.Self.ID)), uint64(options.Self.Incarnation))),
	}
	s.publish(time.Now())
	return s
}

// AddProvider adds to the digests that this host sends.
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

// Register makes the service answer the messages of other hosts.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindHeartbeat, s.handleHeartbeat)
	registry.Handle(KindSync, s.handleSync)
}

// Self implements host.View.
func (s *Service) Self() host.Identity { return s.options.Self }

// Members implements host.View.
func (s *Service) Members() []host.Member { return s.view.Load().Members }

// View returns the current picture of the fleet, at most a second old.
func (s *Service) View() *View { return s.view.Load() }

// Run exchanges heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context, beat task.Beat) error {
	ticker := time.NewTicker(s.options.Timing.Period / ticksPerPeriod)
	defer ticker.Stop()
	s.work.Go(func() { s.fetch(ctx) })
	s.work.Go(func() { s.hint(ctx) })
	defer s.work.Wait()
	for {
		s.tick(ctx, time.Now())
		beat()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick moves the table on and starts the heartbeats that are due.
func (s *Service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	s.table.SetLeadership(now, s.options.Leadership())
	s.table.Tick(now)
	targets := s.dueTargets(now)
	s.mu.Unlock()
	s.publish(now)
	for _, target := range targets {
		s.start(ctx, target)
	}
}

// dueTargets returns the targets to which a heartbeat is due and schedules the
// next ones. The caller holds s.mu.
func (s *Service) dueTargets(now time.Time) []Target {
	targets := s.table.Targets(now)
	targets = append(targets, s.seedTarget()...)
	kept := make(map[netip.AddrPort]time.Time, len(targets))
	var due []Target
	for _, target := range targets {
		next, scheduled := s.due[target.Addr]
		if scheduled && now.Before(next) || s.busy[target.Addr] {
			kept[target.Addr] = next
			continue
		}
		kept[target.Addr] = now.Add(target.Period)
		if !scheduled {
			// Spreads the heartbeats of a host over its period.
			kept[target.Addr] = now.Add(s.jitter(target.Period))
		}
		due = append(due, target)
	}
	s.due = kept
	return due
}

// jitter returns a random time below limit. The caller holds s.mu.
func (s *Service) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

// seedTarget returns a seed that belongs to no known host, if this host speaks
// for its domain or knows no other host. The caller holds s.mu.
func (s *Service) seedTarget() []Target {
	if s.table.Speaker() != s.options.Self.ID && len(s.table.peers()) > 0 {
		return nil
	}
	known := map[netip.AddrPort]bool{s.options.Self.Fleet: true}
	for _, m := range s.table.members {
		if m.state != host.StateGone {
			known[m.identity.Fleet] = true
		}
	}
	var open []netip.AddrPort
	for _, seed := range s.seeds {
		if !known[seed] {
			open = append(open, seed)
		}
	}
	if len(open) == 0 {
		return nil
	}
	for _, seed := range open {
		if _, scheduled := s.due[seed]; scheduled {
			return []Target{{Addr: seed, Period: s.options.Timing.Period}}
		}
	}
	return []Target{{Addr: open[s.random.IntN(len(open))], Period: s.options.Timing.Period}}
}

// start sends one heartbeat in the background. At the bound of heartbeats under
// way it is left out.
func (s *Service) start(ctx context.Context, target Target) {
	select {
	case s.exchanges <- struct{}{}:
	default:
		s.failed.Inc(1)
		return
	}
	s.mu.Lock()
	s.busy[target.Addr] = true
	s.mu.Unlock()
	s.work.Go(func() {
		defer func() {
			s.mu.Lock()
			delete(s.busy, target.Addr)
			if target.Identity.ID == "" {
				delete(s.due, target.Addr)
			}
			s.mu.Unlock()
			<-s.exchanges
		}()
		s.exchange(ctx, target)
	})
}

// exchange sends a heartbeat to a target and takes in its reply.
func (s *Service) exchange(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.Timing.Period)
	defer cancel()
	request := s.beat(target.Period)
	request.To = target.Identity.Incarnation
	if target.Identity.FailureDomain != s.options.Self.FailureDomain {
		request.Domains = s.ownDomain(request.Digest)
	}
	request.Want = s.wantMore(target)
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

// wantMore asks the speaker of the own domain for other digests now and then.
func (s *Service) wantMore(target Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wants++
	return s.wants%wantEvery == 0 && target.Identity.FailureDomain == s.options.Self.FailureDomain
}

func (s *Service) beat(period time.Duration) Heartbeat {
	digest := s.digest()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Beat(now, digest, period)
}

// ownDomain returns the digest of the own domain for a heartbeat to another.
func (s *Service) ownDomain(digest Digest) []DomainDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Speaker() != s.options.Self.ID {
		return nil
	}
	return []DomainDigest{s.table.OwnDomainDigest(time.Now(), digest)}
}

// digest asks the providers, without holding a lock.
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

// receive takes in a heartbeat and fetches summaries if the sender has newer
// ones.
func (s *Service) receive(from host.Identity, beat Heartbeat, introduced bool) error {
	s.mu.Lock()
	err := s.table.Heard(time.Now(), from, beat)
	needed := err == nil && (introduced || s.table.NeedsSync(from, beat) || s.gossips(from, beat))
	listeners := s.listeners
	s.mu.Unlock()
	if err != nil {
		s.late.Inc(1)
		return err
	}
	for _, listener := range listeners {
		listener(from, beat.Digest)
	}
	if needed {
		s.syncs.TryPush(Target{Addr: from.Fleet, Identity: from})
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
	reply := s.beat(time.Duration(request.Period) * time.Millisecond)
	if request.To != s.options.Self.Incarnation {
		self := s.options.Self
		reply.Self = &self
	}
	if from.FailureDomain != s.options.Self.FailureDomain {
		reply.Domains = s.ownDomain(reply.Digest)
	} else if request.Want && reply.Speaker {
		s.mu.Lock()
		reply.Domains = s.table.RemoteDigests()
		reply.Capacity = s.table.Capacity(from.ID)
		s.mu.Unlock()
	}
	return reply, nil
}

// publish makes a new view for readers after a change, and once each period.
func (s *Service) publish(now time.Time) {
	s.mu.Lock()
	if s.published == s.table.version && now.Sub(s.publishedAt) < s.options.Timing.Period {
		s.mu.Unlock()
		return
	}
	s.published = s.table.version
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
// exchanges heartbeats. It returns when they have answered or ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.table.Leave()
	targets := s.table.Targets(time.Now())
	for _, m := range s.table.peers() {
		if s.table.mesh() || m.identity.ID == s.table.Speaker() {
			targets = append(targets, Target{Addr: m.identity.Fleet, Identity: m.identity, Period: s.options.Timing.Period})
		}
	}
	s.mu.Unlock()
	var sending sync.WaitGroup
	told := map[netip.AddrPort]bool{}
	for _, target := range targets {
		if told[target.Addr] {
			continue
		}
		told[target.Addr] = true
		sending.Go(func() { s.exchange(ctx, target) })
	}
	sending.Wait()
}
