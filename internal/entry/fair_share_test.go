package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/upstream"
)

func TestOpenRouteUsesTheFairShareOfItsKeyAndNoRate(t *testing.T) {
	var queued []string
	admitted := 0
	h := newHarness(t, func(o *Options) {
		o.Admitter = admitFunc(func(context.Context, string) error { admitted++; return nil })
		o.Dispatcher = DispatcherFunc(func(_ context.Context, work upstream.Work) (Permit, error) {
			queued = append(queued, work.Account)
			return nil, &upstream.RefusedError{Reason: upstream.ReasonOverloaded}
		})
	})
	for _, key := range []string{testKey, "unknown", ""} {
		request := h.request("GET", "/desk/open/x", "")
		request.Header.Del("Authorization")
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		response, _ := h.do(request)
		require.Equal(t, 503, response.StatusCode)
	}
	require.Equal(t, []string{"clinic", "", ""}, queued)
	require.Zero(t, admitted)
}
