package allotment

import (
	"slices"
	"time"

	"peridotrail/internal/host"
)

// Lender names the process that lent tokens.
type Lender struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
}

// LoanReturn tells a lender that its borrower has ended a loan, and how many tokens
// were unspent.
type LoanReturn struct {
	ID      LoanID  `cbor:"1,keyasint"`
	Unspent float64 `cbor:"2,keyasint,omitempty"`
}

// borrowedLoan is the borrower's record of a loan.
type borrowedLoan struct {
	lender Lender
	id     LoanID
	tokens float64
	until  time.Time
}

// Borrowed holds the tokens that a host has borrowed for one client account.
type Borrowed struct {
	loans     []borrowedLoan
	ended     []endedLoan
	mutations mutations
}

type endedLoan struct {
	lender       Lender
	loanReturn   LoanReturn
	acknowledged bool      // the lender has received the return
	expiresAt    time.Time // end of the loan; Add ignores a late reply after this
}

// Add accepts a loan that was requested at the time asked, from which its term
// counts. It ignores loans that have ended and loans that it has seen before.
func (b *Borrowed) Add(now, asked time.Time, lender Lender, loan Loan) {
	if b.mutations.leaseFromReply {
		asked = now
	}
	until := asked.Add(loan.Term)
	if !now.Before(until) || loan.Tokens <= 0 || b.hasSeen(lender, loan.ID) {
		return
	}
	b.loans = append(b.loans, borrowedLoan{lender: lender, id: loan.ID, tokens: loan.Tokens, until: until})
}

func (b *Borrowed) hasSeen(lender Lender, id LoanID) bool {
	current := slices.ContainsFunc(b.loans, func(loan borrowedLoan) bool { return loan.lender == lender && loan.id == id })
	return current || slices.ContainsFunc(b.ended, func(loan endedLoan) bool {
		return loan.lender == lender && loan.loanReturn.ID == id
	})
}

// Take spends one borrowed token and reports whether there was one.
func (b *Borrowed) Take(now time.Time) bool {
	b.expireLoans(now)
	if len(b.loans) == 0 {
		return false
	}
	first := &b.loans[0]
	first.tokens--
	if first.tokens < 1 {
		b.endLoan(0)
	}
	return true
}

// Tokens returns the borrowed tokens that can be spent at now.
func (b *Borrowed) Tokens(now time.Time) float64 {
	b.expireLoans(now)
	total := 0.0
	for _, loan := range b.loans {
		total += loan.tokens
	}
	return total
}

// expireLoans ends the loans whose term is over, and forgets ended loans that a
// late reply can no longer add again.
func (b *Borrowed) expireLoans(now time.Time) {
	for i := 0; i < len(b.loans); {
		if now.Before(b.loans[i].until) {
			i++
			continue
		}
		b.endLoan(i)
	}
	b.ended = slices.DeleteFunc(b.ended, func(loan endedLoan) bool { return !now.Before(loan.expiresAt) })
}

// endLoan gives up the tokens of the loan at index i. It remembers the loan until
// its term is over, to return the tokens and to reject duplicates.
func (b *Borrowed) endLoan(i int) {
	loan := b.loans[i]
	b.loans = slices.Delete(b.loans, i, i+1)
	b.ended = append(b.ended, endedLoan{
		lender:     loan.lender,
		loanReturn: LoanReturn{ID: loan.id, Unspent: loan.tokens},
		expiresAt:  loan.until,
	})
}

// PendingReturns returns the ended loans that the lender has not acknowledged. It
// is safe to send them more than once.
func (b *Borrowed) PendingReturns(now time.Time, lender Lender) []LoanReturn {
	b.expireLoans(now)
	var out []LoanReturn
	for _, loan := range b.ended {
		if loan.lender == lender && !loan.acknowledged {
			out = append(out, loan.loanReturn)
		}
	}
	return out
}

// LendersToNotify returns the lenders for which there are pending returns.
func (b *Borrowed) LendersToNotify(now time.Time) []Lender {
	b.expireLoans(now)
	var out []Lender
	for _, loan := range b.ended {
		if !loan.acknowledged && !slices.Contains(out, loan.lender) {
			out = append(out, loan.lender)
		}
	}
	return out
}

// Acknowledge records that the lender has received the returns in sent.
func (b *Borrowed) Acknowledge(lender Lender, sent []LoanReturn) {
	for i := range b.ended {
		loan := &b.ended[i]
		matches := func(other LoanReturn) bool { return other.ID == loan.loanReturn.ID }
		if loan.lender == lender && slices.ContainsFunc(sent, matches) {
			loan.acknowledged = true
		}
	}
}

// ReturnEnding gives up the tokens of loans that end within the remaining time, so
// that the lender can use them before the loan would have ended.
func (b *Borrowed) ReturnEnding(now time.Time, remaining time.Duration) {
	b.expireLoans(now)
	for i := 0; i < len(b.loans); {
		if b.loans[i].until.Sub(now) > remaining {
			i++
			continue
		}
		b.endLoan(i)
	}
}
