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

// KindBorrow asks another host for tokens of one client account.
const KindBorrow fleet.Kind = "admission.borrow"

const (
	nearTimeout    = 8 * time.Millisecond  // for a host of the own failure domain
	farTimeout     = 60 * time.Millisecond // for a host of another failure domain
	flightTimeout  = 250 * time.Millisecond
	maxRounds      = 4 // groups of hosts asked in one flight
	backoffMin     = 4 * time.Millisecond
	backoffMax     = 200 * time.Millisecond
	maxSuggestions = 4
)

// BorrowRequest asks for tokens and settles earlier loans of the same lender.
type BorrowRequest struct {
	Account     string                 `cbor:"1,keyasint"`
	Want        float64                `cbor:"2,keyasint,omitempty"` // zero only settles
	Settlements []allotment.LoanReturn `cbor:"3,keyasint,omitempty"`
	Lender      host.Incarnation       `cbor:"4,keyasint,omitempty"` // that made the settled loans
}

// BorrowResponse carries a loan, or hosts that may lend.
type BorrowResponse struct {
	Incarnation host.Incarnation `cbor:"1,keyasint"` // of the lender
	Loan        allotment.Loan   `cbor:"2,keyasint,omitempty"`
	Lenders     []host.ID        `cbor:"3,keyasint,omitempty"`
}

// borrow joins or starts a flight. It returns nil while the last one that failed
// is too recent.
func (a *Admitter) borrow(acct *account) *flight {
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.flight != nil {
		return acct.flight
	}
	if now.Before(acct.retryAt) {
		return nil
	}
	acct.flight = &flight{account: acct, want: acct.wanted(), done: make(chan struct{})}
	go a.fly(acct.flight)
	return acct.flight
}

// fly asks other hosts for tokens until enough are lent or nobody is left to ask.
func (a *Admitter) fly(f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), flightTimeout)
	defer cancel()
	s := newSearch(a, f.account)
	for range maxRounds {
		members := s.next()
		if len(members) == 0 || f.lent() >= f.want/2 || ctx.Err() != nil {
			break
		}
		s.suggest(a.askAll(ctx, f, members))
	}
	a.land(f)
}

// land ends a flight. One that brought nothing delays the next.
func (a *Admitter) land(f *flight) {
	now := a.options.Now()
	acct := f.account
	acct.mu.Lock()
	if f.tokens > 0 {
		acct.backoff = 0
	} else {
		acct.backoff = min(max(2*acct.backoff, backoffMin), backoffMax)
		acct.retryAt = now.Add(acct.backoff/2 + rand.N(acct.backoff))
	}
	acct.flight = nil
	acct.mu.Unlock()
	close(f.done)
}

// askAll asks hosts at the same time and returns the hosts that they suggest.
func (a *Admitter) askAll(ctx context.Context, f *flight, members []host.Identity) []host.ID {
	suggested := make([][]host.ID, len(members))
	want := math.Max(math.Ceil(f.want/float64(len(members))), 1)
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() { suggested[i] = a.ask(ctx, f, member, want) })
	}
	group.Wait()
	return slices.Concat(suggested...)
}

// ask requests tokens of one host and settles its earlier loans.
func (a *Admitter) ask(ctx context.Context, f *flight, lender host.Identity, want float64) []host.ID {
	timeout := farTimeout
	if lender.FailureDomain == a.options.View.Self().FailureDomain {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	acct := f.account
	asked := a.options.Now()
	key := allotment.Lender{Host: lender.ID, Incarnation: lender.Incarnation}
	acct.mu.Lock()
	settlements := acct.borrowed.PendingReturns(asked, key)
	acct.mu.Unlock()
	request := BorrowRequest{Account: acct.name, Want: want, Settlements: settlements, Lender: key.Incarnation}
	a.stats.asked.Inc(1)
	var response BorrowResponse
	if err := a.options.Caller.Call(ctx, lender.Fleet, KindBorrow, request, &response); err != nil {
		a.stats.askFailed.Inc(1)
		acct.forget(lender.ID)
		return nil
	}
	acct.accept(a.options.Now(), asked, key, settlements, response)
	f.add(response.Loan.Tokens)
	return response.Lenders
}

// accept takes a lender's answer and wakes the requests that wait.
func (a *account) accept(now, asked time.Time, lender allotment.Lender, settled []allotment.LoanReturn, response BorrowResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowed.Acknowledge(lender, settled)
	lender.Incarnation = response.Incarnation
	a.borrowed.Add(now, asked, lender, response.Loan)
	a.lenders.note(lender.Host, response.Loan.Tokens >= 1)
	if response.Loan.Tokens >= 1 {
		close(a.loaned)
		a.loaned = make(chan struct{})
	}
}

func (a *account) forget(lender host.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lenders.note(lender, false)
}

// handleBorrow lends tokens of this host's share.
func (a *Admitter) handleBorrow(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request BorrowRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	self := a.options.View.Self()
	response := BorrowResponse{Incarnation: self.Incarnation}
	acct := a.account(request.Account)
	if acct == nil {
		return response, nil
	}
	now := a.options.Now()
	if request.Lender == self.Incarnation {
		acct.settle(now, request.Settlements)
	}
	if request.Want < 1 {
		return response, nil
	}
	response.Loan = acct.lend(now, request.Want)
	if response.Loan.Tokens < 1 {
		response.Lenders = a.suggest(request.Account, from.ID)
		return response, nil
	}
	a.stats.lent.Inc(int64(response.Loan.Tokens))
	return response, nil
}

// suggest names hosts that may lend: this leader's choice, or the leader.
func (a *Admitter) suggest(account string, borrower host.ID) []host.ID {
	if a.options.Lenders != nil {
		if lenders := a.options.Lenders(account, borrower); len(lenders) > 0 {
			return lenders[:min(len(lenders), maxSuggestions)]
		}
	}
	leader, _, ok := a.options.Leadership.Current()
	if !ok || leader.ID == a.options.View.Self().ID {
		return nil
	}
	return []host.ID{leader.ID}
}
