package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/boottime"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/http1"
	"peridotrail/internal/invariant"
	"peridotrail/internal/placement"
	"peridotrail/internal/problem"
	"peridotrail/internal/routing"
)

// result is the result of one attempt at an upstream. Its text is part of a metric
// name and of log lines.
type result string

// Results of an attempt.
const (
	resultAnswered  result = "answered"
	resultNotRun    result = "not-run"   // the request was not sent, or the upstream did not run it
	resultUnknown   result = "unknown"   // the upstream may have run the request
	resultCancelled result = "cancelled" // the deadline passed or the caller closed the connection
	resultWithheld  result = "withheld"  // the request was not sent: the upstream accepts none any more
	resultTooLarge  result = "too-large" // the caller's body turned out larger than the limit while it was sent
)

// attemptOutcome describes how an attempt ended. All fields but result and linkFailed are
// set only if the upstream responded.
type attemptOutcome struct {
	result    result
	response  *http.Response
	body      []byte        // the whole body, or its beginning if remainder is set
	remainder io.ReadCloser // rest of a body that was not buffered whole

	linkFailed bool // no connection could be opened, or it ended before a response
}

// maxBufferedBody is the size in bytes up to which a response is read whole before
// any of it is delivered, so that the request can be retried if the response breaks
// off.
const maxBufferedBody = 1 << 20

// send makes one attempt and reports its outcome to the placement.
func (x *exchange) send(ctx context.Context, placed *placement.Placement) attemptOutcome {
	x.assertMaySend(placed)
	if inputs := placed.Inputs(); inputs.Limited || inputs.Limit.Rate > 0 {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { placed.Sent(boottime.Now()) },
		})
	}
	ctx = forward.WithSendCheck(ctx, func() error { return x.checkSend(placed) })
	x.gateway.links.Sent(placed.Upstream.ID, boottime.Now())
	response, err := x.gateway.transports.forUpstream(placed.Upstream).RoundTrip(x.outboundRequest(ctx, placed))
	if err != nil {
		return x.finishFailed(ctx, placed, err)
	}
	now := boottime.Now()
	x.arrived = true
	x.gateway.links.Responded(now)
	reply := x.gateway.dialect.ReadReply(response)
	if reply.CallID != x.call.ID { // also without an ID: a copy of an earlier response may lack it
		x.gateway.metrics.countForeignResponse()
		forward.Discard(response)
		placed.Done(placement.Report{Outcome: placement.OutcomeFailed}, now)
		return attemptOutcome{result: resultUnknown}
	}
	if reply.ColdRemaining > 0 {
		placed.SetColdUntil(now.Add(reply.ColdRemaining), now)
	}
	if !reply.Moved {
		x.recordLimit(placed, reply, now)
		x.recordAnnouncements(placed, reply, now)
	}
	if reply.NotRun || reply.Moved {
		return x.finishNotRun(placed, response, reply)
	}
	a, err := x.readResponse(response)
	if err != nil {
		return x.finishFailed(ctx, placed, err)
	}
	success := response.StatusCode < http.StatusBadRequest
	if success && !reply.Signed || !success && promisesNotRun(response.StatusCode) {
		forward.Discard(response)
		placed.Done(placement.Report{Outcome: placement.OutcomeFailed}, boottime.Now())
		return attemptOutcome{result: resultUnknown}
	}
	placed.Done(x.responseReport(response.StatusCode, reply, len(a.body)), boottime.Now())
	if a.remainder == nil {
		x.completed()
	}
	return a
}

// StaleKeysError reports that the keys were no longer proved current when a request had its
// connection: the host stood still, or the connection took long. Nothing was sent.
type StaleKeysError struct{ Age time.Duration }

// Error implements error.
func (e *StaleKeysError) Error() string {
	return fmt.Sprintf("the keys were last proved current %v ago", e.Age)
}

// errRepeatForbidden reports that a policy that forbids to repeat the request came into force
// while it waited for a connection. Nothing was sent.
var errRepeatForbidden = errors.New("the policy in force now does not allow that the request runs again")

// HomesError reports that an upstream, or a host that was to send the request, was not known to be in a
// home of the request when the request had its connection: the policy changed meanwhile, or may have.
// Nothing was sent.
type HomesError struct {
	Receiver string // name of the upstream or host
	Region   string // of the receiver
	Homes    routing.Homes
	ProofAge time.Duration
}

// Error implements error.
func (e *HomesError) Error() string {
	return fmt.Sprintf("%s is in %s, the homes were %s %v ago", e.Receiver, e.Region, e.Homes, e.ProofAge)
}

