package fleet

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/host"
)

const (
	frameHeaderSize     = 4       // bytes of the length prefix, big-endian
	defaultMaxFrameSize = 1 << 21 // bytes; large enough for one value of the store and its envelope
)

// streamMode is the protocol of a QUIC stream.
type streamMode uint8

const (
	modeCall   streamMode = iota + 1 // one request frame, one reply frame
	modeStream                       // one request frame, then raw bytes in both directions
	modeHello                        // exchange of identities on the first stream of a connection
)

// requestFrame is the first frame of every stream.
type requestFrame struct {
	Mode     streamMode      `cbor:"1,keyasint"`
	Kind     Kind            `cbor:"2,keyasint,omitempty"`
	Deadline uint32          `cbor:"3,keyasint,omitempty"` // milliseconds left; zero if there is no deadline
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

// replyFrame is the reply to a call or a hello.
type replyFrame struct {
	Status replyStatus     `cbor:"1,keyasint"`
	Code   string          `cbor:"2,keyasint,omitempty"`
	Detail string          `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// hello announces the identity of a process on a new connection.
type hello struct {
	Identity host.Identity `cbor:"1,keyasint"`
	Purpose  purpose       `cbor:"2,keyasint,omitempty"`
}

// purpose is what a connection carries. Messages and streams use separate
// connections: bodies that are not read fill the flow-control window of their
// connection and must not delay messages.
type purpose uint8

const (
	purposeMessages purpose = iota
	purposeStreams
)

// Marshal encodes the body of a message as CBOR.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes the CBOR body of a message.
func Unmarshal(data []byte, into any) error { return cbor.Unmarshal(data, into) }

// AppendFrame appends the length prefix and the encoding of v to buffer. It
// returns a *FrameTooLargeError if the encoding exceeds maxSize bytes.
func AppendFrame(buffer []byte, v any, maxSize int) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(body) > maxSize {
		return nil, &FrameTooLargeError{Size: len(body), Maximum: maxSize}
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	return append(buffer, body...), nil
}

// WriteFrame writes v as one frame. It returns a *FrameTooLargeError, and writes
// nothing, if the encoding exceeds maxSize bytes.
func WriteFrame(w io.Writer, v any, maxSize int) error {
	frame, err := AppendFrame(nil, v, maxSize)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// ReadFrame decodes one frame into v and reads no byte after it. It returns a
// *FrameTooLargeError if the length prefix exceeds maxSize bytes. Memory is
// allocated for bytes received, not for the length in the prefix.
func ReadFrame(r io.Reader, v any, maxSize int) error {
	var prefix [frameHeaderSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(maxSize) {
		return &FrameTooLargeError{Size: int(size), Maximum: maxSize}
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
