// Package task supervises the long-running goroutines of a process, one for each task,
// and provides bounded queues between them.
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
	defaultStallTimeout   = 10 * time.Second
	checksPerStallTimeout = 4 // watchdog checks within one stall timeout
)

// ProgressFunc reports to the watchdog that a task is making progress. A task calls it
// at least once each stall timeout, also while it has nothing to do. It is safe for
// concurrent use.
type ProgressFunc func()

// Func is the body of a task. It must return soon after ctx has ended.
type Func func(ctx context.Context, reportProgress ProgressFunc) error

// GroupOptions configures a Group.
type GroupOptions struct {
	StallTimeout time.Duration    // time without reported progress after which a task is stalled; zero means 10 s
	OnStall      func(error)      // called once per stall with a *StalledError; may be nil
	Logger       log.Logger       // nil logs nothing
	Metrics      metrics.Registry // nil uses a private registry
}

// Group runs tasks. When a task ends before the group is stopped, by an error, a panic
// or a plain return, the group logs and counts that and stops all tasks; it restarts
// none. Metrics: duty.running, duty.panics, duty.ended, duty.stalls, duty.stalled.
// Operators use these metric names and the log lines of Group, so both keep the earlier
// term duty for a task.
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

	mu    sync.Mutex
	tasks map[*task]struct{}
}

type task struct {
	name         string
	lastProgress atomic.Pointer[time.Time] // time at which the task last reported progress
	watched      bool
	stalled      bool // written by the watchdog only
}

func (t *task) reportProgress() {
	now := time.Now()
	t.lastProgress.Store(&now)
}

// NewGroup returns a group whose tasks stop when ctx ends.
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
		tasks:   map[*task]struct{}{},
	}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.work.Go(g.watch)
	return g
}

// Context returns the context of the group. It ends when the group stops; its cause is
// the reason.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task that the watchdog observes.
func (g *Group) Go(name string, f Func) {
	g.start(&task{name: name, watched: true}, f)
}

// GoUnwatched starts a task that the watchdog doesn't observe, because it waits for
// events without a time limit, such as a server that accepts connections.
func (g *Group) GoUnwatched(name string, f func(ctx context.Context) error) {
	g.start(&task{name: name}, func(ctx context.Context, _ ProgressFunc) error { return f(ctx) })
}

func (g *Group) start(t *task, f Func) {
	t.reportProgress()
	g.mu.Lock()
	g.tasks[t] = struct{}{}
	g.mu.Unlock()
	g.running.Inc(1)
	g.work.Go(func() {
		err := g.run(t, f)
		g.finish(t, err)
	})
}

func (g *Group) run(t *task, f Func) (err error) {
	defer func() {
		if value := recover(); value != nil {
			g.panics.Inc(1)
			err = &PanicError{Task: t.name, Value: fmt.Sprint(value), Stack: string(debug.Stack())}
		}
	}()
	return f(g.ctx, t.reportProgress)
}

func (g *Group) finish(t *task, err error) {
	g.mu.Lock()
	delete(g.tasks, t)
	g.mu.Unlock()
	g.running.Dec(1)
	if failure, ok := err.(*PanicError); ok {
		_ = level.Error(g.options.Logger).Log("msg", "duty panicked", "duty", t.name, "err", failure, "stack", failure.Stack)
		g.cancel(failure)
		return
	}
	if g.ctx.Err() != nil {
		return
	}
	failure := &EndedError{Task: t.name, Err: err}
	g.ended.Inc(1)
	_ = level.Error(g.options.Logger).Log("msg", "duty ended early", "duty", t.name, "err", failure)
	g.cancel(failure)
}

// Stop ends the context of all tasks. It doesn't wait for them.
func (g *Group) Stop() { g.cancel(nil) }

// Wait waits until the group has stopped and all tasks have returned. It returns the
// *PanicError or *EndedError of the task that stopped the group, or nil after Stop or the
// end of the parent context.
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

// watch checks for stalled tasks until the group stops.
func (g *Group) watch() {
	ticker := time.NewTicker(g.options.StallTimeout / checksPerStallTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			g.checkTasks(time.Now())
		}
	}
}

func (g *Group) checkTasks(now time.Time) {
	g.mu.Lock()
	watched := make([]*task, 0, len(g.tasks))
	for t := range g.tasks {
		if t.watched {
			watched = append(watched, t)
		}
	}
	g.mu.Unlock()
	count := int64(0)
	for _, t := range watched {
		if g.checkTask(t, now) {
			count++
		}
	}
	g.stalled.Update(count)
}

func (g *Group) checkTask(t *task, now time.Time) bool {
	silent := now.Sub(*t.lastProgress.Load())
	if silent < g.options.StallTimeout {
		t.stalled = false
		return false
	}
	if !t.stalled {
		t.stalled = true
		g.stalls.Inc(1)
		failure := &StalledError{Task: t.name, Silent: silent}
		_ = level.Error(g.options.Logger).Log("msg", "duty does not answer", "duty", t.name, "err", failure)
		if g.options.OnStall != nil {
			g.options.OnStall(failure)
		}
	}
	return true
}
