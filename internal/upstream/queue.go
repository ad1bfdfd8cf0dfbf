package upstream

import (
	"time"

	"peridotrail/internal/configuration"
)

// Bounds of the queue.
const (
	// alertStreak is how many alert waiters may be served in a row while normal
	// ones wait.
	alertStreak = 3
	// queueDepthPerSlot bounds the waiters of a service per slot of this host.
	queueDepthPerSlot = 8
	// minQueueDepth is the smallest bound of a service's queue.
	minQueueDepth = 64
	// maxAccountQueueShare is the largest share of the queue one account may hold.
	maxAccountQueueShare = 0.5
)

// waiter is one request in the queue of a service.
type waiter struct {
	work        Work
	latestStart time.Time // zero: no bound
	enqueued    time.Time
	decided     chan decision // capacity 1
}

// decision ends the wait of a waiter.
type decision struct {
	permit *Permit
	err    *RefusedError
}

// flow is the backlog and the fair-queueing state of one client account.
type flow struct {
	account string
	weight  float64
	start   float64 // start tag of the next request, in slot-seconds per weight
	waiting []*waiter
}

// class is a start-time fair queue over client accounts.
type class struct {
	virtual float64
	flows   map[string]*flow
	waiting int
}

// fairQueue holds the waiters of one service: alert routes first within a
// bound, then weighted fair between accounts. It is not safe for concurrent use.
type fairQueue struct {
	alert  class
	normal class
	streak int
	limit  int
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
func (q *fairQueue) len() int { return q.alert.waiting + q.normal.waiting }

// setSlots adapts the bound of the queue to the slots of this host.
func (q *fairQueue) setSlots(slots int) {
	q.limit = max(minQueueDepth, slots*queueDepthPerSlot)
}

// push adds w. When the queue is full, the account with the largest backlog per
// weight gives way: the result is the waiter that was displaced, w itself if its
// own account is the one, or nil.
func (q *fairQueue) push(w *waiter) *waiter {
	c := q.classOf(&w.work)
	f := c.flow(w.work.Account, w.work.Weight)
	if float64(len(f.waiting)) >= maxAccountQueueShare*float64(q.limit) {
		return w
	}
	c.add(f, w)
	if q.len() <= q.limit {
		return nil
	}
	return q.displace(w.work.Priority)
}

// displace removes the newest waiter of the account with the largest backlog
// per weight. Alert waiters give way to alert waiters only.
func (q *fairQueue) displace(arrived configuration.Priority) *waiter {
	c := &q.normal
	if c.waiting == 0 || (arrived == configuration.PriorityAlert && q.alert.waiting > q.limit/2) {
		c = &q.alert
	}
	var largest *flow
	for _, f := range c.flows {
		if len(f.waiting) > 0 && (largest == nil || f.backlog() > largest.backlog() ||
			(f.backlog() == largest.backlog() && f.account < largest.account)) {
			largest = f
		}
	}
	last := largest.waiting[len(largest.waiting)-1]
	q.remove(last)
	return last
}

// pop removes the waiter whose turn it is and charges its account with cost,
// the expected slot time in seconds. eligible filters waiters; the first waiter
// of each account is considered.
func (q *fairQueue) pop(cost float64, eligible func(*waiter) bool) *waiter {
	first, second := &q.alert, &q.normal
	if q.streak >= alertStreak && q.normal.waiting > 0 {
		first, second = second, first
	}
	for _, c := range []*class{first, second} {
		if w := c.pop(cost, eligible); w != nil {
			q.countStreak(c)
			return w
		}
	}
	return nil
}

func (q *fairQueue) countStreak(served *class) {
	if served == &q.alert && q.normal.waiting > 0 {
		q.streak++
		return
	}
	q.streak = 0
}

// remove takes w out of the queue and reports whether it was there.
func (q *fairQueue) remove(w *waiter) bool {
	c := q.classOf(&w.work)
	f := c.flows[w.work.Account]
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			c.waiting--
			return true
		}
	}
	return false
}

// expired removes and returns the waiters that can no longer be answered in time.
func (q *fairQueue) expired(now time.Time) []*waiter {
	var late []*waiter
	for _, c := range []*class{&q.alert, &q.normal} {
		for _, f := range c.flows {
			for _, w := range f.waiting {
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

// oldest returns how long the oldest waiter has waited; zero if there is none.
func (q *fairQueue) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range []*class{&q.alert, &q.normal} {
		for _, f := range c.flows {
			if len(f.waiting) > 0 {
				oldest = max(oldest, now.Sub(f.waiting[0].enqueued))
			}
		}
	}
	return oldest
}

// charge counts work that runs without having waited.
func (q *fairQueue) charge(work *Work, cost float64) {
	c := q.classOf(work)
	c.serve(c.flow(work.Account, work.Weight), cost)
}

// correct adds the difference between the real and the expected slot time of a
// finished request to its account.
func (q *fairQueue) correct(work *Work, difference float64) {
	c := q.classOf(work)
	if f := c.flows[work.Account]; f != nil {
		f.start = max(f.start+difference/f.weight, 0)
	}
}

// ahead estimates how many waiters are served before a new one of the account.
func (q *fairQueue) ahead(work *Work) float64 {
	c := q.classOf(work)
	total := float64(q.len())
	if c == &q.alert {
		total = float64(q.alert.waiting) * (alertStreak + 1) / alertStreak
	}
	own, weights := 0.0, float64(weightOf(work.Weight))
	for _, f := range c.flows {
		if f.account == work.Account {
			own = float64(len(f.waiting))
			continue
		}
		if len(f.waiting) > 0 {
			weights += f.weight
		}
	}
	fair := (own + 1) * weights / float64(weightOf(work.Weight))
	if c == &q.normal && q.alert.waiting > 0 {
		fair *= alertStreak + 1
	}
	return min(total, fair)
}

func (c *class) flow(account string, weight int) *flow {
	f := c.flows[account]
	if f == nil {
		c.forgetIdle()
		f = &flow{account: account}
		c.flows[account] = f
	}
	f.weight = float64(weightOf(weight))
	return f
}

func (c *class) add(f *flow, w *waiter) {
	if len(f.waiting) == 0 {
		f.start = max(f.start, c.virtual)
	}
	f.waiting = append(f.waiting, w)
	c.waiting++
}

func (c *class) pop(cost float64, eligible func(*waiter) bool) *waiter {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiting) == 0 || !eligible(f.waiting[0]) {
			continue
		}
		if best == nil || f.start < best.start || (f.start == best.start && f.account < best.account) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiting[0]
	best.waiting = best.waiting[1:]
	c.waiting--
	c.serve(best, cost)
	return w
}

func (c *class) serve(f *flow, cost float64) {
	f.start = max(f.start, c.virtual)
	c.virtual = f.start
	f.start += cost / f.weight
}

// idleFlowLimit is the number of flows from which idle ones are forgotten.
const idleFlowLimit = 256

func (c *class) forgetIdle() {
	if len(c.flows) < idleFlowLimit {
		return
	}
	for account, f := range c.flows {
		if len(f.waiting) == 0 && f.start <= c.virtual {
			delete(c.flows, account)
		}
	}
}

func (f *flow) backlog() float64 { return float64(len(f.waiting)) / f.weight }

func weightOf(weight int) int { return max(1, weight) }
