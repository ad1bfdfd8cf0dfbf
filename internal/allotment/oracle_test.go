package allotment

import (
	"fmt"
	"math"
	"time"
)

// oracle counts the admissions of one account on its own, without any type of
// the package under test.
type oracle struct {
	admissions []admission
	changes    []wholeChange
}

type admission struct {
	at    time.Time
	burst float64 // in force at the admission
}

type wholeChange struct {
	at          time.Time
	rate, burst float64
}

func (o *oracle) whole(at time.Time, s Share) {
	o.changes = append(o.changes, wholeChange{at, s.Rate, s.Burst})
}

func (o *oracle) admit(at time.Time) {
	o.admissions = append(o.admissions, admission{at, o.changes[len(o.changes)-1].burst})
}

// check compares the admissions of each window with the burst in force at its
// first admission and the integral of the rate.
func (o *oracle) check() error {
	for i, first := range o.admissions {
		for j := i; j < len(o.admissions); j++ {
			count := float64(j - i + 1)
			last := o.admissions[j]
			limit := first.burst + o.accrued(first.at, last.at)
			if count > limit+1e-6 {
				return fmt.Errorf("%v admissions in %v, allowed %v", count, last.at.Sub(first.at), limit)
			}
		}
	}
	return nil
}

// accrued returns the integral of the rate from s to e.
func (o *oracle) accrued(s, e time.Time) float64 {
	tokens := 0.0
	for i, c := range o.changes {
		end := e
		if i+1 < len(o.changes) && o.changes[i+1].at.Before(e) {
			end = o.changes[i+1].at
		}
		from := c.at
		if from.Before(s) {
			from = s
		}
		tokens += c.rate * math.Max(end.Sub(from).Seconds(), 0)
	}
	return tokens * (1 + modelDrift)
}
