package upstream

import (
	"time"

	"peridotrail/internal/configuration"
)

// Bounds of the queue.
const (
	// maxAlertStreak is how many alert waiters are served in a row while normal
	// waiters are queued.
	maxAlertStreak = 3
	// queueDepthPerSlot is the maximum queue length of a service per slot of this
	// host.
	queueDepthPerSlot = 8
	// minQueueDepth is the maximum queue length of a service with few slots.
	minQueueDepth = 64
	// maxAccountQueueFraction is the largest fraction of the queue that one account may
	// occupy.
	maxAccountQueueFraction = 0.5
)

// waiter is one request in the queue of a service.
type waiter struct {
	work        Work
	latestStart time.Time // refused if it has not started by then; zero: no limit
	enqueued    time.Time
	decided     chan decision // capacity 1
}

// decision is the result of a wait: either a permit or a refusal.
type decision struct {
	permit *Permit
	err    *RefusedError
}

// flow is the backlog and the fair-queueing state of one client account.
type flow struct {
	account  string
	weight   float64
	startTag float64 // virtual start time of the next request, in slot-seconds per weight
	waiters  []*waiter
}

// class is a start-time fair queue over the client accounts of one priority.
type class struct {
	virtualTime float64
	flows       map[string]*flow
	waiterCount int
}

// fairQueue holds the waiters of one service. Alert routes are served first, but at
// most maxAlertStreak in a row while others wait; within a priority, accounts are
// served fairly by weight. It is not safe for concurrent use.
type fairQueue struct {
	alert       class
	normal      class
	alertStreak int
	limit       int
}

func newFairQueue() *fairQueue {
	return &fairQueue{
		alert:  class{flows: map[string]*flow{}},
		normal: class{flows: map[string]*flow{}},
		limit:  minQueueDepth,
	}
}

func (q *fairQueue) classOf(work *Work) *class {
	if work.Priority == configuration.PriorityAlert {
		return &q.alert
	}
	return &q.normal
}

// len returns the number of waiters.
func (q *fairQueue) len() int { return q.alert.waiterCount + q.normal.waiterCount }

// setSlots sets the maximum length of the queue for the given number of slots.
func (q *fairQueue) setSlots(slots int) {
	q.limit = max(minQueueDepth, slots*queueDepthPerSlot)
}

// push adds w. If the queue is full, it removes the newest waiter of the account
// with the largest backlog per weight, and returns it; this may be w itself. It also
// returns w if its account has reached its share of the queue, and nil if no waiter
// was displaced.
func (q *fairQueue) push(w *waiter) *waiter {
	c := q.classOf(&w.work)
	f := c.flow(w.work.Account, w.work.Weight)
	if float64(len(f.waiters)) >= maxAccountQueueFraction*float64(q.limit) {
		return w
	}
	c.add(f, w)
	if q.len() <= q.limit {
		return nil
	}
	return q.displace(w.work.Priority)
}

// displace removes and returns the newest waiter of the account with the largest
// backlog per weight. Alert waiters are displaced by alert waiters only.
func (q *fairQueue) displace(arrived configuration.Priority) *waiter {
	c := &q.normal
	if c.waiterCount == 0 || (arrived == configuration.PriorityAlert && q.alert.waiterCount > q.limit/2) {
		c = &q.alert
	}
	var largest *flow
	for _, f := range c.flows {
		if len(f.waiters) > 0 && (largest == nil || f.weightedBacklog() > largest.weightedBacklog() ||
			(f.weightedBacklog() == largest.weightedBacklog() && f.account < largest.account)) {
			largest = f
		}
	}
	last := largest.waiters[len(largest.waiters)-1]
	q.remove(last)
	return last
}

// pop removes and returns the next waiter, and charges its account with cost, the
// expected slot time in seconds. Only the first waiter of each account is considered,
// and only if eligible accepts it; pop returns nil if there is none.
func (q *fairQueue) pop(cost float64, eligible func(*waiter) bool) *waiter {
	first, second := &q.alert, &q.normal
	if q.alertStreak >= maxAlertStreak && q.normal.waiterCount > 0 {
		first, second = second, first
	}
	for _, c := range []*class{first, second} {
		if w := c.pop(cost, eligible); w != nil {
			q.updateAlertStreak(c)
			return w
		}
	}
	return nil
}

