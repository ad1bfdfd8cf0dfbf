package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// cacheModel is a learned model of how the upstreams of one service cache objects:
// how many objects each can hold, and the probability that an object is cached.
type cacheModel struct {
	capacity       float64                                   // objects that an upstream can cache
	hitProbability [preferences][distanceClasses + 1]float64 // by preference and class of the reuse distance; the last class: never sent
	active         map[string]boottime.Instant               // time of the last request for each recently requested object
	// objectCrossingCost is the total cost of the requests for an object that have left
	// the failure domain since an upstream of the domain last served it.
	objectCrossingCost map[string]float64
	prunedAt           boottime.Instant
}

const (
	distanceClasses = 8
	// distanceClassWidth is the width of a class of reuse distances relative to the
	// capacity.
	distanceClassWidth = 0.25
	// initialCapacity is the initial estimate of the capacity, in objects.
	initialCapacity = 20.0
	// capacityWeight and hitProbabilityWeight are the weights of a new sample.
	capacityWeight       = 0.02
	hitProbabilityWeight = 0.05
	// activePeriod is how long an object stays active after a request for it.
	activePeriod  = 15 * time.Second
	pruneInterval = time.Second
	// Initial probabilities that an upstream has an object cached that this host has
	// not sent to it. They are higher for preferred upstreams, to which other hosts
	// send the object.
	initialHitNotPreferred    = 0.05
	initialHitDomainPreferred = 0.3
	initialHitRegionPreferred = 0.5
)

func newCacheModel() *cacheModel {
	m := &cacheModel{capacity: initialCapacity, active: map[string]boottime.Instant{}, objectCrossingCost: map[string]float64{}}
	for p := range m.hitProbability {
		// Initially the probability falls linearly around a distance of one capacity.
		for class := range distanceClasses {
			middle := (float64(class) + 0.5) * distanceClassWidth
			m.hitProbability[p][class] = min(0.97, max(0.05, 1.6-middle))
		}
	}
	m.hitProbability[notPreferred][distanceClasses] = initialHitNotPreferred
	m.hitProbability[domainPreferred][distanceClasses] = initialHitDomainPreferred
	m.hitProbability[regionPreferred][distanceClasses] = initialHitRegionPreferred
	return m
}

// distanceClass returns the class of a reuse distance.
func (m *cacheModel) distanceClass(reuseDistance int, sent bool) int {
	if !sent {
		return distanceClasses
	}
	return min(int(float64(reuseDistance)/(m.capacity*distanceClassWidth)), distanceClasses-1)
}

// learn updates the model with whether an upstream had an object cached.
func (m *cacheModel) learn(p preference, reuseDistance int, sent, cached bool) {
	target := 0.0
	if cached {
		target = 1
	}
	probability := &m.hitProbability[p][m.distanceClass(reuseDistance, sent)]
	*probability += hitProbabilityWeight * (target - *probability)
	distance := float64(reuseDistance)
	if sent && (cached && distance > m.capacity || !cached && distance < m.capacity) {
		m.capacity = max(1, m.capacity+capacityWeight*(distance-m.capacity))
	}
}

// recordRequest marks an object as active and drops objects that are no longer
// active.
func (m *cacheModel) recordRequest(object string, now boottime.Instant) {
	m.active[object] = now
	if now.Sub(m.prunedAt) < pruneInterval {
		return
	}
	m.prunedAt = now
	for other, at := range m.active {
		if now.Sub(at) > activePeriod {
			delete(m.active, other)
			delete(m.objectCrossingCost, other)
		}
	}
}

// targetFill is the fraction of an upstream's cache capacity that is assigned to
// objects.
const targetFill = 0.9

// replicatedFraction returns the fraction of the objects that each failure domain
// of a region caches separately. The other objects are cached once in the region,
// so that the smallest domain need not cache more objects than fit.
// smallestDomain and regionUpstreams are numbers of upstreams.
func (m *cacheModel) replicatedFraction(smallestDomain, regionUpstreams int) float64 {
	if smallestDomain == 0 || smallestDomain >= regionUpstreams {
		return 1
	}
	objects := float64(len(m.active))
	shared, own := objects/float64(regionUpstreams), objects/float64(smallestDomain)
	if own <= targetFill*m.capacity {
		return 1
	}
	return min(1, max(0, (targetFill*m.capacity-shared)/(own-shared)))
}

// cacheableFraction returns the fraction of the objects that a number of upstreams
// can cache together.
func (m *cacheModel) cacheableFraction(upstreams int) float64 {
	return min(1, targetFill*m.capacity*float64(upstreams)/float64(max(len(m.active), 1)))
}

// maxObjectCrossingCost bounds objectCrossingCost. A failure domain starts to cache
// an object itself once the requests for it that left the domain have cost as much as
// the score that the first, slow request in the domain loses.
const maxObjectCrossingCost = 0.8

// recordPlacement updates objectCrossingCost after a request for it
// was placed.
func (m *cacheModel) recordPlacement(object string, cost float64) {
	if cost == 0 {
		delete(m.objectCrossingCost, object)
		return
	}
	m.objectCrossingCost[object] = min(m.objectCrossingCost[object]+cost, maxObjectCrossingCost)
}
