package forward

import (
	"io"
	"sync"
	"sync/atomic"
)

// PayloadBufferBytes is the number of bytes of a request body that are read before
// the request is sent.
const PayloadBufferBytes = 64 << 10

var payloadPool = sync.Pool{New: func() any { return new([PayloadBufferBytes]byte) }}

// Payload is a request body. Its first PayloadBufferBytes are held in a pooled
// buffer and can be sent more than once; the rest is streamed once.
//
// The buffer returns to the pool after the owner has called Release and all
// readers are closed, so that no transport can read the bytes of a later request.
type Payload struct {
	buffer       *[PayloadBufferBytes]byte
	size         int
	rest         io.Reader // nil if the buffer holds the whole body
	restConsumed atomic.Bool
	length       int64 // -1: unknown
	refs         atomic.Int32
}

// ReadPayload reads the beginning of body. length is its declared length in
// bytes, -1 if it is unknown. The caller must call Release unless an error is
// returned. The error is that of body, or io.ErrUnexpectedEOF if the body does not
// have the declared length.
func ReadPayload(body io.Reader, length int64) (*Payload, error) {
	p := &Payload{length: length}
	p.refs.Store(1)
	if body == nil || length == 0 {
		return p, nil
	}
	p.buffer = payloadPool.Get().(*[PayloadBufferBytes]byte)
	err := p.fill(body)
	if err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

func (p *Payload) fill(body io.Reader) error {
	n, err := io.ReadFull(body, p.buffer[:])
	p.size = n
	switch err {
	case nil:
		p.rest = body
		if p.length == PayloadBufferBytes {
			return p.expectEnd(body)
		}
		return nil
	case io.EOF, io.ErrUnexpectedEOF:
		return p.bodyEnded()
	default:
		return err
	}
}

// expectEnd checks that a body whose declared length fills the buffer exactly has
// no more bytes.
func (p *Payload) expectEnd(body io.Reader) error {
	var probe [1]byte
	if _, err := body.Read(probe[:]); err != io.EOF {
		return io.ErrUnexpectedEOF
	}
	p.rest = nil
	return nil
}

// bodyEnded handles a body that ended before the buffer was full.
func (p *Payload) bodyEnded() error {
	if p.length >= 0 && int64(p.size) != p.length {
		return io.ErrUnexpectedEOF
	}
	p.length = int64(p.size)
	return nil
}

// Length returns the length of the body in bytes, -1 if it is unknown.
func (p *Payload) Length() int64 { return p.length }

// Buffered returns the body if the buffer holds all of it. The slice is valid until
// Release.
func (p *Payload) Buffered() ([]byte, bool) {
	if p.rest != nil {
		return nil, false
	}
	if p.buffer == nil {
		return nil, true
	}
	return p.buffer[:p.size], true
}

// Prefix returns the beginning of the body, at most PayloadBufferBytes, and whether it is
// the whole body. The slice is valid until Release.
func (p *Payload) Prefix() (prefix []byte, whole bool) {
	if p.buffer == nil {
		return nil, p.rest == nil
	}
	return p.buffer[:p.size], p.rest == nil
}

// Replayable reports whether the body can be sent again.
func (p *Payload) Replayable() bool { return p.rest == nil || !p.restConsumed.Load() }

// Reader returns a reader of the body for one attempt. The transport closes it.
func (p *Payload) Reader() io.ReadCloser {
	p.refs.Add(1)
	return &payloadReader{payload: p}
}

// Release releases the owner's reference to the buffer. It must be called once.
func (p *Payload) Release() { p.unref() }

func (p *Payload) unref() {
	if p == emptyPayload {
		return
	}
	if p.refs.Add(-1) == 0 && p.buffer != nil {
		payloadPool.Put(p.buffer)
		p.buffer = nil
	}
}

type payloadReader struct {
	mu      sync.Mutex // guards the fields below while the transport's goroutines read and close
	payload *Payload
	offset  int
	closed  bool
}

// Read implements io.Reader. It does not access the buffer after Close.
func (r *payloadReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return 0, &PayloadClosedError{}
	}
	p := r.payload
	if r.offset < p.size {
		n := copy(b, p.buffer[r.offset:p.size])
		r.offset += n
		r.mu.Unlock()
		return n, nil
	}
	r.mu.Unlock()
	if p.rest == nil {
		return 0, io.EOF
	}
	p.restConsumed.Store(true)
	return p.rest.Read(b)
}

// Close implements io.Closer.
func (r *payloadReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.payload.unref()
	}
	return nil
}

// EmptyPayload returns the payload of a request without a body.
func EmptyPayload() *Payload { return emptyPayload }

var emptyPayload = &Payload{}
