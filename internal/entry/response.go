package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/upstream"
)

// bodyLength returns the length of the response body in bytes, -1 if it is unknown.
func bodyLength(request *http.Request, response *http.Response) int64 {
	switch {
	case request.Method == http.MethodHead:
		return 0
	case response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return 0
	default:
		return response.ContentLength
	}
}

// resultOf classifies a complete response by its status for the dispatcher.
func resultOf(response *http.Response) upstream.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		return upstream.ResultFailed
	}
	return upstream.ResultOK
}

// writeBuffered sends a response whose body was received completely. It panics
// with http.ErrAbortHandler if the body can't be written to the caller.
func writeBuffered(w http.ResponseWriter, x *exchange, response *http.Response, body []byte) {
	writeHead(w, response, x)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		x.truncated = true
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
}

// streamResponse copies the response to the caller while it is received and
// returns the size of its body in bytes. If the copy fails, it sets the outcome
// and then panics with http.ErrAbortHandler to abort the caller's connection.
func streamResponse(w http.ResponseWriter, x *exchange, request *http.Request, response *http.Response, outcome *upstream.Outcome) int64 {
	ctx := x.attemptContext()
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0)) // unblocks a write to a slow caller; relayed streams end with their context
	})
	writeHead(w, response, x)
	copied, err := forward.CopyBody(w, response, request.Method != http.MethodHead)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		x.truncated = true
		outcome.Result = upstream.ResultFailed
		if ctx.Err() != nil {
			outcome.Result = contextResult(ctx)
		}
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
	outcome.Result = resultOf(response)
	return copied
}

// writeHead sends the status and the headers of the response and announces its
// trailers.
func writeHead(w http.ResponseWriter, response *http.Response, x *exchange) {
	header := w.Header()
	copyEndToEnd(header, response.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents content sniffing by net/http
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

// writeTrailers sends the trailers that the response announced. Their values are
// available only after the body has been read.
func writeTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		if !forward.IsHopByHop(name) && !strings.HasPrefix(name, headerPrefix) {
			w.Header()[name] = values
		}
	}
}
