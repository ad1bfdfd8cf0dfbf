package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/problem"
)

// A response with an invalid status closed the connection of the caller without an answer, or
// reached the caller.
func TestResponseWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "-00"} {
		t.Run(status, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nok")
			})
			h := newHarness(t, nil, address)
			response, body := h.do(h.request("POST", "/desk/reservations", ""))
			require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
			require.Equal(t, string(problem.ExecutedUnknown), response.Header.Get(problem.ExecutedHeader))
		})
	}
}
