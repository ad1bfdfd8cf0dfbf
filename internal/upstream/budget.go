package upstream

import (
	"sync"
	"time"
)

// Settings of the egress and retry budgets.
const (
	egressBurstDuration = time.Second // time at the full rate that the bucket holds
	retriesPerAttempt   = 0.1         // retries credited per first attempt
	maxRetryBalance     = 20.0        // retries
	initialRetryBalance = 3.0
	unlimitedEgress     = 0
)

// egressBudget is a token bucket for the bytes that this host sends to other
// regions. The size of a relay is known only when it ends, so the balance may
// become negative; no relay starts until it is positive again. egressBudget is
// safe for concurrent use.
type egressBudget struct {
	mu     sync.Mutex
	rate   float64 // bytes per second; zero: unlimited
	tokens float64 // bytes
	last   time.Time
}

// setRate sets the rate of this host; zero means unlimited.
func (e *egressBudget) setRate(bytesPerSecond float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	e.rate = bytesPerSecond
	e.tokens = min(e.tokens, e.burst())
}

// available reports whether a relay to another region may start.
func (e *egressBudget) available(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	return e.rate == unlimitedEgress || e.tokens > 0
}

// spend deducts the bytes of a relay that ended.
func (e *egressBudget) spend(bytes int64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	e.tokens -= float64(bytes)
}

// refill adds the tokens for the time since the last call. The caller holds e.mu.
func (e *egressBudget) refill(now time.Time) {
	if e.last.IsZero() {
		e.last = now
		e.tokens = e.burst()
		return
	}
	if elapsed := now.Sub(e.last); elapsed > 0 {
		e.tokens = min(e.burst(), e.tokens+e.rate*elapsed.Seconds())
		e.last = now
	}
}

func (e *egressBudget) burst() float64 { return e.rate * egressBurstDuration.Seconds() }

// retryBudget limits retries to a fraction of the first attempts of a service.
type retryBudget struct {
	balance float64
	started bool
}

// recordAttempt credits the budget for one first attempt.
func (b *retryBudget) recordAttempt() {
	b.ensureStarted()
	b.balance = min(maxRetryBalance, b.balance+retriesPerAttempt)
}

// takeRetry deducts one retry from the balance and reports whether the balance
// allowed it.
func (b *retryBudget) takeRetry() bool {
	b.ensureStarted()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *retryBudget) ensureStarted() {
	if !b.started {
		b.started = true
		b.balance = initialRetryBalance
	}
}
