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
	maxDeadline     = 10 * time.Minute
)

// applyDeadline sets the request's deadline. The exchange's context is cancelled
// when the deadline passes.
func (h *Handler) applyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		timeout, ok := requestTimeout(r.Header.Get(DeadlineHeader), x.service)
		if !ok {
			x.refuse(w, malformed(DeadlineHeader+" must be a whole number of milliseconds"))
			return
		}
		x.deadline = x.start.Add(timeout)
		if timeout <= 0 {
			x.refuse(w, problem.New(problem.TypeDeadlineExceeded, problem.ExecutedNo, "the deadline had passed on arrival"))
			return
		}
		ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
		defer cancel()
		x.ctx = ctx
		next.ServeHTTP(w, r)
	})
}

// requestTimeout returns the time that a request may take: the value of
// DeadlineHeader, or the service's default if the header is absent, limited by
// the service's maximum. It returns false if the header is malformed.
func requestTimeout(header string, service *configuration.Service) (time.Duration, bool) {
	longest := maxDeadline
	if limit := service.MaxDeadline.Std(); limit > 0 {
		longest = min(longest, limit)
	}
	if header == "" {
		return min(serviceTimeout(service), longest), true
	}
	milliseconds, err := strconv.ParseInt(header, 10, 32)
	if err != nil {
		return 0, false
	}
	return min(time.Duration(milliseconds)*time.Millisecond, longest), true
}

// serviceTimeout returns the timeout of requests without DeadlineHeader.
func serviceTimeout(service *configuration.Service) time.Duration {
	if d := service.DefaultDeadline.Std(); d > 0 {
		return d
	}
	return defaultDeadline
}

// remainingMilliseconds returns the value of DeadlineHeader for the next hop. It
// is zero if less than a millisecond remains.
func (x *exchange) remainingMilliseconds(now time.Time) int64 {
	return x.deadline.Sub(now).Milliseconds()
}
