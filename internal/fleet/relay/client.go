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
)

// Client sends requests to other hosts. It is safe for concurrent use.
type Client struct {
	Streams fleet.Streamer
}

// Transport returns an http.RoundTripper that sends each request to the host at
// peer with the given metadata.
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

// Send relays one request to the host at peer and returns the head of its
// answer. It closes the body of the request, possibly after it has returned. The
// end of the request's context cancels the handler at the peer. It returns a
// *Error on failure and never sends a request twice; reading a body that was cut
// short returns a *Error as well.
func (c *Client) Send(peer netip.AddrPort, metadata Metadata, request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	head := newRequestHead(metadata, request)
	frame, err := fleet.AppendFrame(nil, head, maxHeaderFrame)
	if err != nil {
		closeBody(request)
		return nil, &Error{Peer: peer, NotSent: true, NotRun: true, Err: err}
	}
	stream, err := c.Streams.OpenStream(ctx, peer, Kind)
	if err != nil {
		closeBody(request)
		return nil, &Error{Peer: peer, NotSent: true, NotRun: true, Err: err}
	}
	x := &exchange{peer: peer, stream: stream, request: request}
	x.release = context.AfterFunc(ctx, x.abort)
	go x.upload(frame, head.ContentLength)
	response, err := x.receive()
	if cause := x.broken.Load(); err == nil && cause != nil {
		err = *cause // the answer is to a request that was cut
	}
	if err != nil {
		x.end()
		return nil, x.failure(err)
	}
	return response, nil
}

// exchange is one request under way.
type exchange struct {
	peer    netip.AddrPort
	stream  fleet.Stream
	request *http.Request
	release func() bool // stops the watch on the request's context
	ended   sync.Once
	sent    atomic.Bool           // bytes may have left this host
	broken  atomic.Pointer[error] // why the upload failed
}

// abort cancels both directions, which cancels the handler at the peer.
func (x *exchange) abort() {
	x.stream.CancelRead(fleet.CancelGone)
	x.stream.CancelWrite(fleet.CancelGone)
}

// end releases the stream once the answer has ended or is no longer wanted.
func (x *exchange) end() {
	x.ended.Do(func() {
		x.release()
		x.abort()
		_ = x.stream.Close()
	})
}

// failure makes the error of an exchange without a complete answer.
func (x *exchange) failure(err error) error {
	if cause := x.request.Context().Err(); cause != nil {
		err = cause
	} else if cause := x.broken.Load(); cause != nil && !refused(err) {
		err = *cause
	}
	sent := x.sent.Load()
	return &Error{Peer: x.peer, NotSent: !sent, NotRun: !sent || refused(err), Err: err}
}

// Write implements io.Writer. It notes that bytes may have left.
func (x *exchange) Write(p []byte) (int, error) {
	x.sent.Store(true)
	return x.stream.Write(p)
}

// upload sends the head and the body of the request. It ends at the latest when
// a read of the request's body returns after the exchange has ended.
func (x *exchange) upload(head []byte, announced int64) {
	defer closeBody(x.request)
	err := x.sendAll(head, announced)
	if err == nil || noLongerWanted(err) {
		return
	}
	x.broken.Store(&err)
	x.stream.CancelWrite(fleet.CancelFailed)
	x.stream.CancelRead(fleet.CancelGone)
}

func (x *exchange) sendAll(head []byte, announced int64) error {
	buffer := bufio.NewWriterSize(x, len(head)+bufferSize)
	if _, err := buffer.Write(head); err != nil {
		return err
	}
	if announced != 0 {
		if err := x.sendBody(buffer, announced); err != nil {
			return err
		}
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	return x.stream.CloseWrite()
}

// sendBody copies the body. A short body is collected in the buffer, so that
// nothing is sent before it is complete; a longer one flows as it comes.
func (x *exchange) sendBody(buffer *bufio.Writer, announced int64) error {
	if announced < 0 || announced > bufferSize {
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
	var target io.Writer = buffer
	if announced < 0 {
		target = x
	}
	copied, err := io.Copy(target, x.request.Body)
	if err == nil && announced >= 0 && copied != announced {
		return &LengthError{Announced: announced, Received: copied}
	}
	return err
}

// receive reads the head of the answer.
func (x *exchange) receive() (*http.Response, error) {
	var head answerHead
	if err := fleet.ReadFrame(x.stream, &head, maxHeaderFrame); err != nil {
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
		Request:       x.request,
	}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	announced := head.ContentLength
	if bodyless(x.request.Method, head.Status) {
		announced = 0
	}
	response.Body = &answerBody{
		bodyReader: bodyReader{stream: x.stream, announced: announced, wrap: x.failure, onEnd: x.end},
		exchange:   x,
	}
	return response, nil
}

// answerBody is the body of an answer. Close cancels what has not been read.
type answerBody struct {
	bodyReader
	exchange *exchange
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.end()
	return nil
}

func newRequestHead(metadata Metadata, request *http.Request) requestHead {
	head := requestHead{
		Metadata:      metadata,
		Method:        request.Method,
		URI:           request.URL.RequestURI(),
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

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// bodyless reports whether an answer has no body although it may announce one.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}
