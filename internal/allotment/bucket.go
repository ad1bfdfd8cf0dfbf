package allotment

import (
	"math"
	"slices"
	"time"

	"peridotrail/internal/invariant"
)

// LoanID identifies a loan among those of one lender.
type LoanID uint64

// Loan is a number of tokens lent to another host. The borrower may spend them for
// the duration Term, counted from when it sent its request.
type Loan struct {
	ID     LoanID        `cbor:"1,keyasint"`
	Tokens float64       `cbor:"2,keyasint"`
	Term   time.Duration `cbor:"3,keyasint"`
}

// outstandingLoan is the lender's record of a loan.
type outstandingLoan struct {
	tokens    float64
	expiresAt time.Time // end of the loan term plus the clock margin
}

// Bucket is the token bucket of one host's share of a client account. It starts
// empty, and its tokens can be spent only until its lease expires.
//
// The sum of the tokens in the bucket and those on loan never exceeds the burst.
type Bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time // tokens have accrued up to this time
	until      time.Time // end of the lease
	loans      map[LoanID]outstandingLoan
	lent       float64 // tokens on loan
	lastID     LoanID
	margin     time.Duration
	mutations  mutations
}

// NewBucket returns a bucket without a share. The margin is added to the term of
// each loan to allow for clock differences between lender and borrower.
func NewBucket(margin time.Duration) *Bucket {
	return &Bucket{margin: margin, loans: map[LoanID]outstandingLoan{}}
}

// StartLoanIDsAfter sets the last used loan ID, so that a new bucket of the same
// account does not reuse IDs.
func (b *Bucket) StartLoanIDsAfter(id LoanID) { b.lastID = id }

// Share returns the current share.
func (b *Bucket) Share() Share { return Share{Rate: b.rate, Burst: b.burst} }

// InUse returns the share that the domain leader must count as used by this host:
// the rate, and the burst or the tokens on loan, whichever is larger.
func (b *Bucket) InUse() Share {
	return Share{Rate: b.rate, Burst: math.Max(b.burst, b.lent)}
}

// Until returns the end of the lease.
func (b *Bucket) Until() time.Time { return b.until }

// Tokens returns the tokens that can be spent at now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Extend extends the lease to the given time. A bucket whose lease had expired
// starts again empty.
func (b *Bucket) Extend(now, until time.Time) {
	b.refill(now)
	if until.After(b.until) {
		b.until = until
	}
	if b.refilledAt.Before(now) {
		b.refilledAt = now
	}
}

// Resize changes the share. It drops tokens above a smaller burst; a larger burst
// adds no tokens.
func (b *Bucket) Resize(now time.Time, share Share) {
	b.refill(now)
	addedBurst := share.Burst - b.burst
	b.rate, b.burst = share.Rate, share.Burst
	if b.mutations.skipEmptyStart && addedBurst > 0 {
		b.tokens += addedBurst
	}
	b.clampTokens()
}

// refill adds the tokens accrued up to now, or drops all tokens if the lease has
// expired. Tokens on loan take up burst: no others accrue in their place.
func (b *Bucket) refill(now time.Time) {
	if len(b.loans) > 0 {
		b.expireLoans(now)
	}
	if !now.Before(b.until) {
		b.tokens = 0
		b.refilledAt = now
		return
	}
	b.accrue(now)
}

// accrue adds the tokens accrued up to t.
func (b *Bucket) accrue(t time.Time) {
	elapsed := t.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = t
	b.tokens += b.rate * elapsed.Seconds()
	b.clampTokens()
}

// clampTokens limits the tokens to the burst minus the tokens on loan.
func (b *Bucket) clampTokens() {
	room := math.Max(b.burst-b.lent, 0)
	if b.mutations.ignoreOutstandingLoans {
		room = b.burst
	}
	b.tokens = math.Min(b.tokens, room)
}

// Take spends one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	invariant.Check(b.tokens >= 0 && now.Before(b.until), invariant.RateWithinLimit, "token spent after the lease expired")
	return true
}

// TimeToToken returns the time until a whole token is available, at most maxWait.
func (b *Bucket) TimeToToken(now time.Time, maxWait time.Duration) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.rate <= 0 || b.burst-b.lent < 1 || !now.Before(b.until) {
		return maxWait
	}
	seconds := (1 - b.tokens) / b.rate
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Lend deducts up to want whole tokens for a loan of the given term, and keeps at
// least reserve tokens. It returns false if no whole token is available or the
// bucket's lease ends before the loan.
func (b *Bucket) Lend(now time.Time, want, reserve float64, term time.Duration) (Loan, bool) {
	b.refill(now)
	tokens := math.Floor(math.Min(want, b.tokens-reserve))
	if tokens < 1 || now.Add(term).After(b.until) {
		return Loan{}, false
	}
	b.tokens -= tokens
	b.lastID++
	b.loans[b.lastID] = outstandingLoan{tokens: tokens, expiresAt: now.Add(term + b.margin)}
	b.lent += tokens
	invariant.Check(b.mutations.ignoreOutstandingLoans || within(b.tokens+b.lent, math.Max(b.burst, b.lent)),
		invariant.RateWithinLimit, "tokens %v and loans %v exceed burst %v", b.tokens, b.lent, b.burst)
	return Loan{ID: b.lastID, Tokens: tokens, Term: term}, true
}

// EndLoan ends a loan whose borrower has given up the unspent tokens, and adds them
// to the bucket. Unknown IDs are ignored, so that a repeated call has no effect.
func (b *Bucket) EndLoan(now time.Time, id LoanID, unspent float64) {
	b.refill(now)
	loan, ok := b.loans[id]
	if !ok {
		return
	}
	b.removeLoan(id)
	if now.Before(b.until) {
		b.tokens += math.Max(math.Min(unspent, loan.tokens), 0)
	}
	b.clampTokens()
}

// expireLoans removes the expired loans in order of expiry. Before each, it accrues
// tokens up to the expiry, because the loan took up burst until then.
func (b *Bucket) expireLoans(now time.Time) {
	var expired []LoanID
	for id, loan := range b.loans {
		if !now.Before(loan.expiresAt) {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, func(x, y LoanID) int { return b.loans[x].expiresAt.Compare(b.loans[y].expiresAt) })
	for _, id := range expired {
		b.accrue(b.loans[id].expiresAt)
		b.removeLoan(id)
	}
}

func (b *Bucket) removeLoan(id LoanID) {
	b.lent -= b.loans[id].tokens
	delete(b.loans, id)
	if len(b.loans) == 0 {
		b.lent = 0
	}
}
