package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

// returnLoad plays an account that for 4 s of each 12 s sends 1.7 times its rate, and 0.7 times
// otherwise. A refused request returns once, after at most a third of its remaining time.
func returnLoad(seed uint64, rate float64, timeout time.Duration, returnAfter func(b *Bucket, longest time.Duration, now boottime.Instant) time.Duration) (served, refusedAgain int) {
	random, start := rand.New(rand.NewPCG(seed, 1)), boottime.Instant(time.Hour)
	b := &Bucket{}
	b.SetLimit(rate, rate/2, start)
	type request struct {
		at, deadline boottime.Instant
		returned     bool
	}
	var returning []request
	for at := start; at.Sub(start) < time.Minute; {
		factor := 0.7
		if at.Sub(start)%(12*time.Second) >= 8*time.Second {
			factor = 1.7
		}
		at = at.Add(time.Duration(random.ExpFloat64() / (rate * factor) * float64(time.Second)))
		for { // those that return before the new one, then that one
			next, index := request{at: at, deadline: at.Add(timeout)}, -1
			for i, r := range returning {
				if r.at < next.at {
					next, index = r, i
				}
			}
			b.RecordDemand(next.at)
			longest := next.deadline.Sub(next.at) / 3
			if b.Take(next.at) {
				served++
			} else if wait := min(returnAfter(b, longest, next.at), longest); next.returned {
				refusedAgain++
			} else {
				returning = append(returning, request{at: next.at.Add(wait), deadline: next.deadline, returned: true})
			}
			if index < 0 {
				break
			}
			returning = append(returning[:index], returning[index+1:]...)
		}
	}
	return served, refusedAgain
}

// All callers that were refused for the rate got about the same time to return, and most of them were
// refused again. The load is a burst above the rate.
func TestCallersOverTheRateReturnedTogether(t *testing.T) {
	together := func(b *Bucket, _ time.Duration, _ boottime.Instant) time.Duration {
		return max(minRetryAfter, b.estimatedWait())
	}
	for _, rate := range []float64{2, 5, 20, 200} {
		for _, timeout := range []time.Duration{1200 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			var servedBefore, againBefore, served, again int
			for seed := range uint64(10) {
				s, a := returnLoad(seed, rate, timeout, together)
				servedBefore, againBefore = servedBefore+s, againBefore+a
				s, a = returnLoad(seed, rate, timeout, (*Bucket).ReturnAfter)
				served, again = served+s, again+a
			}
			t.Logf("rate %v timeout %v: served %d to %d, refused again %d to %d", rate, timeout, servedBefore, served, againBefore, again)
			require.GreaterOrEqual(t, served, servedBefore)
			require.LessOrEqual(t, again, againBefore)
		}
	}
}
