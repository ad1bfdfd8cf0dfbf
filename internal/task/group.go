// Package task runs the goroutines of a process, one for each duty, and joins
// them by bounded rings.
package task

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
)

const (
	defaultStallTimeout = 10 * time.Second
	watchdogPeriods     = 4 // checks within one stall timeout
)

// Beat reports that a duty is alive. A duty calls it at least once each stall
// timeout, also while it has nothing to do.
type Beat func()

// Func is the body of a duty. It returns soon after ctx has ended.
type Func func(ctx context.Context, beat Beat) error

// GroupOptions configures a Group.
type GroupOptions struct {
	StallTimeout time.Duration    // silence after which a duty counts as stalled; zero means 10 s
	OnStall      func(error)      // called once for each stall with a *StalledError; may be nil
	Logger       log.Logger       // nil logs nothing
	Metrics      metrics.Registry // nil counts in a private registry
}

// Group runs duties. When one ends early, by an error, a panic or a plain
// return, that is logged and counted and the whole group stops: no duty is
// restarted silently. Metrics: duty.running, duty.panics, duty.ended,
// duty.stalls, duty.stalled.
type Group struct {
	options GroupOptions
	ctx     context.Context
	cancel  context.CancelCauseFunc
	work    sync.WaitGroup

	running metrics.Counter
	panics  metrics.Counter
	ended   metrics.Counter
	stalls  metrics.Counter
	stalled metrics.Gauge

	mu     sync.Mutex
	duties map[*duty]struct{}
}

type duty struct {
	name    string
	last    atomic.Pointer[time.Time] // of the last beat
	watched bool
	stalled bool // written by the watchdog only
}

func (d *duty) beat() {
	now := time.Now()
	d.last.Store(&now)
}

// NewGroup returns a group whose duties stop when ctx ends.
func NewGroup(ctx context.Context, options GroupOptions) *Group {
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStallTimeout
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("duty."+name, options.Metrics)
	}
	g := &Group{
		options: options,
		running: counter("running"),
		panics:  counter("panics"),
		ended:   counter("ended"),
		stalls:  counter("stalls"),
		stalled: metrics.GetOrRegisterGauge("duty.stalled", options.Metrics),
		duties:  map[*duty]struct{}{},
	}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.work.Go(g.watch)
	return g
}

// Context ends when the group stops. Its cause tells why.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty that the watchdog observes.
func (g *Group) Go(name string, f Func) {
	g.start(&duty{name: name, watched: true}, f)
}

// GoUnwatched starts a duty that waits for events without bound, such as a
// server that accepts connections.
func (g *Group) GoUnwatched(name string, f func(ctx context.Context) error) {
	g.start(&duty{name: name}, func(ctx context.Context, _ Beat) error { return f(ctx) })
}

func (g *Group) start(d *duty, f Func) {
	d.beat()
	g.mu.Lock()
	g.duties[d] = struct{}{}
	g.mu.Unlock()
	g.running.Inc(1)
	g.work.Go(func() {
		err := g.run(d, f)
		g.finish(d, err)
	})
}

func (g *Group) run(d *duty, f Func) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.panics.Inc(1)
			err = &PanicError{Duty: d.name, Value: fmt.Sprint(value), Stack: string(debug.Stack())}
		}
	}()
	return f(g.ctx, d.beat)
}

func (g *Group) finish(d *duty, err error) {
	g.mu.Lock()
	delete(g.duties, d)
	g.mu.Unlock()
	g.running.Dec(1)
	if failure, ok := err.(*PanicError); ok {
		_ = level.Error(g.options.Logger).Log("msg", "duty panicked", "duty", d.name, "err", failure, "stack", failure.Stack)
		g.cancel(failure)
		return
	}
	if g.ctx.Err() != nil {
		return
	}
	failure := &EndedError{Duty: d.name, Err: err}
	g.ended.Inc(1)
	_ = level.Error(g.options.Logger).Log("msg", "duty ended early", "duty", d.name, "err", failure)
	g.cancel(failure)
}

// Stop ends the context of all duties.
func (g *Group) Stop() { g.cancel(nil) }

// Wait returns when all duties have returned. The error tells which duty ended
// the group; it is nil after Stop or the end of the parent context.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.work.Wait()
	switch cause := context.Cause(g.ctx).(type) {
	case *PanicError:
		return cause
	case *EndedError:
		return cause
	default:
		return nil
	}
}

// watch looks for duties that have stopped answering.
func (g *Group) watch() {
	ticker := time.NewTicker(g.options.StallTimeout / watchdogPeriods)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			g.check(time.Now())
		}
	}
}

func (g *Group) check(now time.Time) {
	g.mu.Lock()
	watched := make([]*duty, 0, len(g.duties))
	for d := range g.duties {
		if d.watched {
			watched = append(watched, d)
		}
	}
	g.mu.Unlock()
	count := int64(0)
	for _, d := range watched {
		if g.checkDuty(d, now) {
			count++
		}
	}
	g.stalled.Update(count)
}

func (g *Group) checkDuty(d *duty, now time.Time) bool {
	silent := now.Sub(*d.last.Load())
	if silent < g.options.StallTimeout {
		d.stalled = false
		return false
	}
	if !d.stalled {
		d.stalled = true
		g.stalls.Inc(1)
		failure := &StalledError{Duty: d.name, Silent: silent}
		_ = level.Error(g.options.Logger).Log("msg", "duty does not answer", "duty", d.name, "err", failure)
		if g.options.OnStall != nil {
			g.options.OnStall(failure)
		}
	}
	return true
}
