package placement

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/quota"
)

// Load is what an upstream reported with an answer.
type Load struct {
	Running, Waiting, Slots int
}

const (
	// loadMemory is how fast a report of an upstream's load loses its worth.
	loadMemory = 1500 * time.Millisecond
	// trustRecovery is how fast trust in an upstream returns without new failures.
	trustRecovery = 3 * time.Second
	// slownessRecovery is how fast a slow upstream is believed normal again.
	slownessRecovery = 6 * time.Second
	slownessWeight   = 0.2
	// failureWeight is the part of the trust that one failure takes.
	failureWeight = 0.35
	successWeight = 0.08
	// coldSlowdown is how much longer a cold upstream works.
	coldSlowdown = 2.0
)

// upstream is what a host believes of one upstream.
type upstream struct {
	catalog.Upstream
	region       string
	domain       int // number of its failure domain in the service
	regionNumber int // number of its region in the service

	inflight int
	served   bool             // this host has sent a request there
	others   float64          // requests of other hosts there, by the last report
	reported boottime.Instant // when that report came
	slots    int

	neighbours float64          // requests of the hosts of this failure domain there, as told
	toldAt     boottime.Instant // when

	slowness   float64 // observed over expected work
	slownessAt boottime.Instant
	trust      float64 // chance that a request is answered, by outcomes
	trustAt    boottime.Instant
	coldSends  *quota.Window // sends in the last second while cold
	memory     memory
	unreached  int // connections in a row that could not be opened
}

func newUpstream(entry catalog.Upstream, region string) *upstream {
	return &upstream{
		Upstream: entry, region: region, slots: max(entry.Slots, 1),
		slowness: 1, trust: 1,
		coldSends: quota.NewWindow(time.Second),
	}
}

// suspect takes an unreachable upstream for one that is starting: its objects are
// forgotten and it is treated as cold, also by a host that can't read its entry.
func (u *upstream) suspect(now boottime.Instant, coldStart time.Duration) {
	u.memory.forget()
	if coldStart > 0 {
		u.ColdUntil = max(u.ColdUntil, now.Add(coldStart))
	}
}

func (u *upstream) cold(now boottime.Instant) bool { return now.Before(u.ColdUntil) }

// occupancy is the expected number of requests at the upstream.
func (u *upstream) occupancy(now boottime.Instant) float64 {
	others := u.others * decay(now.Sub(u.reported), loadMemory)
	if now.Sub(u.toldAt) <= tellTerm {
		others = max(others, u.neighbours)
	}
	return float64(u.inflight) + others
}

func (u *upstream) report(load Load, now boottime.Instant) {
	if load.Slots > 0 {
		u.slots = load.Slots
	}
	others := max(0, float64(load.Running+load.Waiting-u.inflight))
	u.others = (u.others*decay(now.Sub(u.reported), loadMemory) + others) / 2
	u.reported = now
}

func (u *upstream) currentTrust(now boottime.Instant) float64 {
	return 1 - (1-u.trust)*decay(now.Sub(u.trustAt), trustRecovery)
}

func (u *upstream) succeeded(now boottime.Instant) {
	t := u.currentTrust(now)
	u.trust, u.trustAt = t+successWeight*(1-t), now
}

func (u *upstream) failed(now boottime.Instant) {
	u.trust, u.trustAt = u.currentTrust(now)*(1-failureWeight), now
}

func (u *upstream) currentSlowness(now boottime.Instant) float64 {
	return 1 + (u.slowness-1)*decay(now.Sub(u.slownessAt), slownessRecovery)
}

// observe takes the ratio of observed to expected work.
func (u *upstream) observe(ratio float64, now boottime.Instant) {
	ratio = min(max(ratio, 0.3), 20)
	s := u.currentSlowness(now)
	u.slowness, u.slownessAt = s+slownessWeight*(ratio-s), now
}

func decay(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(memory))
}
