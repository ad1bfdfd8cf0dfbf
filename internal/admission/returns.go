package admission

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotrail/internal/allotment"
	"peridotrail/internal/host"
	"peridotrail/internal/task"
)

const (
	loanReturnPeriod   = 100 * time.Millisecond
	loanReturnTimeout  = 200 * time.Millisecond
	maxParallelReturns = 8                      // messages sent at the same time
	returnLeadTime     = 500 * time.Millisecond // unspent tokens are returned this long before the loan ends
)

// Run periodically returns loans that have ended or end soon, so that the lenders
// can use the unspent tokens again. It ends with ctx.
func (a *Admitter) Run(ctx context.Context, reportProgress task.ProgressFunc) error {
	sendSlots := make(chan struct{}, maxParallelReturns)
	for {
		timer := time.NewTimer(loanReturnPeriod/2 + rand.N(loanReturnPeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		reportProgress()
		a.sendAllReturns(ctx, sendSlots)
	}
}

// sendAllReturns sends the pending loan returns of all accounts. It stops early if
// all sendSlots are in use; the returns left over are sent in a later period.
func (a *Admitter) sendAllReturns(ctx context.Context, sendSlots chan struct{}) {
	now := a.options.Now()
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.borrowed.ReturnEnding(now, returnLeadTime)
		lenders := acct.borrowed.LendersToNotify(now)
		acct.mu.Unlock()
		for _, lender := range lenders {
			select {
			case sendSlots <- struct{}{}:
			default:
				return
			}
			go func() {
				defer func() { <-sendSlots }()
				a.sendReturns(ctx, acct, lender)
			}()
		}
	}
}

// sendReturns sends the pending loan returns of one lender. They stay pending if the
// lender is not a member now or the call fails.
func (a *Admitter) sendReturns(ctx context.Context, acct *account, lender allotment.Lender) {
	identity, ok := a.lenderIdentity(lender)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loanReturnTimeout)
	defer cancel()
	acct.mu.Lock()
	returns := acct.borrowed.PendingReturns(a.options.Now(), lender)
	acct.mu.Unlock()
	if len(returns) == 0 {
		return
	}
	request := BorrowRequest{Account: acct.name, Returns: returns, Lender: lender.Incarnation}
	var reply BorrowReply
	if err := a.options.Caller.Call(ctx, identity.Fleet, KindBorrow, request, &reply); err != nil {
		return
	}
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.borrowed.Acknowledge(lender, returns)
}

// lenderIdentity returns the identity of a lender's process, or false if that
// process is not a member now.
func (a *Admitter) lenderIdentity(lender allotment.Lender) (host.Identity, bool) {
	for _, m := range a.options.View.Members() {
		if m.Identity.ID == lender.Host && m.Identity.Incarnation == lender.Incarnation {
			return m.Identity, true
		}
	}
	return host.Identity{}, false
}

// ReturnLoans returns all borrowed tokens to their lenders. It is called during a
// graceful shutdown.
func (a *Admitter) ReturnLoans(ctx context.Context) {
	now := a.options.Now()
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.borrowed.ReturnEnding(now, loanTerm)
		lenders := acct.borrowed.LendersToNotify(now)
		acct.mu.Unlock()
		for _, lender := range lenders {
			a.sendReturns(ctx, acct, lender)
		}
	}
}
