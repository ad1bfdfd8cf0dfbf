package observe

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestTextMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("request.outcome.200", registry).Inc(3)
	metrics.GetOrRegisterGauge("duty.ring.log.length", registry).Update(2)
	metrics.GetOrRegisterHistogram("request.latency.us", registry, metrics.NewUniformSample(16)).Update(50)
	recorder := httptest.NewRecorder()
	TextHandler("p_", registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, `# TYPE p_duty_ring_log_length gauge
p_duty_ring_log_length 2
# TYPE p_request_latency_us summary
p_request_latency_us{quantile="0.5"} 50
p_request_latency_us{quantile="0.9"} 50
p_request_latency_us{quantile="0.99"} 50
p_request_latency_us_sum 50
p_request_latency_us_count 1
# TYPE p_request_outcome_200 counter
p_request_outcome_200 3
`, recorder.Body.String())
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	registry := metrics.NewRegistry()
	w := NewBoundedWriter(out, registry)
	logger := NewLogger(w, "info")
	start := time.Now()
	for range 3 * maxPendingLines {
		require.NoError(t, logger.Log("event", "x"))
	}
	require.Less(t, time.Since(start), 2*time.Second)
	require.Positive(t, metrics.GetOrRegisterCounter("duty.ring.log.drops", registry).Count())
	start = time.Now()
	w.Close(50 * time.Millisecond)
	require.Less(t, time.Since(start), time.Second, "a blocked output delays Close beyond its timeout")
	close(out.release)
	w.Close(2 * time.Second)
	require.Positive(t, out.data.Len())
	require.Equal(t, byte('\n'), out.data.Bytes()[out.data.Len()-1], "the last line is complete")
}
