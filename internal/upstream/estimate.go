package upstream

import (
	"math"
	"time"
)

// Settings of the estimates of service time.
const (
	estimateTau      = 2 * time.Second // time constant of the moving averages
	estimateMinAlpha = 0.02            // least weight of one observation
	estimateMaxAlpha = 0.3             // greatest weight of one observation
	estimateMaxAge   = time.Second     // age from which an estimate refuses no work
)

// estimate is an exponentially weighted moving average of service times, in
// seconds.
type estimate struct {
	mean float64
	last time.Time
}

// observe takes over one service time.
func (e *estimate) observe(d time.Duration, now time.Time) {
	if e.last.IsZero() {
		e.mean = d.Seconds()
		e.last = now
		return
	}
	alpha := 1 - math.Exp(-now.Sub(e.last).Seconds()/estimateTau.Seconds())
	alpha = min(estimateMaxAlpha, max(estimateMinAlpha, alpha))
	e.mean += alpha * (d.Seconds() - e.mean)
	e.last = now
}

// seconds returns the mean; zero if nothing was observed.
func (e *estimate) seconds() float64 { return e.mean }

// current returns the mean as a duration, or zero if it is too old to refuse
// work for.
func (e *estimate) current(now time.Time) time.Duration {
	if e.last.IsZero() || now.Sub(e.last) > estimateMaxAge {
		return 0
	}
	return time.Duration(e.mean * float64(time.Second))
}
