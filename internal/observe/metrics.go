package observe

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// MetricsHandler serves all metrics of registry as one JSON object.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
}
