package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/membership"
	"peridotrail/internal/task"
)

// KindHandover is the message that asks a host to become the next leader.
const KindHandover fleet.Kind = "leadership.handover"

const (
	tickPeriod   = 250 * time.Millisecond
	storeTimeout = 2 * time.Second // limit for all calls of one action
	resultBuffer = 4
)

// handoverMessage is sent to the successor by a leader that stops.
type handoverMessage struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// Options configures a Service.
type Options struct {
	Self    host.Identity
	Store   kvstore.Store
	View    func() *membership.View
	Caller  fleet.Caller
	Timing  Timing           // DefaultTiming if zero
	Logger  log.Logger       // nil logs nothing
	Metrics metrics.Registry // nil counts in a private registry
	// BeforeHandOver is called after this process has stopped leading for a graceful
	// shutdown and before its lease is revoked. led is the status before the stop;
	// successor is zero if none is known. It may be nil.
	BeforeHandOver func(ctx context.Context, led Status, successor host.Identity)
}

// Service runs the Elector of this host. It is safe for concurrent use.
type Service struct {
	options Options
	leases  *leaseClient // used by one action at a time
	results chan func(*Elector)
	work    sync.WaitGroup

	changes  metrics.Counter
	failures metrics.Counter
	self     metrics.Gauge
	holdOver metrics.Gauge
	epoch    metrics.Gauge

	mu          sync.Mutex // held for computation only
	elector     *Elector
	lastStatus  Status
	subscribers []func(Status)
}

// New returns a service that knows no leader. Call Run to start it.
func New(options Options) *Service {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	return &Service{
		options:  options,
		leases:   &leaseClient{store: options.Store, self: options.Self, timing: options.Timing},
		results:  make(chan func(*Elector), resultBuffer),
		changes:  metrics.GetOrRegisterCounter("leadership.changes", options.Metrics),
		failures: metrics.GetOrRegisterCounter("leadership.store.errors", options.Metrics),
		self:     metrics.GetOrRegisterGauge("leadership.self", options.Metrics),
		holdOver: metrics.GetOrRegisterGauge("leadership.holdover", options.Metrics),
		epoch:    metrics.GetOrRegisterGauge("leadership.epoch", options.Metrics),
		elector:  NewElector(options.Self, options.Timing, time.Now()),
	}
}

// Register registers the handler of handover messages.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindHandover, s.handleHandover)
}

