package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// Load is the load that an upstream reported with a response, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream's machine at the moment, relative to
	// the usual time; zero if not reported.
	Slowdown float64
}

const (
	// upstreamLoadDecay is the time constant with which the load that an upstream reported
	// loses weight against the average of the upstreams of its service and region.
	upstreamLoadDecay = 1500 * time.Millisecond
	// averageLoadWeight is the weight of a report in that average, and averageLoadDecay the time
	// constant with which it is forgotten without reports.
	averageLoadWeight = 0.02
	averageLoadDecay  = 5 * time.Second
	// successRecovery is the time constant with which the success probability returns
	// to 1 without new failures.
	successRecovery = 3 * time.Second
	// slowdownRecovery is the time constant with which the slowdown returns to 1
	// without new samples.
	slowdownRecovery = 6 * time.Second
	// reportedSlowdownDecay is the time constant with which a slowdown that an upstream
	// reported loses weight. The figure changes several times a second.
	reportedSlowdownDecay = 300 * time.Millisecond
	// slowdownWeight is the weight of a new sample in the slowdown.
	slowdownWeight = 0.2
	// failureWeight is the fraction by which a failure lowers the success probability;
	// successWeight is the fraction of the gap to 1 that a success closes.
	failureWeight = 0.35
	successWeight = 0.08
	// coldSettleTime is how long a host sends nothing to an upstream that it knew and
	// that turned cold: the second over which requests are counted, in which hosts that
	// learn of it later send as to a warm upstream.
	coldSettleTime = 1 * time.Second
	// entryDelay is the longest time between two writes of an upstream's entry.
	entryDelay = 1500 * time.Millisecond
	// movedMemory is how long a host sends nothing to an upstream whose address belongs to another one.
	// The entry of an upstream that ended without notice is removed within three times entryDelay.
	movedMemory = 5 * time.Second
	// coldSlowdown is the factor on the service time of a cold upstream.
	coldSlowdown = 2.0
)

// upstream is the state that a host keeps about one upstream.
type upstream struct {
	catalog.Upstream
	region      string
	domainIndex int // of the failure domain in service.domains
	regionIndex int // in service.regions

	inflight       int
	served         bool             // whether this host has sent it a request
	otherRequests  float64          // requests of other hosts, by the loads last reported
	average        *averageLoad     // of the upstreams of the service and region
	upstreamLoadAt boottime.Instant // when that load was reported
	slots          int

	peerRequests   float64          // requests of the other hosts of this failure domain, as reported by them
	peerValidUntil boottime.Instant // until when peerRequests is valid

	slowdown               float64 // observed over expected service time, beyond what is reported
	slowdownUpdatedAt      boottime.Instant
	reportedSlowdown       float64 // of the machine, 1 if none was reported; with the load last reported
	successProbability     float64 // probability that a request is answered
	successUpdatedAt       boottime.Instant
	sends                  *sendCount
	limit                  *requestLimit
	announced              *announcements
	movedUntil             boottime.Instant // its address belongs to another upstream, as far as is known until then
	limitedUntil           boottime.Instant // see Pool.isLimited
	reportedColdUntil      boottime.Instant // end of the cold start by its entry and its responses
	warmIfCurrentAt        boottime.Instant // see Pool.isLimited, zero if it was never assumed to restart
	limitedSendsFrom       boottime.Instant // requests are sent while limited from then on
	history                sendHistory
	consecutiveUnreachable int // connections in a row that could not be opened
}

func newUpstream(entry catalog.Upstream, region string, average *averageLoad, sends *sendCount, limit *requestLimit, announced *announcements) *upstream {
	return &upstream{
		Upstream: entry, region: region, average: average, slots: max(entry.Slots, 1),
		slowdown: 1, reportedSlowdown: 1, successProbability: 1,
		sends: sends, limit: limit, announced: announced,
	}
}

// assumeRestart treats an unreachable upstream as one that has just started: its
// cached objects are lost and it is cold. It lets a host react that can't read the
// upstream's entry in the store.
func (u *upstream) assumeRestart(now boottime.Instant, coldStart time.Duration) {
	u.history.reset()
	if coldStart > 0 {
		u.warmIfCurrentAt = now.Add(coldStart)
		u.extendColdStart(now.Add(coldStart), true, now)
	}
}

