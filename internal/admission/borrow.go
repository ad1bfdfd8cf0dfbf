package admission

import (
	"context"
	"math/rand/v2"
	"slices"
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
	maxAsked       = 4 // hosts of the own domain asked in one flight
	maxAskedFar    = 3 // hosts of other domains asked in one flight
	backoffMin     = 4 * time.Millisecond
	backoffMax     = 200 * time.Millisecond
	maxSuggestions = 4
)

// BorrowRequest asks for tokens and settles earlier loans of the same lender.
type BorrowRequest struct {
	Account     string                 `cbor:"1,keyasint"`
	Want        float64                `cbor:"2,keyasint,omitempty"` // zero only settles
	Settlements []allotment.Settlement `cbor:"3,keyasint,omitempty"`
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
	f := &flight{done: make(chan struct{})}
	acct.flight = f
	go a.fly(acct, f)
	return f
}

// fly asks other hosts for tokens until one lends.
func (a *Admitter) fly(acct *account, f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), flightTimeout)
	defer cancel()
	ok := a.askAll(ctx, acct)
	now := a.options.Now()
	acct.mu.Lock()
	if ok {
		acct.backoff = 0
	} else {
		acct.backoff = min(max(2*acct.backoff, backoffMin), backoffMax)
		acct.retryAt = now.Add(acct.backoff/2 + rand.N(acct.backoff))
	}
	acct.flight = nil
	acct.mu.Unlock()
	close(f.done)
}

// askAll asks the last lender, then the hosts that the leader suggests, then
// hosts of other failure domains.
func (a *Admitter) askAll(ctx context.Context, acct *account) bool {
	s := newSearch(a, acct)
	for s.near < maxAsked || s.far < maxAskedFar {
		member, ok := s.next()
		if !ok || ctx.Err() != nil {
			return false
		}
		lent, suggested := a.ask(ctx, acct, member)
		if lent {
			return true
		}
		s.suggest(suggested)
	}
	return false
}

// ask requests tokens of one host and settles its earlier loans.
func (a *Admitter) ask(ctx context.Context, acct *account, lender host.Identity) (bool, []host.ID) {
	timeout := farTimeout
	if lender.FailureDomain == a.options.View.Self().FailureDomain {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := a.options.Now()
	key := allotment.Lender{Host: lender.ID, Incarnation: lender.Incarnation}
	acct.mu.Lock()
	request := BorrowRequest{Account: acct.name, Want: acct.wanted(asked), Settlements: acct.borrowed.Settlements(asked, key), Lender: key.Incarnation}
	acct.mu.Unlock()
	a.stats.asked.Inc(1)
	var response BorrowResponse
	if err := a.options.Caller.Call(ctx, lender.Fleet, KindBorrow, request, &response); err != nil {
		a.stats.askFailed.Inc(1)
		return false, nil
	}
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.borrowed.Acknowledge(key, request.Settlements)
	key.Incarnation = response.Incarnation
	acct.borrowed.Add(now, asked, key, response.Loan)
	if response.Loan.Tokens < 1 {
		if acct.lender == lender.ID {
			acct.lender = ""
		}
		return false, response.Lenders
	}
	acct.lender = lender.ID
	return true, nil
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

// search orders the hosts that one flight asks.
type search struct {
	self   host.Identity
	live   map[host.ID]host.Identity
	queue  []host.ID // of the own domain, or suggested
	others []host.ID // of other domains, in random order
	asked  map[host.ID]bool
	near   int
	far    int
}

func newSearch(a *Admitter, acct *account) *search {
	s := &search{self: a.options.View.Self(), live: map[host.ID]host.Identity{}, asked: map[host.ID]bool{}}
	for _, m := range a.options.View.Members() {
		if m.State != host.StateLive {
			continue
		}
		s.live[m.Identity.ID] = m.Identity
		if m.Identity.FailureDomain != s.self.FailureDomain {
			s.others = append(s.others, m.Identity.ID)
		}
	}
	rand.Shuffle(len(s.others), func(i, j int) { s.others[i], s.others[j] = s.others[j], s.others[i] })
	acct.mu.Lock()
	s.queue = append(s.queue, acct.lender)
	acct.mu.Unlock()
	leader, _, ok := a.options.Leadership.Current()
	switch {
	case ok && leader.ID == s.self.ID && a.options.Lenders != nil:
		s.queue = append(s.queue, a.options.Lenders(acct.name, s.self.ID)...)
	case ok:
		s.queue = append(s.queue, leader.ID)
	}
	return s
}

// suggest puts the hosts that another host named before all others.
func (s *search) suggest(ids []host.ID) { s.queue = slices.Concat(ids, s.queue) }

// next returns the next host to ask, once each.
func (s *search) next() (host.Identity, bool) {
	for len(s.queue) > 0 {
		id := s.queue[0]
		s.queue = s.queue[1:]
		if member, ok := s.take(id); ok {
			return member, true
		}
	}
	for len(s.others) > 0 && s.far < maxAskedFar {
		id := s.others[0]
		s.others = s.others[1:]
		if member, ok := s.take(id); ok {
			return member, true
		}
	}
	return host.Identity{}, false
}

func (s *search) take(id host.ID) (host.Identity, bool) {
	member, live := s.live[id]
	if !live || s.asked[id] {
		return host.Identity{}, false
	}
	s.asked[id] = true
	if member.FailureDomain == s.self.FailureDomain {
		s.near++
	} else {
		s.far++
	}
	return member, true
}
