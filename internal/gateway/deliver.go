package gateway

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/invariant"
	"peridotrail/internal/placement"
	"peridotrail/internal/problem"
)

// deliver passes an upstream's answer on. Once its head is out, a body that breaks
// off ends the connection.
func (x *exchange) deliver(w http.ResponseWriter, a answer) *problem.Problem {
	header := w.Header()
	for name, values := range endToEnd(a.response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing
	}
	if a.rest == nil && x.request.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	x.delivering = true
	w.WriteHeader(a.response.StatusCode)
	_, err := w.Write(a.body)
	if a.rest != nil {
		defer a.rest.Close()
		if err == nil {
			_, err = io.Copy(w, a.rest)
		}
	}
	took := boottime.Now().Sub(x.arrived)
	x.gateway.counters.ended(strconv.Itoa(a.response.StatusCode), took)
	if err != nil && a.rest != nil {
		x.log("answer cut", a.response.StatusCode, err.Error(), took)
		panic(http.ErrAbortHandler)
	}
	x.log("request answered", a.response.StatusCode, "", took)
	return nil
}

// recovered ends a request whose handling panicked: the others go on. The caller
// gets an answer unless one has begun.
func (x *exchange) recovered(w http.ResponseWriter, reason any) {
	if reason == http.ErrAbortHandler {
		panic(reason)
	}
	x.gateway.counters.panicked()
	_ = level.Error(x.gateway.logger).Log("event", "request panicked", "request", x.call.ID, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
	if x.delivering {
		panic(http.ErrAbortHandler)
	}
	x.refuse(w, problem.New(problem.TypeInternal, problem.ExecutedUnknown, "the handling of the request failed"))
}

// refuse answers a request that no upstream has answered.
func (x *exchange) refuse(w http.ResponseWriter, p *problem.Problem) {
	promise := p.Executed == problem.ExecutedNo || promisesNotRun(p.Status)
	invariant.Check(!promise || !x.mayHaveRun, invariant.RefusalNotRun, "request %s: status %d, %s", x.call.ID, p.Status, p.Detail)
	x.delivering = true
	took := boottime.Now().Sub(x.arrived)
	x.gateway.counters.ended(strconv.Itoa(p.Status), took)
	x.log("request refused", p.Status, p.Detail, took, "executed", string(p.Executed), "retry_after_ms", p.RetryAfter.Milliseconds())
	if x.request.Context().Err() != nil {
		return // nobody reads the answer
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", x.gateway.dialect.FormatRetryAfter(p.RetryAfter))
		p.RetryAfter = 0
	}
	p.Write(w)
}

// log writes one line for the end of a request, with what decided it.
func (x *exchange) log(event string, status int, detail string, took time.Duration, more ...any) {
	punctual := status < http.StatusBadRequest && x.route != nil && took <= x.route.LatencyObjective
	if !x.gateway.lines.allow(punctual) {
		return
	}
	line := []any{
		"event", event, "request", x.call.ID, "status", status, "took_ms", took.Milliseconds(),
		"attempts", x.attempts, "keys_age_ms", boottime.Now().Sub(x.gateway.replica.Proof()).Milliseconds(),
	}
	if detail != "" {
		line = append(line, "detail", detail, "last", x.last)
	}
	if x.table != nil {
		line = append(line, "version", x.table.Version())
	}
	if x.account != nil {
		line = append(line, "account", x.account.Name)
	}
	if status == http.StatusTooManyRequests && x.account != nil {
		rate := x.gateway.limits.rateOf(x.account.Name)
		line = append(line, "rate", rate.whole, "share", rate.Rate(), "tokens", round(rate.Tokens()), "demand", round(rate.DemandRate()))
	}
	if x.route != nil {
		line = append(line, "route", x.route.Name, "service", x.service, "object", x.call.Object)
	}
	if x.placed != nil {
		in := x.placed.Inputs()
		line = append(line, "upstream", x.placed.Upstream.ID, "domain", x.placed.Upstream.FailureDomain,
			"wait_ms", in.Wait.Milliseconds(), "work_ms", in.Work.Milliseconds(), "warm", round(in.Warm), "home", in.Home, "cold", in.Cold,
			"load", round(in.Load), "load_age_ms", in.LoadAge.Milliseconds())
	}
	_ = level.Info(x.gateway.logger).Log(append(line, more...)...)
}

// round keeps two digits after the point.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// logAttempt writes one line for an attempt without an answer.
func (x *exchange) logAttempt(placed *placement.Placement, err error) {
	if !x.gateway.lines.allow(false) {
		return
	}
	in := placed.Inputs()
	_ = level.Info(x.gateway.logger).Log("event", "attempt failed", "request", x.call.ID, "upstream", placed.Upstream.ID,
		"wait_ms", in.Wait.Milliseconds(), "work_ms", in.Work.Milliseconds(), "err", err)
}
