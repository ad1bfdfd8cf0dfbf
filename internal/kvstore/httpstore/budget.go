package httpstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retryBudgetMax     = 10.0 // most retries available at once
	retryBudgetPerCall = 0.1  // retries added by one call
	backoffMin         = 20 * time.Millisecond
	backoffMax         = 500 * time.Millisecond
)

// retryBudget limits the retries to a fraction of the calls. It is safe for concurrent
// use.
type retryBudget struct {
	mu        sync.Mutex
	available float64 // guarded by mu
}

func newRetryBudget() *retryBudget {
	return &retryBudget{available: retryBudgetMax}
}

// deposit adds the retries earned by one call, up to retryBudgetMax.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retryBudgetPerCall, retryBudgetMax)
}

// withdraw takes one retry from the budget and reports whether one was available.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// backoff returns the time to wait, with jitter, before a retry. Attempts count from 1.
func backoff(attempt int) time.Duration {
	maxJitter := min(backoffMin<<min(attempt, 10), backoffMax)
	return backoffMin + rand.N(maxJitter)
}
