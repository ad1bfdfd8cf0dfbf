package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/httpstatus"
)

// Server serves relayed requests with an http.Handler. The handler gets the sending
// host and the metadata from FromContext. If the handler panics, the response is
// aborted, as net/http does for http.ErrAbortHandler; other panics are logged.
type Server struct {
	Handler http.Handler
	Logger  log.Logger       // nil disables logging
	Metrics metrics.Registry // nil means a private registry
}

// Register registers the server for the relay streams of registry. It must be
// called before the transport runs.
func (s *Server) Register(registry fleet.StreamRegistry) {
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	registry.HandleStream(StreamKind, s.serve)
}

func (s *Server) serve(ctx context.Context, from host.Identity, stream fleet.Stream) {
	metrics.GetOrRegisterCounter("relay.requests", s.Metrics).Inc(1)
	var head requestHead
	_ = stream.SetDeadline(time.Now().Add(headReadTimeout))
	if err := fleet.ReadFrame(stream, &head, maxHeadFrameSize); err != nil {
		refuse(stream)
		return
	}
	_ = stream.SetDeadline(writeDeadline(head))
	ctx = context.WithValue(ctx, originKey{}, Origin{From: from, Metadata: head.Metadata})
	if head.DeadlineMs > 0 {
		withDeadline, cancel := context.WithTimeout(ctx, time.Duration(head.DeadlineMs)*time.Millisecond)
		defer cancel()
		ctx = withDeadline
	}
	request, err := newRequest(ctx, head, stream)
	if err != nil {
		refuse(stream)
		return
	}
	writer := newResponseWriter(stream, request)
	if s.run(writer, request) {
		writer.finish()
		return
	}
	writer.abort()
}

// writeDeadline returns the time at which blocked reads and writes of a request
// fail. It returns the zero time for a request without a deadline.
func writeDeadline(head requestHead) time.Time {
	if head.DeadlineMs == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(head.DeadlineMs)*time.Millisecond + deadlineReportMargin)
}

// refuse cancels the stream with CancelRefused, which reports to the sender that
// no handler ran.
func refuse(stream fleet.Stream) {
	stream.CancelRead(fleet.CancelRefused)
	stream.CancelWrite(fleet.CancelRefused)
}

// run calls the handler. It reports false if the handler panicked and the response
// must be aborted.
func (s *Server) run(writer http.ResponseWriter, request *http.Request) (complete bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		metrics.GetOrRegisterCounter("relay.aborted", s.Metrics).Inc(1)
		if value != http.ErrAbortHandler {
			failure := &fleet.PanicError{Value: fmt.Sprint(value)}
			_ = level.Error(s.Logger).Log("component", "relay", "msg", "handler panicked", "err", failure)
		}
	}()
	s.Handler.ServeHTTP(writer, request)
	return true
}

func newRequest(ctx context.Context, head requestHead, stream fleet.Stream) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, head.Method, "/", nil)
	if err != nil {
		return nil, err
	}
	if request.URL, err = parseTarget(head.Method, head.URI); err != nil {
		return nil, err
	}
	request.Host = head.Host
	request.RequestURI = head.URI
	request.RemoteAddr = head.Client
	request.ContentLength = head.ContentLength
	request.Header = head.Header
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if head.ContentLength == 0 {
		request.Body = http.NoBody
		return request, nil
	}
	unchanged := func(err error) error { return err }
	request.Body = io.NopCloser(&bodyReader{stream: stream, announcedLength: head.ContentLength, wrapError: unchanged})
	return request, nil
}

// parseTarget parses a request target as net/http does for a request that it reads.
func parseTarget(method, target string) (*url.URL, error) {
	if method != http.MethodConnect || strings.HasPrefix(target, "/") {
		return url.ParseRequestURI(target)
	}
	parsed, err := url.ParseRequestURI("http://" + target) // the target is a host and a port
	if err != nil {
		return nil, err
	}
	parsed.Scheme = ""
	return parsed, nil
}

// responseWriter implements http.ResponseWriter and http.Flusher on a stream.
type responseWriter struct {
	stream          fleet.Stream
	buffer          *bufio.Writer
	header          http.Header
	noBody          bool
	method          string
	headWritten     bool
	announcedLength int64 // bytes; unknownLength if not announced
	written         int64
	err             error // of the first failed write
}

func newResponseWriter(stream fleet.Stream, request *http.Request) *responseWriter {
	return &responseWriter{
		stream:          stream,
		buffer:          bufio.NewWriterSize(stream, writeBufferSize),
		header:          http.Header{},
		method:          request.Method,
		announcedLength: unknownLength,
	}
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Informational responses (1xx) are not
// relayed. A response with an invalid status is aborted.
func (w *responseWriter) WriteHeader(status int) {
	if w.headWritten || isInformational(status) {
		return
	}
	w.headWritten = true
	if w.err = httpstatus.Check(status); w.err != nil {
		return
	}
	w.noBody = hasNoBody(w.method, status)
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		w.announcedLength = length
	}
	head := responseHead{Status: status, Header: w.header, ContentLength: w.announcedLength}
	w.err = fleet.WriteFrame(w.buffer, head, maxHeadFrameSize)
}

// isInformational reports whether another response follows one with the status.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if w.noBody {
		return 0, http.ErrBodyNotAllowed
	}
	if w.announcedLength >= 0 && w.written+int64(len(p)) > w.announcedLength {
		return 0, http.ErrContentLength
	}
	n, err := w.buffer.Write(p)
	w.written += int64(n)
	w.err = err
	return n, err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// FlushError sends the buffered bytes. http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.err = w.buffer.Flush()
	}
	return w.err
}

// SetWriteDeadline sets the deadline of blocked reads and writes.
// http.ResponseController calls it.
func (w *responseWriter) SetWriteDeadline(deadline time.Time) error {
	return w.stream.SetDeadline(deadline)
}

// finish ends a complete response. It aborts one that is shorter than announced or
// that can't be sent.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	incomplete := !w.noBody && w.announcedLength >= 0 && w.written < w.announcedLength
	if w.err != nil || incomplete {
		w.abort()
		return
	}
	if err := w.buffer.Flush(); err != nil {
		w.abort()
		return
	}
	_ = w.stream.CloseWrite()
}

func (w *responseWriter) abort() { w.stream.CancelWrite(fleet.CancelFailed) }