// extendColdStart treats the upstream as cold until the given instant. If it had been
// warm for this host, other hosts may not know yet that it is cold, so this host sends
// nothing until they do.
func (u *upstream) extendColdStart(until boottime.Instant, wasUsed bool, now boottime.Instant) {
	if until <= u.ColdUntil || !now.Before(until) {
		return
	}
	if wasUsed && !u.cold(now) {
		u.limitedSendsFrom = now.Add(coldSettleTime)
	}
	u.ColdUntil = until
}

func (u *upstream) cold(now boottime.Instant) bool { return now.Before(u.ColdUntil) }

// occupancy returns the expected number of requests at the upstream.
func (u *upstream) occupancy(now boottime.Instant) float64 {
	weight := decay(now.Sub(u.upstreamLoadAt), upstreamLoadDecay)
	others := weight*u.otherRequests + (1-weight)*u.average.perSlot(now)*float64(u.slots)
	if now <= u.peerValidUntil {
		others = max(others, u.peerRequests)
	}
	return float64(u.inflight) + others
}

// recordLoad updates the estimate of the other hosts' requests.
func (u *upstream) recordLoad(load Load, now boottime.Instant) {
	if load.Slots > 0 {
		u.slots = load.Slots
	}
	others := max(0, float64(load.Running+load.Waiting-u.inflight))
	weight := decay(now.Sub(u.upstreamLoadAt), upstreamLoadDecay)
	u.otherRequests = (weight*u.otherRequests + others) / (weight + 1)
	u.average.add(others/float64(u.slots), now)
	u.upstreamLoadAt, u.reportedSlowdown = now, 1
	if load.Slowdown > 0 {
		u.reportedSlowdown = load.Slowdown
	}
}

// averageLoad is the average of the requests of other hosts for each slot of some upstreams. Under
// a load that is high everywhere, an upstream of which a host has heard nothing for a while is
// probably as busy as the others; hosts that took it for idle sent it requests that waited.
type averageLoad struct {
	value     float64
	updatedAt boottime.Instant
}

func (a *averageLoad) add(perSlot float64, now boottime.Instant) {
	current := a.perSlot(now)
	a.value, a.updatedAt = current+averageLoadWeight*(perSlot-current), now
}

func (a *averageLoad) perSlot(now boottime.Instant) float64 {
	return a.value * decay(now.Sub(a.updatedAt), averageLoadDecay)
}

func (u *upstream) currentSuccessProbability(now boottime.Instant) float64 {
	return 1 - (1-u.successProbability)*decay(now.Sub(u.successUpdatedAt), successRecovery)
}

func (u *upstream) recordSuccess(now boottime.Instant) {
	probability := u.currentSuccessProbability(now)
	u.successProbability, u.successUpdatedAt = probability+successWeight*(1-probability), now
}

func (u *upstream) recordFailure(now boottime.Instant) {
	u.successProbability, u.successUpdatedAt = u.currentSuccessProbability(now)*(1-failureWeight), now
}

// currentSlowdown returns the expected time in the slot relative to the usual one: what was
// learned from responses times what the upstream reported.
func (u *upstream) currentSlowdown(now boottime.Instant) float64 {
	return u.learnedSlowdown(now) * u.machineSlowdown(now)
}

func (u *upstream) learnedSlowdown(now boottime.Instant) float64 {
	return 1 + (u.slowdown-1)*decay(now.Sub(u.slowdownUpdatedAt), slowdownRecovery)
}

func (u *upstream) machineSlowdown(now boottime.Instant) float64 {
	return 1 + (u.reportedSlowdown-1)*decay(now.Sub(u.upstreamLoadAt), reportedSlowdownDecay)
}

// recordSlowdown adds a sample of observed over expected service time. The part that the
// upstream's machine explains is not learned.
func (u *upstream) recordSlowdown(ratio float64, now boottime.Instant) {
	ratio = min(max(ratio/u.machineSlowdown(now), 0.3), 20)
	s := u.learnedSlowdown(now)
	u.slowdown, u.slowdownUpdatedAt = s+slowdownWeight*(ratio-s), now
}

// decay returns the remaining weight of a value of the given age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
