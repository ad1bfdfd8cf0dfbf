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
	Objective boottime.Instant // a response until then is on time
	Deadline  boottime.Instant // a response after it is useless
	// LatencyObjective is the initial estimate for a route without samples.
	LatencyObjective time.Duration
	RegionAllowed    func(region string) bool // nil allows all regions
	Tried            []string                 // IDs of upstreams that must not be chosen again
}

// objectiveMS returns the latency objective in ms, at least minObjectiveMS.
func (r *Request) objectiveMS() float64 { return max(milliseconds(r.LatencyObjective), minObjectiveMS) }

// routeEstimate holds moving averages for the requests of one route.
//
// A request takes a short time at an upstream that has its object cached, and a
// long time elsewhere. Each sample updates the closer of the two averages.
type routeEstimate struct {
	cachedMS, uncachedMS float64 // service time
	kilobytes            float64 // request and response together
}

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.05
	// initialCachedRatio and initialUncachedRatio are the initial estimates relative to the
	// latency objective.
	initialCachedRatio   = 0.45
	initialUncachedRatio = 1.4
	// initialKilobytes is the initial size of a request with its response.
	initialKilobytes = 4.0
	// minObjectiveMS keeps the estimates of routes without an objective positive.
	minObjectiveMS = 20.0
)

func newRouteEstimate(objective time.Duration) *routeEstimate {
	ms := max(milliseconds(objective), minObjectiveMS)
	return &routeEstimate{cachedMS: initialCachedRatio * ms, uncachedMS: initialUncachedRatio * ms, kilobytes: initialKilobytes}
}

// learn adds a service time in ms, already divided by the upstream's slowdown, and
// reports whether it counts as that of a cached object.
func (e *routeEstimate) learn(sample float64, sticky bool) (wasCached bool) {
	if !sticky {
		e.cachedMS += sampleWeight * (sample - e.cachedMS)
		e.uncachedMS = e.cachedMS
		return true
	}
	if sample < e.cachedBoundary() {
		e.cachedMS += sampleWeight * (sample - e.cachedMS)
		return true
	}
	e.uncachedMS += sampleWeight * (sample - e.uncachedMS)
	return false
}

// cachedBoundary returns the service time in ms below which a sample counts as that
// of a cached object.
func (e *routeEstimate) cachedBoundary() float64 { return math.Sqrt(e.cachedMS * e.uncachedMS) }

// serviceTime returns the estimated service time in ms.
func (e *routeEstimate) serviceTime(cached bool) float64 {
	if cached {
		return e.cachedMS
	}
	return e.uncachedMS
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
