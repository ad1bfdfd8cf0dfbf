// Package holder renews this host's shares with the leader of its failure domain, and
// applies them to admission and upstream capacity.
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

// KindRenew carries allotment.RenewRequest and allotment.RenewReply.
const KindRenew fleet.Kind = "allotment.renew"

const (
	defaultPeriod     = 500 * time.Millisecond
	callTimeout       = 400 * time.Millisecond
	leaveTimeout      = 1200 * time.Millisecond
	leavePollInterval = 100 * time.Millisecond
	demandDecay       = 0.8 // factor of the remembered demand for slots at each renewal
)

// Leadership reports which host leads the failure domain.
type Leadership interface {
	// Current returns the leader and its epoch; ok is false if none is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Renewer processes renewal requests in this process, when this host leads its domain.
type Renewer interface {
	Renew(from host.Identity, request allotment.RenewRequest) (allotment.RenewReply, error)
}

// Accounts uses the shares of the client accounts to admit requests.
type Accounts interface {
	// Accounts returns the names of the client accounts.
	Accounts() []string
	// Usage returns the use of an account's share.
	Usage(now time.Time, account string) allotment.Usage
	// Resize changes the share of an account.
	Resize(now time.Time, account string, share allotment.Share)
	// Extend extends the lease of all shares.
	Extend(now, until time.Time)
}

// UpstreamUsage is this host's use of one upstream.
type UpstreamUsage struct {
	Upstream    string
	InUse       int     // running requests
	Connections int     // open connections
	Wanted      float64 // slots that this host could use now
}

// Options configures a Holder.
type Options struct {
	Self        host.Identity
	Caller      fleet.Caller
	Leadership  Leadership
	LocalLeader Renewer
	Accounts    Accounts
	Upstreams   func() []UpstreamUsage
	// View and Registry are needed to extend the lease of the shares without a leader.
	// If Registry is nil, the shares expire instead.
	View     host.View
	Registry fleet.Registry
	Period   time.Duration    // between renewals; default: 500 ms
	Now      func() time.Time // default: time.Now
	Logger   log.Logger       // default: no logging
	Metrics  metrics.Registry // default: a new registry
}

// Holder holds the shares of this host. It is safe for concurrent use.
type Holder struct {
	options   Options
	upstreams atomic.Pointer[upstreamShares]
	stats     *stats

	mu          sync.Mutex // guards the fields below; not held across I/O
	shares      *allotment.HostShares
	wantedSlots map[string]float64 // demand for slots by upstream, decaying
	ready       bool
	lastLeader  host.ID   // leader that renewed last
	renewedAt   time.Time // time of the last renewal
}

// upstreamShares is an immutable snapshot of the upstream shares.
type upstreamShares struct {
	until  time.Time
	shares map[string]allotment.Share
}

// New creates a Holder without shares and registers its message handler.
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
		options:     options,
		stats:       newStats(options.Metrics),
		shares:      allotment.NewHostShares(),
		wantedSlots: map[string]float64{},
	}
	h.upstreams.Store(&upstreamShares{})
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
	c := h.upstreams.Load()
	if !now.Before(c.until) {
		return allotment.Share{}
	}
	return c.shares[upstream]
}

// Until returns the end of the lease, which is the same for all shares.
func (h *Holder) Until() time.Time { return h.upstreams.Load().until }

