package upstream

import (
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// drainTimes maps upstreams to the time from which they get no new work.
type drainTimes map[string]time.Time

// atOnce stands for a drain without a start time.
var atOnce = time.Unix(0, 0)

// newDrainTimes evaluates the drains of upstreams, failure domains and regions.
func newDrainTimes(c *configuration.Configuration) drainTimes {
	regions := map[string]string{}
	for _, domain := range c.FailureDomains {
		regions[domain.Name] = domain.Region
	}
	times := drainTimes{}
	for _, drain := range c.Drains {
		for _, u := range c.Upstreams {
			if drainCovers(drain, u, regions[u.FailureDomain]) {
				times.add(u.Name, drain.Start)
			}
		}
	}
	return times
}

func drainCovers(drain configuration.Drain, u configuration.Upstream, region string) bool {
	switch drain.Kind {
	case configuration.DrainUpstream:
		return drain.Target == u.Name
	case configuration.DrainFailureDomain:
		return drain.Target == u.FailureDomain
	case configuration.DrainRegion:
		return drain.Target == region
	default:
		return false
	}
}

func (t drainTimes) add(upstream string, start time.Time) {
	if start.IsZero() {
		start = atOnce
	}
	if known, ok := t[upstream]; !ok || start.Before(known) {
		t[upstream] = start
	}
}

// since returns the times from which this host could know that each drain is in
// force: its start, or the time at which this host learned of it.
func (t drainTimes) since(previous drainTimes, learned time.Time) drainTimes {
	times := make(drainTimes, len(t))
	for upstream, start := range t {
		if known, ok := previous[upstream]; ok && !known.Before(start) {
			times[upstream] = known
			continue
		}
		times[upstream] = start
		if start.Before(learned) {
			times[upstream] = learned
		}
	}
	return times
}

// drainGrace covers decisions that were made just before a drain was accepted.
const drainGrace = time.Second

// leftLongAgo reports whether a drain of the upstream has been in force here for
// longer than drainGrace. It does not rely on the state of the workers.
func (d *Dispatcher) leftLongAgo(upstream string, now time.Time) bool {
	start, ok := d.plan.Load().since[upstream]
	return ok && now.Sub(start) > drainGrace
}

// hostDrained reports whether another entry host is planned to get no new work.
func hostDrained(c *configuration.Configuration, id host.Identity, now time.Time) bool {
	if c == nil {
		return false
	}
	for _, drain := range c.Drains {
		if now.Before(drain.Start) {
			continue
		}
		switch drain.Kind {
		case configuration.DrainHost:
			if drain.Target == string(id.ID) {
				return true
			}
		case configuration.DrainFailureDomain:
			if drain.Target == id.FailureDomain {
				return true
			}
		case configuration.DrainRegion:
			if drain.Target == id.Region {
				return true
			}
		}
	}
	return false
}
