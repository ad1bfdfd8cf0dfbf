// Package admission admits requests within the rate of their client account. It
// spends tokens of this host's share and, when the share is empty, borrows tokens
// from other hosts before it refuses a request.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/allotment"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

const (
	loanTerm           = time.Second
	defaultClockMargin = 500 * time.Millisecond // a lender waits this long after a loan's term, as clocks differ
	defaultMaxWait     = 150 * time.Millisecond
	maxRetryAfter      = 5 * time.Second
	maxWaitBackoff     = 40 * time.Millisecond // requests are refused without a wait while the backoff is longer
	maxWaitingRequests = 256                   // requests of one account that may wait for tokens at the same time
)

// Leadership provides the current leader of this host's failure domain.
type Leadership interface {
	// Current returns the leader and its epoch. ok is false if no leader is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Options configures an Admitter.
type Options struct {
	View       host.View
	Caller     fleet.Caller
	Registry   fleet.Registry
	Leadership Leadership
	// Lenders returns hosts of the failure domain that can probably lend tokens of
	// an account, the most promising first. It may be nil, and returns nothing
	// unless this host is the domain leader.
	Lenders func(account string, borrower host.ID) []host.ID
	MaxWait time.Duration    // longest time that one request waits for tokens; 150 ms if zero
	Now     func() time.Time // time.Now if nil
	Metrics metrics.Registry // a private registry if nil
}

// Admitter admits requests. It is safe for concurrent use. While Run is running,
// lenders get unspent tokens back before the term of their loan ends.
type Admitter struct {
	options    Options
	accounts   atomic.Pointer[map[string]*account] // each map is immutable
	accountsMu sync.Mutex                          // serializes replacements of the map
	leaseEnd   atomic.Int64                        // end of the lease of all shares, in nanoseconds after start
	start      time.Time
	stats      *stats
}

// New creates an Admitter without shares and registers its handler of KindBorrow.
func New(options Options) *Admitter {
	if options.MaxWait == 0 {
		options.MaxWait = defaultMaxWait
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	a := &Admitter{options: options, start: options.Now(), stats: newStats(options.Metrics)}
	a.accounts.Store(&map[string]*account{})
	options.Registry.Handle(KindBorrow, a.handleBorrow)
	return a
}

// SetLenders sets Options.Lenders. It must be called before the Admitter is used.
func (a *Admitter) SetLenders(lenders func(account string, borrower host.ID) []host.ID) {
	a.options.Lenders = lenders
}

// Admit spends one token of the named account's rate. It returns nil, a
// *RateExceededError, a *NotReadyError, an *UnknownAccountError, or the cause of
// the context's end if it ended while the request waited for tokens.
func (a *Admitter) Admit(ctx context.Context, name string) error {
	acct := a.account(name)
	if acct == nil {
		a.stats.unknownAccount.Inc(1)
		return &UnknownAccountError{Account: name}
	}
	acct.requests.Add(1)
	ok, low := acct.takeToken(a.options.Now())
	if low {
		a.borrow(acct)
	}
	if ok {
		a.stats.admitted.Inc(1)
		acct.admitted.Add(1)
		return nil
	}
	return a.admitBorrowing(ctx, acct)
}

// admitBorrowing starts or joins attempts to borrow tokens until the request gets a
// token or has waited for Options.MaxWait.
func (a *Admitter) admitBorrowing(ctx context.Context, acct *account) error {
	defer acct.waiting.Add(-1)
	if acct.waiting.Add(1) > maxWaitingRequests {
		return a.refuse(acct)
	}
	timer := time.NewTimer(a.options.MaxWait)
	defer timer.Stop()
	for {
		loanArrived := acct.loanArrival()
		attemptEnded, ok := a.nextAttemptEnd(acct)
		if !ok {
			return a.refuse(acct)
		}
		select {
		case <-loanArrived:
		case <-attemptEnded:
		case <-timer.C:
			return a.refuse(acct)
		case <-ctx.Done():
			a.stats.abandoned.Inc(1)
			return context.Cause(ctx)
		}
		if ok, _ := acct.takeToken(a.options.Now()); ok {
			a.stats.admittedBorrowed.Inc(1)
			acct.admitted.Add(1)
			return nil
		}
	}
}

// nextAttemptEnd starts or joins an attempt to borrow and returns a channel that is
// closed when the attempt has ended. During the pause after a failed attempt, the
// channel is closed when the pause is over or a token of the own share is due. It
// returns false if repeated failures have raised the backoff above maxWaitBackoff,
// so that requests are refused at once.
func (a *Admitter) nextAttemptEnd(acct *account) (<-chan struct{}, bool) {
	if attempt := a.borrow(acct); attempt != nil {
		return attempt.done, true
	}
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.backoff > maxWaitBackoff {
		return nil, false
	}
	pauseEnded := make(chan struct{})
	time.AfterFunc(min(acct.nextAttemptAt.Sub(now), acct.bucket.TimeToToken(now, maxWaitBackoff)), func() { close(pauseEnded) })
	return pauseEnded, true
}

// loanArrival returns a channel that is closed when the next loan arrives.
func (a *account) loanArrival() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loanArrived
}

// refuse counts a refused request and returns its error.
func (a *Admitter) refuse(acct *account) error {
	now := a.options.Now()
	acct.mu.Lock()
	leaseValid := now.Before(acct.bucket.Until())
	wait := acct.bucket.TimeToToken(now, maxRetryAfter)
	acct.mu.Unlock()
	if !leaseValid && !a.Ready(now) {
		a.stats.notReady.Inc(1)
		return &NotReadyError{Account: acct.name}
	}
	a.stats.refused.Inc(1)
	acct.refused.Add(1)
	return &RateExceededError{Account: acct.name, RetryAfter: max(wait, time.Millisecond)}
}

// Ready reports whether the lease of this host's shares is still valid at now.
func (a *Admitter) Ready(now time.Time) bool {
	return now.Sub(a.start) < time.Duration(a.leaseEnd.Load())
}

func (a *Admitter) account(name string) *account { return (*a.accounts.Load())[name] }

// Demand is the usage of one account, as reported to the domain leader.
type Demand struct {
	Account string
	Usage   allotment.Usage
}

// Configure sets the known accounts, by name, with the burst of each over the whole
// fleet. An account that is missing from bursts is dropped only once this host
// holds no share of it.
func (a *Admitter) Configure(bursts map[string]float64) {
	a.accountsMu.Lock()
	defer a.accountsMu.Unlock()
	current := *a.accounts.Load()
	next := make(map[string]*account, len(bursts))
	for name, acct := range current {
		if _, keep := bursts[name]; keep || acct.holdsShare() {
			next[name] = acct
		}
	}
	for name, burst := range bursts {
		if next[name] == nil {
			next[name] = newAccount(name, defaultClockMargin)
		}
		next[name].setBurst(burst)
	}
	a.accounts.Store(&next)
}

// holdsShare reports whether this host holds a share of the account or has tokens
// out on loan.
func (a *account) holdsShare() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.bucket.InUse().IsZero()
}

