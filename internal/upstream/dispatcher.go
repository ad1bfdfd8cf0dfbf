package upstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// Options configures a Dispatcher. All fields but Now are required.
type Options struct {
	Self          host.Identity
	Configuration func() *configuration.Configuration // configuration in force, nil before the first
	Capacity      CapacityShare
	Transports    TransportFactory
	Now           func() time.Time // time.Now if nil
}

// Dispatcher hands out permits to run requests. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	mu      sync.Mutex // guards workers and applied
	applied *configuration.Configuration
	workers map[string][]*worker
}

type worker struct {
	upstream  configuration.Upstream
	transport http.RoundTripper
	inUse     int
}

// New creates a Dispatcher.
func New(options Options) *Dispatcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Dispatcher{options: options, workers: map[string][]*worker{}}
}

// Permit is the right to send one request to its target.
type Permit struct {
	target    Target
	transport http.RoundTripper
	done      func(Outcome)
	finished  atomic.Bool
}

// Target returns the place to send the request to.
func (p *Permit) Target() Target { return p.target }

// Transport returns the transport that reaches the target.
func (p *Permit) Transport() http.RoundTripper { return p.transport }

// Done ends the permit and frees its slot. Only the first call has an effect.
func (p *Permit) Done(outcome Outcome) {
	if p.finished.CompareAndSwap(false, true) {
		p.done(outcome)
	}
}

// Acquire waits for a place to run work. It returns a *RefusedError when there
// is none in time; no byte of the request has been sent then.
func (d *Dispatcher) Acquire(ctx context.Context, work Work) (*Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, &RefusedError{Reason: ReasonWithdrawn, Service: work.Service, Err: err}
	}
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.options.Configuration())
	workers := d.workers[work.Service]
	if len(workers) == 0 {
		return nil, &RefusedError{Reason: ReasonNoUpstream, Service: work.Service}
	}
	chosen := d.leastLoaded(workers, now)
	if chosen == nil {
		return nil, &RefusedError{Reason: ReasonOverloaded, Service: work.Service, RetryAfter: time.Second}
	}
	chosen.inUse++
	invariant.Check(chosen.inUse <= chosen.upstream.Slots, invariant.SlotsWithinWhole,
		"upstream %s runs %d of %d", chosen.upstream.Name, chosen.inUse, chosen.upstream.Slots)
	target := Target{Upstream: chosen.upstream.Name, Address: chosen.upstream.Address}
	return &Permit{target: target, transport: chosen.transport, done: func(Outcome) { d.release(chosen) }}, nil
}

func (d *Dispatcher) leastLoaded(workers []*worker, now time.Time) *worker {
	var best *worker
	for _, w := range workers {
		if w.inUse >= d.options.Capacity.Slots(w.upstream.Name, now) {
			continue
		}
		if best == nil || w.inUse*best.upstream.Slots < best.inUse*w.upstream.Slots {
			best = w
		}
	}
	return best
}

func (d *Dispatcher) release(w *worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.inUse--
}

// apply takes over a new configuration. The caller holds d.mu.
func (d *Dispatcher) apply(current *configuration.Configuration) {
	if current == nil || current == d.applied {
		return
	}
	previous := map[string]*worker{}
	for _, workers := range d.workers {
		for _, w := range workers {
			previous[w.upstream.Name] = w
		}
	}
	d.applied = current
	d.workers = map[string][]*worker{}
	for _, u := range current.Upstreams {
		if u.FailureDomain != d.options.Self.FailureDomain {
			continue
		}
		w := previous[u.Name]
		if w == nil || w.upstream.Address != u.Address {
			limit := func() int { return d.options.Capacity.Connections(u.Name, d.options.Now()) }
			w = &worker{transport: d.options.Transports.Upstream(u, limit)}
		}
		w.upstream = u
		d.workers[u.Service] = append(d.workers[u.Service], w)
	}
}
