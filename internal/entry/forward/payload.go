package forward

import (
	"io"
	"sync"
	"sync/atomic"
)

// PayloadBytes is the size up to which a request body is read before the
// request is sent.
const PayloadBytes = 64 << 10

var payloadPool = sync.Pool{New: func() any { return new([PayloadBytes]byte) }}

// Payload is a request body. Its first PayloadBytes are held in a pooled buffer
// and can be sent more than once; the rest is streamed once.
//
// The buffer returns to the pool when the owner and all readers have closed, so
// that no transport can read the bytes of a later request.
type Payload struct {
	buffer   *[PayloadBytes]byte
	size     int
	rest     io.Reader // nil if the buffer holds the whole body
	restUsed atomic.Bool
	length   int64 // -1: unknown
	refs     atomic.Int32
}

// ReadPayload reads the beginning of body. length is its declared length, -1 if
// it is unknown. The caller must call Release. The error is that of body.
func ReadPayload(body io.Reader, length int64) (*Payload, error) {
	p := &Payload{length: length}
	p.refs.Store(1)
	if body == nil || length == 0 {
		return p, nil
	}
	p.buffer = payloadPool.Get().(*[PayloadBytes]byte)
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
		if p.length == PayloadBytes {
			return p.expectEnd(body)
		}
		return nil
	case io.EOF, io.ErrUnexpectedEOF:
		return p.endedEarly()
	default:
		return err
	}
}

// expectEnd reads the end of a body that fills the buffer exactly.
func (p *Payload) expectEnd(body io.Reader) error {
	var probe [1]byte
	if _, err := body.Read(probe[:]); err != io.EOF {
		return io.ErrUnexpectedEOF
	}
	p.rest = nil
	return nil
}

func (p *Payload) endedEarly() error {
	if p.length >= 0 && int64(p.size) != p.length {
		return io.ErrUnexpectedEOF
	}
	p.length = int64(p.size)
	return nil
}

// Length returns the length of the body, -1 if it is unknown.
func (p *Payload) Length() int64 { return p.length }

// Whole returns the body if the buffer holds all of it. The slice is valid until
// Release.
func (p *Payload) Whole() ([]byte, bool) {
	if p.rest != nil {
		return nil, false
	}
	if p.buffer == nil {
		return nil, true
	}
	return p.buffer[:p.size], true
}

// Replayable reports whether Reader can be called again.
func (p *Payload) Replayable() bool { return p.rest == nil || !p.restUsed.Load() }

// Reader returns a reader over the body for one attempt. The transport closes it.
func (p *Payload) Reader() io.ReadCloser {
	p.refs.Add(1)
	return &payloadReader{payload: p}
}

// Release gives up the owner's reference.
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

// Read implements io.Reader. The buffer is not touched after Close.
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
	p.restUsed.Store(true)
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
