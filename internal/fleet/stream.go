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

// CancelCode is the reason why one direction of a stream was cancelled. It is sent
// as the QUIC application error code.
type CancelCode uint64

// Reasons for cancellation.
const (
	CancelNoError   CancelCode = iota // the reader needs no more bytes
	CancelAbandoned                   // the party that cancelled abandoned the exchange
	CancelDeadline                    // the deadline passed
	CancelRefused                     // no handler ran
	CancelFailed                      // the body can't be completed
)

// Stream is a pair of byte streams to a peer. Each direction ends either with
// CloseWrite, which the reader sees as io.EOF after all bytes, or by
// cancellation, which the reader sees as a *CancelledError. A truncated body is
// therefore never mistaken for a complete one.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the outgoing direction. The bytes written before are still
	// delivered.
	CloseWrite() error
	// CancelWrite aborts the outgoing direction. Bytes already written may not be
	// delivered.
	CancelWrite(code CancelCode)
	// CancelRead asks the peer to stop sending.
	CancelRead(code CancelCode)
	// SetDeadline sets the time at which blocked reads and writes fail. The zero
	// time removes the deadline.
	SetDeadline(deadline time.Time) error
	// Context is cancelled when the peer cancels reading, when the outgoing
	// direction ends, or when the connection breaks.
	Context() context.Context
	// Close cancels the directions that are still open and releases the stream. It
	// must be called exactly once.
	Close() error
}

// StreamHandler serves one incoming stream. The transport closes the stream when
// the handler returns. It may run concurrently with itself.
type StreamHandler func(ctx context.Context, from host.Identity, stream Stream)

// Streamer opens streams to other hosts.
type Streamer interface {
	// OpenStream opens a stream of the given kind to the host at addr. It returns
	// an *Error, whose NotHandled reports true unless kind is too long to be sent
	// (KindInvalid). The peer's handler does not start before the first Write or
	// CloseWrite. The end of ctx cancels the opening only, not the stream.
	OpenStream(ctx context.Context, addr netip.AddrPort, kind Kind) (Stream, error)
}

// StreamRegistry registers stream handlers. All handlers must be registered before
// the transport runs.
type StreamRegistry interface {
	HandleStream(kind Kind, handler StreamHandler)
}

// CancelledError reports that one direction of a stream was cancelled.
type CancelledError struct {
	Code CancelCode
	Err  error
}

// Error implements error.
func (e *CancelledError) Error() string { return "stream cancelled by the peer: " + e.Err.Error() }

// Unwrap returns the error of the QUIC stream.
func (e *CancelledError) Unwrap() error { return e.Err }

// OpenStream implements Streamer.
func (t *Transport) OpenStream(ctx context.Context, addr netip.AddrPort, kind Kind) (Stream, error) {
	header, err := AppendFrame(nil, requestFrame{Mode: modeStream, Kind: kind}, maxStreamHeaderFrameSize)
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Peer: addr, Message: kind, Err: err}
	}
	stream, release, failure := t.open(ctx, connKey{addr, purposeStreams})
	if failure != nil {
		failure.Peer = addr
		failure.Message = kind
		return nil, failure
	}
	return &quicStream{stream: stream, release: release, header: header}, nil
}

// serveStream runs the handler of an incoming stream. If the handler panics, the
// outgoing direction is cancelled with CancelFailed.
func (t *Transport) serveStream(c *peerConn, stream *quic.Stream, request requestFrame) {
	handler, ok := t.streams[request.Kind]
	if !ok {
		t.reject(c, stream, &IdentityError{Announced: string(request.Kind), Reason: "no handler for this kind of stream"})
		return
	}
	wrapped := &quicStream{stream: stream, release: func() {}}
	defer func() {
		if value := recover(); value != nil {
			t.recordPanic(request.Kind, value)
			wrapped.CancelWrite(CancelFailed)
		}
		_ = wrapped.Close()
	}()
	t.counters.handled.Inc(1)
	handler(stream.Context(), c.remote, wrapped)
}

// quicStream implements Stream. The request frame is sent with the first bytes
// written, so that no handler runs for a stream on which nothing was written.
type quicStream struct {
	stream     *quic.Stream
	release    func()
	header     []byte      // request frame that is not sent yet
	writeEnded atomic.Bool // the outgoing direction was closed or cancelled
}

func (s *quicStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	return n, asCancelledError(err)
}

func (s *quicStream) Write(p []byte) (int, error) {
	if len(s.header) == 0 {
		n, err := s.stream.Write(p)
		return n, asCancelledError(err)
	}
	header := s.header
	s.header = nil
	n, err := s.stream.Write(append(header, p...))
	return max(n-len(header), 0), asCancelledError(err)
}

func (s *quicStream) CloseWrite() error {
	if len(s.header) > 0 {
		if _, err := s.Write(nil); err != nil {
			return err
		}
	}
	s.writeEnded.Store(true)
	return asCancelledError(s.stream.Close())
}

func (s *quicStream) CancelWrite(code CancelCode) {
	s.writeEnded.Store(true)
	s.stream.CancelWrite(quic.StreamErrorCode(code))
}

func (s *quicStream) CancelRead(code CancelCode) {
	s.stream.CancelRead(quic.StreamErrorCode(code))
}

func (s *quicStream) SetDeadline(deadline time.Time) error { return s.stream.SetDeadline(deadline) }

func (s *quicStream) Context() context.Context { return s.stream.Context() }

func (s *quicStream) Close() error {
	if !s.writeEnded.Load() {
		s.CancelWrite(CancelAbandoned)
	}
	s.CancelRead(CancelNoError)
	s.release()
	return nil
}

// asCancelledError wraps the error of a cancelled stream in a *CancelledError and
// returns all other errors unchanged.
func asCancelledError(err error) error {
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
