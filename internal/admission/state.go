package admission

import (
	"time"

	"peridotrail/internal/allotment"
)

// State is this host's share of one client account's rate and its use.
type State struct {
	Account  string
	Share    allotment.Share
	Tokens   float64 // tokens that can be spent now, borrowed ones included
	Admitted int64   // requests since the process started
	Refused  int64   // requests over the rate since the process started
}

// States returns the state of all accounts at now.
func (a *Admitter) States(now time.Time) []State {
	var states []State
	for _, name := range a.Accounts() {
		if acct := a.account(name); acct != nil {
			states = append(states, acct.state(now))
		}
	}
	return states
}

func (a *account) state(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Account:  a.name,
		Share:    a.bucket.Share(),
		Tokens:   a.bucket.Tokens(now) + a.borrowed.Tokens(now),
		Admitted: a.admitted.Load(),
		Refused:  a.refused.Load(),
	}
}
