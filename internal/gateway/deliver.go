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

// deliver copies an upstream's response to the caller. The status and headers are
// sent first, so if a streamed body breaks off, deliver closes the caller's
// connection by panicking with http.ErrAbortHandler.
func (x *exchange) deliver(w http.ResponseWriter, a attemptOutcome) *problem.Problem {
	header := w.Header()
	for name, values := range endToEndHeaders(a.response.Header) {
		header[name] = values
	}
	if x.relayedBy != "" {
		delete(header, problem.ExecutedHeader) // it marks refusals of this host
		header.Set(upstreamHeader, formatUpstream(x.lastPlacement.Upstream))
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from sniffing the type
	}
	if a.remainder == nil && x.request.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	x.closeIfUnread(header)
	x.responseStarted = true
	w.WriteHeader(a.response.StatusCode)
	_, err := w.Write(a.body)
	if a.remainder != nil {
		defer a.remainder.Close()
		if err == nil {
			_, err = io.Copy(w, a.remainder)
		}
	}
	duration := boottime.Now().Sub(x.start)
	x.gateway.metrics.countRequest(strconv.Itoa(a.response.StatusCode), duration)
	if err != nil && a.remainder != nil {
		x.logRequest("answer cut", a.response.StatusCode, err.Error(), duration)
		panic(http.ErrAbortHandler)
	}
	if err == nil && a.remainder != nil {
		x.completed()
	}
	if x.relayedTo != "" {
		x.logRequest("relayed request answered", a.response.StatusCode, "", duration, "peer", x.relayedTo)
		return nil
	}
	x.logRequest("request answered", a.response.StatusCode, "", duration)
	return nil
}

// handlePanic ends a request whose handler panicked without affecting other
// requests. The caller gets an internal error; if the response had started, the
// connection is closed instead.
func (x *exchange) handlePanic(w http.ResponseWriter, reason any) {
	if reason == http.ErrAbortHandler {
		panic(reason)
	}
	x.gateway.metrics.countPanic()
	_ = level.Error(x.gateway.logger).Log("event", "request panicked", "request", x.call.ID, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	x.reject(w, problem.New(problem.TypeInternal, problem.ExecutedUnknown, "the handling of the request failed"))
}

// reject responds with a problem instead of an upstream's response.
func (x *exchange) reject(w http.ResponseWriter, p *problem.Problem) {
	if x.relayedBy != "" {
		p = x.relayedProblem(p)
	}
	promisedNotRun := p.Executed == problem.ExecutedNo || promisesNotRun(p.Status)
	invariant.Check(!promisedNotRun || !x.mayHaveRun, invariant.RefusedNotExecuted, "request %s: status %d, %s", x.call.ID, p.Status, p.Detail)
	x.responseStarted = true
	duration := boottime.Now().Sub(x.start)
	x.gateway.metrics.countRequest(strconv.Itoa(p.Status), duration)
	x.logRequest("request refused", p.Status, p.Detail, duration, "executed", string(p.Executed), "retry_after_ms", p.RetryAfter.Milliseconds())
	if x.request.Context().Err() != nil && x.relayedBy == "" && p.Type != problem.TypeBodyTimeout {
		// The caller closed the connection; a relayed request may just have expired. Returning
		// would complete the response as an empty success.
		panic(http.ErrAbortHandler)
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", x.gateway.dialect.FormatRetryAfter(p.RetryAfter))
		p.RetryAfter = 0
	}
	x.closeIfUnread(w.Header())
	p.Write(w)
}

// closeIfUnread tells the caller that its connection will be closed, if the caller has not
// sent the whole body yet.
func (x *exchange) closeIfUnread(header http.Header) {
	if x.relayedBy == "" && x.payload != nil && !x.payload.Received() {
		header.Set("Connection", "close")
	}
}

// logRequest writes one line about a finished request, with the inputs of the
// decisions about it.
func (x *exchange) logRequest(event string, status int, detail string, duration time.Duration, extra ...any) {
	onTime := status < http.StatusBadRequest && x.route != nil && duration <= x.route.LatencyObjective
	if !x.gateway.logLimiter.allow(onTime) {
		return
	}
	fields := []any{
		"event", event, "request", x.call.ID, "status", status, "took_ms", duration.Milliseconds(),
		"attempts", x.attempts, "keys_age_ms", boottime.Now().Sub(x.gateway.replica.Proof()).Milliseconds(),
	}
	if detail != "" {
		fields = append(fields, "detail", detail, "last", x.lastResult)
	}
	if x.relayedBy != "" {
		fields = append(fields, "relayed_by", x.relayedBy)
	}
	if x.table != nil {
		fields = append(fields, "version", x.table.Version(), "era", x.gateway.store.Eras().Current())
	}
	if followed := x.gateway.replica.FollowedHost(); followed != "" {
		fields = append(fields, "view_from", followed)
	}
	if x.account != nil {
		fields = append(fields, "account", x.account.Name)
	}
	if status == http.StatusTooManyRequests && x.account != nil {
		bucket := x.gateway.limits.bucketSnapshot(x.account.Name)
		fields = append(fields, "rate", bucket.limit.rate, "share", bucket.Rate(), "tokens", roundToHundredths(bucket.Tokens()), "usable", x.gateway.state.shares.Leased(boottime.Now()), "demand", roundToHundredths(bucket.DemandRate()))
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "service", x.service, "object", x.call.Object)
		if homes := x.homes(); homes.Restricted() {
			fields = append(fields, "homes", homes)
		}
	}
	if x.crash.crashes != nil {
		fields = append(fields, "fingerprint", x.crash.identity, "crashes", x.crash.crashes)
	}
	if x.lastPlacement != nil {
		inputs := x.lastPlacement.Inputs()
		fields = append(fields, "upstream", x.lastPlacement.Upstream.ID, "domain", x.lastPlacement.Upstream.FailureDomain, "region", x.lastPlacement.Region,
			"wait_ms", inputs.Wait.Milliseconds(), "work_ms", inputs.ServiceTime.Milliseconds(), "warm", roundToHundredths(inputs.HitProbability), "home", inputs.Preferred, "cold", inputs.Cold,
			"load", roundToHundredths(inputs.Load), "load_age_ms", inputs.LoadAge.Milliseconds())
	}
	_ = level.Info(x.gateway.logger).Log(append(fields, extra...)...)
}

