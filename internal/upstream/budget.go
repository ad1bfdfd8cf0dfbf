package upstream

import (
	"sync"
	"time"
)

// Settings of the budgets.
const (
	egressBurst     = time.Second // of the rate
	retryPerRequest = 0.1         // retries that one first attempt allows
	maxRetryBalance = 20.0        // retries
	initialRetries  = 3.0
	unlimitedEgress = 0
)

// egress is a token bucket for the bytes that this host sends to other regions.
// Bytes are known only after a relay, so the bucket may go into debt; no relay
// starts until the debt is paid. It is safe for concurrent use.
type egress struct {
	mu     sync.Mutex
	rate   float64 // bytes per second; zero: unlimited
	tokens float64 // bytes
	last   time.Time
}

// setRate changes the rate of this host.
func (e *egress) setRate(bytesPerSecond float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	e.rate = bytesPerSecond
	e.tokens = min(e.tokens, e.burst())
}

// open reports whether a relay to another region may start.
func (e *egress) open(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	return e.rate == unlimitedEgress || e.tokens > 0
}

// spend takes the bytes of a relay that ended.
func (e *egress) spend(bytes int64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refill(now)
	e.tokens -= float64(bytes)
}

// refill adds the bytes of the time that passed. The caller holds e.mu.
func (e *egress) refill(now time.Time) {
	if e.last.IsZero() {
		e.last = now
		e.tokens = e.burst()
		return
	}
	if passed := now.Sub(e.last); passed > 0 {
		e.tokens = min(e.burst(), e.tokens+e.rate*passed.Seconds())
		e.last = now
	}
}

func (e *egress) burst() float64 { return e.rate * egressBurst.Seconds() }

// retryBudget bounds retries to a share of the first attempts of a service.
type retryBudget struct {
	balance float64
	started bool
}

// attempt counts one first attempt.
func (b *retryBudget) attempt() {
	b.start()
	b.balance = min(maxRetryBalance, b.balance+retryPerRequest)
}

// withdraw takes one retry and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.start()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *retryBudget) start() {
	if !b.started {
		b.started = true
		b.balance = initialRetries
	}
}
