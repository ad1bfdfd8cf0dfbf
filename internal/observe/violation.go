package observe

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/invariant"
)

// NewRegistry returns an empty registry of metrics.
func NewRegistry() metrics.Registry { return metrics.NewRegistry() }

// ViolationHandler logs and counts each violation of an invariant. The metric
// is invariant.violations.NAME.
func ViolationHandler(logger log.Logger, registry metrics.Registry) invariant.Handler {
	return func(v *invariant.Violation) {
		metrics.GetOrRegisterCounter("invariant.violations."+string(v.Invariant), registry).Inc(1)
		_ = level.Error(logger).Log("event", "invariant violated", "invariant", v.Invariant, "detail", v.Detail)
	}
}
