package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of the way of a request.
type counters struct {
	registry metrics.Registry
	latency  metrics.Histogram
}

// reservoir is the number of latencies that a histogram keeps.
const reservoir = 512

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		registry: registry,
		latency:  metrics.GetOrRegisterHistogram("request.latency.us", registry, metrics.NewUniformSample(reservoir)),
	}
}

// ended counts a request by its outcome.
func (c *counters) ended(outcome string, took time.Duration) {
	metrics.GetOrRegisterCounter("request.outcome."+outcome, c.registry).Inc(1)
	c.latency.Update(took.Microseconds())
}

// attempted counts one sending by its result.
func (c *counters) attempted(result string) {
	metrics.GetOrRegisterCounter("attempt.result."+result, c.registry).Inc(1)
}

// panicked counts a request whose handling panicked.
func (c *counters) panicked() {
	metrics.GetOrRegisterCounter("request.panics", c.registry).Inc(1)
}
