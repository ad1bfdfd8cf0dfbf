package distribution

import (
	"math/rand/v2"
	"sync"
	"time"
)

// random is a seeded random source. It is safe for concurrent use.
type random struct {
	mu     sync.Mutex // guards source; never held across I/O
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, seed))}
}

// intN returns a number from 0 to n-1.
func (r *random) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// jitter returns a duration between three quarters and five quarters of d.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.source.Int64N(int64(d/2)+1))
}
