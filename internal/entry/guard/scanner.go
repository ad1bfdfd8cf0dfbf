package guard

import (
	"bytes"
	"strconv"
)

// maxLineBytes limits the length of a line of a request head or chunk header.
const maxLineBytes = 64 << 10

// Violation says why the framing of a request is ambiguous.
type Violation uint8

// Violations of the framing rules.
const (
	ViolationNone               Violation = iota
	ViolationLengthAndChunked             // Content-Length together with Transfer-Encoding
	ViolationRepeatedLength               // more than one Content-Length
	ViolationBadLength                    // Content-Length that is not a plain decimal number
	ViolationTransferEncoding             // Transfer-Encoding other than one "chunked", or in HTTP/1.0
	ViolationFoldedLine                   // header line that begins with white space
	ViolationBadHeaderName                // white space or control bytes in a header name
	ViolationBareCarriageReturn           // CR that is not followed by LF
	ViolationLineTooLong                  // line longer than maxLineBytes
	ViolationBadChunk                     // chunk header that is not a plain hexadecimal number
)

// String describes the violation for callers.
func (v Violation) String() string {
	switch v {
	case ViolationNone:
		return "none"
	case ViolationLengthAndChunked:
		return "Content-Length together with Transfer-Encoding"
	case ViolationRepeatedLength:
		return "more than one Content-Length"
	case ViolationBadLength:
		return "malformed Content-Length"
	case ViolationTransferEncoding:
		return "unsupported Transfer-Encoding"
	case ViolationFoldedLine:
		return "folded header line"
	case ViolationBadHeaderName:
		return "malformed header name"
	case ViolationBareCarriageReturn:
		return "carriage return without line feed"
	case ViolationLineTooLong:
		return "header line too long"
	default:
		return "malformed chunk"
	}
}

type scanState uint8

const (
	stateRequestLine scanState = iota
	stateHeader
	stateFixedBody
	stateChunkHeader
	stateChunkData
	stateTrailer
)

// scanner checks the framing of the requests on one connection. It is a state
// machine over the bytes that the HTTP server reads.
type scanner struct {
	state       scanState
	partialLine []byte // beginning of a line whose end has not been read yet
	http10      bool
	hasLength   bool
	isChunked   bool
	remaining   int64 // bytes that remain of a fixed body or of a chunk with its CRLF
	violation   Violation
}

// scan processes data. After the first violation it ignores all data.
func (s *scanner) scan(data []byte) {
	for len(data) > 0 && s.violation == ViolationNone {
		switch s.state {
		case stateFixedBody, stateChunkData:
			data = s.skipData(data)
		default:
			data = s.scanLine(data)
		}
	}
}

// skipData skips bytes of a body or chunk and returns the rest of data.
func (s *scanner) skipData(data []byte) []byte {
	n := min(int64(len(data)), s.remaining)
	s.remaining -= n
	if s.remaining == 0 {
		s.endOfData()
	}
	return data[n:]
}

func (s *scanner) endOfData() {
	if s.state == stateChunkData {
		s.state = stateChunkHeader
		return
	}
	s.nextRequest()
}

func (s *scanner) nextRequest() {
	*s = scanner{partialLine: s.partialLine[:0], violation: s.violation}
}

// scanLine processes one line, or stores its beginning if its end is missing, and
// returns the rest of data.
func (s *scanner) scanLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		s.appendLine(data)
		return nil
	}
	line := data[:end]
	if len(s.partialLine) > 0 {
		s.appendLine(line)
		line = s.partialLine
	}
	s.endOfLine(line)
	s.partialLine = s.partialLine[:0]
	return data[end+1:]
}

func (s *scanner) appendLine(data []byte) {
	if len(s.partialLine)+len(data) > maxLineBytes {
		s.violation = ViolationLineTooLong
		return
	}
	s.partialLine = append(s.partialLine, data...)
}

func (s *scanner) endOfLine(line []byte) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if bytes.IndexByte(line, '\r') >= 0 {
		s.violation = ViolationBareCarriageReturn
		return
	}
	switch s.state {
	case stateRequestLine:
		s.requestLine(line)
	case stateHeader:
		s.headerLine(line)
	case stateChunkHeader:
		s.chunkHeader(line)
	case stateTrailer:
		if len(line) == 0 {
			s.nextRequest()
		}
	}
}

func (s *scanner) requestLine(line []byte) {
	if len(line) == 0 {
		return // an empty line before a request line is ignored
	}
	s.http10 = bytes.HasSuffix(line, []byte(" HTTP/1.0"))
	s.state = stateHeader
}

func (s *scanner) headerLine(line []byte) {
	if len(line) == 0 {
		s.endOfHead()
		return
	}
	if line[0] == ' ' || line[0] == '\t' {
		s.violation = ViolationFoldedLine
		return
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isValidHeaderName(name) {
		s.violation = ViolationBadHeaderName
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.contentLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.transferEncoding(value)
	}
}

// isValidHeaderName reports whether a header name is not empty and contains no
// white space, control bytes or bytes outside ASCII.
func isValidHeaderName(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(name) > 0
}

func (s *scanner) contentLength(value []byte) {
	if s.hasLength {
		s.violation = ViolationRepeatedLength
		return
	}
	length, ok := parseNumber(value, 10)
	if !ok {
		s.violation = ViolationBadLength
		return
	}
	s.hasLength = true
	s.remaining = length
}

func (s *scanner) transferEncoding(value []byte) {
	if s.isChunked || s.http10 || !bytes.EqualFold(value, []byte("chunked")) {
		s.violation = ViolationTransferEncoding
		return
	}
	s.isChunked = true
}

func (s *scanner) endOfHead() {
	switch {
	case s.isChunked && s.hasLength:
		s.violation = ViolationLengthAndChunked
	case s.isChunked:
		s.state = stateChunkHeader
	case s.remaining > 0:
		s.state = stateFixedBody
	default:
		s.nextRequest()
	}
}

func (s *scanner) chunkHeader(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, ok := parseNumber(bytes.TrimRight(size, " \t"), 16)
	if !ok {
		s.violation = ViolationBadChunk
		return
	}
	if length == 0 {
		s.state = stateTrailer
		return
	}
	s.remaining = length + int64(len("\r\n"))
	s.state = stateChunkData
}

// parseNumber parses digits only, without sign, prefix or separators. It also
// rejects numbers that are too large.
func parseNumber(text []byte, base int) (int64, bool) {
	for _, c := range text {
		digit := c >= '0' && c <= '9'
		hex := base == 16 && (c|0x20 >= 'a' && c|0x20 <= 'f')
		if !digit && !hex {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(text), base, 62)
	return n, err == nil
}
