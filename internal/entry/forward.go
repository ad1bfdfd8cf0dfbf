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

// sendFailure is an attempt after which nothing was written to the caller.
type sendFailure struct {
	result     upstream.Result
	executed   problem.Executed
	retryAfter time.Duration
	detail     string
	dropIdle   bool             // the connection may carry answers to other requests
	refusal    *problem.Problem // of the entry host that the request was relayed to
}

// send makes one attempt under permit. It returns nil when the caller has the
// answer. A short answer is passed on once it is whole. A longer one that breaks
// off aborts the connection to the caller.
func (f *FrontDoor) send(w http.ResponseWriter, r *http.Request, x *exchange, permit Permit) *sendFailure {
	target := permit.Target()
	x.target = target.Name()
	outcome := upstream.Outcome{Result: upstream.ResultCancelled}
	started := time.Now()
	done := sync.OnceFunc(func() {
		outcome.Latency = time.Since(started)
		permit.Done(outcome)
	})
	defer done()
	left := x.millisecondsLeft(started)
	if left < 1 {
		return &sendFailure{result: upstream.ResultCancelled, executed: problem.ExecutedNo, detail: "no time is left"}
	}
	request := x.outbound(r, target, left)
	outcome.BytesSent = max(0, request.ContentLength)
	response, err := permit.Transport().RoundTrip(request)
	if err != nil {
		return x.failed(&outcome, transportFailure(x.attemptContext(), err))
	}
	defer response.Body.Close()
	if failure := x.checkResponse(request, response, target.IsPeer); failure != nil {
		if failure.dropIdle {
			dropIdleConnections(permit.Transport())
		}
		return x.failed(&outcome, failure)
	}
	if bodyLength(request, response) < 0 || bodyLength(request, response) > forward.WholeBytes {
		x.mayHaveRun = true
		outcome.BytesReceived = stream(w, x, request, response, &outcome)
		return nil
	}
	body, release, err := forward.ReadWhole(response, bodyLength(request, response))
	defer release()
	if err != nil {
		return x.failed(&outcome, cutFailure(x.attemptContext()))
	}
	x.mayHaveRun = true
	outcome.BytesReceived = int64(len(body))
	outcome.Result = resultOf(response)
	done() // the target is free before a slow caller has read the answer
	writeWhole(w, x, response, body)
	return nil
}

// failed notes a failed attempt.
func (x *exchange) failed(outcome *upstream.Outcome, failure *sendFailure) *sendFailure {
	if failure.executed != problem.ExecutedNo {
		x.mayHaveRun = true
	}
	outcome.Result = failure.result
	return failure
}

// cutFailure is an answer that broke off before any of it was passed on.
func cutFailure(ctx context.Context) *sendFailure {
	failure := &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: "the upstream's answer broke off"}
	if ctx.Err() != nil {
		failure.result = endResult(ctx)
	}
	return failure
}

// transportFailure translates an error of a permit's transport.
func transportFailure(ctx context.Context, err error) *sendFailure {
	failure := &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: "the connection to the upstream failed"}
	var sent *forward.Error
	var relayed *relay.Error
	switch {
	case errors.As(err, &sent):
		failure.executed = sent.Executed
		if sent.Phase == forward.PhaseConnect {
			failure.result = upstream.ResultConnect
		}
	case errors.As(err, &relayed):
		failure.detail = "the relay to another entry host failed"
		if relayed.NotRun {
			failure.executed = problem.ExecutedNo
			failure.result = upstream.ResultConnect
		}
	}
	if ctx.Err() != nil {
		failure.result = endResult(ctx)
	}
	return failure
}

func endResult(ctx context.Context) upstream.Result {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return upstream.ResultTimeout
	}
	return upstream.ResultCancelled
}

// checkResponse finds answers that are not passed on: the target's word that it
// did not run the request, and answers whose end or owner is uncertain.
func (x *exchange) checkResponse(request *http.Request, response *http.Response, isPeer bool) *sendFailure {
	if isPeer {
		return peerRefusal(response) // a relay marks the end of its answers itself
	}
	if saysNotRun(response) {
		return &sendFailure{result: upstream.ResultShed, executed: problem.ExecutedNo, retryAfter: retryAfter(response.Header)}
	}
	if err := forward.CheckResponse(request, response, RequestIDHeader, x.id); err != nil {
		return &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: err.Error(), dropIdle: true}
	}
	return nil
}

// dropIdleConnections closes the connections that carry no request.
func dropIdleConnections(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func saysNotRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return response.Header.Get(problem.ExecutedHeader) == string(problem.ExecutedNo)
	default:
		return false
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return overloadRetry
	}
	return time.Duration(seconds) * time.Second
}
