package forward

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// attempt follows on which connections one request was written.
type attempt struct {
	mu     sync.Mutex // guards the fields below; never held across I/O
	conn   *conn
	before int64 // bytes written on conn before the request
	sent   bool  // bytes of the request were written on an earlier connection
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealLocked()
	invariant.Check(!a.sent, invariant.AtMostOnce, "a request took another connection after bytes were written")
	if !ok {
		a.sent = true
		return
	}
	a.conn = c
	a.before = c.written.Load()
}

// sealLocked ends the use of the current connection, whose write goroutine may
// still be about to write.
func (a *attempt) sealLocked() {
	if a.conn != nil && a.conn.seal() != a.before {
		a.sent = true
	}
}

// executed returns "no" only if no byte of the request was written and none will
// be. It is called after the request failed.
func (a *attempt) executed() problem.Executed {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealLocked()
	if a.sent {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

func (a *attempt) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil
}

func roundTrip(base *http.Transport, request *http.Request) (*http.Response, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := base.RoundTrip(preventResend(request))
	if err != nil {
		return nil, a.failure(request, err)
	}
	response.Body = &trackedBody{ReadCloser: response.Body, attempt: a}
	return response, nil
}

// trackedBody is a response body that knows its connection.
type trackedBody struct {
	io.ReadCloser
	attempt *attempt
}

// Discard gives up a response and closes its connection, on which bytes of
// another response may follow.
func Discard(response *http.Response) {
	if body, ok := response.Body.(*trackedBody); ok {
		body.attempt.mu.Lock()
		conn := body.attempt.conn
		body.attempt.mu.Unlock()
		if conn != nil {
			_ = conn.Close() // the connection is of no further use
		}
	}
	_ = response.Body.Close() // nothing is expected of it
}

func (a *attempt) failure(request *http.Request, err error) *Error {
	phase := PhaseConnect
	if a.connected() {
		phase = PhaseSend
	}
	return &Error{Target: request.URL.Host, Phase: phase, Executed: a.executed(), Err: err}
}
