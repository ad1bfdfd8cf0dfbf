package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/problem"
)

func TestKeyedRequestIsForwardedWhole(t *testing.T) {
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s|%s", r.Method, r.URL.RequestURI(), r.Header.Get(AccountHeader), body)
	})
	h := newHarness(t, nil, address)
	response, body := h.do(h.request("POST", "/desk/reservations?place=4", "adult"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "POST /reservations?place=4 clinic|adult", body)
	require.NotEmpty(t, response.Header.Get(RequestIDHeader))
}

func TestRefusals(t *testing.T) {
	contacted := false
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) { contacted = true })
	h := newHarness(t, nil, address)
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
		kind   problem.Type
	}{
		{"no key", func(r *http.Request) { r.Header.Del("Authorization") }, 401, problem.TypeUnauthenticated},
		{"unknown key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }, 401, problem.TypeUnauthenticated},
		{"two keys", func(r *http.Request) { r.Header.Add("Authorization", "Bearer other") }, 400, problem.TypeMalformed},
		{"unknown service", func(r *http.Request) { r.URL.Path = "/nothing/" }, 404, problem.TypeNotFound},
		{"bad deadline", func(r *http.Request) { r.Header.Set(DeadlineHeader, "soon") }, 400, problem.TypeMalformed},
		{"deadline passed", func(r *http.Request) { r.Header.Set(DeadlineHeader, "0") }, 504, problem.TypeDeadlineExceeded},
		{"upgrade", func(r *http.Request) { r.Header.Set("Upgrade", "websocket") }, 400, problem.TypeMalformed},
		{"connection names key header", func(r *http.Request) { r.Header.Set("Connection", "authorization") }, 400, problem.TypeMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := h.request("POST", "/desk/reservations", "")
			c.change(r)
			response, body := h.do(r)
			require.Equal(t, c.status, response.StatusCode, body)
			require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
			require.Contains(t, body, string(c.kind))
		})
	}
	require.False(t, contacted)
}
