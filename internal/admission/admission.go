// Package admission admits requests within the rate of their client account. It
// spends this host's shares and borrows tokens from other hosts before it refuses.
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
	loanTerm       = time.Second
	defaultMargin  = 500 * time.Millisecond
	defaultMaxWait = 150 * time.Millisecond
	retryAfterMax  = 5 * time.Second
	patientBackoff = 40 * time.Millisecond // longer pauses between flights refuse requests at once
	maxWaiting     = 256                   // requests of one account that wait for tokens
)

// Leadership tells which host leads the failure domain.
type Leadership interface {
	// Current returns the leader and its epoch; ok is false if none is known.
	Current() (leader host.Identity, epoch uint64, ok bool)
}

// Options configures an Admitter.
type Options struct {
	View       host.View
	Caller     fleet.Caller
	Registry   fleet.Registry
	Leadership Leadership
	// Lenders returns hosts of the domain that can probably lend tokens of an
	// account, best first. It is nil or returns nothing unless this host leads.
	Lenders func(account string, borrower host.ID) []host.ID
	MaxWait time.Duration    // longest wait of one request for tokens; 150 ms if zero
	Now     func() time.Time // time.Now if nil
	Metrics metrics.Registry // a private one if nil
}

// Admitter admits requests. It is safe for concurrent use. Run must be running
// for loans to be settled early.
type Admitter struct {
	options  Options
	accounts atomic.Pointer[map[string]*account] // the map is never modified
	grow     sync.Mutex                          // serialises replacements of the map
	until    atomic.Int64                        // end of the term, nanoseconds after start
	start    time.Time
	stats    *stats
}

// New creates an Admitter and registers its message handler.
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

// SetLenders sets Options.Lenders before the Admitter is used.
func (a *Admitter) SetLenders(lenders func(account string, borrower host.ID) []host.ID) {
	a.options.Lenders = lenders
}

// Admit spends one request of the account's rate. It returns nil, a
// *RateExceededError, a *NotReadyError, an *UnknownAccountError, or the context's
// error if it ended while the request waited for tokens.
func (a *Admitter) Admit(ctx context.Context, name string) error {
	acct := a.account(name)
	if acct == nil {
		a.stats.unknown.Inc(1)
		return &UnknownAccountError{Account: name}
	}
	acct.attempts.Add(1)
	ok, low := acct.take(a.options.Now())
	if low {
		a.borrow(acct)
	}
	if ok {
		a.stats.admitted.Inc(1)
		acct.admitted.Add(1)
		return nil
	}
	return a.admitSlowly(ctx, acct)
}

// admitSlowly borrows tokens, or waits for others that borrow, until there is
// one for this request or the wait has lasted too long.
func (a *Admitter) admitSlowly(ctx context.Context, acct *account) error {
	defer acct.waiting.Add(-1)
	if acct.waiting.Add(1) > maxWaiting {
		return a.refuse(acct)
	}
	timer := time.NewTimer(a.options.MaxWait)
	defer timer.Stop()
	for {
		loaned := acct.nextLoan()
		landed, ok := a.landing(acct)
		if !ok {
			return a.refuse(acct)
		}
		select {
		case <-loaned:
		case <-landed:
		case <-timer.C:
			return a.refuse(acct)
		case <-ctx.Done():
			a.stats.abandoned.Inc(1)
			return context.Cause(ctx)
		}
		if ok, _ := acct.take(a.options.Now()); ok {
			a.stats.borrowed.Inc(1)
			acct.admitted.Add(1)
			return nil
		}
	}
}

// landing returns a channel that is ready when a flight has ended, or when the
// pause before the next one is over. It returns false if the account has had no
// luck for a while, so that its requests are refused at once.
func (a *Admitter) landing(acct *account) (<-chan struct{}, bool) {
	if f := a.borrow(acct); f != nil {
		return f.done, true
	}
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.backoff > patientBackoff {
		return nil, false
	}
	over := make(chan struct{})
	time.AfterFunc(min(acct.retryAt.Sub(now), acct.bucket.TimeToToken(now, patientBackoff)), func() { close(over) })
	return over, true
}

// nextLoan returns a channel that is closed when tokens are lent.
func (a *account) nextLoan() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loaned
}

func (a *Admitter) refuse(acct *account) error {
	now := a.options.Now()
	acct.mu.Lock()
	live := now.Before(acct.bucket.Until())
	wait := acct.bucket.TimeToToken(now, retryAfterMax)
	acct.mu.Unlock()
	if !live && !a.Ready(now) {
		a.stats.notReady.Inc(1)
		return &NotReadyError{Account: acct.name}
	}
	a.stats.refused.Inc(1)
	acct.refused.Add(1)
	return &RateExceededError{Account: acct.name, RetryAfter: max(wait, time.Millisecond)}
}

// Ready reports whether the term of this host's shares lasts at now.
func (a *Admitter) Ready(now time.Time) bool {
	return now.Sub(a.start) < time.Duration(a.until.Load())
}

func (a *Admitter) account(name string) *account { return (*a.accounts.Load())[name] }

// Demand is the state of one account for the domain leader.
type Demand struct {
	Account string
	Usage   allotment.Usage
}

// Configure makes the accounts known with the burst of each over the whole
// fleet. Accounts that are missing keep their share until it is taken back.
func (a *Admitter) Configure(bursts map[string]float64) {
	a.grow.Lock()
	defer a.grow.Unlock()
	current := *a.accounts.Load()
	next := make(map[string]*account, len(bursts))
	for name, acct := range current {
		if _, keep := bursts[name]; keep || acct.holds() {
			next[name] = acct
		}
	}
	for name, burst := range bursts {
		if next[name] == nil {
			next[name] = newAccount(name, defaultMargin)
		}
		next[name].setBurst(burst)
	}
	a.accounts.Store(&next)
}

func (a *account) holds() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.bucket.InUse().IsZero()
}

func (a *account) setBurst(burst float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.burst = burst
}

// Resize changes this host's share of an account.
func (a *Admitter) Resize(now time.Time, name string, share allotment.Share) {
	acct := a.account(name)
	if acct == nil {
		a.add(name)
		acct = a.account(name)
	}
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.bucket.Resize(now, share)
}

// add makes an account known that the leader's configuration has already.
func (a *Admitter) add(name string) {
	a.grow.Lock()
	defer a.grow.Unlock()
	current := *a.accounts.Load()
	next := make(map[string]*account, len(current)+1)
	for k, v := range current {
		next[k] = v
	}
	if next[name] == nil {
		next[name] = newAccount(name, defaultMargin)
	}
	a.accounts.Store(&next)
}

// Extend lets all shares be spent until the given time.
func (a *Admitter) Extend(now, until time.Time) {
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.bucket.Extend(now, until)
		acct.mu.Unlock()
	}
	a.until.Store(int64(until.Sub(a.start)))
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

// Usage measures the demand for an account and returns what the leader must know.
func (a *Admitter) Usage(now time.Time, name string) allotment.Usage {
	acct := a.account(name)
	if acct == nil {
		return allotment.Usage{}
	}
	demand := acct.measure(now)
	acct.mu.Lock()
	defer acct.mu.Unlock()
	return allotment.Usage{Demand: demand, InUse: acct.bucket.InUse()}
}
