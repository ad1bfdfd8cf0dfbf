package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Server answers relayed requests by an http.Handler. The handler finds the
// sending host and the metadata with FromContext. A handler that panics cuts the
// answer, as http.ErrAbortHandler does in package net/http.
type Server struct {
	Handler http.Handler
	Logger  log.Logger       // nil logs nothing
	Metrics metrics.Registry // nil counts in a private registry
}

// Register makes the server answer the relay streams of registry.
func (s *Server) Register(registry fleet.StreamRegistry) {
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	registry.HandleStream(Kind, s.serve)
}

func (s *Server) serve(ctx context.Context, from host.Identity, stream fleet.Stream) {
	metrics.GetOrRegisterCounter("relay.requests", s.Metrics).Inc(1)
	var head requestHead
	_ = stream.SetDeadline(time.Now().Add(headerTimeout))
	if err := fleet.ReadFrame(stream, &head, maxHeaderFrame); err != nil {
		refuse(stream)
		return
	}
	_ = stream.SetDeadline(writeDeadline(head))
	ctx = context.WithValue(ctx, incomingKey{}, Incoming{From: from, Metadata: head.Metadata})
	if head.DeadlineMs > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(head.DeadlineMs)*time.Millisecond)
		defer cancel()
		ctx = bounded
	}
	request, err := newRequest(ctx, head, stream)
	if err != nil {
		refuse(stream)
		return
	}
	writer := newAnswerWriter(stream, request)
	if s.run(writer, request) {
		writer.finish()
		return
	}
	writer.cut()
}

// writeDeadline bounds blocked reads and writes of a request with a deadline.
func writeDeadline(head requestHead) time.Time {
	if head.DeadlineMs == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(head.DeadlineMs)*time.Millisecond + deadlineGrace)
}

// refuse tells the sender that no handler ran.
func refuse(stream fleet.Stream) {
	stream.CancelRead(fleet.CancelRefused)
	stream.CancelWrite(fleet.CancelRefused)
}

// run calls the handler. It reports false if the answer must be cut.
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
	request, err := http.NewRequestWithContext(ctx, head.Method, head.URI, nil)
	if err != nil {
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
	request.Body = io.NopCloser(&bodyReader{stream: stream, announced: head.ContentLength, wrap: unchanged})
	return request, nil
}

// answerWriter implements http.ResponseWriter and http.Flusher on a stream.
type answerWriter struct {
	stream    fleet.Stream
	buffer    *bufio.Writer
	header    http.Header
	bodyless  bool
	method    string
	started   bool
	announced int64 // bytes; -1 if not known
	written   int64
	err       error // of the first failed write
}

func newAnswerWriter(stream fleet.Stream, request *http.Request) *answerWriter {
	return &answerWriter{
		stream:    stream,
		buffer:    bufio.NewWriterSize(stream, bufferSize),
		header:    http.Header{},
		method:    request.Method,
		announced: unknownLength,
	}
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Informational answers are not
// carried.
func (w *answerWriter) WriteHeader(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	w.bodyless = bodyless(w.method, status)
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		w.announced = length
	}
	head := answerHead{Status: status, Header: w.header, ContentLength: w.announced}
	w.err = fleet.WriteFrame(w.buffer, head, maxHeaderFrame)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if w.bodyless {
		return 0, http.ErrBodyNotAllowed
	}
	if w.announced >= 0 && w.written+int64(len(p)) > w.announced {
		return 0, http.ErrContentLength
	}
	n, err := w.buffer.Write(p)
	w.written += int64(n)
	w.err = err
	return n, err
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// FlushError sends what is buffered, for http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.err = w.buffer.Flush()
	}
	return w.err
}

// SetWriteDeadline bounds blocked reads and writes, for http.ResponseController.
func (w *answerWriter) SetWriteDeadline(deadline time.Time) error {
	return w.stream.SetDeadline(deadline)
}

// finish ends a complete answer, and cuts one that has fewer bytes than announced.
func (w *answerWriter) finish() {
	w.WriteHeader(http.StatusOK)
	short := !w.bodyless && w.announced >= 0 && w.written < w.announced
	if w.err != nil || short {
		w.cut()
		return
	}
	if err := w.buffer.Flush(); err != nil {
		w.cut()
		return
	}
	_ = w.stream.CloseWrite()
}

func (w *answerWriter) cut() { w.stream.CancelWrite(fleet.CancelFailed) }
