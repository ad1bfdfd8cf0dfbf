// Package upstream is a fake upstream of a service, for tests and the quick start. It
// has slots, a service time, a cold start, a bounded queue and faults that can be
// injected, and it counts how often each request ran.
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
	Queue        int           // max requests that wait for a slot; others are shed as not executed
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

// HeaderRunID is the header that identifies a request for counting runs. Without it,
// the idempotency key is used, or else the request ID that the entry host sets.
const HeaderRunID = "X-Run-Id"

const shedRetryAfterSeconds = 1

// Faults are the faults to inject. They can be changed while the upstream runs.
type Faults struct {
	TruncateResponses atomic.Bool  // the connection closes in the middle of the response
	LoseResponses     atomic.Bool  // requests run, then the connection closes without a response
	AlwaysHealthy     atomic.Bool  // the health endpoint reports healthy regardless of other faults
	Failing           atomic.Bool  // requests run and get status 500; the health endpoint reports unhealthy
	FreezeReports     atomic.Bool  // the load and health endpoints stop changing
	ExtraServiceTime  atomic.Int64 // nanoseconds added to the service time
	ResponseDelay     atomic.Int64 // nanoseconds from the end of the run to the response
}

// Upstream is one fake upstream. It is safe for concurrent use.
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
	reports   *delayedReports
	server    *http.Server
}

// New returns an upstream that is not yet listening.
func New(settings Settings) *Upstream {
	u := &Upstream{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		runs:     newRunCounter(),
		reports:  newDelayedReports(settings.ReportLag),
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

// Close closes the listener and all connections at once.
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
	if !u.acquireSlot(r.Context()) {
		u.respondShed(w, r)
		return
	}
	completed := u.run(r)
	<-u.slots
	if !completed {
		u.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	u.respond(w, r)
}

// acquireSlot waits in the queue for a slot. It reports false if the queue is full
// or ctx ends.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
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

// respondShed responds that the request was not executed.
func (u *Upstream) respondShed(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		u.cancelled.Add(1)
	}
	u.shed.Add(1)
	w.Header().Set(problem.ExecutedHeader, string(problem.ExecutedNo))
	w.Header().Set("Retry-After", strconv.Itoa(shedRetryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run counts the request as run and waits for its service time. It reports false if
// the request is cancelled meanwhile.
func (u *Upstream) run(r *http.Request) bool {
	u.runs.add(r)
	d := u.settings.ServiceTime + time.Duration(u.Faults.ExtraServiceTime.Load())
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

// Counts are the numbers of requests since the upstream was created.
type Counts struct {
	Served     int64 // requests that got a slot
	Shed       int64 // requests refused as not executed
	Cancelled  int64 // requests whose caller disconnected
	KeysSeen   int64 // requests with an Authorization header
	Duplicates int64 // POST requests that ran more than once
}

// Counts returns the counters.
func (u *Upstream) Counts() Counts {
	return Counts{
		Served:     u.served.Load(),
		Shed:       u.shed.Load(),
		Cancelled:  u.cancelled.Load(),
		KeysSeen:   u.keysSeen.Load(),
		Duplicates: u.runs.duplicateCount(),
	}
}

// Runs returns how often the request with this ID ran here.
func (u *Upstream) Runs(id string) int { return u.runs.count(id) }