// homesInForce returns the homes of the request under the policy in force now. A request that this
// policy does not allow keeps those it had.
func (x *exchange) homesInForce() routing.Homes {
	table := x.gateway.state.table.Load()
	if table == x.table {
		return x.homes()
	}
	route := table.Route(x.request.Host, x.request.URL.Path)
	if route == nil {
		return x.homes()
	}
	return routing.HomesOf(route, table.AccountByKey(x.call.Key)).And(x.relayHomes)
}

// checkSend reports whether the request may still be sent, now that it has a connection.
func (x *exchange) checkSend(placed *placement.Placement) error {
	now := boottime.Now()
	if x.mayHaveRun && !x.mayRepeat() {
		return errRepeatForbidden
	}
	if age, current := x.gateway.keysCurrent(now); !current && !x.route.Open {
		return &StaleKeysError{Age: age}
	}
	if err := x.checkHomesInForce(placed.Upstream.ID, placed.Region); err != nil {
		return err
	}
	return placed.CheckSend(now)
}

// checkHomesInForce returns a *HomesError unless a region is known to be a home of the request now.
// receiver is the upstream or host there that is to receive the request.
func (x *exchange) checkHomesInForce(receiver, region string) error {
	now, proof := boottime.Now(), x.gateway.replica.Proof()
	if homes := x.homesInForce(); homes.Restricted() {
		if doubt, _ := x.gateway.policyDoubt(proof, now); doubt != "" || !homes.Allows(region) || !x.mayHold(homes) {
			return &HomesError{Receiver: receiver, Region: region, Homes: homes, ProofAge: now.Sub(proof)}
		}
	}
	return nil
}

// assertMaySend checks the invariants that must hold when a request is sent.
func (x *exchange) assertMaySend(placed *placement.Placement) {
	invariant.Check(!x.mayHaveRun || !x.atMostOnce, invariant.AtMostOnce,
		"request %s is sent again though it may have run", x.call.ID)
	invariant.Check(x.route.Open || x.account != nil, invariant.RequestAuthenticated,
		"request %s on route %s belongs to no client account", x.call.ID, x.route.Name)
	age, current := x.gateway.keysCurrent(boottime.Now())
	invariant.Check(x.route.Open || current || age < x.gateway.settings.get().KeyAge, invariant.WithdrawnKeyEnforced,
		"request %s is sent under keys proved current %v ago", x.call.ID, age)
	invariant.Check(!placed.Upstream.Draining, invariant.NoWorkForDrainedUpstream,
		"request %s is sent to upstream %s, which drains", x.call.ID, placed.Upstream.ID)
}

// responseReport returns the report to the placement about a response. 504 is not
// counted as a failure: the upstream stopped at the deadline of the request.
func (x *exchange) responseReport(status int, reply Reply, bodyBytes int) placement.Report {
	r := placement.Report{Outcome: placement.OutcomeAnswered, Load: reply.Load}
	r.Kilobytes = float64(int64(bodyBytes)+max(x.payload.Length(), 0)) / 1024
	switch {
	case status == http.StatusGatewayTimeout:
		r.Outcome = placement.OutcomeExpired
	case status >= http.StatusInternalServerError:
		r.Failure = true
	}
	return r
}

// promisesNotRun reports whether callers understand a status as a guarantee that
// the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// finishNotRun ends an attempt that the upstream rejected without running it.
func (x *exchange) finishNotRun(placed *placement.Placement, response *http.Response, reply Reply) attemptOutcome {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)) // allows the connection to be reused
	_ = response.Body.Close()
	outcome := placement.OutcomeNotRun
	switch {
	case reply.Moved:
		outcome = placement.OutcomeMoved
		x.logAnnouncement("address of another upstream", placed, "address", placed.Upstream.Address, "region", placed.Region, "homes", x.homes())
	case reply.Rest.Duration > 0:
		outcome = placement.OutcomeRest
	}
	placed.Done(placement.Report{Outcome: outcome, Load: reply.Load}, boottime.Now())
	return attemptOutcome{result: resultNotRun}
}

// finishInvalid ends an attempt whose response is not well-formed. Nothing that the response
// says is used, also not that the request has not run. The upstream runs and can be reached.
func (x *exchange) finishInvalid(placed *placement.Placement, err error) attemptOutcome {
	x.arrived = true
	x.gateway.links.Responded(boottime.Now())
	x.gateway.metrics.countInvalidResponse()
	x.logFailedAttempt(placed, err)
	placed.Done(placement.Report{Outcome: placement.OutcomeFailed}, boottime.Now())
	return attemptOutcome{result: resultUnknown}
}

