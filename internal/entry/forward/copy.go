package forward

import (
	"io"
	"net/http"
	"sync"

	"peridotrail/internal/invariant"
)

const copyBufferBytes = 32 << 10

var copyPool = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CheckResponse refuses a response that can't be told from a cut one, or that
// names another request in the header named idHeader.
func CheckResponse(request *http.Request, response *http.Response, idHeader, id string) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &FramingError{Status: response.StatusCode}
	}
	if got := response.Header.Get(idHeader); got != "" && got != id {
		return &CrossedError{Want: id, Got: got}
	}
	if !framed(request, response) {
		return &FramingError{Status: response.StatusCode}
	}
	return nil
}

// framed reports whether the end of the response is marked by its framing and
// not by the end of the connection.
func framed(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || request.Method == http.MethodHead {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// WholeBytes is the size up to which a body can be read whole.
const WholeBytes = copyBufferBytes

// ReadWhole reads a body of the given length, at most WholeBytes, into a pooled
// buffer. The body is valid until release, which must be called. It returns an
// error if the body breaks off.
func ReadWhole(response *http.Response, length int64) (body []byte, release func(), err error) {
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

// CopyBody copies the whole body of response to w and returns the bytes copied.
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
				_ = flusher.Flush() // a failed flush shows in the next write
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
