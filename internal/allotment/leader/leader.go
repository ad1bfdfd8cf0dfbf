// Package leader is the part of the allotment that runs on a domain leader: it
// maintains the failure domain's shares in the platform's store and divides them
// among the hosts of the domain.
package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/allotment"
	"peridotrail/internal/allotment/holder"
	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/task"
)

// Leadership reports whether this process leads its failure domain.
type Leadership interface {
	// Leading returns the fencing epoch while this process may act as leader.
	Leading() (epoch uint64, ok bool)
	// Current returns the leader and its epoch; ok is false if none is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Timing holds the durations and intervals of the allotment. They must be the same in
// all processes of a fleet.
type Timing struct {
	HostLease      time.Duration // of a host's shares; must be longer than a change of leaders takes
	DomainLease    time.Duration // of a domain's extra shares
	Margin         time.Duration // added to the leases of others to allow for clock differences
	RecordInterval time.Duration // between renewals of the domain's record
	DivideInterval time.Duration // between divisions among the hosts
	PlanInterval   time.Duration // between plans of the documents, on average
	ReadInterval   time.Duration // between complete reads, in case a watch missed a change; on average
	StoreTimeout   time.Duration // timeout of a store call
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		HostLease:      20 * time.Second,
		DomainLease:    45 * time.Second,
		Margin:         500 * time.Millisecond,
		RecordInterval: 5 * time.Second,
		DivideInterval: 250 * time.Millisecond,
		PlanInterval:   time.Second,
		ReadInterval:   30 * time.Second,
		StoreTimeout:   3 * time.Second,
	}
}

// defaultMaxDeadline is the initial value of the largest request deadline. Services
// with longer deadlines raise it.
const defaultMaxDeadline = 30 * time.Second

// Options configures a Leader.
type Options struct {
	Self          host.Identity
	Store         kvstore.Store
	View          host.View
	Caller        fleet.Caller
	Registry      fleet.Registry
	Leadership    Leadership
	Snapshot      func() *configuration.Snapshot // the configuration in force; nil if there is none yet
	FloorFraction float64                        // default: allotment.DefaultFloorFraction
	Timing        Timing                         // default: DefaultTiming
	Now           func() time.Time               // default: time.Now
	Logger        log.Logger                     // default: no logging
	Metrics       metrics.Registry               // default: a new registry
}

// Leader divides the shares of a failure domain while its process leads the domain,
// and is idle otherwise. It is safe for concurrent use.
type Leader struct {
	options Options
	stats   *stats

	tasks      sync.WaitGroup  // goroutines of leadership terms
	mu         sync.Mutex      // guards the fields below and the state of term; not held across I/O
	term       *leadershipTerm // nil while this process does not lead
	operations uint64          // number of operations so far
}

// NotLeaderError is returned for a message that only the leader can process.
type NotLeaderError struct {
	Host host.ID
}

// Error implements error.
func (e *NotLeaderError) Error() string { return fmt.Sprintf("host %q does not lead", e.Host) }

// FleetCode returns the code that identifies the error in messages between hosts.
func (e *NotLeaderError) FleetCode() string { return "not-leader" }

// New creates a Leader and registers its message handlers.
func New(options Options) *Leader {
	if options.FloorFraction == 0 {
		options.FloorFraction = allotment.DefaultFloorFraction
	}
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	l := &Leader{options: options, stats: newStats(options.Metrics)}
	options.Registry.Handle(holder.KindRenew, l.handleRenew)
	options.Registry.Handle(KindPromise, l.handlePromise)
	return l
}

