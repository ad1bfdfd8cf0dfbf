package allotment

import (
	"math"
	"slices"
	"time"

	"peridotrail/internal/invariant"
)

// LoanID numbers the loans of one lender.
type LoanID uint64

// Loan is a number of tokens lent to another host. The borrower may spend them
// until Term after it asked.
type Loan struct {
	ID     LoanID        `cbor:"1,keyasint"`
	Tokens float64       `cbor:"2,keyasint"`
	Term   time.Duration `cbor:"3,keyasint"`
}

// given is a loan as the lender counts it.
type given struct {
	tokens float64
	end    time.Time // the borrower's term is surely over
}

// Bucket is the token bucket of one host's share of a client account. It starts
// without tokens and admits only while its term lasts.
//
// Tokens held here and tokens lent to others never exceed the burst together.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	filled time.Time // time up to which tokens have accrued
	until  time.Time // end of the term
	loans  map[LoanID]given
	lent   float64 // sum of loans
	lastID LoanID
	margin time.Duration
	rules  rules
}

// NewBucket returns a bucket without a share. Margin is the time that a lender
// waits after the end of a loan for differences between clocks.
func NewBucket(margin time.Duration) *Bucket {
	return &Bucket{margin: margin, loans: map[LoanID]given{}}
}

// StartLoans makes the next loan's number follow id, so that a new bucket of the
// same account repeats no number.
func (b *Bucket) StartLoans(id LoanID) { b.lastID = id }

// Share returns the current share.
func (b *Bucket) Share() Share { return Share{Rate: b.rate, Burst: b.burst} }

// Held returns the share that other hosts must regard as used here: the burst
// counts at least the tokens that are lent.
func (b *Bucket) Held() Share {
	return Share{Rate: b.rate, Burst: math.Max(b.burst, b.lent)}
}

// Until returns the end of the term.
func (b *Bucket) Until() time.Time { return b.until }

// Tokens returns the tokens that can be spent at now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Extend lets the bucket spend until the given time. A bucket whose term had
// ended before now starts again without tokens.
func (b *Bucket) Extend(now, until time.Time) {
	b.fill(now)
	if until.After(b.until) {
		b.until = until
	}
	if b.filled.Before(now) {
		b.filled = now
	}
}

// Resize changes the share. Tokens above the new burst are dropped; a larger
// burst adds none.
func (b *Bucket) Resize(now time.Time, share Share) {
	b.fill(now)
	grown := share.Burst - b.burst
	b.rate, b.burst = share.Rate, share.Burst
	if b.rules.skipEmptyStart && grown > 0 {
		b.tokens += grown
	}
	b.clip()
}

// fill adds the tokens accrued up to now, and drops all tokens if the term is over.
// While a loan is out, its tokens leave no room for others.
func (b *Bucket) fill(now time.Time) {
	if len(b.loans) > 0 {
		b.endLoans(now)
	}
	if !now.Before(b.until) {
		b.tokens = 0
		b.filled = now
		return
	}
	b.accrue(now)
}

// accrue adds the tokens of the time up to t.
func (b *Bucket) accrue(t time.Time) {
	elapsed := t.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = t
	b.tokens += b.rate * elapsed.Seconds()
	b.clip()
}

// clip keeps the tokens here and on loan within the burst.
func (b *Bucket) clip() {
	room := math.Max(b.burst-b.lent, 0)
	if b.rules.lendUncounted {
		room = b.burst
	}
	b.tokens = math.Min(b.tokens, room)
}

// Take spends one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	invariant.Check(b.tokens >= 0 && now.Before(b.until), invariant.RateWithinWhole, "spent after the end of the term")
	return true
}

// Wait returns the time after which a token accrues here, at most limit.
func (b *Bucket) Wait(now time.Time, limit time.Duration) time.Duration {
	b.fill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.rate <= 0 || b.burst-b.lent < 1 || !now.Before(b.until) {
		return limit
	}
	seconds := (1 - b.tokens) / b.rate
	if seconds >= limit.Seconds() {
		return limit
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Lend deducts up to want whole tokens, keeping reserve, for a loan of the given
// term. It lends nothing if the own term ends before the loan's.
func (b *Bucket) Lend(now time.Time, want, reserve float64, term time.Duration) (Loan, bool) {
	b.fill(now)
	tokens := math.Floor(math.Min(want, b.tokens-reserve))
	if tokens < 1 || now.Add(term).After(b.until) {
		return Loan{}, false
	}
	b.tokens -= tokens
	b.lastID++
	b.loans[b.lastID] = given{tokens: tokens, end: now.Add(term + b.margin)}
	b.lent += tokens
	invariant.Check(b.rules.lendUncounted || within(b.tokens+b.lent, math.Max(b.burst, b.lent)),
		invariant.RateWithinWhole, "tokens %v and loans %v exceed burst %v", b.tokens, b.lent, b.burst)
	return Loan{ID: b.lastID, Tokens: tokens, Term: term}, true
}

// Settle ends a loan. The borrower has given up the unspent tokens, which come
// back here. A repeated settlement has no effect.
func (b *Bucket) Settle(now time.Time, id LoanID, unspent float64) {
	b.fill(now)
	loan, ok := b.loans[id]
	if !ok {
		return
	}
	b.forget(id)
	if now.Before(b.until) {
		b.tokens += math.Max(math.Min(unspent, loan.tokens), 0)
	}
	b.clip()
}

// endLoans ends the loans whose term is surely over, each at its own time.
func (b *Bucket) endLoans(now time.Time) {
	var ended []LoanID
	for id, loan := range b.loans {
		if !now.Before(loan.end) {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, func(x, y LoanID) int { return b.loans[x].end.Compare(b.loans[y].end) })
	for _, id := range ended {
		b.accrue(b.loans[id].end)
		b.forget(id)
	}
}

func (b *Bucket) forget(id LoanID) {
	b.lent -= b.loans[id].tokens
	delete(b.loans, id)
	if len(b.loans) == 0 {
		b.lent = 0
	}
}
