package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
)

const (
	// homeCredit makes hosts agree on where an object that nobody knows is served.
	homeCredit = 0.15
	// firstCredit makes a host try each upstream of its failure domain once.
	firstCredit = 0.6
	// slotCost is the price of a slot for one objective at an upstream that is full:
	// work that takes long there displaces work that would be punctual.
	slotCost = 0.5
	// slotCostFrom is the part of the slots in use from which they have a price.
	slotCostFrom = 0.6
	// leastCredit is the credit below which a request is refused.
	leastCredit = 0.02
	// latencyCost breaks ties towards the faster answer, per objective.
	latencyCost = 0.05
	// spread is the usual deviation of work relative to its mean.
	spread = 0.15
	// spreadFloor is the least deviation of an answer's time, in ms.
	spreadFloor = 4.0
)

// value estimates what a request may expect of an upstream.
func (p *Pool) value(s *service, u *upstream, work *Work, e *estimate, h *homes, object objectID, now boottime.Instant) candidate {
	c := candidate{upstream: u, warm: 1}
	if h != nil {
		c.standing = s.standingOf(u, h)
		c.rank, c.sent = u.memory.rank(object)
		c.warm = s.warmth.chance[c.standing][s.warmth.class(c.rank, c.sent)]
	}
	slow := u.currentSlowness(now)
	if u.cold(now) {
		slow *= coldSlowdown
	}
	c.workWarm, c.workCold = e.warm*slow, e.cold*slow
	c.wait = u.expectedWait(e, slow, now)
	away := 0.0
	if u.region != p.settings.Region {
		away = milliseconds(p.settings.RegionRoundTrip)
	}
	answered := c.warm*p.credit(c.wait+away+c.workWarm, work, now) +
		(1-c.warm)*p.credit(c.wait+away+c.workCold, work, now)
	c.credit = u.currentTrust(now)*answered - p.crossing(u, e) - u.slotPrice(now)*c.work()/work.objectiveMS()
	switch {
	case c.standing == regionHome:
		c.credit += homeCredit * (1 - c.warm)
	case c.standing == domainHome && u.FailureDomain == p.settings.FailureDomain:
		c.credit += s.warmth.crossed[work.Object] * (1 - c.warm)
	}
	if !u.served && u.FailureDomain == p.settings.FailureDomain {
		c.credit += firstCredit
	}
	return c
}

// slotPrice is the price of a slot for the time of one objective.
func (u *upstream) slotPrice(now boottime.Instant) float64 {
	used := u.occupancy(now)/float64(u.slots) - slotCostFrom
	return slotCost * min(1, max(0, used/(1-slotCostFrom)))
}

// credit is what an answer after the given latency in ms is worth.
func (p *Pool) credit(latency float64, work *Work, now boottime.Instant) float64 {
	deviation := spread*latency + spreadFloor
	onTime := chance(milliseconds(work.Objective.Sub(now))-latency, deviation)
	inTime := chance(milliseconds(work.Limit.Sub(now))-latency, deviation)
	return onTime + p.settings.LateCredit*max(0, inTime-onTime) -
		latencyCost*latency/work.objectiveMS()
}

// crossing is the cost of the bytes that leave the failure domain or the region.
func (p *Pool) crossing(u *upstream, e *estimate) float64 {
	cost := 0.0
	if u.FailureDomain != p.settings.FailureDomain {
		cost += p.settings.CrossDomain
	}
	if u.region != p.settings.Region {
		cost += p.settings.CrossRegion
	}
	return cost * e.kilobytes
}

// expectedWait is the time until a slot of the upstream is free, in ms.
func (u *upstream) expectedWait(e *estimate, slow float64, now boottime.Instant) float64 {
	ahead := u.occupancy(now) - float64(u.slots) + 1
	if ahead <= 0 {
		return 0
	}
	return ahead / float64(u.slots) * e.warm * slow
}

// chance is the probability that a deviation stays below margin.
func chance(margin, deviation float64) float64 {
	return 1 / (1 + math.Exp(-1.7*margin/deviation))
}

// queueShare bounds the wait of work that will be late anyway, as part of its
// objective, so that it does not make punctual work late.
const queueShare = 0.3

// hopeless says why a request should not be sent to an upstream.
func hopeless(c *candidate, work *Work, now boottime.Instant) (Reason, time.Duration) {
	left := milliseconds(work.Limit.Sub(now))
	expected := c.workWarm
	if c.warm < likelyWarm {
		expected = c.workCold
	}
	if c.wait+expected > left {
		return ReasonDeadline, fromMilliseconds(c.wait)
	}
	objective := work.objectiveMS()
	most := max(milliseconds(work.Objective.Sub(now))-expected, queueShare*objective)
	if c.wait > most {
		return ReasonQueue, fromMilliseconds(c.wait - most)
	}
	if c.credit < leastCredit {
		return ReasonQueue, fromMilliseconds(c.wait)
	}
	return "", 0
}

// likelyWarm is the chance from which an upstream is taken to know an object.
const likelyWarm = 0.4
