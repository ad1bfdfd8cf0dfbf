package entry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"peridotrail/internal/problem"
)

// admit spends one request of the client account's rate. Open routes have none.
func (f *FrontDoor) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		if x.account == "" {
			next.ServeHTTP(w, r)
			return
		}
		if err := f.options.Admitter.Admit(x.ctx, x.account); err != nil {
			x.refuse(w, x.admissionProblem(x.ctx, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (x *exchange) admissionProblem(ctx context.Context, err error) *problem.Problem {
	var rate RateError
	if errors.As(err, &rate) {
		return problem.New(problem.TypeRateExceeded, problem.ExecutedNo, "").WithRetryAfter(rate.After())
	}
	if p := endProblem(ctx, problem.ExecutedNo, "while the rate was asked for"); p != nil {
		return p
	}
	var refusal *problem.Problem
	if errors.As(err, &refusal) && refusal.Executed == problem.ExecutedNo {
		return refusal
	}
	return problem.New(problem.TypeNotReady, problem.ExecutedNo, "the rate can't be checked now").WithRetryAfter(notReadyRetry)
}
