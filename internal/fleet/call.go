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

// Call implements Caller. The deadline of ctx, or 5 s if it has none, travels
// with the message and bounds the handler at the peer.
func (t *Transport) Call(ctx context.Context, addr netip.AddrPort, kind Kind, request, reply any) error {
	t.meters.calls.Inc(1)
	err := t.call(ctx, addr, kind, request, reply)
	if err != nil {
		t.meters.callErrors.Inc(1)
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
	frame := requestFrame{Mode: modeCall, Kind: kind, Deadline: millisecondsLeft(ctx), Body: body}
	encoded, err := AppendFrame(nil, frame, t.options.MaxFrameSize)
	if err != nil {
		return &Error{Kind: KindInvalid, Err: err}
	}
	stream, done, failure := t.open(ctx, peerKey{addr, useMessages})
	if failure != nil {
		return failure
	}
	defer done()
	answer, failure := t.exchange(ctx, stream, encoded)
	if failure != nil {
		return failure
	}
	return decodeReply(answer, reply)
}

// open reserves room and opens a QUIC stream to a peer. Nothing has been sent when
// it fails. done releases the room.
func (t *Transport) open(ctx context.Context, key peerKey) (*quic.Stream, func(), *Error) {
	p, err := t.peer(key)
	if err != nil {
		return nil, nil, &Error{Kind: KindUnreachable, Err: err}
	}
	if err := p.acquire(); err != nil {
		return nil, nil, &Error{Kind: KindRefused, Err: err}
	}
	l, stream, err := p.open(ctx)
	if err != nil {
		p.release()
		return nil, nil, &Error{Kind: KindUnreachable, Err: err}
	}
	l.begin()
	done := func() {
		l.end()
		p.release()
	}
	return stream, done, nil
}

// open opens a stream on the current link, or on a new one if that has just
// broken.
func (p *peer) open(ctx context.Context) (*link, *quic.Stream, error) {
	l, err := p.connect(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream, err := l.connection.OpenStreamSync(ctx)
	if err == nil {
		return l, stream, nil
	}
	if ctx.Err() != nil {
		return nil, nil, err
	}
	p.forget(l)
	if l, err = p.connect(ctx); err != nil {
		return nil, nil, err
	}
	stream, err = l.connection.OpenStreamSync(ctx)
	return l, stream, err
}

// exchange sends one encoded request and reads the reply.
func (t *Transport) exchange(ctx context.Context, stream *quic.Stream, encoded []byte) (replyFrame, *Error) {
	defer bindContext(ctx, stream)()
	_, sent := stream.Write(encoded)
	if sent == nil {
		sent = stream.Close()
	}
	// A peer that has answered or refused no longer reads, which fails the sending
	// side. What it said is on the receiving side.
	var answer replyFrame
	if err := ReadFrame(stream, &answer, t.options.MaxFrameSize); err != nil {
		if _, told := remoteCode(err); sent != nil && !told {
			err = sent
		}
		return replyFrame{}, streamFailure(ctx, stream, err)
	}
	stream.CancelRead(quic.StreamErrorCode(CancelNone))
	return answer, nil
}

// streamFailure classifies a failure on a stream on which bytes may have left,
// and ends the stream.
func streamFailure(ctx context.Context, stream *quic.Stream, err error) *Error {
	stream.CancelRead(quic.StreamErrorCode(CancelGone))
	stream.CancelWrite(quic.StreamErrorCode(CancelGone))
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
	return &Error{Kind: afterSend(ctx, err), Err: err}
}

func decodeReply(answer replyFrame, reply any) *Error {
	switch answer.Status {
	case statusOK:
	case statusRefused:
		return &Error{Kind: KindRefused, Code: answer.Code, Detail: answer.Detail}
	case statusInvalid:
		return &Error{Kind: KindInvalid, Code: answer.Code, Detail: answer.Detail}
	default:
		return &Error{Kind: KindHandler, Code: answer.Code, Detail: answer.Detail}
	}
	if reply == nil {
		return nil
	}
	if err := Unmarshal(answer.Body, reply); err != nil {
		return &Error{Kind: KindInvalid, Err: err}
	}
	return nil
}

// handle serves one incoming stream.
func (t *Transport) handle(l *link, stream *quic.Stream) {
	l.begin()
	defer l.end()
	_ = stream.SetReadDeadline(time.Now().Add(defaultCallTimeout))
	var request requestFrame
	if err := ReadFrame(stream, &request, t.options.MaxFrameSize); err != nil {
		t.reject(l, stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch request.Mode {
	case modeCall:
		t.answer(l, stream, request)
	case modeStream:
		t.serveStream(l, stream, request)
	default:
		t.reject(l, stream, &IdentityError{Announced: string(l.remote.ID), Reason: "unexpected mode of stream"})
	}
}

// reject ends a stream whose request no handler saw.
func (t *Transport) reject(l *link, stream *quic.Stream, err error) {
	t.meters.refused.Inc(1)
	_ = level.Debug(t.logger()).Log("msg", "stream refused", "peer", l.remote.ID, "err", err)
	stream.CancelRead(quic.StreamErrorCode(CancelRefused))
	stream.CancelWrite(quic.StreamErrorCode(CancelRefused))
}

func (t *Transport) answer(l *link, stream *quic.Stream, request requestFrame) {
	ctx, cancel := requestContext(stream.Context(), request.Deadline)
	defer cancel()
	answer := t.dispatch(ctx, l.remote, request)
	encoded, err := AppendFrame(nil, answer, t.options.MaxFrameSize)
	if err != nil {
		failed := replyFrame{Status: statusHandler, Code: CodeReplyInvalid, Detail: err.Error()}
		encoded, _ = AppendFrame(nil, failed, t.options.MaxFrameSize)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(defaultCallTimeout))
	if _, err := stream.Write(encoded); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(CancelGone))
		return
	}
	_ = stream.Close()
	stream.CancelRead(quic.StreamErrorCode(CancelNone))
}

// Codes of errors that the transport itself answers with.
const (
	CodeReplyInvalid = "reply-invalid" // the handler's reply could not be sent
	CodePanic        = "panic"         // the handler panicked
	CodeUnknownKind  = "unknown-kind"  // no handler is registered
)

// dispatch runs the handler of a request and makes the reply. A panic of the
// handler ends this request only.
func (t *Transport) dispatch(ctx context.Context, from host.Identity, request requestFrame) (answer replyFrame) {
	handler, ok := t.handlers[request.Kind]
	if !ok {
		t.meters.refused.Inc(1)
		return replyFrame{Status: statusRefused, Code: CodeUnknownKind, Detail: string(request.Kind)}
	}
	defer func() {
		if value := recover(); value != nil {
			failure := t.notePanic(request.Kind, value)
			answer = replyFrame{Status: statusHandler, Code: CodePanic, Detail: failure.Error()}
		}
	}()
	t.meters.handled.Inc(1)
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
	answer := replyFrame{Status: statusHandler, Detail: err.Error()}
	var coded Coded
	if errors.As(err, &coded) {
		answer.Code = coded.FleetCode()
	}
	return answer
}

func (t *Transport) notePanic(kind Kind, value any) *PanicError {
	t.meters.panics.Inc(1)
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

// millisecondsLeft returns the time to the deadline of ctx, at least 1; zero if
// it has none.
func millisecondsLeft(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline).Milliseconds()
	return uint32(min(max(left, 1), 1<<31))
}

func requestContext(parent context.Context, deadline uint32) (context.Context, context.CancelFunc) {
	if deadline == 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(deadline)*time.Millisecond)
}
