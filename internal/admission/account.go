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
	demandHalfLifeMin = 20 * time.Second
	demandHalfLifeMax = 60 * time.Second
	demandEvents      = 20   // requests that a half-life covers, within its limits
	demandDigits      = 2    // significant digits that are reported
	demandChange      = 0.15 // part by which the demand must change to be reported anew
	demandNoise       = 0.02 // requests per second that are not reported
	batchTime         = 250 * time.Millisecond
	lowTime           = 100 * time.Millisecond
	reserveTime       = 20 * time.Millisecond
	maxBatchPart      = 0.25 // of the account's burst
)

// account is the state of one client account at this host.
type account struct {
	name     string
	attempts atomic.Int64 // since the last measurement of the demand
	waiting  atomic.Int64 // requests that wait for tokens
	admitted atomic.Int64 // requests since the start
	refused  atomic.Int64 // requests over the rate since the start

	mu       sync.Mutex // guards the fields below; never held across I/O
	bucket   *allotment.Bucket
	borrowed allotment.Borrowed
	demand   float64 // requests per second
	reported float64 // demand that the leader was told
	measured time.Time
	burst    float64 // of the account over the whole fleet
	flight   *flight // borrowing under way, nil if none
	retryAt  time.Time
	backoff  time.Duration
	lenders  lenderMemory
	loaned   chan struct{} // closed and replaced at each loan
}

// flight is one attempt to borrow, shared by all requests that wait for it.
type flight struct {
	account *account
	want    float64
	done    chan struct{}
	tokens  float64 // borrowed so far; guarded by the account's mu
}

func (f *flight) add(tokens float64) {
	f.account.mu.Lock()
	defer f.account.mu.Unlock()
	f.tokens += tokens
}

func (f *flight) lent() float64 {
	f.account.mu.Lock()
	defer f.account.mu.Unlock()
	return f.tokens
}

func newAccount(name string, margin time.Duration) *account {
	bucket := allotment.NewBucket(margin)
	bucket.StartLoanIDsAfter(allotment.LoanID(rand.Uint64() >> 1))
	return &account{name: name, bucket: bucket, loaned: make(chan struct{})}
}

// take spends a token, borrowed ones first. Low says that the host should borrow
// before it runs out: it lives on loans, and has few tokens left.
func (a *account) take(now time.Time) (ok, low bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrowed.Take(now) {
		left := a.borrowed.Tokens(now) + a.bucket.Tokens(now)
		return true, left < a.demand*lowTime.Seconds()
	}
	return a.bucket.Take(now), false
}

// measure folds the attempts since the last call into the demand, and returns the
// demand to report, which changes seldom.
func (a *account) measure(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.measured)
	if a.measured.IsZero() {
		a.measured = now
		a.attempts.Store(0)
	}
	if elapsed > 0 {
		rate := float64(a.attempts.Swap(0)) / elapsed.Seconds()
		keep := math.Exp2(-elapsed.Seconds() / halfLife(a.demand).Seconds())
		a.demand = a.demand*keep + rate*(1-keep)
		a.measured = now
	}
	if math.Abs(a.demand-a.reported) > demandChange*a.reported+demandNoise {
		a.reported = roundDigits(a.demand, demandDigits)
	}
	return a.reported
}

// halfLife returns the half-life of the demand's average: longer for fewer requests.
func halfLife(demand float64) time.Duration {
	seconds := demandEvents / math.Max(demand, 1e-3)
	seconds = math.Max(seconds, demandHalfLifeMin.Seconds())
	return time.Duration(math.Min(seconds, demandHalfLifeMax.Seconds()) * float64(time.Second))
}

// roundDigits rounds to significant digits so that small changes are not reported.
func roundDigits(x float64, digits int) float64 {
	if x < 0.01 {
		return 0
	}
	scale := math.Pow10(digits - 1 - int(math.Floor(math.Log10(x))))
	return math.Round(x*scale) / scale
}

// wanted returns how many tokens to borrow at once: one for each request that
// waits, or what the demand spends in batchTime. The caller holds mu.
func (a *account) wanted() float64 {
	batch := math.Max(float64(a.waiting.Load()), math.Ceil(a.demand*batchTime.Seconds()))
	return math.Max(math.Min(batch, a.burst*maxBatchPart), 1)
}

// lend gives tokens to another host, apart from a reserve for the own demand.
func (a *account) lend(now time.Time, want float64) allotment.Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	reserve := a.demand * reserveTime.Seconds()
	loan, _ := a.bucket.Lend(now, want, reserve, loanTerm)
	return loan
}

func (a *account) settle(now time.Time, settlements []allotment.LoanReturn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range settlements {
		a.bucket.EndLoan(now, s.ID, s.Unspent)
	}
}
