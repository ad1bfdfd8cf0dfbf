package forward

import (
	"io"
	"net/http"
	"sync"

	"peridotrail/internal/invariant"
)

const copyBufferBytes = 32 << 10

var copyPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CheckResponse returns a *FramingError if a truncation of the response could not
// be detected or the response switches protocols, and a *ResponseMismatchError if
// its header idHeader contains an ID other than id.
func CheckResponse(request *http.Request, response *http.Response, idHeader, id string) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &FramingError{Status: response.StatusCode}
	}
	if got := response.Header.Get(idHeader); got != "" && got != id {
		return &ResponseMismatchError{Want: id, Got: got}
	}
	if !hasFraming(request, response) {
		return &FramingError{Status: response.StatusCode}
	}
	return nil
}

// hasFraming reports whether the end of the response is marked by its framing and
// not by the end of the connection.
func hasFraming(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// MaxBufferedBody is the largest body in bytes that ReadBuffered accepts.
const MaxBufferedBody = copyBufferBytes

// ReadBuffered reads a body of the given length, at most MaxBufferedBody, into a
// pooled buffer. The caller must call release, also after an error; body is valid
// until then. It returns an error if the body ends before length bytes.
func ReadBuffered(response *http.Response, length int64) (body []byte, release func(), err error) {
	if length == 0 {
		return nil, func() {}, nil
	}
	buffer := copyPool.Get().(*[copyBufferBytes]byte)
	release = func() { copyPool.Put(buffer) }
	n, err := io.ReadFull(response.Body, buffer[:length])
	if err != nil {
		return nil, release, err
	}
	invariant.Check(int64(n) == length, invariant.WholeAnswer, "read %d of %d bytes", n, length)
	if _, err := response.Body.Read(buffer[n:n]); err != nil && err != io.EOF {
		return nil, release, err
	}
	return buffer[:n], release, nil
}

// CopyBody copies the complete body of response to w and returns the number of
// bytes copied. It flushes w after each read if the length of the body is unknown.
// After an error the caller must abort the connection to w.
func CopyBody(w http.ResponseWriter, response *http.Response, hasBody bool) (int64, error) {
	buffer := copyPool.Get().(*[copyBufferBytes]byte)
	defer copyPool.Put(buffer)
	var flusher *http.ResponseController
	if response.ContentLength < 0 {
		flusher = http.NewResponseController(w)
	}
	copied, err := copyAll(w, response.Body, buffer[:], flusher)
	if err == nil && hasBody && response.ContentLength >= 0 {
		invariant.Check(copied == response.ContentLength, invariant.WholeAnswer,
			"copied %d of %d bytes", copied, response.ContentLength)
	}
	return copied, err
}

func copyAll(w io.Writer, body io.Reader, buffer []byte, flusher *http.ResponseController) (int64, error) {
	var copied int64
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			written, err := w.Write(buffer[:n])
			copied += int64(written)
			if err != nil {
				return copied, err
			}
			if flusher != nil && readErr == nil {
				_ = flusher.Flush() // after a failed flush the next write fails
			}
		}
		if readErr == io.EOF {
			return copied, nil
		}
		if readErr != nil {
			return copied, readErr
		}
	}
}
