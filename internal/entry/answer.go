package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/upstream"
)

// bodyLength returns the length of the response's body, -1 if it is not known.
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

func resultOf(response *http.Response) upstream.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		return upstream.ResultFailed
	}
	return upstream.ResultOK
}

// writeWhole sends an answer that was received whole.
func writeWhole(w http.ResponseWriter, x *exchange, response *http.Response, body []byte) {
	writeHead(w, response, x)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		x.cut = true
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
}

// stream copies the response to the caller and returns the bytes of its body.
// The outcome is set before the connection is aborted.
func stream(w http.ResponseWriter, x *exchange, request *http.Request, response *http.Response, outcome *upstream.Outcome) int64 {
	ctx := x.attemptContext()
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
	outcome.Result = resultOf(response)
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
		if !forward.HopByHop(name) && !strings.HasPrefix(name, headerPrefix) {
			w.Header()[name] = values
		}
	}
}
