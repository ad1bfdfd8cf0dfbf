// Package entry is the HTTP server of an entry host. Each request passes a chain
// of handlers: validate, route, authenticate, deadline, idempotency, admit and
// dispatch. Each handler refuses the request or passes it to the next one.
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

// Options configures a Handler. Fields are required unless stated otherwise.
type Options struct {
	Self       host.Identity
	Policy     func() Policy // returns the policy in force, nil before the first configuration
	Active     *clientaccount.ActiveRequests
	Admitter   Admitter
	Dispatcher Dispatcher
	// Idempotency sends requests to the keepers of idempotency keys. If it is
	// nil, requests with an idempotency key are refused.
	Idempotency  *idempotency.Client
	API          http.Handler         // serves paths below /v1/ except IssuePath; optional
	Logger       log.Logger           // JSON lines; optional
	AccessLog    bool                 // log each request at debug level
	Metrics      metrics.Registry     // optional
	OnRequestEnd func(RequestSummary) // called after each request of a caller for a service; optional
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	metrics  *handlerMetrics
	handler  http.Handler
	sequence atomic.Uint64
	idPrefix string
}

// New returns a Handler.
func New(options Options) *Handler {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	h := &Handler{
		options:  options,
		metrics:  newHandlerMetrics(options.Metrics),
		idPrefix: string(options.Self.ID) + "-" + strconv.FormatUint(uint64(options.Self.Incarnation), 36) + "-",
	}
	services := h.route(h.authenticate(h.applyDeadline(h.enforceIdempotencyKey(h.admit(h.dispatch())))))
	h.handler = h.instrument(validate(h.routeAPI(services)))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.handler.ServeHTTP(w, r) }

// routeAPI sends paths below /v1/ to the host's own API, all others to services.
func (h *Handler) routeAPI(services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _ := splitService(r.URL.Path)
		switch {
		case r.URL.Path == IssuePath && h.options.Idempotency != nil:
			h.issueKeys(w, r)
		case name == apiVersion && h.options.API != nil:
			h.options.API.ServeHTTP(w, r)
		default:
			services.ServeHTTP(w, r)
		}
	})
}

const apiVersion = "v1"

// instrument creates the exchange of a request, records its end in metrics and
// log, and recovers from panics of the other handlers.
func (h *Handler) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{id: h.nextID(), start: time.Now()}
		recorder := &statusRecorder{ResponseWriter: w}
		defer h.finish(recorder, r, x)
		next.ServeHTTP(recorder, withExchange(r, x))
	})
}

func (h *Handler) nextID() string {
	return h.idPrefix + strconv.FormatUint(h.sequence.Add(1), 36)
}

// finish records the end of the exchange. It must be deferred. After a panic it
// sends a refusal if the response has not begun, and aborts the connection
// otherwise.
func (h *Handler) finish(w *statusRecorder, r *http.Request, x *exchange) {
	reason := recover()
	if reason != nil && reason != http.ErrAbortHandler {
		h.metrics.panics.Inc(1)
		_ = level.Error(h.options.Logger).Log("msg", "request panicked", "request", x.id, "stack", string(debug.Stack()))
		if w.status == 0 {
			x.refuseAndClose(w, problem.New(problem.TypeInternal, x.executed(), ""))
			reason = nil
		}
	}
	if x.payload != nil {
		x.payload.Release()
	}
	x.callerGone = r.Context().Err() != nil
	h.metrics.observe(x, time.Since(x.start))
	if h.options.OnRequestEnd != nil && x.service != nil && !x.relayed {
		h.options.OnRequestEnd(x.summary(w.status))
	}
	if h.options.AccessLog {
		h.logAccess(w, r, x)
	}
	if reason != nil {
		panic(http.ErrAbortHandler)
	}
}
