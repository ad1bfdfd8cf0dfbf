package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
)

// Work is one request to place.
type Work struct {
	Service   string
	Route     string
	Object    string // object that the request concerns, empty: none
	Sticky    bool   // upstreams serve objects faster that they have served lately
	Objective boottime.Instant
	Limit     boottime.Instant // an answer after it is useless
	// LatencyObjective seeds the estimate of a route that has not run yet.
	LatencyObjective time.Duration
	Allowed          func(region string) bool // nil: all regions
	Tried            []string                 // upstreams that must not be chosen again
}

// objectiveMS is the latency objective in ms, never zero.
func (w *Work) objectiveMS() float64 { return max(milliseconds(w.LatencyObjective), leastObjective) }

// estimate is what a host knows of the work of one route.
//
// The work on an object is short where the upstream has served the object lately
// (warm) and long elsewhere (cold). The two means are found by assigning each
// sample to the nearer one.
type estimate struct {
	warm, cold float64 // milliseconds
	kilobytes  float64 // of request and answer together
}

const (
	// sampleWeight is the weight of a new sample in a moving mean.
	sampleWeight = 0.05
	// seedWarm and seedCold are the first guesses relative to the objective.
	seedWarm = 0.45
	seedCold = 1.4
	// seedKilobytes is the first guess of the size of a request with its answer.
	seedKilobytes = 4.0
	// leastObjective keeps estimates positive for routes without an objective, in ms.
	leastObjective = 20.0
)

func newEstimate(objective time.Duration) *estimate {
	ms := max(milliseconds(objective), leastObjective)
	return &estimate{warm: seedWarm * ms, cold: seedCold * ms, kilobytes: seedKilobytes}
}

// learn takes a sample in milliseconds, already freed of the upstream's slowness.
func (e *estimate) learn(sample float64, sticky bool) (wasWarm bool) {
	if !sticky {
		e.warm += sampleWeight * (sample - e.warm)
		e.cold = e.warm
		return true
	}
	if sample < e.middle() {
		e.warm += sampleWeight * (sample - e.warm)
		return true
	}
	e.cold += sampleWeight * (sample - e.cold)
	return false
}

// middle separates samples of known objects from those of unknown ones.
func (e *estimate) middle() float64 { return math.Sqrt(e.warm * e.cold) }

func (e *estimate) work(warm bool) float64 {
	if warm {
		return e.warm
	}
	return e.cold
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
