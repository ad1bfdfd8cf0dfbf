package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

// sendFailure describes a failed attempt of which nothing was written to the caller.
type sendFailure struct {
	result     upstream.Result
	executed   problem.Executed
	retryAfter time.Duration
	detail     string
	closeIdle  bool             // close idle connections: they may carry responses to other requests
	refusal    *problem.Problem // of the entry host that the request was relayed to
}

// send makes one attempt with permit. It returns nil when the response has been
// written to the caller. A response of at most forward.MaxBufferedBody bytes is
// written only after it was received completely. A larger one is streamed; if it
// breaks off, the connection to the caller is aborted.
func (h *Handler) send(w http.ResponseWriter, r *http.Request, x *exchange, permit Permit) *sendFailure {
	target := permit.Target()
	x.targetName = target.Name()
	outcome := upstream.Outcome{Result: upstream.ResultCancelled}
	started := time.Now()
	done := sync.OnceFunc(func() {
		outcome.Latency = time.Since(started)
		permit.Done(outcome)
	})
	defer done()
	remaining := x.remainingMilliseconds(started)
	if remaining < 1 {
		return &sendFailure{result: upstream.ResultCancelled, executed: problem.ExecutedNo, detail: "no time is left"}
	}
	request := x.outboundRequest(r, target, remaining)
	outcome.BytesSent = max(0, request.ContentLength)
	response, err := permit.Transport().RoundTrip(request)
	if err != nil {
		return x.recordFailure(&outcome, transportFailure(x.attemptContext(), err))
	}
	defer response.Body.Close()
	if failure := x.checkResponse(request, response, target.IsPeer); failure != nil {
		if failure.closeIdle {
			closeIdleConnections(permit.Transport())
		}
		return x.recordFailure(&outcome, failure)
	}
	if bodyLength(request, response) < 0 || bodyLength(request, response) > forward.MaxBufferedBody {
		x.mayHaveExecuted = true
		outcome.BytesReceived = streamResponse(w, x, request, response, &outcome)
		return nil
	}
	body, release, err := forward.ReadBuffered(response, bodyLength(request, response))
	defer release()
	if err != nil {
		return x.recordFailure(&outcome, truncationFailure(x.attemptContext()))
	}
	x.mayHaveExecuted = true
	outcome.BytesReceived = int64(len(body))
	outcome.Result = resultOf(response)
	done() // frees the target's slot without waiting for a slow caller to read the response
	writeBuffered(w, x, response, body)
	return nil
}

// recordFailure sets the outcome of a failed attempt and returns the failure.
func (x *exchange) recordFailure(outcome *upstream.Outcome, failure *sendFailure) *sendFailure {
	if failure.executed != problem.ExecutedNo {
		x.mayHaveExecuted = true
	}
	outcome.Result = failure.result
	return failure
}

// truncationFailure is the failure of an attempt whose response broke off before
// any of it was written to the caller.
func truncationFailure(ctx context.Context) *sendFailure {
	failure := &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: "the upstream's answer broke off"}
	if ctx.Err() != nil {
		failure.result = contextResult(ctx)
	}
	return failure
}

// transportFailure translates an error of a permit's transport into a failure.
func transportFailure(ctx context.Context, err error) *sendFailure {
	failure := &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: "the connection to the upstream failed"}
	var sendErr *forward.Error
	var relayErr *relay.Error
	switch {
	case errors.As(err, &sendErr):
		failure.executed = sendErr.Executed
		if sendErr.Phase == forward.PhaseConnect {
			failure.result = upstream.ResultConnect
		}
	case errors.As(err, &relayErr):
		failure.detail = "the relay to another entry host failed"
		if relayErr.NotRun {
			failure.executed = problem.ExecutedNo
			failure.result = upstream.ResultConnect
		}
	}
	if ctx.Err() != nil {
		failure.result = contextResult(ctx)
	}
	return failure
}

// contextResult returns the attempt's result for a cancelled context.
func contextResult(ctx context.Context) upstream.Result {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return upstream.ResultTimeout
	}
	return upstream.ResultCancelled
}

// checkResponse returns a failure for a response that must not be passed on: the
// target says that it did not execute the request, the end of the response can't
// be detected, or the response may belong to another request.
func (x *exchange) checkResponse(request *http.Request, response *http.Response, isPeer bool) *sendFailure {
	if isPeer {
		return peerRefusal(response) // the relay protocol marks the end of a response itself
	}
	if reportsNotRun(response) {
		return &sendFailure{result: upstream.ResultShed, executed: problem.ExecutedNo, retryAfter: retryAfter(response.Header)}
	}
	if err := forward.CheckResponse(request, response, RequestIDHeader, x.id); err != nil {
		return &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: err.Error(), closeIdle: true}
	}
	return nil
}

// closeIdleConnections closes the transport's connections that carry no request.
func closeIdleConnections(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// reportsNotRun reports whether an upstream says that it did not execute the request.
func reportsNotRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return response.Header.Get(problem.ExecutedHeader) == string(problem.ExecutedNo)
	default:
		return false
	}
}

// retryAfter parses a Retry-After header in seconds. It returns
// overloadRetryAfter if the header is missing or malformed.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return overloadRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
