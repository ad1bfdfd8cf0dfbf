package http1

import (
	"bytes"
	"fmt"
	"strings"
)

// MalformedError reports a response that is not a well-formed HTTP/1.1 response (RFC 9112).
// Nothing in it can be relied on: what became of the request is unknown.
type MalformedError struct {
	Reason string
	Line   string // the beginning of the malformed line; empty if it is not about one line
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Line == "" {
		return "malformed response: " + e.Reason
	}
	return fmt.Sprintf("malformed response: %s: %q", e.Reason, e.Line)
}

// maxQuotedLine limits MalformedError.Line, in bytes.
const maxQuotedLine = 80

func malformed(reason string, line []byte) error {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuotedLine)])}
}

// headScanner checks the head of a response while it is read, including those of the interim
// responses before it. Its zero value scans nothing until start is called. http.Transport limits
// the length of the head, and so of what is kept here.
type headScanner struct {
	scanning bool
	complete bool // the head of the final response was read since start
	err      error

	line    []byte // beginning of a line whose end was not read yet
	begun   bool   // the status line was read
	interim bool   // the status is 1xx, so another head follows
	framing framing
}

// framing is what a head says about the length of its body.
type framing struct {
	minor           byte // digit of the version HTTP/1.x
	length, encoded bool // Content-Length, Transfer-Encoding
}

// maxKeptLine is the capacity in bytes above which the buffer of a line is not used again.
const maxKeptLine = 1 << 10

// start begins to scan a head.
func (s *headScanner) start() {
	*s = headScanner{scanning: true, line: s.line[:0]}
	if cap(s.line) > maxKeptLine {
		s.line = nil
	}
}

// scan checks the next bytes of the connection. After an error it returns the same again.
func (s *headScanner) scan(p []byte) error {
	for s.scanning && s.err == nil {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.line = append(s.line, p...)
			if !s.begun && len(s.line) >= len(versionPrefix) && !beginsWithVersion(s.line) {
				s.err = malformed("invalid version", s.line)
			}
			return s.err
		}
		line := p[:end]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		s.err = s.scanLine(bytes.TrimSuffix(line, []byte("\r")))
		s.line, p = s.line[:0], p[end+1:]
	}
	return s.err
}

// scanLine checks a line without its end.
func (s *headScanner) scanLine(line []byte) error {
	switch {
	case !s.begun:
		s.begun = true
		return s.scanStatusLine(line)
	case len(line) > 0:
		return s.scanField(line)
	}
	switch f := s.framing; {
	case f.encoded && f.length:
		return malformed("both Transfer-Encoding and Content-Length", nil)
	case f.encoded && f.minor == '0':
		return malformed("Transfer-Encoding in HTTP/1.0", nil)
	case s.interim:
		s.start()
	default:
		s.scanning, s.complete = false, true
	}
	return nil
}

// scanStatusLine checks a status line (RFC 9112, section 4). The reason and the space before it
// may be missing. Which codes are valid is left to package httpstatus.
func (s *headScanner) scanStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case len(version) != len("HTTP/1.1") || !beginsWithVersion(version) || !isDigit(version[7]):
		return malformed("invalid version", line)
	case len(code) != 3:
		return malformed("invalid status code", line)
	case !isFieldValue(reason):
		return malformed("control byte in the reason", line)
	}
	s.framing.minor = version[7]
	s.interim = code[0] == '1' && string(code) != "101"
	return nil
}

const versionPrefix = "HTTP/1."

func beginsWithVersion(line []byte) bool { return bytes.HasPrefix(line, []byte(versionPrefix)) }

// scanField checks a field line (RFC 9112, section 5). One that begins with a blank is refused
// too: it continues the line before, which section 5.2 allows a gateway to refuse.
func (s *headScanner) scanField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return malformed("invalid field name", line)
	case !isFieldValue(value):
		return malformed("control byte in a field", line)
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.framing.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.framing.encoded = true
	}
	return nil
}

// isToken reports whether name is a token (RFC 9110, section 5.6.2), as names of fields are.
func isToken(name []byte) bool {
	for _, c := range name {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether value has no control bytes but tabs (RFC 9110, section 5.5).
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
