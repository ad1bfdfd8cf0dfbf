package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/httpstatus"
)

// serve sends a response to each request on a connection, and extra bytes after the first one.
func serve(t *testing.T, response, extra string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for after := extra; ; after = "" {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(conn, response+after)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func get(t *testing.T, transport http.RoundTripper, address string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", nil)
	require.NoError(t, err)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newTestTransport() *Transport {
	return NewTransport(&http.Transport{MaxConnsPerHost: 1}, new(net.Dialer).DialContext)
}

func TestTransportRefusesResponsesThatAreNotWellFormed(t *testing.T) {
	var malformed *MalformedError
	var status *httpstatus.InvalidError
	for response, target := range map[string]any{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok": &status,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":     &malformed,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\x01B: 2\r\n\r\nok":       &malformed,
	} {
		_, err := get(t, newTestTransport(), serve(t, response, ""))
		require.ErrorAs(t, err, target)
		require.True(t, IsInvalid(err))
	}
}

// Bytes after a response are not the response to the next request.
func TestBytesAfterAResponseAreNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	address := serve(t, response+"ok", response+"no")
	transport := newTestTransport()
	for range 200 {
		body, err := get(t, transport, address)
		if err == nil {
			require.Equal(t, "ok", body)
		}
	}
}

// The head is checked in the same way however it is cut into reads.
func TestHeadScannerReadsAnyParts(t *testing.T) {
	const interim, good = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\n"
	const bad = "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n"
	for size := 1; size < len(interim+good); size++ {
		for _, head := range []string{good, interim + good, bad, interim + bad} {
			var s headScanner
			s.start()
			var err error
			for rest := head + "\x00 body"; rest != "" && err == nil; {
				n := min(size, len(rest))
				err = s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			require.Equal(t, head == good || head == interim+good, err == nil && s.complete, "%q in parts of %d: %v", head, size, err)
		}
	}
}

func TestEndOfAResponseThatWasResetIsAnError(t *testing.T) {
	dialed, peer := connect(t)
	c := NewConn(dialed)
	c.ExpectResponse()
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\npart")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, Check(c, response))
	failed := writeUntilError(c)
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	<-failed
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
}
