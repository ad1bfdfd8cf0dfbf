package upstream

import (
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

// drainTimes maps names of upstreams to the time from which they receive no new
// requests.
type drainTimes map[string]time.Time

// immediateDrain replaces the start time of a drain that has none.
var immediateDrain = time.Unix(0, 0)

// newDrainTimes returns the earliest drain of each upstream, from drains of the
// upstream itself, its failure domain and its region.
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
		start = immediateDrain
	}
	if earliest, ok := t[upstream]; !ok || start.Before(earliest) {
		t[upstream] = start
	}
}

// knownSince returns the time from which this host knew each drain to be in force:
// the start of the drain, or the time at which this host learned of it if that was
// later.
func (t drainTimes) knownSince(previous drainTimes, learned time.Time) drainTimes {
	times := make(drainTimes, len(t))
	for upstream, start := range t {
		if knownSince, ok := previous[upstream]; ok && !knownSince.Before(start) {
			times[upstream] = knownSince
			continue
		}
		times[upstream] = start
		if start.Before(learned) {
			times[upstream] = learned
		}
	}
	return times
}

// drainGrace allows for requests that were placed just before a drain came into
// force.
const drainGrace = time.Second

// drainedPastGrace reports whether a drain of the upstream has been in force on this
// host for longer than drainGrace. It reads the configuration and not the
// upstream's state, so that the invariant check is independent of that state.
func (d *Dispatcher) drainedPastGrace(upstream string, now time.Time) bool {
	start, ok := d.view.Load().drainKnownSince[upstream]
	return ok && now.Sub(start) > drainGrace
}

// hostDrained reports whether a drain in force covers the entry host id.
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