// Run starts and ends leadership terms as this process gains and loses the leadership,
// until ctx ends. It always returns nil.
func (l *Leader) Run(ctx context.Context, reportProgress task.ProgressFunc) error {
	ticker := time.NewTicker(l.options.Timing.DivideInterval)
	defer ticker.Stop()
	for {
		reportProgress()
		l.tick(ctx)
		select {
		case <-ctx.Done():
			l.endTerm()
			l.tasks.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// tick starts or ends a leadership term, and divides the shares among the hosts.
func (l *Leader) tick(ctx context.Context) {
	epoch, leading := l.options.Leadership.Leading()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil && (!leading || l.term.epoch != epoch) {
		l.term.stop()
		l.term = nil
		l.stats.leading.Update(0)
	}
	if !leading {
		return
	}
	if l.term == nil {
		l.beginTerm(ctx, epoch)
	}
	l.term.divide(l.options.Now(), l.options.Snapshot())
	l.stats.holders.Update(int64(l.term.allotment.HolderCount()))
}

// beginTerm starts a leadership term and its tasks. The caller holds mu.
func (l *Leader) beginTerm(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	l.term = newLeadershipTerm(l.options, epoch, cancel)
	l.stats.leading.Update(1)
	level.Info(l.options.Logger).Log("msg", "started leadership term of the allotment", "epoch", epoch)
	task := &storeTask{leader: l, term: l.term}
	l.tasks.Go(func() { task.watch(ctx) })
	l.tasks.Go(func() { task.run(ctx) })
}

// endTerm ends the leadership term, if there is one.
func (l *Leader) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil {
		l.term.stop()
		l.term = nil
	}
}

// Renew processes a host's renewal request. It fails with a *NotLeaderError if this
// process does not lead the domain or is shutting down.
func (l *Leader) Renew(from host.Identity, request allotment.RenewRequest) (allotment.RenewReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.options.Leadership.Leading()
	if !leading || l.term == nil || l.term.epoch != epoch || l.term.closed {
		return allotment.RenewReply{}, &NotLeaderError{Host: l.options.Self.ID}
	}
	l.stats.renewals.Inc(1)
	reply := l.term.allotment.Renew(l.options.Now(), from, request)
	if !l.term.ready() && !l.term.allotment.MayHoldShares(from) {
		reply.Lease = 0 // the host has no shares yet and must not report ready
		return reply, nil
	}
	reply.Pause = renewPause(l.term.allotment.HolderCount(), reply.Lease)
	return reply, nil
}

const (
	renewalSpacing      = 50 * time.Millisecond // targeted average time between the renewals that a leader receives
	minRenewalsPerLease = 5                     // number of renewals that each host can send within a lease
)

// renewPause returns the minimum time between renewals of a host. It grows with the
// number of hosts, to limit the rate of renewals that a leader receives, but allows each
// host minRenewalsPerLease renewals within a lease.
func renewPause(hosts int, lease time.Duration) time.Duration {
	return min(time.Duration(hosts)*renewalSpacing, lease/minRenewalsPerLease)
}

func (l *Leader) handleRenew(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request allotment.RenewRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if from.FailureDomain != l.options.Self.FailureDomain {
		return nil, &NotLeaderError{Host: l.options.Self.ID}
	}
	return l.Renew(from, request)
}

// Lenders returns hosts that can probably lend tokens of an account to the borrower,
// best first. It returns none if this process does not lead.
func (l *Leader) Lenders(account string, borrower host.ID) []host.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return nil
	}
	return l.term.lenders(l.options.Now(), account, borrower)
}

// Leave writes to the store which processes of the domain hold shares, so that the next
// leader does not have to wait for others. From then on, the leadership term renews no
// shares. Leave has no effect if this process does not lead or its term is not ready.
func (l *Leader) Leave(ctx context.Context) {
	write, ok := l.handOver()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.StoreTimeout)
	defer cancel()
	if _, err := l.options.Store.CompareAndSwap(ctx, write); err != nil {
		level.Info(l.options.Logger).Log("msg", "could not hand over the domain's shares to the next leader", "err", err)
	}
}

func (l *Leader) handOver() (kvstore.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	term := l.term
	if term == nil || !term.ready() {
		return kvstore.Write{}, false
	}
	now := l.options.Now()
	term.closed = true
	holders, ok := term.allotment.HandOver(now)
	if !ok {
		return kvstore.Write{}, false
	}
	return term.lease.HandOver(now, l.operation(), holders)
}

// operation returns a unique identifier for the next write. The caller holds mu.
func (l *Leader) operation() string {
	l.operations++
	return fmt.Sprintf("%s/%d/%d", l.options.Self.ID, l.options.Self.Incarnation, l.operations)
}
