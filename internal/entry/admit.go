package entry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"peridotrail/internal/problem"
)

// admit takes one request from the client account's rate. Requests on open
// routes belong to no account and are not rate-limited.
func (h *Handler) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		if x.account == "" {
			next.ServeHTTP(w, r)
			return
		}
		if err := h.options.Admitter.Admit(x.ctx, x.account); err != nil {
			x.refuse(w, x.admissionProblem(x.ctx, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// admissionProblem translates an error of the Admitter into a refusal.
func (x *exchange) admissionProblem(ctx context.Context, err error) *problem.Problem {
	var rate RateError
	if errors.As(err, &rate) {
		return problem.New(problem.TypeRateExceeded, problem.ExecutedNo, "").WithRetryAfter(rate.After())
	}
	if p := contextProblem(ctx, problem.ExecutedNo, "while the rate was asked for"); p != nil {
		return p
	}
	var refusal *problem.Problem
	if errors.As(err, &refusal) && refusal.Executed == problem.ExecutedNo {
		return refusal
	}
	return problem.New(problem.TypeNotReady, problem.ExecutedNo, "the rate can't be checked now").WithRetryAfter(notReadyRetryAfter)
}
