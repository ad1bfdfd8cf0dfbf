package entry

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

// withdrawKeys puts a policy without keys in force, as a change of the
// configuration does.
func (h *harness) withdrawKeys() {
	p := *h.policy.Load()
	p.keys = nil
	h.policy.Store(&p)
	h.active.Withdraw(func(d clientaccount.Digest) (string, bool) {
		account, _, ok := p.KeyOwner(d)
		return account, ok
	})
}

func TestWithdrawnKeyOnAnOpenConnection(t *testing.T) {
	h := newHarness(t, nil, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	response, _ := h.do(h.request("GET", "/desk/list", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	h.withdrawKeys()
	response, _ = h.do(h.request("GET", "/desk/list", ""))
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
}

func TestWithdrawnKeyEndsAWaitingRequest(t *testing.T) {
	waiting := make(chan struct{})
	h := newHarness(t, func(o *Options) {
		o.Dispatcher = DispatcherFunc(func(ctx context.Context, _ upstream.Work) (Permit, error) {
			close(waiting)
			<-ctx.Done()
			return nil, &upstream.RefusedError{Reason: upstream.ReasonWithdrawn, Err: ctx.Err()}
		})
	})
	go func() {
		<-waiting
		h.withdrawKeys()
	}()
	response, body := h.do(h.request("POST", "/desk/reservations", "adult"))
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
	require.Contains(t, body, string(problem.TypeKeyWithdrawn))
}

func TestWithdrawnKeyAbortsAStreamingResponse(t *testing.T) {
	ended := make(chan struct{})
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	h := newHarness(t, nil, address)
	response, err := h.client.Do(h.request("GET", "/desk/list", ""))
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("first")))
	require.NoError(t, err)
	h.withdrawKeys()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	<-ended
}

func TestWithdrawnKeyEndsARequestWhoseBodyIsOutstanding(t *testing.T) {
	h := newHarness(t, nil, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	in, out := io.Pipe()
	defer out.Close()
	r := h.request("POST", "/desk/reservations", "")
	r.Body, r.ContentLength = in, 5
	go func() {
		_, _ = out.Write([]byte("ad"))
		for h.active.Count() == 0 {
			runtime.Gosched()
		}
		h.withdrawKeys()
	}()
	response, err := h.client.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
}
