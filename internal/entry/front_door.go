// Package entry is the HTTP front door of an entry host. Each request passes the
// steps sanitise, route, authenticate, limit time, idempotency, admit and
// dispatch; a step refuses it or hands it on.
package entry

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/host"
	"peridotrail/internal/idempotency"
	"peridotrail/internal/problem"
)

// Options configures a FrontDoor. Fields are required unless stated otherwise.
type Options struct {
	Self       host.Identity
	Policy     func() Policy // policy in force, nil before the first configuration
	Active     *clientaccount.ActiveRequests
	Admitter   Admitter
	Dispatcher Dispatcher
	// Idempotency asks the keepers of idempotency keys. Without it, requests
	// with a key are refused.
	Idempotency *idempotency.Client
	API         http.Handler     // serves the other paths below /v1/; optional
	Logger      log.Logger       // JSON lines; optional
	AccessLog   bool             // log each request at debug level
	Metrics     metrics.Registry // optional
	Ended       func(Ended)      // called after each request for a service; optional
}

// FrontDoor serves the requests of callers. It is safe for concurrent use.
type FrontDoor struct {
	options  Options
	metrics  *frontDoorMetrics
	handler  http.Handler
	sequence atomic.Uint64
	idPrefix string
}

// New composes the steps.
func New(options Options) *FrontDoor {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	f := &FrontDoor{
		options:  options,
		metrics:  newFrontDoorMetrics(options.Metrics),
		idPrefix: string(options.Self.ID) + "-" + strconv.FormatUint(uint64(options.Self.Incarnation), 36) + "-",
	}
	services := f.route(f.authenticate(f.limitTime(f.runOnce(f.admit(f.dispatch())))))
	f.handler = f.outer(sanitise(f.separateAPI(services)))
	return f
}

// ServeHTTP implements http.Handler.
func (f *FrontDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.handler.ServeHTTP(w, r) }

// separateAPI sends paths below /v1/ to the API, all others to services.
func (f *FrontDoor) separateAPI(services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _ := cutService(r.URL.Path)
		switch {
		case r.URL.Path == IssuePath && f.options.Idempotency != nil:
			f.issue(w, r)
		case name == apiVersion && f.options.API != nil:
			f.options.API.ServeHTTP(w, r)
		default:
			services.ServeHTTP(w, r)
		}
	})
}

const apiVersion = "v1"

// outer starts the exchange, ends it in metrics and log, and confines a panic to
// its request.
func (f *FrontDoor) outer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{id: f.nextID(), start: time.Now()}
		recorder := &statusRecorder{ResponseWriter: w}
		defer f.finish(recorder, r, x)
		next.ServeHTTP(recorder, withExchange(r, x))
	})
}

func (f *FrontDoor) nextID() string {
	return f.idPrefix + strconv.FormatUint(f.sequence.Add(1), 36)
}

// finish records the end of the exchange. After a panic the connection is
// aborted if the answer has begun, and the refusal is sent if it has not.
func (f *FrontDoor) finish(w *statusRecorder, r *http.Request, x *exchange) {
	reason := recover()
	if reason != nil && reason != http.ErrAbortHandler {
		f.metrics.panics.Inc(1)
		_ = level.Error(f.options.Logger).Log("msg", "request panicked", "request", x.id, "stack", string(debug.Stack()))
		if w.status == 0 {
			x.refuseAndClose(w, problem.New(problem.TypeInternal, x.executed(), ""))
			reason = nil
		}
	}
	if x.payload != nil {
		x.payload.Release()
	}
	x.gone = r.Context().Err() != nil
	f.metrics.observe(x, time.Since(x.start))
	if f.options.Ended != nil && x.service != nil && !x.relayed {
		f.options.Ended(x.ended(w.status))
	}
	if f.options.AccessLog {
		f.logAccess(w, r, x)
	}
	if reason != nil {
		panic(http.ErrAbortHandler)
	}
}
