package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"

	"peridotrail/internal/host"
)

// Call implements Caller. The deadline of ctx, or 5 s if it has none, is sent
// with the message and limits the run time of the handler at the peer.
func (t *Transport) Call(ctx context.Context, addr netip.AddrPort, kind Kind, request, reply any) error {
	t.counters.calls.Inc(1)
	err := t.call(ctx, addr, kind, request, reply)
	if err != nil {
		t.counters.callErrors.Inc(1)
		err.Peer = addr
		err.Message = kind
		return err
	}
	return nil
}

func (t *Transport) call(ctx context.Context, addr netip.AddrPort, kind Kind, request, reply any) *Error {
	body, err := Marshal(request)
	if err != nil {
		return &Error{Kind: KindInvalid, Err: err}
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if addr == t.self.Fleet {
		return decodeReply(t.dispatch(ctx, t.self, requestFrame{Mode: modeCall, Kind: kind, Body: body}), reply)
	}
	frame := requestFrame{Mode: modeCall, Kind: kind, Deadline: remainingMilliseconds(ctx), Body: body}
	encoded, err := AppendFrame(nil, frame, t.options.MaxFrameSize)
	if err != nil {
		return &Error{Kind: KindInvalid, Err: err}
	}
	stream, release, failure := t.open(ctx, connKey{addr, purposeMessages})
	if failure != nil {
		return failure
	}
	defer release()
	received, failure := t.exchange(ctx, stream, encoded)
	if failure != nil {
		return failure
	}
	return decodeReply(received, reply)
}

// open reserves a slot of the peer and opens a QUIC stream. If it fails, no byte
// of the message was sent. The returned function releases the slot.
func (t *Transport) open(ctx context.Context, key connKey) (*quic.Stream, func(), *Error) {
	p, err := t.peer(key)
	if err != nil {
		return nil, nil, &Error{Kind: KindUnreachable, Err: err}
	}
	if err := p.acquireSlot(); err != nil {
		return nil, nil, &Error{Kind: KindRefused, Err: err}
	}
	c, stream, err := p.open(ctx)
	if err != nil {
		p.releaseSlot()
		return nil, nil, &Error{Kind: KindUnreachable, Err: err}
	}
	c.streamStarted()
	release := func() {
		c.streamEnded()
		p.releaseSlot()
	}
	return stream, release, nil
}

// open opens a stream on the current connection. If that connection is broken, it
// connects again and retries once.
func (p *peer) open(ctx context.Context) (*peerConn, *quic.Stream, error) {
	c, err := p.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := c.quicConn.OpenStreamSync(ctx)
	if err == nil {
		return c, stream, nil
	}
	if ctx.Err() != nil {
		return nil, nil, err
	}
	p.dropConn(c)
	if c, err = p.connect(ctx); err != nil {
		return nil, nil, err
	}
	stream, err = c.quicConn.OpenStreamSync(ctx)
	return c, stream, err
}

// exchange sends one encoded request and reads the reply.
func (t *Transport) exchange(ctx context.Context, stream *quic.Stream, encoded []byte) (replyFrame, *Error) {
	defer bindContext(ctx, stream)()
	_, sendErr := stream.Write(encoded)
	if sendErr == nil {
		sendErr = stream.Close()
	}
	// A peer that has already replied or refused stops reading, so the write may
	// fail. Its reply or its code of refusal is still on the receiving side.
	var received replyFrame
	if err := ReadFrame(stream, &received, t.options.MaxFrameSize); err != nil {
		if _, cancelled := remoteCode(err); sendErr != nil && !cancelled {
			err = sendErr
		}
		return replyFrame{}, failStream(ctx, stream, err)
	}
	stream.CancelRead(quic.StreamErrorCode(CancelNoError))
	return received, nil
}

// failStream cancels both directions of a stream on which bytes may have been
// sent, and classifies the failure err.
func failStream(ctx context.Context, stream *quic.Stream, err error) *Error {
	stream.CancelRead(quic.StreamErrorCode(CancelAbandoned))
	stream.CancelWrite(quic.StreamErrorCode(CancelAbandoned))
	if code, ok := remoteCode(err); ok && code == CancelRefused {
		return &Error{Kind: KindRefused, Err: err}
	}
	var large *FrameTooLargeError
	if errors.As(err, &large) {
		return &Error{Kind: KindInvalid, Err: err}
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &Error{Kind: kindAfterSend(ctx, err), Err: err}
}

func decodeReply(received replyFrame, reply any) *Error {
	switch received.Status {
	case statusOK:
	case statusRefused:
		return &Error{Kind: KindRefused, Code: received.Code, Detail: received.Detail}
	case statusInvalid:
		return &Error{Kind: KindInvalid, Code: received.Code, Detail: received.Detail}
	default:
		return &Error{Kind: KindHandler, Code: received.Code, Detail: received.Detail}
	}
	if reply == nil {
		return nil
	}
	if err := Unmarshal(received.Body, reply); err != nil {
		return &Error{Kind: KindInvalid, Err: err}
	}
	return nil
}

// serveIncoming reads the first frame of an incoming stream and serves the stream
// by its mode.
func (t *Transport) serveIncoming(c *peerConn, stream *quic.Stream) {
	c.streamStarted()
	defer c.streamEnded()
	_ = stream.SetReadDeadline(time.Now().Add(defaultCallTimeout))
	var request requestFrame
	if err := ReadFrame(stream, &request, t.options.MaxFrameSize); err != nil {
		t.reject(c, stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch request.Mode {
	case modeCall:
		t.serveCall(c, stream, request)
	case modeStream:
		t.serveStream(c, stream, request)
	default:
		t.reject(c, stream, &IdentityError{Announced: string(c.remote.ID), Reason: "unexpected mode of stream"})
	}
}

// reject cancels both directions of an incoming stream with CancelRefused, which
// reports to the peer that no handler ran.
func (t *Transport) reject(c *peerConn, stream *quic.Stream, err error) {
	t.counters.refused.Inc(1)
	_ = level.Debug(t.logger()).Log("msg", "incoming stream rejected", "peer", c.remote.ID, "err", err)
	stream.CancelRead(quic.StreamErrorCode(CancelRefused))
	stream.CancelWrite(quic.StreamErrorCode(CancelRefused))
}

func (t *Transport) serveCall(c *peerConn, stream *quic.Stream, request requestFrame) {
	ctx, cancel := withRequestTimeout(stream.Context(), request.Deadline)
	defer cancel()
	reply := t.dispatch(ctx, c.remote, request)
	encoded, err := AppendFrame(nil, reply, t.options.MaxFrameSize)
	if err != nil {
		failed := replyFrame{Status: statusHandler, Code: CodeReplyInvalid, Detail: err.Error()}
		encoded, _ = AppendFrame(nil, failed, t.options.MaxFrameSize)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(defaultCallTimeout))
	if _, err := stream.Write(encoded); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(CancelAbandoned))
		return
	}
	_ = stream.Close()
	stream.CancelRead(quic.StreamErrorCode(CancelNoError))
}

// Error codes of replies that the transport sends itself.
const (
	CodeReplyInvalid = "reply-invalid" // the handler's reply could not be sent
	CodePanic        = "panic"         // the handler panicked
	CodeUnknownKind  = "unknown-kind"  // no handler is registered
)

// dispatch runs the handler of a request and returns the reply. If the handler
// panics, the reply carries CodePanic and the process goes on.
func (t *Transport) dispatch(ctx context.Context, from host.Identity, request requestFrame) (reply replyFrame) {
	handler, ok := t.handlers[request.Kind]
	if !ok {
		t.counters.refused.Inc(1)
		return replyFrame{Status: statusRefused, Code: CodeUnknownKind, Detail: string(request.Kind)}
	}
	defer func() {
		if value := recover(); value != nil {
			failure := t.recordPanic(request.Kind, value)
			reply = replyFrame{Status: statusHandler, Code: CodePanic, Detail: failure.Error()}
		}
	}()
	t.counters.handled.Inc(1)
	decoded := true
	result, err := handler(ctx, from, func(into any) error {
		err := Unmarshal(request.Body, into)
		decoded = err == nil
		return err
	})
	if err != nil && !decoded {
		return replyFrame{Status: statusInvalid, Detail: err.Error()}
	}
	if err != nil {
		return handlerReply(err)
	}
	body, err := Marshal(result)
	if err != nil {
		return replyFrame{Status: statusHandler, Code: CodeReplyInvalid, Detail: err.Error()}
	}
	return replyFrame{Status: statusOK, Body: body}
}

func handlerReply(err error) replyFrame {
	reply := replyFrame{Status: statusHandler, Detail: err.Error()}
	var coded CodedError
	if errors.As(err, &coded) {
		reply.Code = coded.FleetCode()
	}
	return reply
}

func (t *Transport) recordPanic(kind Kind, value any) *PanicError {
	t.counters.panics.Inc(1)
	failure := &PanicError{Value: fmt.Sprint(value)}
	_ = level.Error(t.logger()).Log("msg", "handler panicked", "kind", kind, "err", failure)
	return failure
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// remainingMilliseconds returns the time to the deadline of ctx, at least 1. It
// returns zero if ctx has no deadline.
func remainingMilliseconds(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remaining := time.Until(deadline).Milliseconds()
	return uint32(min(max(remaining, 1), 1<<31))
}

func withRequestTimeout(parent context.Context, milliseconds uint32) (context.Context, context.CancelFunc) {
	if milliseconds == 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(milliseconds)*time.Millisecond)
}
