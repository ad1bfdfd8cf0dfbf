package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
)

const (
	// demandTimeConstant is the time constant of the average demand for a service.
	demandTimeConstant = 2 * time.Second
	// demandMemory is the time constant with which the highest average demand is forgotten. It is
	// long compared with a burst: which objects a region holds should not follow each of them.
	demandMemory = 20 * time.Second
	// demandSettled is the age from which the average demand is used.
	demandSettled = 300 * time.Millisecond
	// ownedUtilisation is the utilisation of a region's slots up to which it holds objects. The rest
	// is for requests that are slow or arrive together.
	ownedUtilisation = 0.75
)

// ownership tells which objects of a service this host's region holds: a fraction of them, by
// their hash, so that the requests for these need at most ownedUtilisation of the region's slots.
// The requests for the others run in other regions. All hosts of a region have about the same demand
// and so agree on the fraction but for a few objects.
//
// It answers a region with less room than demand: callers waited for its few upstreams, while those
// of other regions had room and held the same objects.
type ownership struct {
	maxChange float64 // of the fraction within shiftWindow

	started   boottime.Instant // of the first request
	updatedAt boottime.Instant
	average   float64 // demand of this host for objects that are cached, in slots
	highest   float64 // recent maximum of average, decaying with demandMemory
	fraction  float64
}

func newOwnership(maxChange float64) ownership { return ownership{maxChange: maxChange, fraction: 1} }

// fleetShape counts the slots of a service and the hosts, of a region and of all regions.
type fleetShape struct{ regionSlots, slots, regionHosts, hosts int }

// smallestFraction returns the fraction of the objects that the region holds at least: its share of
// the slots over its share of the hosts, which stands for its share of the demand. When all regions
// are short of slots, requests would only change places.
func (f fleetShape) smallestFraction() float64 {
	return float64(f.regionSlots) / float64(max(f.slots, 1)) * float64(max(f.hosts, 1)) / float64(max(f.regionHosts, 1))
}

// record adds a request that takes a slot for some time, in ms, if its object is cached.
func (o *ownership) record(serviceMS float64, fleet fleetShape, now boottime.Instant) {
	if o.started == 0 {
		o.started, o.updatedAt, o.fraction = now, now, o.initial(fleet)
	}
	elapsed := now.Sub(o.updatedAt)
	o.average = o.average*decay(elapsed, demandTimeConstant) + serviceMS/milliseconds(demandTimeConstant)
	o.updatedAt = now
	age := now.Sub(o.started)
	if age < demandSettled {
		return
	}
	current := o.average / (1 - decay(age, demandTimeConstant)) // the average began at zero
	o.highest = max(o.highest*decay(elapsed, demandMemory), current)
	target := ownedUtilisation * float64(fleet.regionSlots) / (o.highest * float64(max(fleet.regionHosts, 1)))
	target = math.Min(1, max(target, fleet.smallestFraction()))
	change := o.maxChange * float64(elapsed) / float64(shiftWindow)
	o.fraction += max(-change, min(change/2, target-o.fraction)) // requests of held objects return besides
}

// initial returns the fraction at the first request. A host of a large fleet begins with the smallest,
// as if the demand were high: the demand is not known yet, and if all hosts of a region begin together,
// a change within the first window would shift their requests. Where a single host has a large part of
// the region's requests, its start would shift them, so it begins with all objects.
func (o *ownership) initial(fleet fleetShape) float64 {
	smallest := math.Min(1, fleet.smallestFraction())
	if (1-smallest)/float64(max(fleet.regionHosts, 1)) > o.maxChange {
		return 1
	}
	return smallest
}

// owns reports whether the region holds the object with a hash from 0 to 1.
func (o *ownership) owns(hash float64) bool { return hash < o.fraction }
