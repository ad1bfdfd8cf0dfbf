// Package upstream is a stand-in for a worker of a service, for tests and the
// quick start. It has slots, service time, a cold start, a bounded queue and
// faults that can be switched on, and it counts how often each request ran.
package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"peridotrail/internal/problem"
)

// Settings describes an upstream. Slots must be positive.
type Settings struct {
	Name         string
	Slots        int           // requests served at the same time
	Queue        int           // requests that wait for a slot; more are shed as not run
	ServiceTime  time.Duration // of one request on a slot
	ColdTime     time.Duration // added to the first ColdRequests requests
	ColdRequests int
	ReportLag    time.Duration // age of the values at LoadPath and HealthPath
}

// Paths of the endpoints.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

// HeaderRunID names the request in the run counter. Without it, the idempotency
// key or else the request ID of the entry host is used.
const HeaderRunID = "X-Run-Id"

const shedRetryAfterSeconds = 1

// Faults are switched on and off while the upstream runs.
type Faults struct {
	CutAnswers   atomic.Bool  // answers break off halfway
	LoseAnswers  atomic.Bool  // requests run, the connection closes without an answer
	SayHealthy   atomic.Bool  // the health endpoint reports healthy whatever happens
	Failing      atomic.Bool  // requests run and end with status 500; health reports it
	FrozenReport atomic.Bool  // load and health keep their last values
	ExtraTime    atomic.Int64 // nanoseconds added to the service time
	AnswerDelay  atomic.Int64 // nanoseconds from the end of the run to the answer
}

// Upstream is one running stand-in. It is safe for concurrent use.
type Upstream struct {
	Faults Faults

	settings  Settings
	slots     chan struct{}
	waiting   atomic.Int64
	served    atomic.Int64
	shed      atomic.Int64
	cancelled atomic.Int64
	keysSeen  atomic.Int64
	runs      *runCounter
	reports   *reports
	server    *http.Server
}

// New returns an upstream that is not yet listening.
func New(settings Settings) *Upstream {
	u := &Upstream{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		runs:     newRunCounter(),
		reports:  newReports(settings.ReportLag),
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	return u
}

// Serve accepts connections until Close. It returns nil after Close.
func (u *Upstream) Serve(listener net.Listener) error {
	if err := u.server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close cuts all connections.
func (u *Upstream) Close() error { return u.server.Close() }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		u.serveHealth(w)
	case LoadPath:
		u.serveLoad(w)
	default:
		u.serveWork(w, r)
	}
}

// serveWork runs one request on a slot.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "" {
		u.keysSeen.Add(1)
	}
	if !u.takeSlot(r.Context()) {
		u.refuse(w, r)
		return
	}
	completed := u.run(r)
	<-u.slots
	if !completed {
		u.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	u.answer(w, r)
}

// takeSlot waits in the queue for a slot. It reports false if the queue is full
// or ctx ends.
func (u *Upstream) takeSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if u.waiting.Add(1) > int64(u.settings.Queue) {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse says that the request did not run.
func (u *Upstream) refuse(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		u.cancelled.Add(1)
	}
	u.shed.Add(1)
	w.Header().Set(problem.ExecutedHeader, string(problem.ExecutedNo))
	w.Header().Set("Retry-After", strconv.Itoa(shedRetryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run takes the service time. The request counts as run from its start. It
// reports false if it was cancelled.
func (u *Upstream) run(r *http.Request) bool {
	u.runs.add(r)
	d := u.settings.ServiceTime + time.Duration(u.Faults.ExtraTime.Load())
	if u.served.Add(1) <= int64(u.settings.ColdRequests) {
		d += u.settings.ColdTime
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Counts is what an upstream has seen.
type Counts struct {
	Served    int64 // requests that took a slot
	Shed      int64 // requests refused as not run
	Cancelled int64 // requests whose caller went away
	KeysSeen  int64 // requests with an Authorization header
	Doubled   int64 // non-idempotent requests that ran more than once
}

// Counts returns the counters.
func (u *Upstream) Counts() Counts {
	return Counts{
		Served:    u.served.Load(),
		Shed:      u.shed.Load(),
		Cancelled: u.cancelled.Load(),
		KeysSeen:  u.keysSeen.Load(),
		Doubled:   u.runs.doubledCount(),
	}
}

// Runs returns how often the request with this ID ran here.
func (u *Upstream) Runs(id string) int { return u.runs.count(id) }
