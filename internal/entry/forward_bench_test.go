package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/upstream"
)

// hostHeapBytes simulates the memory that a host uses for client blocks and its
// configuration. The frequency of garbage collections depends on it, for both
// forwarders alike.
const hostHeapBytes = 64 << 20

const (
	benchWorkers = 4
	benchRound   = 500 // requests of one worker in one round
	benchBody    = "a place for an adult"
)

// baselineForwarder starts a server that forwards with net/http and without any
// policy. It returns the server's address.
func baselineForwarder(b *testing.B, target netip.AddrPort) string {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI = ""
		out.URL.Scheme = "http"
		out.URL.Host = target.String()
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// benchClient sends the same request over one connection.
type benchClient struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func newBenchClient(b *testing.B, address, method string) *benchClient {
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	body := ""
	if method == http.MethodPost {
		body = benchBody
	}
	text := fmt.Sprintf("%s /desk/reservations?place=4 HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: bench\r\nAccept: application/json\r\n"+
		"Authorization: Bearer %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", method, testKey, len(body), body)
	return &benchClient{conn: conn, in: bufio.NewReader(conn), request: []byte(text)}
}

func (c *benchClient) send(b *testing.B) time.Duration {
	started := time.Now()
	_, err := c.conn.Write(c.request)
	if err != nil {
		b.Error(err)
		return 0
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Error(err, response)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return time.Since(started)
}

// measurement holds the figures of one forwarder.
type measurement struct {
	clients   []*benchClient
	latencies []time.Duration
	requests  int
	elapsed   time.Duration
	cpuTime   time.Duration // user and system time of the process, including client and upstream
}

func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (m *measurement) round(b *testing.B) {
	latencies := make([][]time.Duration, len(m.clients))
	started, processor := time.Now(), processCPUTime(b)
	var wait sync.WaitGroup
	for i, c := range m.clients {
		wait.Go(func() {
			for range benchRound {
				latencies[i] = append(latencies[i], c.send(b))
			}
		})
	}
	wait.Wait()
	m.elapsed += time.Since(started)
	m.cpuTime += processCPUTime(b) - processor
	m.requests += benchRound * len(m.clients)
	m.latencies = append(m.latencies, slices.Concat(latencies...)...)
}

func (m *measurement) p50() time.Duration {
	slices.Sort(m.latencies)
	return m.latencies[len(m.latencies)/2]
}

func (m *measurement) rate() float64 { return float64(m.requests) / m.elapsed.Seconds() }

// BenchmarkForward compares keyed requests through a Handler with requests through
// the baseline forwarder, in alternating rounds of the same run.
func BenchmarkForward(b *testing.B) {
	heap := make([]byte, hostHeapBytes)
	defer runtime.KeepAlive(heap)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			target := serveUpstream(b, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, `{"places":[1,2,3]}`)
			})
			transport := forward.NewTransport(func() int { return 64 })
			permit := &fakePermit{
				target:    upstream.Target{Upstream: "u1", Address: target},
				transport: transport,
				done:      func(upstream.Outcome) {},
			}
			h := newHarness(b, func(o *Options) {
				o.Dispatcher = DispatcherFunc(func(context.Context, upstream.Work) (Permit, error) { return permit, nil })
			})
			baseline, handler := &measurement{}, &measurement{}
			baselineAddress := baselineForwarder(b, target)
			for range benchWorkers {
				baseline.clients = append(baseline.clients, newBenchClient(b, baselineAddress, method))
				handler.clients = append(handler.clients, newBenchClient(b, h.address, method))
			}
			baseline.round(b)
			handler.round(b)
			*baseline = measurement{clients: baseline.clients}
			*handler = measurement{clients: handler.clients}
			b.ResetTimer()
			for range b.N {
				baseline.round(b)
				handler.round(b)
			}
			b.ReportMetric(float64(baseline.p50().Microseconds()), "bare-p50-µs")
			b.ReportMetric(float64(handler.p50().Microseconds()), "door-p50-µs")
			b.ReportMetric(float64(handler.p50())/float64(baseline.p50()), "p50-ratio")
			b.ReportMetric(handler.rate()/baseline.rate(), "rate-ratio")
			b.ReportMetric(handler.rate(), "door-requests/s")
			b.ReportMetric(float64(handler.cpuTime.Microseconds())/float64(handler.requests), "door-cpu-µs")
			b.ReportMetric(float64(baseline.cpuTime.Microseconds())/float64(baseline.requests), "bare-cpu-µs")
		})
	}
}

// cannedTransport returns a fixed response immediately.
type cannedTransport struct{}

func (cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{"Content-Type": {"application/json"}, "Content-Length": {"2"}, "Date": {"now"}},
		ContentLength: 2,
		Body:          io.NopCloser(strings.NewReader("{}")),
		Request:       r,
	}, nil
}

type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkSteps measures the chain of handlers alone, without sockets.
func BenchmarkSteps(b *testing.B) {
	h := newHarness(b, func(o *Options) {
		permit := &fakePermit{transport: cannedTransport{}, done: func(upstream.Outcome) {}}
		o.Dispatcher = DispatcherFunc(func(context.Context, upstream.Work) (Permit, error) { return permit, nil })
	})
	r := h.request(http.MethodGet, "/desk/reservations?place=4", "")
	r.RequestURI = "/desk/reservations?place=4"
	r.ContentLength = 0
	r.Header.Set("Accept", "application/json")
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	r = r.WithContext(ctx)
	b.ReportAllocs()
	for b.Loop() {
		h.handler.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	}
}
