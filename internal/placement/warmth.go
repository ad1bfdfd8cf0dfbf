package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// warmth is what a host has learned of how the upstreams of one service keep
// objects: how many each remembers, and how likely it knows one.
type warmth struct {
	capacity float64                             // objects that an upstream remembers
	chance   [standings][rankClasses + 1]float64 // by standing and by rank; the last one: never sent
	active   map[string]boottime.Instant         // objects asked for lately
	// crossed is what requests for an object have paid for leaving the failure
	// domain since the domain last served one.
	crossed map[string]float64
	pruned  boottime.Instant
}

const (
	rankClasses = 8
	// rankStep is the width of a class of ranks relative to the capacity.
	rankStep = 0.25
	// capacitySeed is the first guess of the objects that an upstream remembers.
	capacitySeed   = 20.0
	capacityWeight = 0.02
	chanceWeight   = 0.05
	// activeSpan is how long an object counts as active after a request for it.
	activeSpan = 15 * time.Second
	pruneEvery = time.Second
	// These are the first guesses that an upstream knows an object that this host
	// has not sent to it: other hosts send it to its home.
	strangerUnsent = 0.05
	domainUnsent   = 0.3
	regionUnsent   = 0.5
)

func newWarmth() *warmth {
	w := &warmth{capacity: capacitySeed, active: map[string]boottime.Instant{}, crossed: map[string]float64{}}
	for s := range w.chance {
		for class := range rankClasses {
			middle := (float64(class) + 0.5) * rankStep
			w.chance[s][class] = min(0.97, max(0.05, 1.6-middle))
		}
	}
	w.chance[stranger][rankClasses] = strangerUnsent
	w.chance[domainHome][rankClasses] = domainUnsent
	w.chance[regionHome][rankClasses] = regionUnsent
	return w
}

// class returns the class of a rank.
func (w *warmth) class(rank int, sent bool) int {
	if !sent {
		return rankClasses
	}
	return min(int(float64(rank)/(w.capacity*rankStep)), rankClasses-1)
}

// learn takes whether an upstream turned out to know an object.
func (w *warmth) learn(s standing, rank int, sent, warm bool) {
	target := 0.0
	if warm {
		target = 1
	}
	chance := &w.chance[s][w.class(rank, sent)]
	*chance += chanceWeight * (target - *chance)
	r := float64(rank)
	if sent && (warm && r > w.capacity || !warm && r < w.capacity) {
		w.capacity = max(1, w.capacity+capacityWeight*(r-w.capacity))
	}
}

// asked notes a request for an object.
func (w *warmth) asked(object string, now boottime.Instant) {
	w.active[object] = now
	if now.Sub(w.pruned) < pruneEvery {
		return
	}
	w.pruned = now
	for other, at := range w.active {
		if now.Sub(at) > activeSpan {
			delete(w.active, other)
			delete(w.crossed, other)
		}
	}
}

// fill is the part of its memory that an upstream is given to keep.
const fill = 0.9

// replicated returns the part of the objects that every failure domain of a
// region keeps for itself. The others have one home in the region, so that the
// domain with the fewest upstreams, least, does not ask them to remember more
// objects than they can. all is the number of upstreams in the region.
func (w *warmth) replicated(least, all int) float64 {
	if least == 0 || least >= all {
		return 1
	}
	objects := float64(len(w.active))
	shared, own := objects/float64(all), objects/float64(least)
	if own <= fill*w.capacity {
		return 1
	}
	return min(1, max(0, (fill*w.capacity-shared)/(own-shared)))
}

// remembered returns the part of the objects that a number of upstreams can
// remember together.
func (w *warmth) remembered(all int) float64 {
	return min(1, fill*w.capacity*float64(all)/float64(max(len(w.active), 1)))
}

// most that a domain pays for crossings before it learns an object itself: the
// credit that the first, slow request loses.
const learningCost = 0.8

// placed notes where a request for an object went.
func (w *warmth) placed(object string, crossing float64) {
	if crossing == 0 {
		delete(w.crossed, object)
		return
	}
	w.crossed[object] = min(w.crossed[object]+crossing, learningCost)
}
