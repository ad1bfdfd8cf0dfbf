package http1

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"peridotrail/internal/httpstatus"
)

// MaxHeadBytes limits the head of a response, interim responses included. It is four times the
// policy's usual limit on heads of requests.
const MaxHeadBytes = 64 << 10

// Check returns an error if the response can't be the answer to the request that was announced
// on conn with ExpectResponse: an *httpstatus.InvalidError, or a *MalformedError if it was
// received before the request was sent. The caller must close the connection then.
func Check(conn *Conn, response *http.Response) error {
	if complete, _ := conn.received(); !complete {
		return malformed("received before its request was sent", nil)
	}
	return httpstatus.Check(response.StatusCode)
}

// BodyLengthError reports a body that is longer than its reader accepts.
type BodyLengthError struct{ Limit int64 } // bytes

// Error implements error.
func (e *BodyLengthError) Error() string {
	return fmt.Sprintf("the body of the response is longer than %d bytes", e.Limit)
}

// ReadBody reads the body of a response whole. It returns a *BodyLengthError if the body is longer
// than limit bytes; the caller must close it then, which closes the connection.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, &BodyLengthError{Limit: limit}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, &BodyLengthError{Limit: limit}
	}
	return body, err
}

// IsInvalid reports whether err is about a response that is not well-formed.
func IsInvalid(err error) bool {
	var malformed *MalformedError
	var status *httpstatus.InvalidError
	return errors.As(err, &malformed) || errors.As(err, &status)
}

// Transport is an http.RoundTripper that returns an error for responses that are not well-formed.
// It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base, over connections that dial
// opens. base must not be used by others.
func NewTransport(base *http.Transport, dial DialFunc) *Transport {
	base.DialContext = wrapDial(dial)
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*Conn)
			conn.ExpectResponse()
			used.Store(conn)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { used.Load().RequestSent(info) },
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	conn := used.Load()
	if err := Check(conn, response); err != nil {
		_ = conn.Close()          // no other request may use it
		_ = response.Body.Close() // it is not used
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
