package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestShutdownCompletesRunningRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	address := serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	h := newHarness(t, nil, address)
	answered := make(chan string, 1)
	go func() {
		_, body := h.do(h.request("POST", "/desk/reservations", "adult"))
		answered <- body
	}()
	<-started
	ended := make(chan error, 1)
	go func() { ended <- h.server.Shutdown(context.Background()) }()
	for {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			break // the listener is closed
		}
		conn.Close()
	}
	close(release)
	require.Equal(t, "whole", <-answered)
	require.NoError(t, <-ended)
}

func TestQuiescedServerClosesAfterEachResponse(t *testing.T) {
	h := newHarness(t, nil, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	h.server.Quiesce()
	response, _ := h.do(h.request("GET", "/desk/list", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

func TestUnguardedChunkedRequestIsRefused(t *testing.T) {
	h := newHarness(t, nil, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	unguarded := &http.Server{Handler: h.handler}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = unguarded.Serve(listener) }()
	defer unguarded.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /desk/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", testKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// lockedBuffer collects log lines of several requests.
type lockedBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func TestLogAndMetricsHoldNoKey(t *testing.T) {
	var lines lockedBuffer
	registry := metrics.NewRegistry()
	h := newHarness(t, func(o *Options) {
		o.Logger = log.NewJSONLogger(&lines)
		o.AccessLog = true
		o.Metrics = registry
	}, serveUpstream(t, func(http.ResponseWriter, *http.Request) {}))
	for _, target := range []string{"/desk/list?key=" + testKey, "/desk/" + testKey, "/" + testKey + "/x", "/desk/open/" + testKey} {
		r := h.request("GET", target, "")
		r.Header.Set("X-Key", testKey)
		h.do(r)
	}
	require.NoError(t, h.server.Shutdown(t.Context()))
	text := lines.String()
	require.NotContains(t, text, testKey)
	rows := strings.Split(strings.TrimSpace(text), "\n")
	require.Len(t, rows, 4)
	var row map[string]any
	require.NoError(t, json.Unmarshal([]byte(rows[0]), &row))
	require.Equal(t, "clinic", row["account"])
	require.Equal(t, "desk", row["service"])
	require.InDelta(t, http.StatusOK, row["status"], 0)
	require.Equal(t, int64(4), metrics.GetOrRegisterCounter("entry.requests", registry).Count())
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("entry.refusals.not-found", registry).Count())
	registry.Each(func(name string, _ any) { require.NotContains(t, name, testKey) })
}

// On an open route a known key is removed from the request. An unknown credential
// is passed on to the upstream.
func TestOpenRoutes(t *testing.T) {
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Authorization")+r.URL.RawQuery+r.Header.Get(AccountHeader))
	})
	h := newHarness(t, nil, address)
	for credential, want := range map[string]string{"": "", "Bearer " + testKey: "", "Bearer other": "Bearer other"} {
		r := h.request("GET", "/desk/open/list?k="+testKey, "")
		r.Header.Set("Authorization", credential)
		response, body := h.do(r)
		require.Equal(t, http.StatusOK, response.StatusCode)
		if strings.Contains(credential, testKey) {
			require.Equal(t, want, body)
		} else {
			require.Equal(t, want+"k="+testKey, body)
		}
	}
}
