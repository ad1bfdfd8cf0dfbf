package fleet

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"peridotrail/internal/host"
)

// CancelCode says why one direction of a stream was cancelled.
type CancelCode uint64

// Codes of cancellation.
const (
	CancelNone     CancelCode = iota // no more bytes are wanted
	CancelGone                       // the other party no longer waits
	CancelDeadline                   // the deadline passed
	CancelRefused                    // no handler ran
	CancelFailed                     // the body can't be completed
)

// Stream is a pair of byte streams to a peer. Each direction ends either with
// CloseWrite, which the reader sees as io.EOF after all bytes, or by
// cancellation, which the reader sees as a *CancelledError: a truncated body is
// never taken for a complete one.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the outgoing direction after all bytes written.
	CloseWrite() error
	// CancelWrite aborts the outgoing direction; the peer may lose bytes written.
	CancelWrite(code CancelCode)
	// CancelRead tells the peer that its bytes are no longer wanted.
	CancelRead(code CancelCode)
	// SetDeadline bounds blocked reads and writes. Zero removes the bound.
	SetDeadline(deadline time.Time) error
	// Context ends when the peer cancels reading, when the outgoing direction
	// ends, or when the connection breaks.
	Context() context.Context
	// Close cancels what is still open in both directions and releases the
	// stream. It must be called once.
	Close() error
}

// StreamHandler serves one incoming stream. The stream is closed when it returns.
type StreamHandler func(ctx context.Context, from host.Identity, stream Stream)

// Streamer opens streams to other hosts.
type Streamer interface {
	// OpenStream opens a stream of the given kind to the host at addr. An *Error
	// that it returns satisfies NotHandled. The peer's handler may start with the
	// first byte written; ctx bounds opening only.
	OpenStream(ctx context.Context, addr netip.AddrPort, kind Kind) (Stream, error)
}

// StreamRegistry accepts stream handlers before the transport starts to serve.
type StreamRegistry interface {
	HandleStream(kind Kind, handler StreamHandler)
}

// CancelledError is a direction of a stream that the peer cancelled.
type CancelledError struct {
	Code CancelCode
	Err  error
}

// Error implements error.
func (e *CancelledError) Error() string { return "stream cancelled by the peer: " + e.Err.Error() }

// Unwrap returns the underlying failure.
func (e *CancelledError) Unwrap() error { return e.Err }

// OpenStream implements Streamer.
func (t *Transport) OpenStream(ctx context.Context, addr netip.AddrPort, kind Kind) (Stream, error) {
	header, err := AppendFrame(nil, requestFrame{Mode: modeStream, Kind: kind}, streamHeaderFrameMaxSize)
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Peer: addr, Message: kind, Err: err}
	}
	stream, done, failure := t.open(ctx, peerKey{addr, useStreams})
	if failure != nil {
		failure.Peer = addr
		failure.Message = kind
		return nil, failure
	}
	return &quicStream{stream: stream, done: done, header: header}, nil
}

// serveStream runs the handler of an incoming stream.
func (t *Transport) serveStream(l *link, stream *quic.Stream, request requestFrame) {
	handler, ok := t.streams[request.Kind]
	if !ok {
		t.reject(l, stream, &IdentityError{Announced: string(request.Kind), Reason: "no handler for this kind of stream"})
		return
	}
	wrapped := &quicStream{stream: stream, done: func() {}}
	defer func() {
		if value := recover(); value != nil {
			t.notePanic(request.Kind, value)
			wrapped.CancelWrite(CancelFailed)
		}
		_ = wrapped.Close()
	}()
	t.meters.handled.Inc(1)
	handler(stream.Context(), l.remote, wrapped)
}

// quicStream implements Stream. The open frame leaves with the first bytes
// written, so that a stream on which nothing was written was never seen by a
// handler.
type quicStream struct {
	stream *quic.Stream
	done   func()
	header []byte      // open frame not yet sent
	ended  atomic.Bool // the outgoing direction ended
}

func (s *quicStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	return n, streamError(err)
}

func (s *quicStream) Write(p []byte) (int, error) {
	if len(s.header) == 0 {
		n, err := s.stream.Write(p)
		return n, streamError(err)
	}
	header := s.header
	s.header = nil
	n, err := s.stream.Write(append(header, p...))
	return max(n-len(header), 0), streamError(err)
}

func (s *quicStream) CloseWrite() error {
	if len(s.header) > 0 {
		if _, err := s.Write(nil); err != nil {
			return err
		}
	}
	s.ended.Store(true)
	return streamError(s.stream.Close())
}

func (s *quicStream) CancelWrite(code CancelCode) {
	s.ended.Store(true)
	s.stream.CancelWrite(quic.StreamErrorCode(code))
}

func (s *quicStream) CancelRead(code CancelCode) {
	s.stream.CancelRead(quic.StreamErrorCode(code))
}

func (s *quicStream) SetDeadline(deadline time.Time) error { return s.stream.SetDeadline(deadline) }

func (s *quicStream) Context() context.Context { return s.stream.Context() }

func (s *quicStream) Close() error {
	if !s.ended.Load() {
		s.CancelWrite(CancelGone)
	}
	s.CancelRead(CancelNone)
	s.done()
	return nil
}

func streamError(err error) error {
	if err == nil {
		return nil
	}
	if code, ok := remoteCode(err); ok {
		return &CancelledError{Code: code, Err: err}
	}
	var failure *quic.StreamError
	if errors.As(err, &failure) {
		return &CancelledError{Code: CancelCode(failure.ErrorCode), Err: err}
	}
	return err
}