func (a *account) setBurst(burst float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.burst = burst
}

// Resize sets this host's share of an account and adds the account if it is unknown.
func (a *Admitter) Resize(now time.Time, name string, share allotment.Share) {
	acct := a.account(name)
	if acct == nil {
		a.addAccount(name)
		acct = a.account(name)
	}
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.bucket.Resize(now, share)
}

// addAccount adds an account that this host's configuration lacks. The leader may
// have a newer configuration and give out shares of the account already.
func (a *Admitter) addAccount(name string) {
	a.accountsMu.Lock()
	defer a.accountsMu.Unlock()
	current := *a.accounts.Load()
	next := make(map[string]*account, len(current)+1)
	for k, v := range current {
		next[k] = v
	}
	if next[name] == nil {
		next[name] = newAccount(name, defaultClockMargin)
	}
	a.accounts.Store(&next)
}

// Extend extends the lease of all shares to until.
func (a *Admitter) Extend(now, until time.Time) {
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.bucket.Extend(now, until)
		acct.mu.Unlock()
	}
	a.leaseEnd.Store(int64(until.Sub(a.start)))
}

// Accounts returns the names of all accounts.
func (a *Admitter) Accounts() []string {
	current := *a.accounts.Load()
	names := make([]string, 0, len(current))
	for name := range current {
		names = append(names, name)
	}
	return names
}

// Usage measures the demand for an account and returns the usage to report to the
// domain leader. It is zero for an unknown account.
func (a *Admitter) Usage(now time.Time, name string) allotment.Usage {
	acct := a.account(name)
	if acct == nil {
		return allotment.Usage{}
	}
	demand := acct.measureDemand(now)
	acct.mu.Lock()
	defer acct.mu.Unlock()
	return allotment.Usage{Demand: demand, InUse: acct.bucket.InUse()}
}
