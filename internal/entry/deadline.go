package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/problem"
)

const (
	defaultDeadline = 30 * time.Second
	longestDeadline = 10 * time.Minute
)

// limitTime gives the request its deadline. The exchange's context ends with it.
func (f *FrontDoor) limitTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		left, ok := timeLeft(r.Header.Get(DeadlineHeader), x.service)
		if !ok {
			x.refuse(w, malformed(DeadlineHeader+" must be a whole number of milliseconds"))
			return
		}
		x.deadline = x.start.Add(left)
		if left <= 0 {
			x.refuse(w, problem.New(problem.TypeDeadlineExceeded, problem.ExecutedNo, "the deadline had passed on arrival"))
			return
		}
		ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
		defer cancel()
		x.ctx = ctx
		next.ServeHTTP(w, r)
	})
}

// timeLeft returns the time that a request may take.
func timeLeft(header string, service *configuration.Service) (time.Duration, bool) {
	longest := longestDeadline
	if limit := service.MaxDeadline.Std(); limit > 0 {
		longest = min(longest, limit)
	}
	if header == "" {
		return min(defaultTime(service), longest), true
	}
	milliseconds, err := strconv.ParseInt(header, 10, 32)
	if err != nil {
		return 0, false
	}
	return min(time.Duration(milliseconds)*time.Millisecond, longest), true
}

func defaultTime(service *configuration.Service) time.Duration {
	if d := service.DefaultDeadline.Std(); d > 0 {
		return d
	}
	return defaultDeadline
}

// millisecondsLeft returns the value of DeadlineHeader for the next hop, zero if
// less than a millisecond is left.
func (x *exchange) millisecondsLeft(now time.Time) int64 {
	return x.deadline.Sub(now).Milliseconds()
}
