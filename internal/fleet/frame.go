package fleet

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/host"
)

const (
	frameHeaderSize     = 4       // bytes of the length prefix, big-endian
	defaultMaxFrameSize = 1 << 21 // bytes; holds one value of the store with its envelope
)

// streamMode says what a QUIC stream is used for.
type streamMode uint8

const (
	modeCall   streamMode = iota + 1 // one request frame, one reply frame
	modeStream                       // an open frame, then raw bytes both ways
	modeHello                        // exchange of identities, first stream of a connection
)

// requestFrame opens every stream.
type requestFrame struct {
	Mode     streamMode      `cbor:"1,keyasint"`
	Kind     Kind            `cbor:"2,keyasint,omitempty"`
	Deadline uint32          `cbor:"3,keyasint,omitempty"` // milliseconds left; zero: none
	Body     cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// replyStatus is the outcome of a call at the receiver.
type replyStatus uint8

const (
	statusOK      replyStatus = iota + 1
	statusHandler             // the handler returned an error
	statusRefused             // no handler ran
	statusInvalid             // the request could not be decoded
)

// replyFrame answers a call or a hello.
type replyFrame struct {
	Status replyStatus     `cbor:"1,keyasint"`
	Code   string          `cbor:"2,keyasint,omitempty"`
	Detail string          `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// hello announces the identity of a process on a new connection.
type hello struct {
	Identity host.Identity `cbor:"1,keyasint"`
	Use      use           `cbor:"2,keyasint,omitempty"`
}

// use says what a connection carries. Messages and streams have a connection
// each, so that bodies which nobody reads never delay a message.
type use uint8

const (
	useMessages use = iota
	useStreams
)

// Marshal encodes v in the encoding of fleet messages.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes a fleet message.
func Unmarshal(data []byte, into any) error { return cbor.Unmarshal(data, into) }

// AppendFrame appends the length prefix and the encoding of v to buffer. It
// returns a *FrameTooLargeError if the encoding exceeds limit bytes.
func AppendFrame(buffer []byte, v any, limit int) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, &FrameTooLargeError{Size: len(body), Maximum: limit}
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	return append(buffer, body...), nil
}

// WriteFrame writes v as one frame.
func WriteFrame(w io.Writer, v any, limit int) error {
	frame, err := AppendFrame(nil, v, limit)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// ReadFrame reads one frame into v. It reads no byte past the frame. The memory
// used grows with the bytes received, not with the announced length.
func ReadFrame(r io.Reader, v any, limit int) error {
	var prefix [frameHeaderSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(limit) {
		return &FrameTooLargeError{Size: int(size), Maximum: limit}
	}
	body, err := io.ReadAll(io.LimitReader(r, size))
	if err != nil {
		return err
	}
	if int64(len(body)) < size {
		return io.ErrUnexpectedEOF
	}
	return cbor.Unmarshal(body, v)
}
