// Package leader is the duty of a failure domain's leader: it keeps the domain's
// shares in the platform's store and divides them among the hosts of the domain.
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

// Leadership tells whether this process leads its failure domain.
type Leadership interface {
	// Leading returns the fencing epoch while this process may act as leader.
	Leading() (epoch uint64, ok bool)
	// Current returns the leader and its epoch; ok is false if none is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Timing holds the time limits of the allotment. All processes of a fleet must
// use the same.
type Timing struct {
	HostTerm    time.Duration // of a host's shares; longer than a change of leaders takes
	DomainTerm  time.Duration // of a domain's extra shares
	Margin      time.Duration // added by the giver for differences between clocks
	RecordEvery time.Duration // between renewals of the domain's record
	Tick        time.Duration // between divisions among the hosts
	PlanEvery   time.Duration // between looks at the documents
	ReadEvery   time.Duration // between complete reads, in case a watch lost a change
	StoreCall   time.Duration // longest wait for an answer of the store
}

// DefaultTiming returns the limits used in production.
func DefaultTiming() Timing {
	return Timing{
		HostTerm:    20 * time.Second,
		DomainTerm:  45 * time.Second,
		Margin:      500 * time.Millisecond,
		RecordEvery: 5 * time.Second,
		Tick:        250 * time.Millisecond,
		PlanEvery:   time.Second,
		ReadEvery:   30 * time.Second,
		StoreCall:   3 * time.Second,
	}
}

// defaultHold is the largest request deadline of a service that names none.
const defaultHold = 30 * time.Second

// Options configures a Leader.
type Options struct {
	Self          host.Identity
	Store         kvstore.Store
	View          host.View
	Caller        fleet.Caller
	Registry      fleet.Registry
	Leadership    Leadership
	Snapshot      func() *configuration.Snapshot // in force, nil before the first
	FloorFraction float64                        // allotment.DefaultFloorFraction if zero
	Timing        Timing                         // DefaultTiming if zero
	Now           func() time.Time               // time.Now if nil
	Logger        log.Logger                     // nil logs nothing
	Metrics       metrics.Registry               // a private one if nil
}

// Leader acts while its process leads the failure domain, and is idle otherwise.
// It is safe for concurrent use.
type Leader struct {
	options Options
	stats   *stats

	work  sync.WaitGroup // duties of reigns
	mu    sync.Mutex     // guards the fields below and the reign; not held across I/O
	reign *reign         // nil while this process does not lead
	count uint64         // operations so far
}

// NotLeaderError refuses a message that only the leader can answer.
type NotLeaderError struct {
	Host host.ID
}

// Error implements error.
func (e *NotLeaderError) Error() string { return fmt.Sprintf("host %q does not lead", e.Host) }

// FleetCode is the code under which the error crosses hosts.
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

// Run acts as leader whenever this process leads, until ctx ends.
func (l *Leader) Run(ctx context.Context, beat task.Beat) error {
	ticker := time.NewTicker(l.options.Timing.Tick)
	defer ticker.Stop()
	for {
		beat()
		l.tick(ctx)
		select {
		case <-ctx.Done():
			l.end()
			l.work.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// tick begins or ends a reign, and divides the shares among the hosts.
func (l *Leader) tick(ctx context.Context) {
	epoch, leading := l.options.Leadership.Leading()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reign != nil && (!leading || l.reign.epoch != epoch) {
		l.reign.stop()
		l.reign = nil
		l.stats.leading.Update(0)
	}
	if !leading {
		return
	}
	if l.reign == nil {
		l.begin(ctx, epoch)
	}
	l.reign.divide(l.options.Now(), l.options.Snapshot())
	l.stats.holders.Update(int64(l.reign.hosts.Holders()))
}

// begin starts a reign with its duty towards the store. The caller holds mu.
func (l *Leader) begin(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	l.reign = newReign(l.options, epoch, cancel)
	l.stats.leading.Update(1)
	level.Info(l.options.Logger).Log("msg", "allotment leadership begins", "epoch", epoch)
	k := &keeper{leader: l, reign: l.reign}
	l.work.Go(func() { k.watch(ctx) })
	l.work.Go(func() { k.run(ctx) })
}

// end stops the reign.
func (l *Leader) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reign != nil {
		l.reign.stop()
		l.reign = nil
	}
}

// Renew answers a host's request. It fails with a *NotLeaderError unless this
// process leads.
func (l *Leader) Renew(from host.Identity, request allotment.RenewRequest) (allotment.RenewResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.options.Leadership.Leading()
	if !leading || l.reign == nil || l.reign.epoch != epoch || l.reign.closed {
		return allotment.RenewResponse{}, &NotLeaderError{Host: l.options.Self.ID}
	}
	l.stats.renewals.Inc(1)
	answer := l.reign.hosts.Renew(l.options.Now(), from, request)
	if !l.reign.ready() && !l.reign.hosts.Holding(from) {
		answer.Term = 0 // the host has nothing yet, and must not seem ready
		return answer, nil
	}
	answer.Pause = renewPause(l.reign.hosts.Holders(), answer.Term)
	return answer, nil
}

const (
	renewSpacing  = 50 * time.Millisecond // between the renewals that a leader answers, on average
	renewsPerTerm = 5                     // least number of renewals that a host may send in a term
)

// renewPause bounds the renewals that reach a leader, whatever the number of
// hosts in its domain.
func renewPause(hosts int, term time.Duration) time.Duration {
	return min(time.Duration(hosts)*renewSpacing, term/renewsPerTerm)
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

// Lenders returns hosts that can probably lend tokens of an account, best first;
// nothing unless this process leads.
func (l *Leader) Lenders(account string, borrower host.ID) []host.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reign == nil {
		return nil
	}
	return l.reign.lenders(l.options.Now(), account, borrower)
}

// Leave tells the store which hosts of the domain hold shares, so that the next
// leader need not wait for others. This leader answers no further renewal.
func (l *Leader) Leave(ctx context.Context) {
	write, ok := l.handOver()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.StoreCall)
	defer cancel()
	if _, err := l.options.Store.CompareAndSwap(ctx, write); err != nil {
		level.Info(l.options.Logger).Log("msg", "shares of the domain not handed over", "err", err)
	}
}

func (l *Leader) handOver() (kvstore.Write, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reign
	if r == nil || !r.ready() {
		return kvstore.Write{}, false
	}
	now := l.options.Now()
	r.closed = true
	holders, ok := r.hosts.HandOver(now)
	if !ok {
		return kvstore.Write{}, false
	}
	return r.term.HandOver(now, l.operation(), holders)
}

// operation names the next write to the store. The caller holds mu.
func (l *Leader) operation() string {
	l.count++
	return fmt.Sprintf("%s/%d/%d", l.options.Self.ID, l.options.Self.Incarnation, l.count)
}
