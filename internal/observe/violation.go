package observe

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/invariant"
)

// NewRegistry returns an empty metrics registry.
func NewRegistry() metrics.Registry { return metrics.NewRegistry() }

// ViolationHandler returns a handler that logs each violation of an invariant and
// counts it in the metric invariant.violations.NAME.
func ViolationHandler(logger log.Logger, registry metrics.Registry) invariant.Handler {
	return func(v *invariant.Violation) {
		metrics.GetOrRegisterCounter("invariant.violations."+string(v.Invariant), registry).Inc(1)
		_ = level.Error(logger).Log("event", "invariant violated", "invariant", v.Invariant, "detail", v.Detail)
	}
}
