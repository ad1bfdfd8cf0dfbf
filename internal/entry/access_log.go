package entry

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
)

// logAccess writes one line for an ended request. It holds neither headers nor
// the path beyond the route's prefix nor the query, which may hold a key.
func (f *FrontDoor) logAccess(w *statusRecorder, r *http.Request, x *exchange) {
	fields := []any{
		"msg", "request",
		"request", x.id,
		"method", r.Method,
		"route", x.prefix,
		"account", x.account,
		"target", x.target,
		"status", w.status,
		"relayed", x.relayed,
		"cut", x.cut,
		"callerGone", x.gone,
		"durationMicroseconds", time.Since(x.start).Microseconds(),
	}
	if x.service != nil {
		fields = append(fields, "service", x.service.Name)
	}
	if x.refusal != nil {
		fields = append(fields, "refusal", string(x.refusal.Type), "executed", string(x.refusal.Executed))
	}
	_ = level.Debug(f.options.Logger).Log(fields...) // a failing log must not fail the request
}
