package relay

import (
	"io"

	"peridotrail/internal/fleet"
)

// bodyReader reads one direction of a stream as a body. It returns io.EOF only
// after the sender has ended the direction and all announced bytes have come.
type bodyReader struct {
	stream    fleet.Stream
	announced int64 // bytes; -1 if not known
	received  int64
	wrap      func(error) error // of failures
	onEnd     func()            // called once, at the end or a failure; may be nil
	err       error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	b.received += int64(n)
	if b.announced >= 0 && b.received > b.announced {
		n -= int(b.received - b.announced)
		err = &LengthError{Announced: b.announced, Received: b.received}
	}
	if err == io.EOF && b.announced >= 0 && b.received < b.announced {
		err = &LengthError{Announced: b.announced, Received: b.received}
	}
	if err != nil {
		b.fail(err)
		return n, b.err
	}
	return n, nil
}

func (b *bodyReader) fail(err error) {
	b.err = err
	if err != io.EOF {
		b.err = b.wrap(err)
	}
	if b.onEnd != nil {
		b.onEnd()
	}
}
