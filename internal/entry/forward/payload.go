package forward

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// PayloadBufferBytes is the size of the buffers in which a request body is kept. The
	// first one is filled before the request is sent.
	PayloadBufferBytes = 64 << 10
	// MaxKeptBytes is the length up to which a body is kept whole.
	MaxKeptBytes = 1 << 20
)

type payloadBuffer = [PayloadBufferBytes]byte

var payloadPool = sync.Pool{New: func() any { return new(payloadBuffer) }}

// PayloadBudget is the memory that all bodies of a host may take beyond their first buffers.
// It is safe for concurrent use. A nil budget has no memory.
type PayloadBudget struct {
	free   atomic.Int64
	memory Memory // nil if it is no part of another budget
}

// Memory is a budget of which the bodies take a part. It is safe for concurrent use.
type Memory interface {
	Take(bytes int64) bool // takes nothing and returns false if there is no room
	Give(bytes int64)
}

// NewPayloadBudget returns a budget of at most the given number of bytes, which are taken from
// memory, if it is not nil, while they are used.
func NewPayloadBudget(bytes int64, memory Memory) *PayloadBudget {
	b := &PayloadBudget{memory: memory}
	b.free.Store(bytes)
	return b
}

// take takes n buffers. It takes none and returns false if fewer are free.
func (b *PayloadBudget) take(n int) bool {
	if b == nil {
		return n == 0
	}
	bytes := int64(n) * PayloadBufferBytes
	if b.free.Add(-bytes) >= 0 && (b.memory == nil || b.memory.Take(bytes)) {
		return true
	}
	b.free.Add(bytes)
	return false
}

func (b *PayloadBudget) give(n int) {
	if b == nil {
		return
	}
	b.free.Add(int64(n) * PayloadBufferBytes)
	if b.memory != nil {
		b.memory.Give(int64(n) * PayloadBufferBytes)
	}
}

// Free returns the number of free bytes.
func (b *PayloadBudget) Free() int64 { return b.free.Load() }

// Payload is a request body. Its beginning is kept in pooled buffers and can be sent more
// than once; the rest, if any, is streamed once, to one reader.
//
// The buffers return to the pool after the owner has called Release and all readers are
// closed, so that no transport can read the bytes of a later request. No reader reads the
// rest after a call of Rewind or Release, even if its attempt has not noticed yet that it
// has ended: another reader, or the HTTP server, reads on from there.
type Payload struct {
	budget  *PayloadBudget
	taken   int // buffers taken from the budget
	buffers []*payloadBuffer
	size    int
	rest    io.Reader // nil if the buffers hold the whole body
	length  int64     // -1: unknown
	refs    atomic.Int32

	mu        sync.Mutex // guards the fields below
	attempt   int        // readers of earlier attempts get no more bytes
	restBegun bool
	restEnded bool
	released  bool
}

