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
	settlePeriod  = 100 * time.Millisecond
	settleTimeout = 200 * time.Millisecond
	maxSettling   = 8                      // messages under way
	returnBefore  = 500 * time.Millisecond // unspent tokens go back this long before the loan ends
)

// Run settles ended loans until ctx ends, so that the lenders can lend again.
func (a *Admitter) Run(ctx context.Context, beat task.Beat) error {
	slots := make(chan struct{}, maxSettling)
	for {
		timer := time.NewTimer(settlePeriod/2 + rand.N(settlePeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		beat()
		a.settleAll(ctx, slots)
	}
}

func (a *Admitter) settleAll(ctx context.Context, slots chan struct{}) {
	now := a.options.Now()
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.borrowed.Return(now, returnBefore)
		lenders := acct.borrowed.Lenders(now)
		acct.mu.Unlock()
		for _, lender := range lenders {
			select {
			case slots <- struct{}{}:
			default:
				return
			}
			go func() {
				defer func() { <-slots }()
				a.settle(ctx, acct, lender)
			}()
		}
	}
}

// settle sends the ended loans of one lender.
func (a *Admitter) settle(ctx context.Context, acct *account, lender allotment.Lender) {
	identity, ok := a.member(lender)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	acct.mu.Lock()
	settlements := acct.borrowed.Settlements(a.options.Now(), lender)
	acct.mu.Unlock()
	if len(settlements) == 0 {
		return
	}
	request := BorrowRequest{Account: acct.name, Settlements: settlements, Lender: lender.Incarnation}
	var response BorrowResponse
	if err := a.options.Caller.Call(ctx, identity.Fleet, KindBorrow, request, &response); err != nil {
		return
	}
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.borrowed.Acknowledge(lender, settlements)
}

func (a *Admitter) member(lender allotment.Lender) (host.Identity, bool) {
	for _, m := range a.options.View.Members() {
		if m.Identity.ID == lender.Host && m.Identity.Incarnation == lender.Incarnation {
			return m.Identity, true
		}
	}
	return host.Identity{}, false
}

// Return gives all borrowed tokens back, before a graceful shutdown.
func (a *Admitter) Return(ctx context.Context) {
	now := a.options.Now()
	for _, acct := range *a.accounts.Load() {
		acct.mu.Lock()
		acct.borrowed.Return(now, loanTerm)
		lenders := acct.borrowed.Lenders(now)
		acct.mu.Unlock()
		for _, lender := range lenders {
			a.settle(ctx, acct, lender)
		}
	}
}
