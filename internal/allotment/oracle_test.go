package allotment

import (
	"fmt"
	"math"
	"time"
)

// oracle counts the admissions of one account independently of the implementation
// under test.
type oracle struct {
	admissions []admission
	limits     []limitChange
}

type admission struct {
	at    time.Time
	burst float64 // burst in force at that time
}

type limitChange struct {
	at          time.Time
	rate, burst float64
}

func (o *oracle) setLimit(at time.Time, s Share) {
	o.limits = append(o.limits, limitChange{at, s.Rate, s.Burst})
}

func (o *oracle) admit(at time.Time) {
	o.admissions = append(o.admissions, admission{at, o.limits[len(o.limits)-1].burst})
}

// check requires that the number of admissions in each window is at most the burst in
// force at the first admission plus the integral of the rate.
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

// accrued returns the integral of the rate over the given period.
func (o *oracle) accrued(since, until time.Time) float64 {
	tokens := 0.0
	for i, c := range o.limits {
		end := until
		if i+1 < len(o.limits) && o.limits[i+1].at.Before(until) {
			end = o.limits[i+1].at
		}
		start := c.at
		if start.Before(since) {
			start = since
		}
		tokens += c.rate * math.Max(end.Sub(start).Seconds(), 0)
	}
	return tokens * (1 + modelDrift)
}
