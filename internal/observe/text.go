package observe

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// textQuantiles are the quantiles written for each histogram.
var textQuantiles = []float64{0.5, 0.9, 0.99}

// TextHandler serves all metrics of registry in the Prometheus text format. Each name
// begins with prefix, and dots in names become underscores.
func TextHandler(prefix string, registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		var lines []string
		registry.Each(func(name string, metric any) {
			lines = append(lines, formatMetric(prefix+sanitizeName(name), metric))
		})
		sort.Strings(lines)
		_, _ = w.Write([]byte(strings.Join(lines, ""))) // fails only if the scraper disconnected
	})
}

// sanitizeName replaces characters that the text format does not allow in names.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// formatMetric returns the lines of one metric, or "" for a type that is not supported.
func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %[1]s counter\n%[1]s %[2]d\n", name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %[1]s gauge\n%[1]s %[2]d\n", name, m.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("# TYPE %[1]s gauge\n%[1]s %[2]g\n", name, m.Value())
	case metrics.Histogram:
		return formatSummary(name, m.Snapshot())
	default:
		return ""
	}
}

// formatSummary returns the lines of a histogram as a summary.
func formatSummary(name string, h metrics.Histogram) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# TYPE %s summary\n", name)
	for i, value := range h.Percentiles(textQuantiles) {
		fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, textQuantiles[i], value)
	}
	fmt.Fprintf(&b, "%[1]s_sum %[2]d\n%[1]s_count %[3]d\n", name, h.Sum(), h.Count())
	return b.String()
}
