package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

func TestSmuggledRequestsAreRefused(t *testing.T) {
	var contacted atomic.Int64
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) { contacted.Add(1) })
	h := newHarness(t, nil, address)
	head := "POST /desk/reservations HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := map[string]string{
		"length and chunked":   head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunked and length":   head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"repeated length":      head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"folded header":        head + "X: a\r\n Content-Length: 3\r\nContent-Length: 0\r\n\r\n",
		"chunked in HTTP/1.0":  "POST /desk/reservations HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"upgrade to HTTP/2":    head + "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n",
		"absolute target":      "GET http://other/desk/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"fragment":             "GET /desk/a#b HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"connect":              "CONNECT /desk/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"two keys, other case": head + "AUTHORIZATION: Bearer other\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			response, body := h.raw(text)
			require.Equal(t, http.StatusBadRequest, response.StatusCode, body)
			require.True(t, response.Close)
			require.Equal(t, "no", response.Header.Get(problem.ExecutedHeader))
		})
	}
	require.Zero(t, contacted.Load())
}

func TestAmbiguousPathsDoNotReachKeyedRoutes(t *testing.T) {
	var contacted atomic.Int64
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) { contacted.Add(1) })
	h := newHarness(t, nil, address)
	for _, path := range []string{
		"/desk/open/../reservations", "/desk/open/%2e%2e/reservations", "/desk/open/.%2E/reservations",
		"/desk/open/%2f../reservations", "/desk/open//../reservations", "/desk//open/x", "//desk/open/x",
		"/desk/open/..;/reservations", "/desk/open/..%3b/reservations", "/desk/open/..\\reservations",
		"/desk/open/%5c..%5creservations", "/desk/open/%252e%252e/reservations", "/desk/open/./x",
		"/desk/open/%00/x", "/%64esk/open/x", "/desk/%6fpen/x", "/desk/reservations/%2e%2e/open/",
	} {
		t.Run(path, func(t *testing.T) {
			response, body := h.raw("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
			require.GreaterOrEqual(t, response.StatusCode, 400, body)
		})
	}
	require.Zero(t, contacted.Load())
	response, _ := h.raw("GET /desk/open/x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, int64(1), contacted.Load())
}

func TestTruncatedResponseAbortsTheCallersConnection(t *testing.T) {
	for name, response := range map[string]string{
		"fixed length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhalf",
		"chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(conn, response)
			})
			h := newHarness(t, nil, address)
			response, err := h.client.Do(h.request("GET", "/desk/list", ""))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			require.Error(t, err)
			require.Equal(t, upstream.ResultFailed, (<-h.outcomes).Result)
		})
	}
}

// A short response is passed on only after it was received completely, so the
// caller gets a refusal if the response breaks off.
func TestShortTruncatedResponseIsRefused(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	h := newHarness(t, nil, address)
	response, body := h.do(h.request("POST", "/desk/list", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	require.NotContains(t, body, "half")
	require.Equal(t, upstream.ResultFailed, (<-h.outcomes).Result)
}

func TestResponseWithoutFramingIsNotPassedOn(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps cut")
	})
	h := newHarness(t, nil, address)
	response, _ := h.do(h.request("POST", "/desk/reservations", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
}

// An upstream echoes the ID of another request. The response is not passed on and
// the connection is not used again.
func TestMismatchedResponseIsNotPassedOn(t *testing.T) {
	var conns atomic.Int64
	address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get(RequestIDHeader)
			if first {
				id = "another"
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+RequestIDHeader+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	h := newHarness(t, nil, address)
	response, _ := h.do(h.request("POST", "/desk/x", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(problem.ExecutedHeader))
	response, _ = h.do(h.request("POST", "/desk/x", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, int64(2), conns.Load())
}

func TestUpstreamIsNotContactedBeforeTheBodyArrives(t *testing.T) {
	var contacted atomic.Int64
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		contacted.Add(1)
		_, _ = io.Copy(w, r.Body)
	})
	h := newHarness(t, nil, address)
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /desk/reservations HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+
		"\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100")
	require.Zero(t, contacted.Load())
	_, _ = io.WriteString(conn, "adult")
	_, _ = in.ReadString('\n')
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "adult", string(body))
}

func TestRefusedRequestGetsNoContinue(t *testing.T) {
	h := newHarness(t, nil)
	response, _ := h.raw("POST /desk/reservations HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.True(t, response.Close)
}

func TestKeyNeverReachesAnUpstream(t *testing.T) {
	seen := make(chan string, 1)
	address := serveRaw(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := r.RequestURI + "\n" + r.Host + "\n"
		for name, values := range r.Header {
			text += name + ": " + values[0] + "\n"
		}
		for name, values := range r.Trailer {
			text += name + ": " + values[0] + "\n"
		}
		seen <- text
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	})
	h := newHarness(t, nil, address)
	encoded := "%6b" + testKey[1:]
	r := h.request("POST", "/desk/reservations?a=1&key="+testKey+"&k2="+encoded+"&b=2", "")
	r.Body = io.NopCloser(io.LimitReader(zeroReader{}, 100<<10))
	r.ContentLength = -1
	r.Trailer = http.Header{"X-Key": {testKey}}
	r.Header.Set("Proxy-Authorization", "Bearer "+testKey)
	r.Header.Set("Cookie", "lang=en; key="+testKey+"; session="+encoded)
	r.Header.Set("X-Api-Key", testKey)
	r.Header.Set("X-Encoded", encoded)
	r.Header.Set("X-Named", "secret")
	r.Header.Set("Connection", "X-Named")
	r.Header.Set("Accept-Language", "fr")
	response, _ := h.do(r)
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	text := <-seen
	require.NotContains(t, text, testKey)
	require.NotContains(t, text, encoded)
	require.NotContains(t, text, "secret")
	require.NotContains(t, text, "Authorization")
	require.Contains(t, text, "/reservations?a=1&b=2")
	require.Contains(t, text, "lang=en")
	require.Contains(t, text, "Accept-Language: fr")
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

func TestDeadlineIsForwardedReduced(t *testing.T) {
	seen := make(chan string, 1)
	address := serveUpstream(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get(DeadlineHeader) })
	h := newHarness(t, nil, address)
	r := h.request("GET", "/desk/list", "")
	r.Header.Set(DeadlineHeader, "60000")
	h.do(r)
	left, err := time.ParseDuration(<-seen + "ms")
	require.NoError(t, err)
	require.Less(t, left, time.Minute)
	require.Greater(t, left, time.Duration(0))
}

func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	address := serveUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	ended := make(chan RequestSummary, 1)
	h := newHarness(t, func(o *Options) { o.OnRequestEnd = func(e RequestSummary) { ended <- e } }, address)
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	_, _ = io.WriteString(conn, "GET /desk/list HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	<-started
	conn.Close()
	<-cancelled
	require.Equal(t, upstream.ResultCancelled, (<-h.outcomes).Result)
	require.True(t, (<-ended).CallerFault)
}

func TestPanicEndsOneRequestOnly(t *testing.T) {
	address := serveUpstream(t, func(http.ResponseWriter, *http.Request) {})
	h := newHarness(t, nil, address)
	dispatcher := h.handler.options.Dispatcher
	h.handler.options.Dispatcher = nil
	response, _ := h.do(h.request("POST", "/desk/x", "a"))
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	h.handler.options.Dispatcher = dispatcher
	response, _ = h.do(h.request("POST", "/desk/x", "a"))
	require.Equal(t, http.StatusOK, response.StatusCode)
}
