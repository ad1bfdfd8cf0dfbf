package httpstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retryBudgetMax     = 10.0 // retries
	retryBudgetPerCall = 0.1  // retries earned by one call
	backoffMin         = 20 * time.Millisecond
	backoffMax         = 500 * time.Millisecond
)

// retryBudget bounds the retries to a fraction of the calls.
type retryBudget struct {
	mu   sync.Mutex
	left float64 // guarded by mu
}

func newRetryBudget() *retryBudget {
	return &retryBudget{left: retryBudgetMax}
}

// earn credits one call.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryBudgetPerCall, retryBudgetMax)
}

// spend reports whether one retry is allowed and debits it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// backoff returns the jittered pause before retry number attempt, from 1 on.
func backoff(attempt int) time.Duration {
	ceiling := min(backoffMin<<min(attempt, 10), backoffMax)
	return backoffMin + rand.N(ceiling)
}
