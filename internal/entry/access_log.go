package entry

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
)

// logAccess writes one debug line for a finished request. The line leaves out
// headers, the path beyond the route's prefix and the query, because each of
// them may contain a key.
func (h *Handler) logAccess(w *statusRecorder, r *http.Request, x *exchange) {
	fields := []any{
		"msg", "request",
		"request", x.id,
		"method", r.Method,
		"route", x.prefix,
		"account", x.account,
		"target", x.targetName,
		"status", w.status,
		"relayed", x.relayed,
		"cut", x.truncated,
		"callerGone", x.callerGone,
		"durationMicroseconds", time.Since(x.start).Microseconds(),
	}
	if x.service != nil {
		fields = append(fields, "service", x.service.Name)
	}
	if x.refusal != nil {
		fields = append(fields, "refusal", string(x.refusal.Type), "executed", string(x.refusal.Executed))
	}
	_ = level.Debug(h.options.Logger).Log(fields...) // a logging failure must not fail the request
}
