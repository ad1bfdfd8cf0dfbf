package upstream

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// waitSampleSize is the number of samples kept for the histogram of queueing times.
const waitSampleSize = 1028

// stats holds the metrics of a Dispatcher.
type stats struct {
	local, relayed                  metrics.Counter
	roomRequests, roomFailures      metrics.Counter
	roomSlotsGranted, roomSlotsLent metrics.Counter
	retriesRefused                  metrics.Counter
	refusals                        [ReasonShuttingDown + 1]metrics.Counter
	reportsLost                     metrics.Counter
	wait                            metrics.Histogram // microseconds
}

func newStats(registry metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, registry) }
	s := &stats{
		local: counter("local"), relayed: counter("relayed"),
		roomRequests: counter("room.asked"), roomFailures: counter("room.failed"),
		roomSlotsGranted: counter("room.slots"), roomSlotsLent: counter("room.lent"),
		reportsLost:    counter("reports.lost"),
		retriesRefused: counter("retries.refused"),
		wait:           metrics.GetOrRegisterHistogram("dispatch.wait", registry, metrics.NewExpDecaySample(waitSampleSize, 0.015)),
	}
	names := map[Reason]string{
		ReasonNoUpstream: "no-upstream", ReasonOverloaded: "overloaded", ReasonDeadlineTooShort: "deadline-too-short",
		ReasonWithdrawn: "withdrawn", ReasonNoGrant: "no-grant", ReasonShuttingDown: "shutting-down",
	}
	for reason, name := range names {
		s.refusals[reason] = counter("refused." + name)
	}
	return s
}

func (s *stats) refused(reason Reason) { s.refusals[reason].Inc(1) }

func (s *stats) waited(d time.Duration) { s.wait.Update(d.Microseconds()) }
