package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"peridotrail/internal/http1"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// writeTracker tracks the connections on which one request was written.
type writeTracker struct {
	mu            sync.Mutex // guards the fields below; never held across I/O
	conn          *conn
	writtenBefore int64 // bytes written on conn before the request
	mayHaveSent   bool  // bytes of the request may have been written on a connection

	check    func() error // see WithSendCheck; nil if there is none
	cancel   context.CancelCauseFunc
	withheld error // result of check that kept the request from being written
	resent   bool  // a second connection was refused
}

type sendCheckKey struct{}

// WithSendCheck returns a context for a request that is written only if check returns nil
// when the request has been assigned a connection. Otherwise the request fails with an
// *Error that wraps the result of check, with ExecutedNo.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// gotConn is the httptrace hook for a connection that http.Transport chose for
// the request.
func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blockWritesLocked()
	if t.withheld != nil {
		_ = info.Conn.Close() // the request has been cancelled
		return
	}
	invariant.Check(!t.mayHaveSent, invariant.AtMostOnce, "a request was moved to another connection after bytes were written")
	if t.mayHaveSent {
		t.refuseResendLocked(info.Conn)
		return
	}
	if !ok {
		t.mayHaveSent = true
		return
	}
	t.conn = c
	t.writtenBefore = c.written.Load()
	c.ExpectResponse()
	if t.check == nil {
		return
	}
	if err := t.check(); err != nil {
		t.blockWritesLocked()
		t.withheld = err
		t.cancel(err)
		_ = c.Close() // no other request may use the blocked connection
	}
}

// wroteRequest is the httptrace hook for a request that was written.
func (t *writeTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.RequestSent(info)
	}
}

// refuseResendLocked keeps a request that may have been sent from being written on a second
// connection. The caller holds t.mu.
func (t *writeTracker) refuseResendLocked(second net.Conn) {
	t.resent = true
	if c, ok := second.(*conn); ok {
		c.blockWrites()
	}
	_ = second.Close() // no other request may use the blocked connection
	if t.cancel != nil {
		t.cancel(&ResentError{}) // ends further tries of http.Transport
	}
}

// blockWritesLocked blocks further writes on the current connection, whose write
// goroutine may still be about to write. The caller holds t.mu.
func (t *writeTracker) blockWritesLocked() {
	if t.withheld != nil {
		return // the connection was blocked before http.Transport could write
	}
	if t.conn != nil && t.conn.blockWrites() != t.writtenBefore {
		t.mayHaveSent = true
	}
}

// executed returns ExecutedNo only if no byte of the request was written and none
// will be written. It must be called only after the request failed.
func (t *writeTracker) executed() problem.Executed {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blockWritesLocked()
	if t.mayHaveSent {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

// connected reports whether the request was assigned a connection.
func (t *writeTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil
}

// roundTrip sends a request with base, at most once.
func roundTrip(base *http.Transport, request *http.Request) (*http.Response, error) {
	return track(base, preventResend(request.WithContext(request.Context())))
}

// track sends a request with base, tracks its writes and converts an error to *Error.
func track(base *http.Transport, request *http.Request) (*http.Response, error) {
	tracker := &writeTracker{}
	ctx := request.Context()
	if check, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
		tracker.check = check
		ctx, tracker.cancel = context.WithCancelCause(ctx)
	}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn, WroteRequest: tracker.wroteRequest}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := base.RoundTrip(request)
	if err != nil {
		return nil, tracker.newError(request, err)
	}
	response.Body = &trackedBody{ReadCloser: response.Body, tracker: tracker}
	if err := tracker.checkResponse(response); err != nil {
		Discard(response)
		return nil, &Error{Target: request.URL.Host, Phase: PhaseResponse, Executed: problem.ExecutedUnknown, Err: err}
	}
	return response, nil
}

// checkResponse returns an error if the response is not well-formed.
func (t *writeTracker) checkResponse(response *http.Response) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return http1.Check(t.conn.Conn, response)
}

// trackedBody is a response body with a reference to its connection.
type trackedBody struct {
	io.ReadCloser
	tracker *writeTracker
}

// Discard closes a response and its connection, so that no later request can read
// bytes that still arrive on it.
func Discard(response *http.Response) {
	if body, ok := response.Body.(*trackedBody); ok {
		body.tracker.mu.Lock()
		conn := body.tracker.conn
		body.tracker.mu.Unlock()
		if conn != nil {
			_ = conn.Close() // the connection is not used again
		}
	}
	_ = response.Body.Close() // the response is not used, so an error has no effect
}

// newError returns the Error of the failed request.
func (t *writeTracker) newError(request *http.Request, err error) *Error {
	phase := PhaseConnect
	if t.connected() {
		phase = PhaseSend
	}
	executed := t.executed()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.withheld != nil && executed == problem.ExecutedNo:
		err = t.withheld
	case t.resent:
		err = &ResentError{}
	}
	return &Error{Target: request.URL.Host, Phase: phase, Executed: executed, Err: err}
}
