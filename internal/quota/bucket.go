// Package quota bounds what one host spends of limits that all hosts share.
//
// Each host spends a fixed part of a limit, so that the parts never exceed the
// whole whatever the hosts can hear of each other. Tokens may move between hosts:
// the giver deducts them before the receiver adds them, so that a lost message
// loses tokens and never doubles them.
//
// All types are pure and not safe for concurrent use; time comes from the caller.
package quota

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/invariant"
)

const (
	// BorrowTerm is how long borrowed tokens can be spent. It bounds the tokens
	// that exist beside those of the buckets.
	BorrowTerm = 800 * time.Millisecond
	// borrowSpan is the time for which a host asks for tokens in advance.
	borrowSpan = 600 * time.Millisecond
	// reserveSpan is the time for which a lender keeps tokens for its own requests.
	reserveSpan = 400 * time.Millisecond
	// leastReturn keeps callers from asking again before anything has changed.
	leastReturn = 100 * time.Millisecond
	// demandMemory is the time over which the demand on a bucket is averaged.
	demandMemory = 700 * time.Millisecond
)

// Bucket is a host's part of the rate and burst of a client account.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64 // tokens
	tokens float64
	at     boottime.Instant
	set    bool

	borrowed      float64
	borrowedUntil boottime.Instant

	demand float64 // requests a second, averaged
	pool   float64 // rate of the region, tokens a second
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

// SetPool tells the rate that all hosts of the region have together. A host without
// a part advises callers by it.
func (b *Bucket) SetPool(rate float64) { b.pool = rate }

// Demand counts a request that wants a token.
func (b *Bucket) Demand(now boottime.Instant) {
	b.refill(now)
	b.demand += 1 / demandMemory.Seconds()
}

// Take spends one token. If there is none it returns the time after which a caller
// may come back: until its turn among all that ask now.
func (b *Bucket) Take(now boottime.Instant) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.borrowed >= 1 {
		b.borrowed--
		return true, 0
	}
	if b.tokens >= 1 {
		invariant.Check(b.tokens <= b.burst, invariant.RateWithinWhole, "%v tokens of a burst of %v", b.tokens, b.burst)
		b.tokens--
		return true, 0
	}
	return false, max(leastReturn, b.turn())
}

// Due returns the time until the turn of one that asks now, by this host's own
// tokens. It is zero if the host has no part.
func (b *Bucket) Due(now boottime.Instant) time.Duration {
	b.refill(now)
	if b.rate <= 0 || b.burst < 1 {
		return 0
	}
	return b.turn()
}

// turn is the time until one more token has accrued for each of those that ask. A
// host without a part goes by the rate of its region.
func (b *Bucket) turn() time.Duration {
	rate := b.rate
	if rate <= 0 {
		rate = b.pool
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - b.tokens) / rate * max(1, b.demand/rate) * float64(time.Second))
}

// Rate returns this host's part of the rate, in tokens a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Tokens returns the tokens that were left at the last change, borrowed ones
// included.
func (b *Bucket) Tokens() float64 { return b.tokens + b.borrowed }

// WantedRate returns the averaged demand, in requests a second.
func (b *Bucket) WantedRate() float64 { return b.demand }

// Return gives back a token whose request was not sent.
func (b *Bucket) Return() { b.tokens = min(b.tokens+1, b.burst) }

// Wanted returns the tokens to borrow now, zero if the bucket can do without.
func (b *Bucket) Wanted(now boottime.Instant) float64 {
	b.refill(now)
	need := b.demand*borrowSpan.Seconds() - b.tokens - b.borrowed - b.rate*borrowSpan.Seconds()
	if need <= 0 && b.tokens+b.borrowed >= 1 {
		return 0
	}
	return math.Ceil(max(need, 1))
}

// Lend deducts up to want whole tokens that this host does not need itself.
func (b *Bucket) Lend(want float64, now boottime.Instant) float64 {
	b.refill(now)
	excess := max(0, b.demand-b.rate) * reserveSpan.Seconds()
	reserve := math.Floor(excess + min(b.demand*reserveSpan.Seconds(), b.tokens/2))
	granted := math.Floor(min(want, b.tokens-reserve))
	if granted < 1 {
		return 0
	}
	b.tokens -= granted
	return granted
}

// Borrow adds tokens that another host has deducted.
func (b *Bucket) Borrow(granted float64, now boottime.Instant) {
	b.refill(now)
	b.borrowed += granted
	b.borrowedUntil = now.Add(BorrowTerm)
}

func (b *Bucket) refill(now boottime.Instant) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.demand *= math.Exp(-float64(elapsed) / float64(demandMemory))
		b.at = now
	}
	if b.borrowed > 0 && b.borrowedUntil.Before(now) {
		b.borrowed = 0
	}
}
