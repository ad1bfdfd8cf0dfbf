package admission

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of an Admitter.
type stats struct {
	admitted  metrics.Counter
	borrowed  metrics.Counter
	refused   metrics.Counter
	notReady  metrics.Counter
	unknown   metrics.Counter
	abandoned metrics.Counter
	asked     metrics.Counter
	askFailed metrics.Counter
	lent      metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	return &stats{
		admitted:  metrics.GetOrRegisterCounter("admission.admitted", r),
		borrowed:  metrics.GetOrRegisterCounter("admission.admitted.borrowed", r),
		refused:   metrics.GetOrRegisterCounter("admission.refused.rate", r),
		notReady:  metrics.GetOrRegisterCounter("admission.refused.not_ready", r),
		unknown:   metrics.GetOrRegisterCounter("admission.refused.unknown_account", r),
		abandoned: metrics.GetOrRegisterCounter("admission.abandoned", r),
		asked:     metrics.GetOrRegisterCounter("admission.borrow.asked", r),
		askFailed: metrics.GetOrRegisterCounter("admission.borrow.failed", r),
		lent:      metrics.GetOrRegisterCounter("admission.lent.tokens", r),
	}
}