// Run renews the shares until ctx ends. It always returns nil.
func (h *Holder) Run(ctx context.Context, reportProgress task.ProgressFunc) error {
	for {
		reportProgress()
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

// renew sends a renewal request to the leader and applies the reply. It returns the
// pause that the leader asks for, or zero if there is no reply.
func (h *Holder) renew(ctx context.Context) time.Duration {
	leader, epoch, ok := h.options.Leadership.Current()
	if !ok {
		h.holdOver(ctx)
		return 0
	}
	request := h.nextRequest(epoch)
	reply, err := h.sendRequest(ctx, leader, request)
	if err != nil {
		h.stats.failed.Inc(1)
		level.Debug(h.options.Logger).Log("msg", "share renewal failed", "leader", leader.ID, "err", err)
		h.holdOver(ctx)
		return 0
	}
	h.stats.renewed.Inc(1)
	h.apply(leader.ID, reply)
	return reply.Pause
}

func (h *Holder) sendRequest(ctx context.Context, leader host.Identity, request allotment.RenewRequest) (allotment.RenewReply, error) {
	if leader.ID == h.options.Self.ID && h.options.LocalLeader != nil {
		return h.options.LocalLeader.Renew(h.options.Self, request)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply allotment.RenewReply
	err := h.options.Caller.Call(ctx, leader.Fleet, KindRenew, request, &reply)
	return reply, err
}

func (h *Holder) nextRequest(epoch uint64) allotment.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.shares.ObserveEpoch(epoch)
	h.applyChanges(now, h.shares.Expire(now))
	loads := h.measureUpstreams()
	return h.shares.Request(now, h.resources(loads), func(r allotment.Resource) allotment.Usage {
		return h.resourceUsage(now, r, loads)
	})
}

// measureUpstreams returns the use of each upstream and updates wantedSlots. The caller
// holds mu.
func (h *Holder) measureUpstreams() map[string]UpstreamUsage {
	loads := map[string]UpstreamUsage{}
	for _, load := range h.options.Upstreams() {
		wanted := math.Max(load.Wanted, h.wantedSlots[load.Upstream]*demandDecay)
		h.wantedSlots[load.Upstream] = wanted
		loads[load.Upstream] = load
	}
	for name := range h.wantedSlots {
		if _, ok := loads[name]; !ok {
			delete(h.wantedSlots, name)
		}
	}
	return loads
}

func (h *Holder) resources(loads map[string]UpstreamUsage) []allotment.Resource {
	var resources []allotment.Resource
	for _, name := range h.options.Accounts.Accounts() {
		resources = append(resources, allotment.AccountResource(name))
	}
	for name := range loads {
		resources = append(resources, allotment.UpstreamResource(name))
	}
	return resources
}

func (h *Holder) resourceUsage(now time.Time, r allotment.Resource, loads map[string]UpstreamUsage) allotment.Usage {
	if name, ok := r.Account(); ok {
		return h.options.Accounts.Usage(now, name)
	}
	name, _ := r.Upstream()
	load := loads[name]
	return allotment.Usage{
		Demand: math.Ceil(h.wantedSlots[name]),
		InUse:  allotment.Share{Slots: load.InUse, Connections: max(load.Connections, load.InUse)},
	}
}

// apply applies the leader's reply: first the changed shares, then the lease.
func (h *Holder) apply(leader host.ID, reply allotment.RenewReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.lastLeader, h.renewedAt = leader, now
	h.applyChanges(now, h.shares.Apply(now, reply))
	h.publishLease(now)
}

// dropExpired drops the shares if their lease has expired.
func (h *Holder) dropExpired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	h.applyChanges(now, h.shares.Expire(now))
}

// publishLease passes the end of the lease to the accounts and upstream shares. The
// caller holds mu.
func (h *Holder) publishLease(now time.Time) {
	until := h.shares.Until()
	h.options.Accounts.Extend(now, until)
	next := *h.upstreams.Load()
	next.until = until
	h.upstreams.Store(&next)
	h.recordReady(now.Before(until))
}

// recordReady records whether the host holds shares, and logs changes. The caller holds
// mu.
func (h *Holder) recordReady(ready bool) {
	if ready == h.ready {
		return
	}
	h.ready = ready
	h.stats.ready.Update(int64(map[bool]int{true: 1}[ready]))
	level.Info(h.options.Logger).Log("msg", "the lease of this host's shares started or ended", "held", ready, "epoch", h.shares.Epoch())
}

// applyChanges applies changed shares to the accounts and upstream shares. The caller
// holds mu.
func (h *Holder) applyChanges(now time.Time, changes []allotment.ShareChange) {
	if len(changes) == 0 {
		return
	}
	h.stats.changes.Inc(int64(len(changes)))
	next := upstreamShares{until: h.upstreams.Load().until, shares: map[string]allotment.Share{}}
	for name, share := range h.upstreams.Load().shares {
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
	h.upstreams.Store(&next)
}

// Leave releases all shares, for a graceful shutdown. It returns after a renewal without
// tokens on loan, or after leaveTimeout. Running requests keep their slots until they
// end; Run must continue to report them.
func (h *Holder) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	h.mu.Lock()
	now := h.options.Now()
	h.applyChanges(now, h.shares.Leave())
	h.publishLease(now)
	h.mu.Unlock()
	for {
		lent := h.hasOutstandingLoans()
		h.renew(ctx)
		if !lent {
			return
		}
		timer := time.NewTimer(leavePollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// hasOutstandingLoans reports whether other hosts may spend tokens that this host lent.
func (h *Holder) hasOutstandingLoans() bool {
	now := h.options.Now()
	for _, name := range h.options.Accounts.Accounts() {
		if !h.options.Accounts.Usage(now, name).InUse.IsZero() {
			return true
		}
	}
	return false
}
