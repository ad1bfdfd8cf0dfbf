package entry

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

const addedHeaders = 4 // that this host adds to a request

// sendFailure is an attempt after which nothing was written to the caller.
type sendFailure struct {
	result     upstream.Result
	executed   problem.Executed
	retryAfter time.Duration
	detail     string
	refusal    *problem.Problem // of the entry host that the request was relayed to
}

// send makes one attempt under permit. It returns nil when the caller has the
// answer. An answer that breaks off aborts the connection to the caller.
func (f *FrontDoor) send(w http.ResponseWriter, r *http.Request, x *exchange, permit Permit) *sendFailure {
	target := permit.Target()
	x.target = target.Name()
	outcome := upstream.Outcome{Result: upstream.ResultCancelled}
	started := time.Now()
	defer func() {
		outcome.Latency = time.Since(started)
		permit.Done(outcome)
	}()
	left := x.millisecondsLeft(started)
	if left < 1 {
		return &sendFailure{result: upstream.ResultCancelled, executed: problem.ExecutedNo, detail: "no time is left"}
	}
	request := x.outbound(r, target, left)
	outcome.BytesSent = max(0, request.ContentLength)
	response, err := permit.Transport().RoundTrip(request)
	if err != nil {
		failure := transportFailure(x.contextFor(r), err)
		x.note(failure.executed)
		outcome.Result = failure.result
		return failure
	}
	defer response.Body.Close()
	if failure := x.checkResponse(request, response, target.IsPeer); failure != nil {
		x.note(failure.executed)
		outcome.Result = failure.result
		return failure
	}
	x.mayHaveRun = true
	outcome.BytesReceived = f.answer(w, r, x, request, response, &outcome)
	return nil
}

func (x *exchange) note(executed problem.Executed) {
	if executed != problem.ExecutedNo {
		x.mayHaveRun = true
	}
}

// outbound builds the request for the next hop.
func (x *exchange) outbound(r *http.Request, target upstream.Target, left int64) *http.Request {
	header := make(http.Header, len(r.Header)+addedHeaders)
	copyEndToEnd(header, r.Header)
	query := r.URL.RawQuery
	if !x.open || x.key != "" {
		delete(header, authorization)
	}
	if x.key != "" {
		removeKey(header, x.key)
		query = withoutKey(query, x.key)
		invariant.Check(!x.leaksKey(header, query), invariant.KeyNotForwarded, "request %s", x.id)
	}
	header[DeadlineHeader] = []string{strconv.FormatInt(left, 10)}
	header[RequestIDHeader] = []string{x.id}
	location := &url.URL{Scheme: "http", Host: target.Address.String(), RawQuery: query}
	if target.IsPeer {
		location.Path, location.RawPath = r.URL.Path, r.URL.RawPath
		x.addRelayHeaders(header, target)
	} else {
		location.Path, location.RawPath = x.path, x.rawPath
		if x.account != "" {
			header[AccountHeader] = []string{x.account}
		}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           location,
		Host:          r.Host,
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
	return request.WithContext(x.contextFor(r))
}

func (x *exchange) leaksKey(header http.Header, query string) bool {
	if strings.Contains(query, x.key) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if strings.Contains(value, x.key) {
				return true
			}
		}
	}
	return false
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
		return &sendFailure{result: upstream.ResultFailed, executed: problem.ExecutedUnknown, detail: err.Error()}
	}
	return nil
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

// answer copies the response to the caller and returns the bytes of its body.
// The outcome is set before the connection is aborted.
func (f *FrontDoor) answer(w http.ResponseWriter, r *http.Request, x *exchange, request *http.Request, response *http.Response, outcome *upstream.Outcome) int64 {
	ctx := x.contextFor(r)
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0)) // frees a write to a slow caller; relayed streams end by themselves
	})
	writeHead(w, response, x)
	copied, err := forward.CopyBody(w, response, request.Method != http.MethodHead)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		x.cut = true
		outcome.Result = upstream.ResultFailed
		if ctx.Err() != nil {
			outcome.Result = endResult(ctx)
		}
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
	outcome.Result = upstream.ResultOK
	if response.StatusCode >= http.StatusInternalServerError {
		outcome.Result = upstream.ResultFailed
	}
	return copied
}

func writeHead(w http.ResponseWriter, response *http.Response, x *exchange) {
	header := w.Header()
	copyEndToEnd(header, response.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length := response.Header["Content-Length"]; len(length) == 1 && response.ContentLength >= 0 {
		header["Content-Length"] = length
	}
	header[RequestIDHeader] = []string{x.id}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
}

// writeTrailers sends the trailers that the response announced. They are known
// once its body has been read.
func writeTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		if !hopByHop[name] && !strings.HasPrefix(name, headerPrefix) {
			w.Header()[name] = values
		}
	}
}
