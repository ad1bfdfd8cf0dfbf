package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
)

// A probe took a response with an invalid status for that of a healthy upstream.
func TestProbeWithAnInvalidStatusFails(t *testing.T) {
	for status, healthy := range map[string]bool{"000": false, "099": false, "600": false, "200": true, "404": true, "503": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nConnection: close\r\nContent-Length: 11\r\n\r\n{\"inUse\":1}", status))
		}))
		defer server.Close()
		u := configuration.Upstream{Name: "u", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
		result := probe(t.Context(), configuration.Service{HealthPath: "/health", LoadPath: "/load"}, u, forward.NewTransport(func() int { return 4 }))
		require.Equal(t, healthy, result.Healthy, status)
		require.Equal(t, healthy, result.InUse == 1, status)
	}
}
