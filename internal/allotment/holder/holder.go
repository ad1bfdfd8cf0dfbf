// Package holder renews this host's shares with the leader of its failure domain.
package holder

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/allotment"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/task"
)

// KindRenew carries allotment.RenewRequest and allotment.RenewResponse.
const KindRenew fleet.Kind = "allotment.renew"

const (
	defaultPeriod = 500 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	leaveTimeout  = 1200 * time.Millisecond
	leaveCheck    = 100 * time.Millisecond
	wantedKeep    = 0.8 // of the former demand for slots that is kept at each renewal
)

// Leadership tells which host leads the failure domain.
type Leadership interface {
	// Current returns the leader and its epoch; ok is false if none is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Renewer answers requests in this process, when this host is the leader.
type Renewer interface {
	Renew(from host.Identity, request allotment.RenewRequest) (allotment.RenewResponse, error)
}

// Accounts spends the shares of the client accounts.
type Accounts interface {
	Accounts() []string
	Usage(now time.Time, account string) allotment.Usage
	Resize(now time.Time, account string, share allotment.Share)
	Extend(now, until time.Time)
}

// UpstreamLoad is the use of one upstream by this host.
type UpstreamLoad struct {
	Upstream    string
	InUse       int     // requests that run there
	Connections int     // open connections
	Wanted      float64 // slots that this host could use now
}

// Options configures a Holder.
type Options struct {
	Self       host.Identity
	Caller     fleet.Caller
	Leadership Leadership
	Local      Renewer
	Accounts   Accounts
	Upstreams  func() []UpstreamLoad
	// View and Registry let the shares last without a leader; nil: they end.
	View     host.View
	Registry fleet.Registry
	Period   time.Duration    // between renewals; 500 ms if zero
	Now      func() time.Time // time.Now if nil
	Logger   log.Logger       // nil logs nothing
	Metrics  metrics.Registry // a private one if nil
}

// Holder is the host's side of the allotment. It is safe for concurrent use.
type Holder struct {
	options  Options
	capacity atomic.Pointer[capacity]
	stats    *stats

	mu     sync.Mutex // guards the fields below; not held across I/O
	shares *allotment.HostShares
	wanted map[string]float64 // demand for slots by upstream
	ready  bool
	leader host.ID   // that renewed last
	at     time.Time // of the last renewal
}

// capacity is the immutable view of the upstream shares.
type capacity struct {
	until  time.Time
	shares map[string]allotment.Share
}

// New creates a Holder without shares.
func New(options Options) *Holder {
	if options.Period == 0 {
		options.Period = defaultPeriod
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
	h := &Holder{
		options: options,
		stats:   newStats(options.Metrics),
		shares:  allotment.NewHostShares(),
		wanted:  map[string]float64{},
	}
	h.capacity.Store(&capacity{})
	if options.Registry != nil {
		options.Registry.Handle(KindHoldOver, h.handleHoldOver)
	}
	return h
}

// Slots returns how many requests this host may run at an upstream at now.
func (h *Holder) Slots(upstream string, now time.Time) int { return h.share(upstream, now).Slots }

// Connections returns how many connections this host may hold open at now.
func (h *Holder) Connections(upstream string, now time.Time) int {
	return h.share(upstream, now).Connections
}

func (h *Holder) share(upstream string, now time.Time) allotment.Share {
	c := h.capacity.Load()
	if !now.Before(c.until) {
		return allotment.Share{}
	}
	return c.shares[upstream]
}

// Until returns the end of the term of all shares.
func (h *Holder) Until() time.Time { return h.capacity.Load().until }

// Run renews the shares until ctx ends.
func (h *Holder) Run(ctx context.Context, beat task.Beat) error {
	for {
		beat()
		period := max(h.options.Period, h.renew(ctx))
		timer := time.NewTimer(period*4/5 + rand.N(period*2/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// renew exchanges one message with the leader and returns the pause that the
// leader asks for, zero if it did not answer.
func (h *Holder) renew(ctx context.Context) time.Duration {
	leader, epoch, ok := h.options.Leadership.Current()
	if !ok {
		h.holdOver(ctx)
		return 0
	}
	request := h.request(epoch)
	answer, err := h.send(ctx, leader, request)
	if err != nil {
		h.stats.failed.Inc(1)
		level.Debug(h.options.Logger).Log("msg", "renewal failed", "leader", leader.ID, "err", err)
		h.holdOver(ctx)
		return 0
	}
	h.stats.renewed.Inc(1)
	h.apply(leader.ID, answer)
	return answer.Pause
}

func (h *Holder) send(ctx context.Context, leader host.Identity, request allotment.RenewRequest) (allotment.RenewResponse, error) {
	if leader.ID == h.options.Self.ID && h.options.Local != nil {
		return h.options.Local.Renew(h.options.Self, request)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer allotment.RenewResponse
	err := h.options.Caller.Call(ctx, leader.Fleet, KindRenew, request, &answer)
	return answer, err
}

func (h *Holder) request(epoch uint64) allotment.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.shares.Observe(epoch)
	h.change(now, h.shares.Expire(now))
	loads := h.loads()
	return h.shares.Request(now, h.resources(loads), func(r allotment.Resource) allotment.Usage {
		return h.usage(now, r, loads)
	})
}

// loads measures the use of the upstreams. The caller holds mu.
func (h *Holder) loads() map[string]UpstreamLoad {
	loads := map[string]UpstreamLoad{}
	for _, load := range h.options.Upstreams() {
		wanted := math.Max(load.Wanted, h.wanted[load.Upstream]*wantedKeep)
		h.wanted[load.Upstream] = wanted
		loads[load.Upstream] = load
	}
	for name := range h.wanted {
		if _, ok := loads[name]; !ok {
			delete(h.wanted, name)
		}
	}
	return loads
}

func (h *Holder) resources(loads map[string]UpstreamLoad) []allotment.Resource {
	var resources []allotment.Resource
	for _, name := range h.options.Accounts.Accounts() {
		resources = append(resources, allotment.AccountResource(name))
	}
	for name := range loads {
		resources = append(resources, allotment.UpstreamResource(name))
	}
	return resources
}

func (h *Holder) usage(now time.Time, r allotment.Resource, loads map[string]UpstreamLoad) allotment.Usage {
	if name, ok := r.Account(); ok {
		return h.options.Accounts.Usage(now, name)
	}
	name, _ := r.Upstream()
	load := loads[name]
	return allotment.Usage{
		Demand: math.Ceil(h.wanted[name]),
		Held:   allotment.Share{Slots: load.InUse, Connections: max(load.Connections, load.InUse)},
	}
}

// apply takes the leader's answer: shares change first, then the term grows.
func (h *Holder) apply(leader host.ID, answer allotment.RenewResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.leader, h.at = leader, now
	h.change(now, h.shares.Apply(now, answer))
	h.extend(now)
}

// expire drops the shares whose term is over.
func (h *Holder) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.change(now, h.shares.Expire(now))
}

// extend publishes the term. The caller holds mu.
func (h *Holder) extend(now time.Time) {
	until := h.shares.Until()
	h.options.Accounts.Extend(now, until)
	next := *h.capacity.Load()
	next.until = until
	h.capacity.Store(&next)
	h.note(now.Before(until))
}

// note logs when the host starts or ceases to hold shares. The caller holds mu.
func (h *Holder) note(ready bool) {
	if ready == h.ready {
		return
	}
	h.ready = ready
	h.stats.ready.Update(int64(map[bool]int{true: 1}[ready]))
	level.Info(h.options.Logger).Log("msg", "shares of this host", "held", ready, "epoch", h.shares.Epoch())
}

// change applies changed shares. The caller holds mu.
func (h *Holder) change(now time.Time, changes []allotment.Change) {
	if len(changes) == 0 {
		return
	}
	h.stats.changes.Inc(int64(len(changes)))
	next := capacity{until: h.capacity.Load().until, shares: map[string]allotment.Share{}}
	for name, share := range h.capacity.Load().shares {
		next.shares[name] = share
	}
	for _, c := range changes {
		if account, ok := c.Resource.Account(); ok {
			h.options.Accounts.Resize(now, account, c.Share)
			continue
		}
		upstream, _ := c.Resource.Upstream()
		next.shares[upstream] = c.Share
	}
	h.capacity.Store(&next)
}

// Leave gives all shares back, for a graceful shutdown. It returns when the leader
// knows, and no tokens are lent any more, or after leaveTimeout. Requests that run
// keep their slots until they end; Run goes on to report them.
func (h *Holder) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	h.mu.Lock()
	now := h.options.Now()
	h.change(now, h.shares.Leave())
	h.extend(now)
	h.mu.Unlock()
	for {
		lent := h.lends()
		h.renew(ctx)
		if !lent {
			return
		}
		timer := time.NewTimer(leaveCheck)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// lends reports whether other hosts may spend tokens of this one.
func (h *Holder) lends() bool {
	now := h.options.Now()
	for _, name := range h.options.Accounts.Accounts() {
		if !h.options.Accounts.Usage(now, name).Held.IsZero() {
			return true
		}
	}
	return false
}
