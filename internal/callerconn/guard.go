package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/boottime"
	"peridotrail/internal/hostbudget"
)

const (
	// checkInterval is the time between two checks of all connections. It is short compared
	// with the bounds of policies, which are seconds.
	checkInterval = 250 * time.Millisecond
	// admissionInterval is the time between two attempts to make room for a connection.
	admissionInterval = 20 * time.Millisecond
	// evictionTime is the time in which a connection that is closed to make room ends.
	evictionTime = time.Millisecond
)

// Options configures a Guard. All fields are required.
type Options struct {
	Budget  *hostbudget.Budget
	Bounds  func() hostbudget.Bounds // of the policy in force
	Logger  log.Logger
	Metrics metrics.Registry
	Clock   boottime.Clock
}

// Guard enforces the limits on the connections of all listeners. It is safe for concurrent use.
type Guard struct {
	budget  *hostbudget.Budget
	bounds  func() hostbudget.Bounds
	logger  log.Logger
	metrics metrics.Registry
	clock   boottime.Clock

	mu    sync.Mutex // guards the field below
	conns map[*conn]struct{}
}

// NewGuard returns a guard without connections.
func NewGuard(o Options) *Guard {
	g := &Guard{budget: o.Budget, bounds: o.Bounds, logger: o.Logger, metrics: o.Metrics, clock: o.Clock, conns: map[*conn]struct{}{}}
	show := func(name string, value func(hostbudget.Limits, hostbudget.Usage) int64) {
		metrics.NewRegisteredFunctionalGauge(name, o.Metrics, func() int64 { return value(o.Budget.Snapshot()) })
	}
	show("budget.memory.limit.bytes", func(l hostbudget.Limits, _ hostbudget.Usage) int64 { return l.Memory })
	show("budget.memory.used.bytes", func(_ hostbudget.Limits, u hostbudget.Usage) int64 { return u.Memory })
	show("budget.connections.callers.limit", func(l hostbudget.Limits, _ hostbudget.Usage) int64 {
		return int64(l.Connections[hostbudget.Callers])
	})
	show("budget.connections.callers.open", func(_ hostbudget.Limits, u hostbudget.Usage) int64 {
		return int64(u.Connections[hostbudget.Callers])
	})
	show("budget.connections.internal.open", func(_ hostbudget.Limits, u hostbudget.Usage) int64 {
		return int64(u.Connections[hostbudget.Internal])
	})
	return g
}

func (g *Guard) count(v hostbudget.Verdict) { g.countNamed("connection.ended.by." + v.String()) }

func (g *Guard) countNamed(name string) { metrics.GetOrRegisterCounter(name, g.metrics).Inc(1) }

// Serve makes a server enforce the limits. Its handler and its ConnState hook are set before;
// the server may wrap the connections of the listener in others that have a NetConn method. refuse handles the requests for which there is no
// memory. The result is the listener on which to serve.
func (g *Guard) Serve(server *http.Server, inner net.Listener, class hostbudget.Class, refuse http.Handler) net.Listener {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		whole := false
		defer func() {
			if !whole && !r.ProtoAtLeast(1, 1) {
				_ = c.SetLinger(0) // the end of the connection would make the response look complete
			}
			c.handled()
		}()
		if !c.begin() {
			g.countNamed("request.refused.memory")
			refuse.ServeHTTP(w, r)
		} else {
			handler.ServeHTTP(w, r)
		}
		whole = true
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	stateChanged := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive: // before net/http reads on, to notice that the caller has gone
			connOf(c).headComplete()
		case http.StateIdle:
			connOf(c).awaitRequest()
		}
		if stateChanged != nil {
			stateChanged(c, state)
		}
	}
	return &listener{Listener: inner, guard: g, class: class, closing: make(chan struct{})}
}

type connKey struct{}

// connOf returns the connection of a guard that the connection of a server wraps.
func connOf(outer net.Conn) *conn {
	for {
		switch c := outer.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			outer = c.NetConn()
		default:
			return nil
		}
	}
}

