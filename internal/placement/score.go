package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotrail/internal/boottime"
)

const (
	// preferredBonus makes hosts agree on the upstream for an object that no upstream has cached.
	preferredBonus = 0.15
	// firstRequestBonus makes a host try each upstream of its failure domain once.
	firstRequestBonus = 0.6
	// maxSlotCost is the cost of a slot of a full upstream for the time of one latency
	// objective. Requests with a long service time displace requests that could be
	// answered on time.
	maxSlotCost = 0.5
	// slotCostThreshold is the slot utilisation above which slots have a cost.
	slotCostThreshold = 0.6
	// maxCrossingCost bounds the cost of traffic to another failure domain or region. A response on
	// time from there is worth more than a late one from here, whatever its size.
	maxCrossingCost = 0.5
	// minScore is the score below which an upstream is not used.
	minScore = 0.02
	// latencyCost prefers the faster response between equal scores; it is the cost of a
	// latency of one objective.
	latencyCost = 0.05
	// deviationRatio is the typical deviation of a latency relative to its mean.
	deviationRatio = 0.15
	// minDeviationMS is the minimum deviation of a latency.
	minDeviationMS = 4.0
)

// scoreCandidate estimates the score of an upstream for a request. The caller holds
// mu.
func (p *Pool) scoreCandidate(s *service, u *upstream, request *Request, e *routeEstimate, preferred *preferredUpstreams, object objectID, now boottime.Instant) candidate {
	c := candidate{upstream: u, hitProb: 1}
	if preferred != nil {
		c.preference = s.preferenceOf(u, preferred, p.settings.Region)
		c.reuseDistance, c.sent = u.history.reuseDistance(object)
		c.hitProb = s.cache.hitProbability[c.preference][s.cache.distanceClass(c.reuseDistance, c.sent)]
	}
	slowdown := u.currentSlowdown(now)
	if u.cold(now) {
		slowdown *= coldSlowdown
	}
	c.cachedMS, c.uncachedMS = e.cachedMS*slowdown, e.uncachedMS*slowdown
	c.wait = u.expectedWait(e, slowdown, now)
	roundTrip := 0.0
	if u.region != p.settings.Region {
		roundTrip = milliseconds(p.settings.RegionRoundTrip)
	}
	responseScore := c.hitProb*p.latencyScore(c.wait+roundTrip+c.cachedMS, request, now) +
		(1-c.hitProb)*p.latencyScore(c.wait+roundTrip+c.uncachedMS, request, now)
	c.score = u.currentSuccessProbability(now)*responseScore - p.crossingCost(u, e) - u.slotCost(now)*c.serviceTime()/request.objectiveMS()
	switch {
	case c.preference == regionPreferred:
		c.score += preferredBonus * (1 - c.hitProb)
	case c.preference == domainPreferred && u.FailureDomain == p.settings.FailureDomain:
		c.score += s.cache.objectCrossingCost[request.Object] * (1 - c.hitProb)
	}
	if !u.served && u.FailureDomain == p.settings.FailureDomain && p.triesFirst(u) {
		c.score += firstRequestBonus
	}
	return c
}

// firstTries is the number of hosts of a region that try an upstream without knowing it, on
// average. If each of many hosts did, the first requests after a start would spread over all
// upstreams, and few of these would get an object a second time.
const firstTries = 2

// triesFirst reports whether this host tries an upstream to which it has sent nothing.
func (p *Pool) triesFirst(u *upstream) bool {
	if p.settings.HostCounts == nil {
		return true
	}
	region, _ := p.settings.HostCounts()
	hosts := uint64(max(region, 1))
	return hosts <= firstTries || xxhash.Sum64String(u.ID+"\x00"+p.settings.Host)%hosts < firstTries
}

// slotCost returns the cost of a slot for the time of one latency objective.
func (u *upstream) slotCost(now boottime.Instant) float64 {
	excess := u.occupancy(now)/float64(u.slots) - slotCostThreshold
	return maxSlotCost * min(1, max(0, excess/(1-slotCostThreshold)))
}

// latencyScore returns the expected score of a response with the given latency in ms.
func (p *Pool) latencyScore(latency float64, request *Request, now boottime.Instant) float64 {
	deviation := deviationRatio*latency + minDeviationMS
	onTime := probabilityBelow(milliseconds(request.Objective.Sub(now))-latency, deviation)
	beforeDeadline := probabilityBelow(milliseconds(request.Deadline.Sub(now))-latency, deviation)
	return onTime + p.settings.LateScore*max(0, beforeDeadline-onTime) -
		latencyCost*latency/request.objectiveMS()
}

// crossingCost returns the cost of the traffic that leaves the failure domain or
// the region.
func (p *Pool) crossingCost(u *upstream, e *routeEstimate) float64 {
	cost := 0.0
	if u.FailureDomain != p.settings.FailureDomain {
		cost += p.settings.CrossDomainCost
	}
	if u.region != p.settings.Region {
		cost += p.settings.CrossRegionCost
	}
	return min(cost*e.kilobytes, maxCrossingCost)
}

// expectedWait returns the time until a slot of the upstream is free, in ms.
func (u *upstream) expectedWait(e *routeEstimate, slowdown float64, now boottime.Instant) float64 {
	ahead := u.occupancy(now) - float64(u.slots) + 1
	if ahead <= 0 {
		return 0
	}
	return ahead / float64(u.slots) * e.cachedMS * slowdown
}

// probabilityBelow returns the probability that a normally distributed error with
// the given deviation stays below margin, by the logistic approximation.
func probabilityBelow(margin, deviation float64) float64 {
	return 1 / (1 + math.Exp(-1.7*margin/deviation))
}

// maxLateWaitRatio bounds the wait of a request that will be late anyway, relative
// to its latency objective, so that it does not delay requests that can be on time.
const maxLateWaitRatio = 0.3

// rejectReason returns why a request should not be sent to a candidate, and the
// time after which it may be. The reason is empty if the candidate can be used.
func rejectReason(c *candidate, request *Request, now boottime.Instant) (Reason, time.Duration) {
	remaining := milliseconds(request.Deadline.Sub(now))
	serviceTime := c.cachedMS
	if c.hitProb < cachedThreshold {
		serviceTime = c.uncachedMS
	}
	if c.wait+serviceTime > remaining {
		return ReasonDeadline, fromMilliseconds(c.wait)
	}
	objective := request.objectiveMS()
	maxWait := max(milliseconds(request.Objective.Sub(now))-serviceTime, maxLateWaitRatio*objective)
	if c.wait > maxWait {
		return ReasonQueue, fromMilliseconds(c.wait - maxWait)
	}
	if c.score < minScore {
		return ReasonQueue, fromMilliseconds(c.wait)
	}
	return "", 0
}

// cachedThreshold is the probability from which an object is assumed to be cached.
const cachedThreshold = 0.4
