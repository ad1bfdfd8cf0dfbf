package admission

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of an Admitter.
type stats struct {
	admitted         metrics.Counter
	admittedBorrowed metrics.Counter
	refused          metrics.Counter
	notReady         metrics.Counter
	unknownAccount   metrics.Counter
	abandoned        metrics.Counter
	asked            metrics.Counter
	askFailed        metrics.Counter
	lentTokens       metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	return &stats{
		admitted:         metrics.GetOrRegisterCounter("admission.admitted", r),
		admittedBorrowed: metrics.GetOrRegisterCounter("admission.admitted.borrowed", r),
		refused:          metrics.GetOrRegisterCounter("admission.refused.rate", r),
		notReady:         metrics.GetOrRegisterCounter("admission.refused.not_ready", r),
		unknownAccount:   metrics.GetOrRegisterCounter("admission.refused.unknown_account", r),
		abandoned:        metrics.GetOrRegisterCounter("admission.abandoned", r),
		asked:            metrics.GetOrRegisterCounter("admission.borrow.asked", r),
		askFailed:        metrics.GetOrRegisterCounter("admission.borrow.failed", r),
		lentTokens:       metrics.GetOrRegisterCounter("admission.lent.tokens", r),
	}
}
