// Package quota bounds what one host spends of limits that all hosts share.
//
// Each host spends a fixed part of a limit, so that the parts never exceed the
// whole whatever the hosts can hear of each other. All types are pure and not
// safe for concurrent use; time comes from the caller.
package quota

import (
	"time"

	"peridotrail/internal/boottime"
)

// Bucket is a host's part of the rate and burst of a client account.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64 // tokens
	tokens float64
	at     boottime.Instant
	set    bool
}

// SetLimit changes the host's part. A new bucket starts empty: an earlier process
// of the host may have just spent its part. A part that grows grows empty, one
// that shrinks is clipped.
func (b *Bucket) SetLimit(rate, burst float64, now boottime.Instant) {
	if !b.set {
		b.set, b.at = true, now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take spends one token. If there is none it returns the time until there is.
func (b *Bucket) Take(now boottime.Instant) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// Return gives back a token whose request was not sent.
func (b *Bucket) Return() { b.tokens = min(b.tokens+1, b.burst) }

func (b *Bucket) refill(now boottime.Instant) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.at = now
	}
}