// roundToHundredths rounds to two decimal places.
func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// logFailedAttempt writes one line about an attempt that failed without a response.
func (x *exchange) logFailedAttempt(placed *placement.Placement, err error) {
	if !x.gateway.logLimiter.allow(false) {
		return
	}
	inputs := placed.Inputs()
	_ = level.Info(x.gateway.logger).Log("event", "attempt failed", "request", x.call.ID, "upstream", placed.Upstream.ID,
		"domain", placed.Upstream.FailureDomain, "region", placed.Region, "homes", x.homes(), "wait_ms", inputs.Wait.Milliseconds(), "work_ms", inputs.ServiceTime.Milliseconds(), "err", err)
}

// recordLimit passes the request limit in a response on to the placement. A response
// that names a limit or an invalid one is counted and logged, with the number of
// requests that this host has sent to the upstream.
func (x *exchange) recordLimit(placed *placement.Placement, reply Reply, now boottime.Instant) {
	names := reply.Limit.Named || reply.Limit.Invalid
	if !names && (!reply.Signed || reply.NotRun) {
		return // a rejection may leave the limit out
	}
	limit := placed.SetLimit(reply.Limit, now)
	if !names {
		return
	}
	x.gateway.metrics.countLimit(reply.Limit.Invalid)
	x.logLimit("upstream named its limit", placed, limit, "named", reply.Limit.Rate, "invalid", reply.Limit.Invalid)
}

// recordAnnouncements passes on to the placement that an upstream asked this host for rest or
// said that it leaves, and counts and logs it.
func (x *exchange) recordAnnouncements(placed *placement.Placement, reply Reply, now boottime.Instant) {
	if reply.Rest.Duration > 0 {
		placed.Rest(reply.Rest.Duration, now)
	}
	if reply.Rest.Duration > 0 || reply.Rest.Invalid {
		x.gateway.metrics.countRest(reply.Rest.Invalid)
		x.logAnnouncement("upstream asked for rest", placed, "rest_ms", reply.Rest.Duration.Milliseconds(), "invalid", reply.Rest.Invalid)
	}
	if reply.Leaving {
		placed.Leave()
		x.gateway.metrics.countLeaving()
		x.logAnnouncement("upstream says it leaves", placed)
	}
}

// logAnnouncement writes one line about what an upstream said in a response to this host.
func (x *exchange) logAnnouncement(event string, placed *placement.Placement, extra ...any) {
	if !x.gateway.logLimiter.allow(false) {
		return
	}
	fields := []any{"event", event, "request", x.call.ID, "upstream", placed.Upstream.ID, "service", x.service, "domain", placed.Upstream.FailureDomain}
	_ = level.Info(x.gateway.logger).Log(append(fields, extra...)...)
}

// logLimitedRequest writes one line about a request that is sent to an upstream with a
// request limit.
func (x *exchange) logLimitedRequest(placed *placement.Placement) {
	x.logLimit("limited request", placed, placed.Inputs().Limit)
}

// logLimit writes one line about an upstream's request limit: the limit in force, its
// source and age, and this host's part of it.
func (x *exchange) logLimit(event string, placed *placement.Placement, limit placement.LimitState, extra ...any) {
	if !x.gateway.logLimiter.allow(false) {
		return
	}
	fields := []any{
		"event", event, "request", x.call.ID, "upstream", placed.Upstream.ID, "service", x.service, "domain", placed.Upstream.FailureDomain,
		"limit", limit.Rate, "source", string(limit.Source), "known_ms", boottime.Now().Sub(limit.Since).Milliseconds(),
		"units", limit.Units, "sent", limit.Sent, "window_ms", limit.Window.Milliseconds(),
	}
	_ = level.Info(x.gateway.logger).Log(append(fields, extra...)...)
}

// logColdRequest writes one line about a request that is sent to an upstream that is or
// may be cold, with the inputs of this host's share of the upstream's rate.
func (x *exchange) logColdRequest(placed *placement.Placement) {
	if !x.gateway.logLimiter.allow(false) {
		return
	}
	inputs := placed.Inputs()
	hosts, regionHosts := x.gateway.state.hostCounts()
	share, _ := x.gateway.state.coldLimit(placed.Upstream, boottime.Now())
	_ = level.Info(x.gateway.logger).Log("event", "cold request", "request", x.call.ID, "upstream", placed.Upstream.ID, "service", x.service,
		"domain", placed.Upstream.FailureDomain, "cold_ms", inputs.ColdRemaining.Milliseconds(), "sent", inputs.RecentSends,
		"share", share, "hosts", hosts, "region_hosts", regionHosts)
}
