package upstream

import (
	"math"
	"time"
)

// Settings of the service time estimates.
const (
	estimateTimeConstant = 2 * time.Second // time constant of the moving averages
	estimateMinAlpha     = 0.02            // minimum weight of one observation
	estimateMaxAlpha     = 0.3             // maximum weight of one observation
	estimateMaxAge       = time.Second     // an older estimate refuses no requests: it would never be corrected if none ran
)

// estimate is an exponentially weighted moving average of service times.
type estimate struct {
	mean float64 // seconds
	last time.Time
}

// observe adds one service time.
func (e *estimate) observe(d time.Duration, now time.Time) {
	if e.last.IsZero() {
		e.mean = d.Seconds()
		e.last = now
		return
	}
	alpha := 1 - math.Exp(-now.Sub(e.last).Seconds()/estimateTimeConstant.Seconds())
	alpha = min(estimateMaxAlpha, max(estimateMinAlpha, alpha))
	e.mean += alpha * (d.Seconds() - e.mean)
	e.last = now
}

// seconds returns the mean in seconds, or zero if nothing was observed.
func (e *estimate) seconds() float64 { return e.mean }

// recent returns the mean, or zero if the last observation is older than
// estimateMaxAge.
func (e *estimate) recent(now time.Time) time.Duration {
	if e.last.IsZero() || now.Sub(e.last) > estimateMaxAge {
		return 0
	}
	return time.Duration(e.mean * float64(time.Second))
}
