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

// Settlement tells a lender that a loan has ended.
type Settlement struct {
	ID      LoanID  `cbor:"1,keyasint"`
	Unspent float64 `cbor:"2,keyasint,omitempty"`
}

// credit is one loan as the borrower holds it.
type credit struct {
	lender Lender
	id     LoanID
	tokens float64
	until  time.Time
}

// Borrowed holds the tokens that one host borrowed for one client account.
type Borrowed struct {
	credits []credit
	settled []settled
	rules   rules
}

type settled struct {
	lender     Lender
	settlement Settlement
	received   bool      // the lender has received the settlement
	end        time.Time // end of the loan; a late answer cannot be added after it
}

// Add accepts a loan that was asked for at the given time. A loan that is
// already over, or that was added before, has no effect.
func (b *Borrowed) Add(now, asked time.Time, lender Lender, loan Loan) {
	if b.rules.termFromAnswer {
		asked = now
	}
	until := asked.Add(loan.Term)
	if !now.Before(until) || loan.Tokens <= 0 || b.knows(lender, loan.ID) {
		return
	}
	b.credits = append(b.credits, credit{lender: lender, id: loan.ID, tokens: loan.Tokens, until: until})
}

func (b *Borrowed) knows(lender Lender, id LoanID) bool {
	held := slices.ContainsFunc(b.credits, func(c credit) bool { return c.lender == lender && c.id == id })
	return held || slices.ContainsFunc(b.settled, func(s settled) bool {
		return s.lender == lender && s.settlement.ID == id
	})
}

// Take spends one borrowed token and reports whether there was one.
func (b *Borrowed) Take(now time.Time) bool {
	b.expire(now)
	if len(b.credits) == 0 {
		return false
	}
	first := &b.credits[0]
	first.tokens--
	if first.tokens < 1 {
		b.finish(0)
	}
	return true
}

// Tokens returns the borrowed tokens that can be spent at now.
func (b *Borrowed) Tokens(now time.Time) float64 {
	b.expire(now)
	total := 0.0
	for _, c := range b.credits {
		total += c.tokens
	}
	return total
}

// expire ends the loans whose term is over.
func (b *Borrowed) expire(now time.Time) {
	for i := 0; i < len(b.credits); {
		if now.Before(b.credits[i].until) {
			i++
			continue
		}
		b.finish(i)
	}
	b.settled = slices.DeleteFunc(b.settled, func(s settled) bool { return !now.Before(s.end) })
}

// finish gives up the tokens of a loan and keeps its settlement until the lender
// has surely dropped the loan.
func (b *Borrowed) finish(i int) {
	c := b.credits[i]
	b.credits = slices.Delete(b.credits, i, i+1)
	b.settled = append(b.settled, settled{
		lender:     c.lender,
		settlement: Settlement{ID: c.id, Unspent: c.tokens},
		end:        c.until,
	})
}

// Settlements returns the ended loans of a lender, to be sent to it. Sending one
// twice has no effect.
func (b *Borrowed) Settlements(now time.Time, lender Lender) []Settlement {
	b.expire(now)
	var out []Settlement
	for _, s := range b.settled {
		if s.lender == lender && !s.received {
			out = append(out, s.settlement)
		}
	}
	return out
}

// Lenders returns the lenders that have a settlement to receive.
func (b *Borrowed) Lenders(now time.Time) []Lender {
	b.expire(now)
	var out []Lender
	for _, s := range b.settled {
		if !s.received && !slices.Contains(out, s.lender) {
			out = append(out, s.lender)
		}
	}
	return out
}

// Acknowledge records that the lender has received settlements.
func (b *Borrowed) Acknowledge(lender Lender, sent []Settlement) {
	for i := range b.settled {
		s := &b.settled[i]
		matches := func(other Settlement) bool { return other.ID == s.settlement.ID }
		if s.lender == lender && slices.ContainsFunc(sent, matches) {
			s.received = true
		}
	}
}

// Return gives up the tokens of loans that end within left, so that their
// settlements bring the tokens back to the lender in time.
func (b *Borrowed) Return(now time.Time, left time.Duration) {
	b.expire(now)
	for i := 0; i < len(b.credits); {
		if b.credits[i].until.Sub(now) > left {
			i++
			continue
		}
		b.finish(i)
	}
}
