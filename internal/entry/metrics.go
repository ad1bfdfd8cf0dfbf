package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/problem"
)

const (
	latencyReservoir = 1028
	latencyAlpha     = 0.015
)

type frontDoorMetrics struct {
	registry    metrics.Registry
	requests    metrics.Counter
	cut         metrics.Counter
	gone        metrics.Counter // requests whose caller went away
	panics      metrics.Counter
	unconfirmed metrics.Counter   // ends of attempts that a keeper did not confirm
	latency     metrics.Histogram // microseconds
}

func newFrontDoorMetrics(registry metrics.Registry) *frontDoorMetrics {
	sample := metrics.NewExpDecaySample(latencyReservoir, latencyAlpha)
	return &frontDoorMetrics{
		registry:    registry,
		requests:    metrics.GetOrRegisterCounter("entry.requests", registry),
		gone:        metrics.GetOrRegisterCounter("entry.callers.gone", registry),
		cut:         metrics.GetOrRegisterCounter("entry.answers.cut", registry),
		panics:      metrics.GetOrRegisterCounter("entry.panics", registry),
		unconfirmed: metrics.GetOrRegisterCounter("entry.idempotency.unconfirmed", registry),
		latency:     metrics.GetOrRegisterHistogram("entry.latency.us", registry, sample),
	}
}

// observe counts one ended request.
func (m *frontDoorMetrics) observe(x *exchange, took time.Duration) {
	m.requests.Inc(1)
	m.latency.Update(took.Microseconds())
	if x.cut {
		m.cut.Inc(1)
	}
	if x.gone {
		m.gone.Inc(1)
		return
	}
	if x.refusal != nil {
		metrics.GetOrRegisterCounter(refusalMetric(x.refusal.Type), m.registry).Inc(1)
	}
}

func refusalMetric(t problem.Type) string {
	return "entry.refusals." + strings.TrimPrefix(string(t), "/problems/")
}

// statusRecorder keeps the status of the answer.
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
