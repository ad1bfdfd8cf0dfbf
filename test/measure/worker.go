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
	workerQueue    = 32 // requests that wait at a worker before it sheds load
	requestIDParam = "id"
	longParam      = "long"
	longRequest    = 4 * time.Second
)

// worker is the stand-in for one upstream. It serves as many requests at the
// same time as it has slots, and queues a few more.
type worker struct {
	upstream configuration.Upstream
	region   string
	mean     time.Duration
	server   *http.Server
	runs     *runCounter
	random   func() float64

	slots   chan struct{}
	present atomic.Int64 // requests that run or wait
	slow    atomic.Int64 // factor of the service time
	frozen  atomic.Pointer[load]
	last    atomic.Int64 // arrival of the last request, Unix nanoseconds
	ended   atomic.Int64 // end of the last request, Unix nanoseconds
}

// load is the report that a worker gives of itself.
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
	w := &worker{upstream: u, region: region, mean: mean, runs: runs, slots: make(chan struct{}, u.Slots)}
	w.slow.Store(1)
	w.upstream.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	w.random = lockedRandom(seed)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", w.report)
	mux.HandleFunc("/load", w.report)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }() // ends with Close
	return w, nil
}

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
	return load{Healthy: true, InUse: int(min(w.present.Load(), int64(w.upstream.Slots))), Slots: w.upstream.Slots}
}

// freeze makes all further reports repeat the present one.
func (w *worker) freeze() {
	present := w.currentLoad()
	w.frozen.Store(&present)
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	answer := w.currentLoad()
	if frozen := w.frozen.Load(); frozen != nil {
		answer = *frozen
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(answer) // the host may have gone away
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	present := w.present.Add(1)
	defer w.present.Add(-1)
	w.last.Store(time.Now().UnixNano())
	if present > int64(w.upstream.Slots+workerQueue) {
		rw.Header().Set("Peridotrail-Executed", "no")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !w.enter(r.Context()) {
		return
	}
	defer func() { <-w.slots }()
	if r.Method == http.MethodPost {
		w.runs.count(r.URL.Query().Get(requestIDParam))
	}
	w.work(r)
	w.ended.Store(time.Now().UnixNano())
	fmt.Fprintf(rw, "answer to %s\n", r.URL.Query().Get(requestIDParam))
}

func (w *worker) enter(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work occupies the slot for a service time between half and one and a half
// times the mean.
func (w *worker) work(r *http.Request) {
	length := time.Duration((0.5 + w.random()) * float64(w.mean) * float64(w.slow.Load()))
	if r.URL.Query().Has(longParam) {
		length = longRequest
	}
	select {
	case <-time.After(length):
	case <-r.Context().Done():
	}
}

// runCounter counts how often each non-idempotent request ran.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

func (c *runCounter) count(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// doubled returns the runs beyond the first of each request.
func (c *runCounter) doubled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	doubled := 0
	for _, runs := range c.runs {
		doubled += runs - 1
	}
	return doubled
}

// startWorkers starts a worker for each upstream and returns the configuration
// with their addresses.
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
