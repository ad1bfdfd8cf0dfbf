package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
)

// Request is a request to be placed.
type Request struct {
	Service   string
	Route     string
	Object    string           // object that the request concerns; empty if none
	Sticky    bool             // upstreams serve recently used objects faster
	Objective boottime.Instant // an answer until then is on time
	Deadline  boottime.Instant // an answer after it is useless
	// LatencyObjective is the initial estimate for a route without samples.
	LatencyObjective time.Duration
	RegionAllowed    func(region string) bool // nil allows all regions
	Tried            []string                 // IDs of upstreams that must not be chosen again
}

// objectiveMS returns the latency objective in ms, at least minObjectiveMS.
func (r *Request) objectiveMS() float64 { return max(milliseconds(r.LatencyObjective), minObjectiveMS) }

// routeEstimate holds moving averages for the requests of one route.
//
// A request takes a short time at an upstream that has its object cached (warm)
// and a long time elsewhere (cold). Each sample updates the closer of the two
// averages.
type routeEstimate struct {
	warmMS, coldMS float64 // service time
	kilobytes      float64 // request and answer together
}

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.05
	// initialWarmRatio and initialColdRatio are the initial estimates relative to the
	// latency objective.
	initialWarmRatio = 0.45
	initialColdRatio = 1.4
	// initialKilobytes is the initial size of a request with its answer.
	initialKilobytes = 4.0
	// minObjectiveMS keeps the estimates of routes without an objective positive.
	minObjectiveMS = 20.0
)

func newRouteEstimate(objective time.Duration) *routeEstimate {
	ms := max(milliseconds(objective), minObjectiveMS)
	return &routeEstimate{warmMS: initialWarmRatio * ms, coldMS: initialColdRatio * ms, kilobytes: initialKilobytes}
}

// learn adds a service time in ms, already divided by the upstream's slowdown, and
// reports whether it counts as warm.
func (e *routeEstimate) learn(sample float64, sticky bool) (wasWarm bool) {
	if !sticky {
		e.warmMS += sampleWeight * (sample - e.warmMS)
		e.coldMS = e.warmMS
		return true
	}
	if sample < e.warmColdBoundary() {
		e.warmMS += sampleWeight * (sample - e.warmMS)
		return true
	}
	e.coldMS += sampleWeight * (sample - e.coldMS)
	return false
}

// warmColdBoundary returns the service time in ms that separates warm samples from
// cold ones.
func (e *routeEstimate) warmColdBoundary() float64 { return math.Sqrt(e.warmMS * e.coldMS) }

// serviceTime returns the estimated service time in ms.
func (e *routeEstimate) serviceTime(warm bool) float64 {
	if warm {
		return e.warmMS
	}
	return e.coldMS
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
