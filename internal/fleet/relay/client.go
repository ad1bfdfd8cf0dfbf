package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/httpstatus"
)

// Client relays requests to other hosts. It is safe for concurrent use.
type Client struct {
	Streams fleet.Streamer
}

// Transport returns an http.RoundTripper that relays each request to the host at
// peer with the given metadata. It is safe for concurrent use.
func (c *Client) Transport(peer netip.AddrPort, metadata Metadata) http.RoundTripper {
	return roundTripper{client: c, peer: peer, metadata: metadata}
}

type roundTripper struct {
	client   *Client
	peer     netip.AddrPort
	metadata Metadata
}

// RoundTrip implements http.RoundTripper. It returns a *Error on failure.
func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return r.client.Send(r.peer, r.metadata, request)
}

// Send relays one request to the host at peer. It returns when the head of the
// response has arrived; the caller must close the response body. Send closes the
// body of the request, possibly after it has returned. The end of the request's
// context cancels the handler at the peer. Send never sends a request twice. It
// returns a *Error on failure, and so does reading a truncated response body.
func (c *Client) Send(peer netip.AddrPort, metadata Metadata, request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	head := newRequestHead(metadata, request)
	frame, err := fleet.AppendFrame(nil, head, maxHeadFrameSize)
	if err != nil {
		closeBody(request)
		return nil, &Error{Peer: peer, NotSent: true, NotRun: true, Err: err}
	}
	stream, err := c.Streams.OpenStream(ctx, peer, StreamKind)
	if err != nil {
		closeBody(request)
		return nil, &Error{Peer: peer, NotSent: true, NotRun: true, Err: err}
	}
	e := &exchange{peer: peer, stream: stream, request: request}
	e.stopWatching = context.AfterFunc(ctx, e.cancel)
	go e.upload(frame, head.ContentLength)
	response, err := e.receiveHead()
	if cause := e.uploadErr.Load(); err == nil && cause != nil {
		err = *cause // the peer responded to a truncated request
	}
	if err != nil {
		e.end()
		return nil, e.asError(err)
	}
	return response, nil
}

// exchange is one request in flight and its response.
type exchange struct {
	peer         netip.AddrPort
	stream       fleet.Stream
	request      *http.Request
	stopWatching func() bool // stops watching the request's context
	ended        sync.Once
	maybeSent    atomic.Bool           // bytes of the request may have been sent
	uploadErr    atomic.Pointer[error] // nil unless the upload failed
}

// cancel cancels both directions of the stream and thereby the handler at the peer.
func (e *exchange) cancel() {
	e.stream.CancelRead(fleet.CancelAbandoned)
	e.stream.CancelWrite(fleet.CancelAbandoned)
}

// end cancels what is left of the exchange and releases the stream. Later calls do
// nothing.
func (e *exchange) end() {
	e.ended.Do(func() {
		e.stopWatching()
		e.cancel()
		_ = e.stream.Close()
	})
}

// asError returns the *Error of an exchange that ended without a complete response.
// The end of the request's context takes precedence over err; so does a failed
// upload, unless the peer refused the request.
func (e *exchange) asError(err error) error {
	if cause := e.request.Context().Err(); cause != nil {
		err = cause
	} else if cause := e.uploadErr.Load(); cause != nil && !isRefused(err) {
		err = *cause
	}
	sent := e.maybeSent.Load()
	return &Error{Peer: e.peer, NotSent: !sent, NotRun: !sent || isRefused(err), Err: err}
}

// Write implements io.Writer. It records that bytes may have been sent.
func (e *exchange) Write(p []byte) (int, error) {
	e.maybeSent.Store(true)
	return e.stream.Write(p)
}

// upload sends the head and the body of the request. If the exchange ends earlier,
// upload returns once its current read of the request's body returns.
func (e *exchange) upload(head []byte, announcedLength int64) {
	defer closeBody(e.request)
	err := e.sendRequest(head, announcedLength)
	if err == nil || peerStoppedReading(err) {
		return
	}
	e.uploadErr.Store(&err)
	e.stream.CancelWrite(fleet.CancelFailed)
	e.stream.CancelRead(fleet.CancelAbandoned)
}

func (e *exchange) sendRequest(head []byte, announcedLength int64) error {
	buffer := bufio.NewWriterSize(e, len(head)+writeBufferSize)
	if _, err := buffer.Write(head); err != nil {
		return err
	}
	if announcedLength != 0 {
		if err := e.sendBody(buffer, announcedLength); err != nil {
			return err
		}
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	return e.stream.CloseWrite()
}

// sendBody copies the body. A body of known length up to writeBufferSize is
// buffered, so that nothing is sent unless it is complete. A longer one, or one of
// unknown length, is sent while it is read.
func (e *exchange) sendBody(buffer *bufio.Writer, announcedLength int64) error {
	if announcedLength < 0 || announcedLength > writeBufferSize {
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
	var target io.Writer = buffer
	if announcedLength < 0 {
		target = e
	}
	copied, err := io.Copy(target, e.request.Body)
	if err == nil && announcedLength >= 0 && copied != announcedLength {
		return &LengthError{Announced: announcedLength, Received: copied}
	}
	return err
}

// receiveHead reads the head of the response.
func (e *exchange) receiveHead() (*http.Response, error) {
	var head responseHead
	if err := fleet.ReadFrame(e.stream, &head, maxHeadFrameSize); err != nil {
		return nil, err
	}
	if err := httpstatus.Check(head.Status); err != nil {
		return nil, err
	}
	response := &http.Response{
		Status:        fmt.Sprintf("%d %s", head.Status, http.StatusText(head.Status)),
		StatusCode:    head.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        head.Header,
		ContentLength: head.ContentLength,
		Request:       e.request,
	}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	announcedLength := head.ContentLength
	if hasNoBody(e.request.Method, head.Status) {
		announcedLength = 0
	}
	response.Body = &responseBody{
		bodyReader: bodyReader{stream: e.stream, announcedLength: announcedLength, wrapError: e.asError, onEnd: e.end},
		exchange:   e,
	}
	return response, nil
}

// responseBody is the body of a response. Close cancels the unread rest.
type responseBody struct {
	bodyReader
	exchange *exchange
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.exchange.end()
	return nil
}

func newRequestHead(metadata Metadata, request *http.Request) requestHead {
	head := requestHead{
		Metadata:      metadata,
		Method:        request.Method,
		URI:           requestTarget(request),
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: request.ContentLength,
		Client:        request.RemoteAddr,
	}
	if request.Body == nil || request.Body == http.NoBody {
		head.ContentLength = 0
	} else if request.ContentLength == 0 {
		head.ContentLength = unknownLength
	}
	if deadline, ok := request.Context().Deadline(); ok {
		head.DeadlineMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	return head
}

// requestTarget returns the target of a request: as it was received, if it was, else that of
// its URL.
func requestTarget(request *http.Request) string {
	if request.RequestURI != "" {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// hasNoBody reports whether a response has no body, whatever its Content-Length.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