func (q *fairQueue) updateAlertStreak(served *class) {
	if served == &q.alert && q.normal.waiterCount > 0 {
		q.alertStreak++
		return
	}
	q.alertStreak = 0
}

// remove removes w and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	c := q.classOf(&w.work)
	f := c.flows[w.work.Account]
	if f == nil {
		return false
	}
	for i, other := range f.waiters {
		if other == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			c.waiterCount--
			return true
		}
	}
	return false
}

// removeExpired removes and returns the waiters whose latest start has passed.
func (q *fairQueue) removeExpired(now time.Time) []*waiter {
	var late []*waiter
	for _, c := range []*class{&q.alert, &q.normal} {
		for _, f := range c.flows {
			for _, w := range f.waiters {
				if !w.latestStart.IsZero() && now.After(w.latestStart) {
					late = append(late, w)
				}
			}
		}
	}
	for _, w := range late {
		q.remove(w)
	}
	return late
}

// oldestWait returns how long the oldest waiter has waited, or zero if the queue is
// empty.
func (q *fairQueue) oldestWait(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range []*class{&q.alert, &q.normal} {
		for _, f := range c.flows {
			if len(f.waiters) > 0 {
				oldest = max(oldest, now.Sub(f.waiters[0].enqueued))
			}
		}
	}
	return oldest
}

// charge charges an account for a request that starts without having been queued.
func (q *fairQueue) charge(work *Work, cost float64) {
	c := q.classOf(work)
	c.charge(c.flow(work.Account, work.Weight), cost)
}

// correctCharge charges an account with the difference in seconds between the actual
// and the expected slot time of a finished request.
func (q *fairQueue) correctCharge(work *Work, difference float64) {
	c := q.classOf(work)
	if f := c.flows[work.Account]; f != nil {
		f.startTag = max(f.startTag+difference/f.weight, 0)
	}
}

// waitersAhead estimates how many waiters are served before work would be, if it
// were queued now.
func (q *fairQueue) waitersAhead(work *Work) float64 {
	c := q.classOf(work)
	total := float64(q.len())
	if c == &q.alert {
		total = float64(q.alert.waiterCount) * (maxAlertStreak + 1) / maxAlertStreak
	}
	own, weights := 0.0, float64(effectiveWeight(work.Weight))
	for _, f := range c.flows {
		if f.account == work.Account {
			own = float64(len(f.waiters))
			continue
		}
		if len(f.waiters) > 0 {
			weights += f.weight
		}
	}
	fair := (own + 1) * weights / float64(effectiveWeight(work.Weight))
	if c == &q.normal && q.alert.waiterCount > 0 {
		fair *= maxAlertStreak + 1
	}
	return min(total, fair)
}

func (c *class) flow(account string, weight int) *flow {
	f := c.flows[account]
	if f == nil {
		c.removeIdleFlows()
		f = &flow{account: account}
		c.flows[account] = f
	}
	f.weight = float64(effectiveWeight(weight))
	return f
}

func (c *class) add(f *flow, w *waiter) {
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
	}
	f.waiters = append(f.waiters, w)
	c.waiterCount++
}

func (c *class) pop(cost float64, eligible func(*waiter) bool) *waiter {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiters) == 0 || !eligible(f.waiters[0]) {
			continue
		}
		if best == nil || f.startTag < best.startTag || (f.startTag == best.startTag && f.account < best.account) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiters[0]
	best.waiters = best.waiters[1:]
	c.waiterCount--
	c.charge(best, cost)
	return w
}

func (c *class) charge(f *flow, cost float64) {
	f.startTag = max(f.startTag, c.virtualTime)
	c.virtualTime = f.startTag
	f.startTag += cost / f.weight
}

// idleFlowLimit is the number of flows at which idle ones are removed.
const idleFlowLimit = 256

func (c *class) removeIdleFlows() {
	if len(c.flows) < idleFlowLimit {
		return
	}
	for account, f := range c.flows {
		if len(f.waiters) == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, account)
		}
	}
}

func (f *flow) weightedBacklog() float64 { return float64(len(f.waiters)) / f.weight }

func effectiveWeight(weight int) int { return max(1, weight) }
