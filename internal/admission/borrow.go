package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/allotment"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// KindBorrow is the message that asks another host for tokens of one client
// account. It carries a BorrowRequest and is answered with a BorrowReply.
const KindBorrow fleet.Kind = "admission.borrow"

const (
	sameDomainTimeout   = 8 * time.Millisecond  // reply of a host of this failure domain
	otherDomainTimeout  = 60 * time.Millisecond // reply of a host of another failure domain
	attemptTimeout      = 250 * time.Millisecond
	maxAttemptRounds    = 4 // groups of hosts that one attempt asks
	minBackoff          = 4 * time.Millisecond
	maxBackoff          = 200 * time.Millisecond
	maxSuggestedLenders = 4
)

// BorrowRequest asks a lender for tokens and returns earlier loans of the same
// lender.
type BorrowRequest struct {
	Account string                 `cbor:"1,keyasint"`
	Want    float64                `cbor:"2,keyasint,omitempty"` // tokens; zero if the request only returns loans
	Returns []allotment.LoanReturn `cbor:"3,keyasint,omitempty"`
	Lender  host.Incarnation       `cbor:"4,keyasint,omitempty"` // process that made the returned loans
}

// BorrowReply carries a loan or, if the lender has no tokens to spare, other
// hosts that may lend.
type BorrowReply struct {
	Incarnation host.Incarnation `cbor:"1,keyasint"` // incarnation of the lender
	Loan        allotment.Loan   `cbor:"2,keyasint,omitempty"`
	Lenders     []host.ID        `cbor:"3,keyasint,omitempty"`
}

// borrow starts an attempt to borrow tokens, or joins the running one. It returns
// nil during the pause after a failed attempt.
func (a *Admitter) borrow(acct *account) *borrowAttempt {
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.attempt != nil {
		return acct.attempt
	}
	if now.Before(acct.nextAttemptAt) {
		return nil
	}
	acct.attempt = &borrowAttempt{account: acct, want: acct.tokensToBorrow(), done: make(chan struct{})}
	go a.runAttempt(acct.attempt)
	return acct.attempt
}

// runAttempt asks groups of hosts, one after the other, until at least half of the
// wanted tokens are lent, no host is left to ask, or the attempt's time is over.
func (a *Admitter) runAttempt(attempt *borrowAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	search := newLenderSearch(a, attempt.account)
	for range maxAttemptRounds {
		members := search.nextGroup()
		if len(members) == 0 || attempt.borrowedTokens() >= attempt.want/2 || ctx.Err() != nil {
			break
		}
		search.addGroup(a.askHosts(ctx, attempt, members))
	}
	a.finishAttempt(attempt)
}

// finishAttempt ends an attempt. If it borrowed nothing, the next attempt is delayed
// by an exponential backoff with jitter.
func (a *Admitter) finishAttempt(attempt *borrowAttempt) {
	now := a.options.Now()
	acct := attempt.account
	acct.mu.Lock()
	if attempt.tokens > 0 {
		acct.backoff = 0
	} else {
		acct.backoff = min(max(2*acct.backoff, minBackoff), maxBackoff)
		acct.nextAttemptAt = now.Add(acct.backoff/2 + rand.N(acct.backoff))
	}
	acct.attempt = nil
	acct.mu.Unlock()
	close(attempt.done)
}

// askHosts asks hosts for tokens in parallel and returns the lenders that they
// suggest.
func (a *Admitter) askHosts(ctx context.Context, attempt *borrowAttempt, members []host.Identity) []host.ID {
	suggested := make([][]host.ID, len(members))
	want := math.Max(math.Ceil(attempt.want/float64(len(members))), 1)
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() { suggested[i] = a.askHost(ctx, attempt, member, want) })
	}
	group.Wait()
	return slices.Concat(suggested...)
}

// askHost asks one host for tokens and sends its pending loan returns in the same
// message. It returns the lenders that the host suggests.
func (a *Admitter) askHost(ctx context.Context, attempt *borrowAttempt, lender host.Identity, want float64) []host.ID {
	timeout := otherDomainTimeout
	if lender.FailureDomain == a.options.View.Self().FailureDomain {
		timeout = sameDomainTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	acct := attempt.account
	askedAt := a.options.Now()
	process := allotment.Lender{Host: lender.ID, Incarnation: lender.Incarnation}
	acct.mu.Lock()
	returns := acct.borrowed.PendingReturns(askedAt, process)
	acct.mu.Unlock()
	request := BorrowRequest{Account: acct.name, Want: want, Returns: returns, Lender: process.Incarnation}
	a.stats.asked.Inc(1)
	var reply BorrowReply
	if err := a.options.Caller.Call(ctx, lender.Fleet, KindBorrow, request, &reply); err != nil {
		a.stats.askFailed.Inc(1)
		acct.recordFailure(lender.ID)
		return nil
	}
	acct.applyReply(a.options.Now(), askedAt, process, returns, reply)
	attempt.addTokens(reply.Loan.Tokens)
	return reply.Lenders
}

// applyReply adds the loan of a reply, marks the returns that were sent as
// acknowledged, and wakes the waiting requests if there is a loan. askedAt is when
// the request was sent; the term of the loan counts from then.
func (a *account) applyReply(now, askedAt time.Time, lender allotment.Lender, sentReturns []allotment.LoanReturn, reply BorrowReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowed.Acknowledge(lender, sentReturns)
	lender.Incarnation = reply.Incarnation
	a.borrowed.Add(now, askedAt, lender, reply.Loan)
	a.recentLenders.record(lender.Host, reply.Loan.Tokens >= 1)
	if reply.Loan.Tokens >= 1 {
		close(a.loanArrived)
		a.loanArrived = make(chan struct{})
	}
}

// recordFailure records that a call to a lender failed.
func (a *account) recordFailure(lender host.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recentLenders.record(lender, false)
}

// handleBorrow answers a BorrowRequest of another host: it ends the returned loans
// and lends tokens of this host's share.
func (a *Admitter) handleBorrow(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request BorrowRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	self := a.options.View.Self()
	reply := BorrowReply{Incarnation: self.Incarnation}
	acct := a.account(request.Account)
	if acct == nil {
		return reply, nil
	}
	now := a.options.Now()
	if request.Lender == self.Incarnation {
		acct.endLoans(now, request.Returns)
	}
	if request.Want < 1 {
		return reply, nil
	}
	reply.Loan = acct.lend(now, request.Want)
	if reply.Loan.Tokens < 1 {
		reply.Lenders = a.suggestLenders(request.Account, from.ID)
		return reply, nil
	}
	a.stats.lentTokens.Inc(int64(reply.Loan.Tokens))
	return reply, nil
}

// suggestLenders returns hosts that may lend to the borrower: the choice of
// Options.Lenders if this host is the domain leader, else the domain leader.
func (a *Admitter) suggestLenders(account string, borrower host.ID) []host.ID {
	if a.options.Lenders != nil {
		if lenders := a.options.Lenders(account, borrower); len(lenders) > 0 {
			return lenders[:min(len(lenders), maxSuggestedLenders)]
		}
	}
	leader, _, ok := a.options.Leadership.Current()
	if !ok || leader.ID == a.options.View.Self().ID {
		return nil
	}
	return []host.ID{leader.ID}
}
