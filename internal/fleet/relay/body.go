package relay

import (
	"io"

	"peridotrail/internal/fleet"
)

// bodyReader reads one direction of a stream as the body of a request or response.
// It returns io.EOF only if the sender has ended the direction and the body has the
// announced length. Other errors, such as a *LengthError, pass through wrapError.
type bodyReader struct {
	stream          fleet.Stream
	announcedLength int64 // bytes; unknownLength if not announced
	received        int64
	wrapError       func(error) error // applied to errors other than io.EOF
	onEnd           func()            // called once, at io.EOF or the first error; may be nil
	err             error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	b.received += int64(n)
	if b.announcedLength >= 0 && b.received > b.announcedLength {
		n -= int(b.received - b.announcedLength)
		err = &LengthError{Announced: b.announcedLength, Received: b.received}
	}
	if err == io.EOF && b.announcedLength >= 0 && b.received < b.announcedLength {
		err = &LengthError{Announced: b.announcedLength, Received: b.received}
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
		b.err = b.wrapError(err)
	}
	if b.onEnd != nil {
		b.onEnd()
	}
}
