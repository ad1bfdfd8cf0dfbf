package leader

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of a Leader.
type stats struct {
	leading        metrics.Gauge // 1 while this process leads
	holders        metrics.Gauge // processes that hold shares
	renewals       metrics.Counter
	documents      metrics.Counter // document writes that the store answered, conflicts included
	fenced         metrics.Counter // writes to end other domains' extra shares, conflicts included
	promised       metrics.Counter // lease extensions by promises of all peers
	storeFailures  metrics.Counter
	decodeFailures metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	return &stats{
		leading:        metrics.GetOrRegisterGauge("allotment.leader.leading", r),
		holders:        metrics.GetOrRegisterGauge("allotment.leader.holders", r),
		renewals:       metrics.GetOrRegisterCounter("allotment.leader.renewals", r),
		documents:      metrics.GetOrRegisterCounter("allotment.leader.documents", r),
		fenced:         metrics.GetOrRegisterCounter("allotment.leader.fenced", r),
		promised:       metrics.GetOrRegisterCounter("allotment.leader.promised", r),
		storeFailures:  metrics.GetOrRegisterCounter("allotment.leader.store.failures", r),
		decodeFailures: metrics.GetOrRegisterCounter("allotment.leader.decode.failures", r),
	}
}
