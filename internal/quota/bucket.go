// Package quota bounds how much one host uses of limits that all hosts share.
//
// Each host has a fixed share of a limit, so that the shares never exceed the limit,
// even if hosts can't reach each other. Tokens may move between hosts: the lender
// deducts them before the borrower adds them, so a lost message loses tokens and
// never duplicates them.
//
// All types work without I/O and take the time from the caller. They are not safe
// for concurrent use.
package quota

import (
	"math"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/invariant"
)

const (
	// BorrowedTokenTTL is how long borrowed tokens can be spent. It limits how many
	// tokens exist in addition to those in the lenders' buckets.
	BorrowedTokenTTL = 800 * time.Millisecond
	// borrowHorizon is the period for whose expected demand a host borrows tokens.
	borrowHorizon = 600 * time.Millisecond
	// reserveHorizon is the period for whose expected demand a lender keeps tokens.
	reserveHorizon = 400 * time.Millisecond
	// minRetryAfter is the shortest wait that callers are advised of, so that they
	// don't retry before tokens can have accrued.
	minRetryAfter = 100 * time.Millisecond
	// unknownRateWait is the wait where the rate is not known yet; hosts know it within a second
	// of their start.
	unknownRateWait = time.Second
	// demandTimeConstant is the time constant of the exponential average of a bucket's
	// demand.
	demandTimeConstant = 700 * time.Millisecond
)

// Bucket is a token bucket with a host's share of the rate and burst of a client
// account. The zero value has no share.
//
// What all buckets of an account spend within a window is at most the rate times the window
// plus their bursts: each part of the rate accrues at one host at any time, a new holder of
// a part begins without tokens, and lent tokens are deducted before they are added elsewhere.
type Bucket struct {
	rate        float64 // tokens per second
	burst       float64 // tokens
	tokens      float64
	refilledAt  boottime.Instant
	initialized bool
	suspended   bool // own tokens may not be spent now

	borrowed      float64
	borrowedUntil boottime.Instant

	demand     float64 // requests per second, an exponential average
	regionRate float64 // rate of all hosts of the region, in tokens per second

	nextReturn boottime.Instant // earliest return of the next refused caller
}