// listener accepts connections for which there is room.
type listener struct {
	net.Listener
	guard     *Guard
	class     hostbudget.Class
	closeOnce sync.Once
	closing   chan struct{}
}

// Accept implements net.Listener. A connection for which there is no room waits, and an idle
// one is closed for it. Those after it wait in the kernel, without descriptors.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	waited := false
	for !l.guard.budget.Open(l.class) {
		if !waited {
			waited = true
			l.guard.countNamed("connection.waited")
		}
		pause := admissionInterval
		if l.guard.evict(l.class) {
			pause = evictionTime
		}
		select {
		case <-l.closing:
			_ = accepted.Close() // the host stops
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
	c := &conn{TCPConn: accepted.(*net.TCPConn), guard: l.guard, class: l.class, state: hostbudget.Connection{Since: l.guard.clock()}}
	l.guard.mu.Lock()
	l.guard.conns[c] = struct{}{}
	l.guard.mu.Unlock()
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return l.Listener.Close()
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.budget.Closed(c.class)
}

// all returns the open connections.
func (g *Guard) all() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		all = append(all, c)
	}
	return all
}

// evict ends the connection of a class that has been idle for longest or, if none is, whose
// head has been arriving for longest. It returns false if there is none.
func (g *Guard) evict(class hostbudget.Class) bool {
	now := g.clock()
	var chosen *conn
	var chosenVerdict hostbudget.Verdict
	var since boottime.Instant
	for _, c := range g.all() {
		verdict, start := c.eviction(now)
		if c.class != class || verdict == hostbudget.Keep {
			continue
		}
		if chosen == nil || verdict < chosenVerdict || verdict == chosenVerdict && start < since {
			chosen, chosenVerdict, since = c, verdict, start
		}
	}
	if chosen == nil {
		return false
	}
	chosen.mu.Lock()
	defer chosen.mu.Unlock()
	if chosen.state.Since != since {
		return false // a request has arrived
	}
	chosen.setPending(chosenVerdict)
	g.countNamed("connection.evicted")
	return true
}

// eviction returns the verdict with which the connection may end to make room, and the start of
// its phase.
func (c *conn) eviction(now boottime.Instant) (hostbudget.Verdict, boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.pending != hostbudget.Keep {
		return hostbudget.Keep, 0
	}
	return hostbudget.Evict(c.state, now), c.state.Since
}

// setPending wakes the reader of the connection, which carries out the verdict. The caller
// holds mu.
func (c *conn) setPending(v hostbudget.Verdict) {
	c.pending = v
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended
}

// Run checks the connections until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	pressed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := g.budget.Pressed(); now != pressed {
			pressed = now
			g.logState(pressed)
		}
		bounds, now := g.bounds(), g.clock()
		for _, c := range g.all() {
			c.check(bounds, pressed, now)
		}
	}
}

// logState writes one line about a change of the state of the budget.
func (g *Guard) logState(pressed bool) {
	limits, usage := g.budget.Snapshot()
	_ = level.Warn(g.logger).Log("event", "caller budget", "pressed", pressed, "memory", usage.Memory, "memory_limit", limits.Memory,
		"connections", usage.Connections[hostbudget.Callers], "connections_limit", limits.Connections[hostbudget.Callers])
}

// check carries out the verdict on the connection.
func (c *conn) check(bounds hostbudget.Bounds, pressed bool, now boottime.Instant) {
	c.mu.Lock()
	verdict := hostbudget.Keep
	if !c.dead && c.pending == hostbudget.Keep {
		verdict = hostbudget.Judge(c.state, bounds, pressed, now)
	}
	switch verdict {
	case hostbudget.Close, hostbudget.TooSlow:
		c.setPending(verdict)
	case hostbudget.Cut:
		c.dead = true
	}
	c.mu.Unlock()
	if verdict == hostbudget.Cut {
		c.guard.count(verdict)
		_ = c.SetLinger(0) // a response that was cut off must not look complete
		_ = c.TCPConn.Close()
	}
}
