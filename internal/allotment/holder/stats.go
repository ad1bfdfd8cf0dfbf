package holder

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of a Holder.
type stats struct {
	renewed  metrics.Counter
	failed   metrics.Counter
	changes  metrics.Counter
	heldOver metrics.Counter // lease extensions without a leader
	ready    metrics.Gauge   // 1 while the host holds shares
}

func newStats(r metrics.Registry) *stats {
	return &stats{
		renewed:  metrics.GetOrRegisterCounter("allotment.holder.renewed", r),
		failed:   metrics.GetOrRegisterCounter("allotment.holder.failed", r),
		changes:  metrics.GetOrRegisterCounter("allotment.holder.changes", r),
		heldOver: metrics.GetOrRegisterCounter("allotment.holder.held_over", r),
		ready:    metrics.GetOrRegisterGauge("allotment.holder.ready", r),
	}
}