// Subscribe calls f after each change of the status. f must not block.
func (s *Service) Subscribe(f func(Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Current returns the leadership at this moment. Self is true only while this process
// may act; a leader must check it before each decision.
func (s *Service) Current() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.elector.Status(time.Now())
}

// Leadership returns the leader and the epoch that membership sends to other hosts.
func (s *Service) Leadership() membership.Leadership {
	status := s.Current()
	return membership.Leadership{Leader: status.Leader.ID, Epoch: status.Epoch}
}

// OnDigest handles the leader and the epoch in a digest from another host. Digests from
// other failure domains are ignored. Pass it to membership.Service.OnDigest.
func (s *Service) OnDigest(from host.Identity, digest membership.Digest) {
	if from.FailureDomain != s.options.Self.FailureDomain {
		return
	}
	leader := s.resolve(from, digest.Leader)
	s.mu.Lock()
	s.elector.HandleHeartbeat(time.Now(), from, leader, digest.LeaderEpoch)
	s.mu.Unlock()
	s.notify()
}

// resolve returns the identity of the process that a host reports as the leader. Only
// the ID is set if the incarnation is unknown.
func (s *Service) resolve(from host.Identity, leader host.ID) host.Identity {
	if leader == from.ID {
		return from
	}
	if leader == s.options.Self.ID {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.elector.leading {
			return s.options.Self
		}
		return host.Identity{ID: leader}
	}
	for _, m := range s.options.View().Members {
		if m.Identity.ID == leader {
			return m.Identity
		}
	}
	return host.Identity{ID: leader}
}

// Run ticks the elector and makes its calls to the store until ctx ends. It always
// returns nil.
func (s *Service) Run(ctx context.Context, reportProgress task.ProgressFunc) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer s.work.Wait()
	for {
		s.tick(ctx)
		reportProgress()
		select {
		case <-ctx.Done():
			return nil
		case apply := <-s.results:
			s.mu.Lock()
			apply(s.elector)
			s.mu.Unlock()
		case <-ticker.C:
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	view := s.options.View()
	observed := Observation{
		Candidates:        view.Candidates,
		LastPeerHeartbeat: view.LastPeerHeartbeat,
		Alone:             view.Alone,
		Fresh:             view.Fresh,
	}
	s.mu.Lock()
	action := s.elector.Tick(time.Now(), observed)
	lease := s.elector.Lease()
	s.mu.Unlock()
	s.notify()
	switch action {
	case ActionAcquire:
		s.work.Go(func() { s.acquire(ctx) })
	case ActionRenew:
		s.work.Go(func() { s.renew(ctx, lease) })
	}
}

func (s *Service) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result := s.leases.acquire(ctx, time.Now)
	if result.Outcome == OutcomeUnavailable {
		s.failures.Inc(1)
	}
	s.results <- func(e *Elector) { e.Acquired(time.Now(), result) }
}

func (s *Service) renew(ctx context.Context, lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	outcome := s.leases.renew(ctx, lease)
	if outcome == OutcomeUnavailable {
		s.failures.Inc(1)
	}
	s.results <- func(e *Elector) { e.Renewed(time.Now(), outcome, sent) }
}

// notify calls the subscribers and updates the metrics if the status has changed.
func (s *Service) notify() {
	s.mu.Lock()
	status := s.elector.Status(time.Now())
	changed := status != s.lastStatus
	s.lastStatus = status
	subscribers := s.subscribers
	s.mu.Unlock()
	if !changed {
		return
	}
	s.changes.Inc(1)
	s.self.Update(boolToInt(status.Self))
	s.holdOver.Update(boolToInt(status.HoldOver))
	s.epoch.Update(int64(status.Epoch))
	_ = level.Info(s.options.Logger).Log("component", "leadership", "msg", "leadership changed", "domain", status.Domain,
		"leader", status.Leader.ID, "epoch", status.Epoch, "self", status.Self, "holdOver", status.HoldOver)
	for _, f := range subscribers {
		f(status)
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// HandOver ends the leadership of this process for a graceful shutdown, revokes its
// lease and notifies the successor. After it returns, this process does not lead again.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	led := s.elector.Status(time.Now())
	lease, epoch, successor := s.elector.Stop()
	s.mu.Unlock()
	s.notify()
	if lease.IsZero() {
		return
	}
	s.beforeHandOver(ctx, led, successor)
	if err := s.options.Store.Revoke(ctx, lease); err != nil {
		_ = level.Warn(s.options.Logger).Log("component", "leadership", "msg", "failed to revoke the lease", "err", err)
	}
	for _, m := range s.options.View().Members {
		if m.Identity.ID != successor {
			continue
		}
		if err := s.options.Caller.Call(ctx, m.Identity.Fleet, KindHandover, handoverMessage{Epoch: epoch}, nil); err != nil {
			_ = level.Warn(s.options.Logger).Log("component", "leadership", "msg", "failed to notify the successor", "successor", successor, "err", err)
		}
	}
}

func (s *Service) beforeHandOver(ctx context.Context, led Status, successor host.ID) {
	if s.options.BeforeHandOver == nil {
		return
	}
	var next host.Identity
	for _, m := range s.options.View().Members {
		if m.Identity.ID == successor {
			next = m.Identity
		}
	}
	s.options.BeforeHandOver(ctx, led, next)
}

func (s *Service) handleHandover(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var message handoverMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.SameProcess(s.elector.leader) {
		s.elector.HandleHandover(time.Now(), message.Epoch)
	}
	return struct{}{}, nil
}
