package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/problem"
)

type rateError struct{ after time.Duration }

func (*rateError) Error() string          { return "rate exceeded" }
func (e *rateError) After() time.Duration { return e.after }

func TestAdmissionRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		err        error
		status     int
		retryAfter string
	}{
		"rate":    {errors.Wrap(&rateError{after: 1500 * time.Millisecond}, "account"), http.StatusTooManyRequests, "2"},
		"problem": {problem.New(problem.TypeOverloaded, problem.ExecutedNo, "").WithRetryAfter(3 * time.Second), http.StatusServiceUnavailable, "3"},
		"other":   {context.DeadlineExceeded, http.StatusServiceUnavailable, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(o *Options) {
				o.Admitter = admitFunc(func(_ context.Context, account string) error {
					require.Equal(t, "clinic", account)
					return c.err
				})
			})
			response, _ := h.do(h.request("POST", "/desk/x", "adult"))
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.retryAfter, response.Header.Get("Retry-After"))
			require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
		})
	}
}