// SetLimit sets the host's share: rate in tokens per second and burst in tokens. A
// new bucket starts empty, because an earlier process of the host may have just
// spent its tokens. A larger burst adds no tokens; tokens above a smaller burst are
// dropped.
func (b *Bucket) SetLimit(rate, burst float64, now boottime.Instant) {
	if !b.initialized {
		b.initialized, b.refilledAt = true, now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// SetShare replaces the host's share. kept is the rate and burst of what the host has held
// without a gap since the last call with a time; what accrued beyond that is dropped, as
// another host may have held it meanwhile. share is the rate and burst from now on.
func (b *Bucket) SetShare(kept, share Share, now boottime.Instant) {
	b.rate = min(b.rate, kept.Rate)
	b.SetLimit(kept.Rate, kept.Burst, now)
	b.SetLimit(share.Rate, share.Burst, now)
}

// Share is a host's share of an account's rate.
type Share struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// Suspend stops or resumes spending and lending of the host's own tokens. They go on to
// accrue: the host holds its share, but can't be sure of that for the moment.
func (b *Bucket) Suspend(suspended bool) { b.suspended = suspended }

// RefilledAt returns the instant up to which tokens have accrued.
func (b *Bucket) RefilledAt() boottime.Instant { return b.refilledAt }

// own returns the tokens of the host's own share that it may spend.
func (b *Bucket) own() float64 {
	if b.suspended {
		return 0
	}
	return b.tokens
}

// SetRegionRate sets the rate that all hosts of the region have together, in tokens
// per second. A host without a share estimates waits by it.
func (b *Bucket) SetRegionRate(rate float64) { b.regionRate = rate }

// RecordDemand adds a request that needs a token to the average demand.
func (b *Bucket) RecordDemand(now boottime.Instant) {
	b.refill(now)
	b.demand += 1 / demandTimeConstant.Seconds()
}

// Take spends one token, a borrowed one first. It reports whether there was one.
func (b *Bucket) Take(now boottime.Instant) bool {
	b.refill(now)
	if b.borrowed >= 1 {
		b.borrowed--
		return true
	}
	if b.own() >= 1 {
		invariant.Check(b.tokens <= b.burst, invariant.RateWithinLimit, "%v tokens of a burst of %v", b.tokens, b.burst)
		b.tokens--
		return true
	}
	return false
}

// ReturnAfter returns the time after which the caller of a refused request may return, at least
// minRetryAfter. Each refused caller gets the time of another token that will accrue, so that they
// don't return together. One for whom that is later than longest, which is as long as it would
// wait, gets the estimated wait instead. ReturnAfter is called once for each refused request.
func (b *Bucket) ReturnAfter(longest time.Duration, now boottime.Instant) time.Duration {
	b.refill(now)
	wait := max(minRetryAfter, b.estimatedWait())
	at := max(now.Add(wait), b.nextReturn)
	rate := b.expectedRate()
	if rate <= 0 || at.Sub(now) > longest {
		return wait
	}
	b.nextReturn = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now)
}

// OwnTokenDelay returns the estimated time until a new request gets a token of this
// host's own share. It is zero if the host has no share.
func (b *Bucket) OwnTokenDelay(now boottime.Instant) time.Duration {
	b.refill(now)
	if b.rate <= 0 || b.burst < 1 || b.suspended {
		return 0
	}
	return b.estimatedWait()
}

// estimatedWait returns the time until the next token accrues, multiplied by the
// ratio of demand to rate if that is above 1, because other requests compete for the
// token. The wait is unknownRateWait if the rate is unknown.
func (b *Bucket) estimatedWait() time.Duration {
	rate := b.expectedRate()
	if rate <= 0 {
		return unknownRateWait
	}
	return time.Duration((1 - b.tokens) / rate * max(1, b.demand/rate) * float64(time.Second))
}

// expectedRate returns the rate at which tokens are expected. A host without a share uses that of
// its region.
func (b *Bucket) expectedRate() float64 {
	if b.rate > 0 {
		return b.rate
	}
	return b.regionRate
}

// Rate returns this host's share of the rate, in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Tokens returns the tokens held, including borrowed ones, as of the last call with a
// time.
func (b *Bucket) Tokens() float64 { return b.tokens + b.borrowed }

// DemandRate returns the average demand, in requests per second.
func (b *Bucket) DemandRate() float64 { return b.demand }

// Refund puts back the token of a request that was not sent.
func (b *Bucket) Refund() { b.tokens = min(b.tokens+1, b.burst) }

// TokensToBorrow returns how many whole tokens to borrow now: the demand of
// borrowHorizon less what the bucket holds and will accrue. waiting tells that a request
// waits for a token; then it is at least one. Otherwise less than a whole token is not
// borrowed: a host with few requests would let it expire while others lack it.
func (b *Bucket) TokensToBorrow(waiting bool, now boottime.Instant) float64 {
	b.refill(now)
	accruing := b.rate * borrowHorizon.Seconds()
	if b.suspended {
		accruing = 0
	}
	need := b.demand*borrowHorizon.Seconds() - b.own() - b.borrowed - accruing
	if waiting {
		return math.Ceil(max(need, 1))
	}
	return max(0, math.Floor(need))
}

// Lend deducts up to want whole tokens that this host does not need for its own
// requests, and returns how many it deducted.
func (b *Bucket) Lend(want float64, now boottime.Instant) float64 {
	b.refill(now)
	excess := max(0, b.demand-b.rate) * reserveHorizon.Seconds()
	reserve := math.Floor(excess + min(b.demand*reserveHorizon.Seconds(), b.tokens/2))
	granted := math.Floor(min(want, b.own()-reserve))
	if granted < 1 {
		return 0
	}
	b.tokens -= granted
	return granted
}

// Borrow adds tokens that another host has deducted. They expire after
// BorrowedTokenTTL, and so do the tokens borrowed before: each call restarts the time
// for all of them.
func (b *Bucket) Borrow(granted float64, now boottime.Instant) {
	b.refill(now)
	b.borrowed += granted
	b.borrowedUntil = now.Add(BorrowedTokenTTL)
}

// refill adds the tokens accrued up to now, decays the average demand, and drops
// expired borrowed tokens.
func (b *Bucket) refill(now boottime.Instant) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
		b.refilledAt = now
	}
	if b.borrowed > 0 && b.borrowedUntil.Before(now) {
		b.borrowed = 0
	}
}
