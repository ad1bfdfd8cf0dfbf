package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"syscall"

	"github.com/go-faster/errors"

	"peridotrail/internal/boottime"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/invariant"
	"peridotrail/internal/placement"
	"peridotrail/internal/problem"
)

// result says what became of one attempt.
type result string

// Results of an attempt.
const (
	resultAnswered  result = "answered"
	resultNotRun    result = "not-run"   // nothing was sent, or the upstream did not run it
	resultUnknown   result = "unknown"   // the upstream may have run it
	resultCancelled result = "cancelled" // the time was over or the caller left
	resultTooLarge  result = "too-large" // the rest of the caller's body exceeds the limit
)

// answer is what an attempt brought.
type answer struct {
	result   result
	response *http.Response
	body     []byte // the whole body, or its beginning if rest is set
	rest     io.ReadCloser
}

// wholeBody is the size up to which an answer is read before any of it is passed
// on, so that a broken one can be asked for again.
const wholeBody = 1 << 20

// send makes one attempt and tells the placement what came of it.
func (x *exchange) send(ctx context.Context, placed *placement.Placement) answer {
	x.checkAttempt(placed)
	response, err := x.gateway.transports.to(placed.Upstream).RoundTrip(x.outbound(ctx, placed))
	if err != nil {
		return x.failed(ctx, placed, err)
	}
	reply := x.gateway.dialect.ReadReply(response)
	now := boottime.Now()
	if reply.ColdLeft > 0 {
		placed.ColdFor(now.Add(reply.ColdLeft))
	}
	if reply.CallID != "" && reply.CallID != x.call.ID {
		forward.Discard(response)
		placed.Done(placement.Report{Outcome: placement.OutcomeFailed}, now)
		return answer{result: resultUnknown}
	}
	if reply.NotRun || reply.Moved {
		return x.rejected(placed, response, reply)
	}
	a, err := read(response)
	if err != nil {
		return x.failed(ctx, placed, err)
	}
	success := response.StatusCode < http.StatusBadRequest
	if success && !reply.Signed || !success && promisesNotRun(response.StatusCode) {
		forward.Discard(response)
		placed.Done(placement.Report{Outcome: placement.OutcomeFailed}, boottime.Now())
		return answer{result: resultUnknown}
	}
	placed.Done(x.report(response.StatusCode, reply, len(a.body)), boottime.Now())
	return a
}

// checkAttempt asserts what must hold before an upstream is asked to run a request.
func (x *exchange) checkAttempt(placed *placement.Placement) {
	invariant.Check(x.route.Idempotent || !x.mayHaveRun, invariant.AtMostOnce,
		"request %s is sent again though it may have run", x.call.ID)
	invariant.Check(x.route.Open || x.account != nil, invariant.KeyOwnsRequest,
		"request %s on route %s belongs to no client account", x.call.ID, x.route.Name)
	age, current := x.gateway.keysCurrent(boottime.Now())
	invariant.Check(x.route.Open || current || age < x.gateway.settings.get().KeyAge, invariant.WithdrawnKeyStops,
		"request %s is sent under keys proved current %v ago", x.call.ID, age)
	invariant.Check(!placed.Upstream.Draining, invariant.LeavingUpstreamQuiet,
		"request %s is sent to upstream %s, which drains", x.call.ID, placed.Upstream.ID)
}

// report tells the placement of an answer. An upstream that gives up at the
// deadline it was given has not failed.
func (x *exchange) report(status int, reply Reply, bodyBytes int) placement.Report {
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

// promisesNotRun reports whether callers take a status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// rejected ends an attempt that the upstream did not run.
func (x *exchange) rejected(placed *placement.Placement, response *http.Response, reply Reply) answer {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, wholeBody)) // lets the connection be used again
	_ = response.Body.Close()
	outcome := placement.OutcomeNotRun
	if reply.Moved {
		outcome = placement.OutcomeMoved
	}
	placed.Done(placement.Report{Outcome: outcome, Load: reply.Load}, boottime.Now())
	return answer{result: resultNotRun}
}

// failed ends an attempt without an answer.
func (x *exchange) failed(ctx context.Context, placed *placement.Placement, err error) answer {
	now := boottime.Now()
	if ctx.Err() != nil {
		outcome := placement.OutcomeExpired
		if x.request.Context().Err() != nil {
			outcome = placement.OutcomeCancelled
		}
		placed.Done(placement.Report{Outcome: outcome}, now)
		return answer{result: resultCancelled}
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		placed.Done(placement.Report{Outcome: placement.OutcomeCancelled}, now)
		return answer{result: resultTooLarge}
	}
	x.logAttempt(placed, err)
	var failure *forward.Error
	known := errors.As(err, &failure)
	placed.Done(placement.Report{Outcome: outcomeOf(failure)}, now)
	if known && failure.Executed == problem.ExecutedNo {
		return answer{result: resultNotRun}
	}
	return answer{result: resultUnknown}
}

// outcomeOf says what a failure tells of the upstream. failure is nil if the
// answer broke off.
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

// read takes the whole body of a response, or its beginning if it is long.
func read(response *http.Response) (answer, error) {
	var buffer bytes.Buffer
	if response.ContentLength > 0 && response.ContentLength <= wholeBody {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(response.Body, wholeBody))
	if err != nil {
		forward.Discard(response)
		return answer{}, err
	}
	a := answer{result: resultAnswered, response: response, body: buffer.Bytes()}
	if n == wholeBody {
		a.rest = response.Body
		return a, nil
	}
	_ = response.Body.Close() // read to its end
	return a, nil
}

// outbound builds the request for an upstream.
func (x *exchange) outbound(ctx context.Context, placed *placement.Placement) *http.Request {
	header := x.header.Clone()
	attempt := Attempt{Upstream: placed.Upstream.ID, Left: x.limit.Sub(boottime.Now())}
	if x.account != nil {
		attempt.Account = x.account.Name
	}
	x.gateway.dialect.WriteAttempt(header, attempt)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	request := &http.Request{
		Method:        x.request.Method,
		URL:           &url.URL{Scheme: "http", Host: placed.Upstream.Address, Opaque: x.request.RequestURI},
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

// endToEnd returns the headers that pass a hop.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !forward.IsHopByHop(name) {
			to[name] = values
		}
	}
	for _, name := range forward.ConnectionTokens(from) {
		if !essential[name] {
			delete(to, name)
		}
	}
	return to
}

// essential headers may not be removed by a Connection header.
var essential = map[string]bool{"Authorization": true, "Cookie": true, "Content-Type": true, "Host": true}
