package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/problem"
)

// Parameters of the exponentially decaying sample of latencies.
const (
	latencyReservoir = 1028
	latencyAlpha     = 0.015
)

// handlerMetrics holds the metrics of a Handler.
type handlerMetrics struct {
	registry    metrics.Registry
	requests    metrics.Counter
	truncated   metrics.Counter
	callersGone metrics.Counter // requests whose caller disconnected
	panics      metrics.Counter
	unconfirmed metrics.Counter   // attempt results that a keeper did not confirm
	latency     metrics.Histogram // microseconds
}

func newHandlerMetrics(registry metrics.Registry) *handlerMetrics {
	sample := metrics.NewExpDecaySample(latencyReservoir, latencyAlpha)
	return &handlerMetrics{
		registry:    registry,
		requests:    metrics.GetOrRegisterCounter("entry.requests", registry),
		callersGone: metrics.GetOrRegisterCounter("entry.callers.gone", registry),
		truncated:   metrics.GetOrRegisterCounter("entry.answers.cut", registry),
		panics:      metrics.GetOrRegisterCounter("entry.panics", registry),
		unconfirmed: metrics.GetOrRegisterCounter("entry.idempotency.unconfirmed", registry),
		latency:     metrics.GetOrRegisterHistogram("entry.latency.us", registry, sample),
	}
}

// observe records one finished request.
func (m *handlerMetrics) observe(x *exchange, latency time.Duration) {
	m.requests.Inc(1)
	m.latency.Update(latency.Microseconds())
	if x.truncated {
		m.truncated.Inc(1)
	}
	if x.callerGone {
		m.callersGone.Inc(1)
		return
	}
	if x.refusal != nil {
		metrics.GetOrRegisterCounter(refusalMetric(x.refusal.Type), m.registry).Inc(1)
	}
}

func refusalMetric(t problem.Type) string {
	return "entry.refusals." + strings.TrimPrefix(string(t), "/problems/")
}

// statusRecorder records the status of the response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusRecorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
