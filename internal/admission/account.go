package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/allotment"
)

const (
	minDemandHalfLife      = 20 * time.Second
	maxDemandHalfLife      = 60 * time.Second
	demandHalfLifeRequests = 20                     // requests per half-life, within the two limits above
	demandReportDigits     = 2                      // significant digits of a reported demand
	demandReportRelative   = 0.15                   // change, relative to the last report, that is reported
	demandReportAbsolute   = 0.02                   // change in requests per second that is added to the relative one
	borrowBatchPeriod      = 250 * time.Millisecond // a batch covers the demand of this period
	lowTokensPeriod        = 100 * time.Millisecond // a host on loans borrows again when its tokens cover less
	lendReservePeriod      = 20 * time.Millisecond  // a lender keeps tokens for its own demand of this period
	maxBatchBurstFraction  = 0.25                   // largest batch, as a fraction of the account's burst
)

// account is the state of one client account on this host. Its atomic fields may
// be used without holding mu.
type account struct {
	name     string
	requests atomic.Int64 // requests since the last measurement of the demand
	waiting  atomic.Int64 // requests that are waiting for tokens
	admitted atomic.Int64 // requests since the process started
	refused  atomic.Int64 // requests over the rate since the process started

	mu             sync.Mutex // guards the fields below; not held during I/O
	bucket         *allotment.Bucket
	borrowed       allotment.Borrowed
	demand         float64 // requests per second, a moving average
	reportedDemand float64 // requests per second, as last reported to the domain leader
	measuredAt     time.Time
	burst          float64        // burst of the account over the whole fleet
	attempt        *borrowAttempt // running attempt to borrow, nil if none
	nextAttemptAt  time.Time
	backoff        time.Duration
	recentLenders  recentLenders
	loanArrived    chan struct{} // closed and replaced whenever a loan arrives
}

// borrowAttempt is one attempt to borrow tokens from other hosts. All requests of
// the account that wait for tokens share it.
type borrowAttempt struct {
	account *account
	want    float64
	done    chan struct{}
	tokens  float64 // tokens borrowed so far; guarded by the account's mu
}

func (b *borrowAttempt) addTokens(tokens float64) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.tokens += tokens
}

func (b *borrowAttempt) borrowedTokens() float64 {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.tokens
}

func newAccount(name string, clockMargin time.Duration) *account {
	bucket := allotment.NewBucket(clockMargin)
	bucket.StartLoanIDsAfter(allotment.LoanID(rand.Uint64() >> 1))
	return &account{name: name, bucket: bucket, loanArrived: make(chan struct{})}
}

// takeToken spends one token, borrowed tokens first, and reports whether there was
// one. low is true if the token was a borrowed one and the tokens left cover less
// than lowTokensPeriod of demand, so that the host should borrow again now.
func (a *account) takeToken(now time.Time) (ok, low bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrowed.Take(now) {
		left := a.borrowed.Tokens(now) + a.bucket.Tokens(now)
		return true, left < a.demand*lowTokensPeriod.Seconds()
	}
	return a.bucket.Take(now), false
}

// measureDemand updates the average demand with the requests since the last call
// and returns the demand to report, in requests per second. The reported demand
// changes only if the average has moved far enough from it.
func (a *account) measureDemand(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.measuredAt)
	if a.measuredAt.IsZero() {
		a.measuredAt = now
		a.requests.Store(0)
	}
	if elapsed > 0 {
		rate := float64(a.requests.Swap(0)) / elapsed.Seconds()
		oldWeight := math.Exp2(-elapsed.Seconds() / demandHalfLife(a.demand).Seconds())
		a.demand = a.demand*oldWeight + rate*(1-oldWeight)
		a.measuredAt = now
	}
	if math.Abs(a.demand-a.reportedDemand) > demandReportRelative*a.reportedDemand+demandReportAbsolute {
		a.reportedDemand = roundToDigits(a.demand, demandReportDigits)
	}
	return a.reportedDemand
}

// demandHalfLife returns the half-life of the moving average of the demand. It is
// longer for a smaller demand, so that each half-life covers enough requests.
func demandHalfLife(demand float64) time.Duration {
	seconds := demandHalfLifeRequests / math.Max(demand, 1e-3)
	seconds = math.Max(seconds, minDemandHalfLife.Seconds())
	return time.Duration(math.Min(seconds, maxDemandHalfLife.Seconds()) * float64(time.Second))
}

// roundToDigits rounds x to the given number of significant digits. It returns 0
// for values below 0.01.
func roundToDigits(x float64, digits int) float64 {
	if x < 0.01 {
		return 0
	}
	scale := math.Pow10(digits - 1 - int(math.Floor(math.Log10(x))))
	return math.Round(x*scale) / scale
}

// tokensToBorrow returns how many tokens one attempt asks for: one for each waiting
// request or the demand of borrowBatchPeriod, whichever is more, up to a fraction
// of the account's burst. The caller holds mu.
func (a *account) tokensToBorrow() float64 {
	batch := math.Max(float64(a.waiting.Load()), math.Ceil(a.demand*borrowBatchPeriod.Seconds()))
	return math.Max(math.Min(batch, a.burst*maxBatchBurstFraction), 1)
}

// lend lends up to want tokens to another host and keeps a reserve for this host's
// own demand. The loan holds no tokens if nothing can be lent.
func (a *account) lend(now time.Time, want float64) allotment.Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	reserve := a.demand * lendReservePeriod.Seconds()
	loan, _ := a.bucket.Lend(now, want, reserve, loanTerm)
	return loan
}

// endLoans ends the loans that a borrower has returned and takes the unspent tokens
// back.
func (a *account) endLoans(now time.Time, returns []allotment.LoanReturn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range returns {
		a.bucket.EndLoan(now, s.ID, s.Unspent)
	}
}