// finishFailed ends an attempt that failed without a complete response.
func (x *exchange) finishFailed(ctx context.Context, placed *placement.Placement, err error) attemptOutcome {
	now := boottime.Now()
	if ctx.Err() != nil {
		outcome := placement.OutcomeExpired
		if x.request.Context().Err() != nil {
			outcome = placement.OutcomeCancelled
		}
		placed.Done(placement.Report{Outcome: outcome}, now)
		return attemptOutcome{result: resultCancelled}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		placed.Done(placement.Report{Outcome: placement.OutcomeCancelled}, now)
		return attemptOutcome{result: resultTooLarge}
	}
	var withheld *placement.WithheldError
	var stale *StaleKeysError
	var homes *HomesError
	if errors.As(err, &homes) {
		x.logFailedAttempt(placed, err)
	}
	if homes != nil || errors.As(err, &withheld) || errors.As(err, &stale) || errors.Is(err, errRepeatForbidden) {
		placed.Done(placement.Report{Outcome: placement.OutcomeCancelled}, now)
		return attemptOutcome{result: resultWithheld}
	}
	var failure *forward.Error
	isForwardError := errors.As(err, &failure)
	if http1.IsInvalid(err) && (!isForwardError || failure.Executed != problem.ExecutedNo) {
		return x.finishInvalid(placed, err)
	}
	x.logFailedAttempt(placed, err)
	outcome := outcomeOf(failure)
	placed.Done(placement.Report{Outcome: outcome}, now)
	linkFailed := isForwardError && failure.Phase != forward.PhaseResponse && outcome != placement.OutcomeNotRun
	if linkFailed {
		x.gateway.links.Failed(placed.Upstream.ID, now)
	}
	if isForwardError && failure.Executed == problem.ExecutedNo {
		return attemptOutcome{result: resultNotRun, linkFailed: linkFailed}
	}
	x.arrived = true
	x.connectionEnded(placed.Upstream)
	return attemptOutcome{result: resultUnknown, linkFailed: linkFailed}
}

// outcomeOf returns the outcome to report to the placement for a failed attempt.
// failure is nil if the response broke off.
func outcomeOf(failure *forward.Error) placement.Outcome {
	if failure == nil || failure.Phase != forward.PhaseConnect {
		return placement.OutcomeFailed
	}
	var full *forward.ConnectionLimitError
	switch {
	case errors.As(failure, &full):
		return placement.OutcomeNotRun
	case errors.Is(failure, syscall.ECONNREFUSED):
		return placement.OutcomeRefused
	default:
		return placement.OutcomeUnreachable
	}
}

// readResponse reads the body of a response, up to limit bytes. The caller closes the
// remainder of a longer body.
func readResponse(response *http.Response, limit int64) (attemptOutcome, error) {
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(min(response.ContentLength, limit)) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(response.Body, limit))
	if err != nil {
		forward.Discard(response)
		return attemptOutcome{}, err
	}
	a := attemptOutcome{result: resultAnswered, response: response, body: buffer.Bytes()}
	if n == limit && (n == maxBufferedBody || n != response.ContentLength) {
		a.remainder = response.Body
		return a, nil
	}
	_ = response.Body.Close() // the body was read to its end
	return a, nil
}

// outboundRequest returns the request to send to an upstream.
func (x *exchange) outboundRequest(ctx context.Context, placed *placement.Placement) *http.Request {
	header := x.header.Clone()
	attempt := Attempt{Upstream: placed.Upstream.ID, Remaining: x.deadline.Sub(boottime.Now())}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	x.gateway.dialect.WriteAttempt(header, attempt)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	target := x.target
	target.Host = placed.Upstream.Address
	request := &http.Request{
		Method:        x.request.Method,
		URL:           &target,
		Host:          x.request.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: x.payload.Length(),
		Body:          http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = x.payload.Reader()
	}
	return request.WithContext(ctx)
}

// endToEndHeaders returns the headers that a proxy forwards: all but the hop-by-hop
// headers and those that the Connection header names.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !forward.IsHopByHop(name) {
			to[name] = values
		}
	}
	for _, name := range forward.ConnectionTokens(from) {
		if !protectedHeaders[name] {
			delete(to, name)
		}
	}
	return to
}

// protectedHeaders are forwarded even if the Connection header names them.
var protectedHeaders = map[string]bool{"Authorization": true, "Cookie": true, "Content-Type": true, "Host": true}
