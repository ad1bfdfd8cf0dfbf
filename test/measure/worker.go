package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/configuration"
)

const (
	maxWorkerQueue  = 32 // requests that wait at a worker before it sheds load
	requestIDParam  = "id"
	longParam       = "long"
	longServiceTime = 4 * time.Second
)

// worker is a fake upstream. It serves as many requests concurrently as it has
// slots and queues up to maxWorkerQueue more.
type worker struct {
	upstream        configuration.Upstream
	region          string
	meanServiceTime time.Duration
	server          *http.Server
	runs            *runCounter
	random          func() float64

	slots       chan struct{}
	inFlight    atomic.Int64         // requests that run or wait
	slowdown    atomic.Int64         // factor by which the service time is multiplied
	frozenLoad  atomic.Pointer[load] // reported in place of the current load, if set
	lastArrival atomic.Int64         // arrival of the last request, Unix nanoseconds
	lastEnd     atomic.Int64         // end of the last request, Unix nanoseconds
}

// load is the body of a worker's health and load reports.
type load struct {
	Healthy bool `json:"healthy"`
	InUse   int  `json:"inUse"`
	Slots   int  `json:"slots"`
}

func startWorker(u configuration.Upstream, region string, mean time.Duration, runs *runCounter, seed uint64) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{upstream: u, region: region, meanServiceTime: mean, runs: runs, slots: make(chan struct{}, u.Slots)}
	w.slowdown.Store(1)
	w.upstream.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	w.random = lockedRandom(seed)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", w.serveLoad)
	mux.HandleFunc("/load", w.serveLoad)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }() // ends with Close
	return w, nil
}

// lockedRandom returns a function that draws from [0, 1). It is safe for
// concurrent use.
func lockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
}

func (w *worker) close() { _ = w.server.Close() }

func (w *worker) currentLoad() load {
	return load{Healthy: true, InUse: int(min(w.inFlight.Load(), int64(w.upstream.Slots))), Slots: w.upstream.Slots}
}

// freezeLoad makes all further reports repeat the current load.
func (w *worker) freezeLoad() {
	current := w.currentLoad()
	w.frozenLoad.Store(&current)
}

// serveLoad handles requests for health and load.
func (w *worker) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	reported := w.currentLoad()
	if frozen := w.frozenLoad.Load(); frozen != nil {
		reported = *frozen
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(reported) // fails if the host closed the connection
}

// serve handles all other requests; it sheds load when the queue is full.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	inFlight := w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	w.lastArrival.Store(time.Now().UnixNano())
	if inFlight > int64(w.upstream.Slots+maxWorkerQueue) {
		rw.Header().Set("Peridotrail-Executed", "no")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !w.acquireSlot(r.Context()) {
		return
	}
	defer func() { <-w.slots }()
	if r.Method == http.MethodPost {
		w.runs.count(r.URL.Query().Get(requestIDParam))
	}
	w.occupySlot(r)
	w.lastEnd.Store(time.Now().UnixNano())
	fmt.Fprintf(rw, "answer to %s\n", r.URL.Query().Get(requestIDParam))
}

// acquireSlot waits for a free slot. It returns false if the context ended first.
func (w *worker) acquireSlot(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// occupySlot waits for the service time: longServiceTime for a long request, else
// a random time between 0.5 and 1.5 times the mean, multiplied by the slowdown. It
// returns early when the request is cancelled.
func (w *worker) occupySlot(r *http.Request) {
	serviceTime := time.Duration((0.5 + w.random()) * float64(w.meanServiceTime) * float64(w.slowdown.Load()))
	if r.URL.Query().Has(longParam) {
		serviceTime = longServiceTime
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
	}
}

// runCounter counts how often each non-idempotent request ran. It is safe for
// concurrent use.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

func (c *runCounter) count(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[requestID]++
}

// extraRuns returns the sum of all requests' runs beyond the first.
func (c *runCounter) extraRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	extra := 0
	for _, runs := range c.runs {
		extra += runs - 1
	}
	return extra
}

// startWorkers starts a worker for each upstream and returns the workers, the
// configuration with their addresses, and their common runCounter.
func startWorkers(d *deployment, seed uint64) ([]*worker, *configuration.Configuration, *runCounter, error) {
	runs := newRunCounter()
	c := *d.configuration
	c.Upstreams = append([]configuration.Upstream(nil), d.configuration.Upstreams...)
	var workers []*worker
	for i, u := range c.Upstreams {
		w, err := startWorker(u, d.regions[u.FailureDomain], d.serviceTime(u.Service), runs, seed+uint64(i))
		if err != nil {
			return nil, nil, nil, err
		}
		c.Upstreams[i].Address = w.upstream.Address
		workers = append(workers, w)
	}
	return workers, &c, runs, nil
}