// ReadPayload reads the beginning of body: the whole, if it has at most MaxKeptBytes and the
// budget has the memory, otherwise at least one buffer. length is its declared length in
// bytes, -1 if it is unknown. The caller must call Release unless an error is returned. The
// error is that of body, or io.ErrUnexpectedEOF if the body does not have the declared
// length.
func ReadPayload(body io.Reader, length int64, budget *PayloadBudget) (*Payload, error) {
	p := &Payload{length: length, budget: budget}
	p.refs.Store(1)
	if body == nil || length == 0 {
		return p, nil
	}
	if err := p.fill(body); err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

// fill reads the body until its end, or until no more of it may be kept.
func (p *Payload) fill(body io.Reader) error {
	for p.grow() {
		n, err := io.ReadFull(body, p.buffers[len(p.buffers)-1][:])
		p.size += n
		switch err {
		case nil:
			if int64(p.size) == p.length {
				return p.expectEnd(body)
			}
		case io.EOF, io.ErrUnexpectedEOF:
			return p.bodyEnded()
		default:
			return err
		}
	}
	p.rest = body
	return nil
}

// grow adds a buffer, except if the body can't be kept whole. The buffers of a body of known
// length are taken from the budget at once.
func (p *Payload) grow() bool {
	if len(p.buffers) > 0 {
		needed := 1
		if p.length >= 0 {
			needed = buffersFor(p.length) - 1 - p.taken
		}
		if p.length > MaxKeptBytes || len(p.buffers)*PayloadBufferBytes >= MaxKeptBytes || !p.budget.take(needed) {
			return false
		}
		p.taken += needed
	}
	p.buffers = append(p.buffers, payloadPool.Get().(*payloadBuffer))
	return true
}

// buffersFor returns the number of buffers for length bytes.
func buffersFor(length int64) int { return int((length + PayloadBufferBytes - 1) / PayloadBufferBytes) }

// expectEnd checks that a body whose declared length fills the buffers exactly has no more
// bytes.
func (p *Payload) expectEnd(body io.Reader) error {
	var probe [1]byte
	if _, err := body.Read(probe[:]); err != io.EOF {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// bodyEnded handles a body that ended before the buffers were full.
func (p *Payload) bodyEnded() error {
	if p.length >= 0 && int64(p.size) != p.length {
		return io.ErrUnexpectedEOF
	}
	p.length = int64(p.size)
	return nil
}

// Length returns the length of the body in bytes, -1 if it is unknown.
func (p *Payload) Length() int64 { return p.length }

// Kept reports whether the buffers hold the whole body.
func (p *Payload) Kept() bool { return p.rest == nil }

// Received reports whether the body was read to its end.
func (p *Payload) Received() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rest == nil || p.restEnded
}

// Prefix returns the beginning of the body, at most PayloadBufferBytes, and whether it is
// the whole body. The slice is valid until Release.
func (p *Payload) Prefix() (prefix []byte, whole bool) {
	if len(p.buffers) == 0 {
		return nil, p.Kept()
	}
	return p.buffers[0][:min(p.size, PayloadBufferBytes)], p.Kept() && p.size <= PayloadBufferBytes
}

// Rewind ends all readers and reports whether the body can be read again from its beginning.
func (p *Payload) Rewind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempt++
	return p.rest == nil || !p.restBegun
}

// Reader returns a reader of the body for one attempt. The transport closes it.
func (p *Payload) Reader() io.ReadCloser {
	p.refs.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return &payloadReader{payload: p, attempt: p.attempt}
}

// Release releases the owner's reference to the buffers and ends all reads of the rest. It
// must be called once.
func (p *Payload) Release() {
	if p == emptyPayload {
		return
	}
	p.mu.Lock()
	p.released = true
	p.mu.Unlock()
	p.unref()
}

func (p *Payload) unref() {
	if p == emptyPayload || p.refs.Add(-1) != 0 {
		return
	}
	for _, buffer := range p.buffers {
		payloadPool.Put(buffer)
	}
	p.budget.give(p.taken)
	p.buffers = nil
}

// mayReadRest reports whether a reader of the given attempt may read the rest, and records
// that it does.
func (p *Payload) mayReadRest(attempt int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released || p.attempt != attempt {
		return false
	}
	p.restBegun = true
	return true
}

type payloadReader struct {
	mu      sync.Mutex // guards the fields below while the transport's goroutines read and close
	payload *Payload
	attempt int
	offset  int
	closed  bool
}

// Read implements io.Reader. It does not access the buffers after Close.
func (r *payloadReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return 0, &PayloadClosedError{}
	}
	p := r.payload
	if r.offset < p.size {
		buffer := p.buffers[r.offset/PayloadBufferBytes]
		end := min(PayloadBufferBytes, p.size-r.offset/PayloadBufferBytes*PayloadBufferBytes)
		n := copy(b, buffer[r.offset%PayloadBufferBytes:end])
		r.offset += n
		r.mu.Unlock()
		return n, nil
	}
	r.mu.Unlock()
	if p.rest == nil {
		return 0, io.EOF
	}
	if !p.mayReadRest(r.attempt) {
		return 0, &PayloadClosedError{}
	}
	n, err := p.rest.Read(b)
	if !p.mayReadRest(r.attempt) {
		return 0, &PayloadClosedError{} // the attempt ended while it waited for these bytes
	}
	if err == io.EOF {
		p.mu.Lock()
		p.restEnded = true
		p.mu.Unlock()
	}
	return n, err
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

// KeepBodyReadable prevents the HTTP server from reading the rest of a request body itself
// when the handler begins to write the response, while an upstream may still read it. The
// caller must not write to w before.
func KeepBodyReadable(w http.ResponseWriter, p *Payload) {
	if !p.Kept() {
		_ = http.NewResponseController(w).EnableFullDuplex() // unsupported by relays, which read no body themselves
	}
}

// EmptyPayload returns the payload of a request without a body.
func EmptyPayload() *Payload { return emptyPayload }

var emptyPayload = &Payload{}
