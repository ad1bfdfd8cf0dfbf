package entry

import (
	"net/http"

	"peridotrail/internal/idempotency"
)

// responseCapture records a response while it is written to the caller. After
// the caller has disconnected it continues to accept the response, as long as
// the response is small enough to be recorded.
type responseCapture struct {
	http.ResponseWriter
	status     int
	header     http.Header
	body       []byte
	tooLarge   bool
	callerGone bool // a write to the caller failed
}

// WriteHeader implements http.ResponseWriter.
func (c *responseCapture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
		c.header = c.Header().Clone()
		c.header.Del("Trailer")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *responseCapture) Write(p []byte) (int, error) {
	if c.status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	c.record(p)
	if c.callerGone && !c.tooLarge {
		return len(p), nil
	}
	n, err := c.ResponseWriter.Write(p)
	if err == nil {
		return n, nil
	}
	c.callerGone = true
	if c.tooLarge {
		return n, err
	}
	return len(p), nil
}

// record appends p to the recorded body, or discards the body if it becomes
// larger than idempotency.MaxResponseBodyBytes.
func (c *responseCapture) record(p []byte) {
	if c.tooLarge {
		return
	}
	if len(c.body)+len(p) > idempotency.MaxResponseBodyBytes {
		c.tooLarge = true
		c.body = nil
		return
	}
	c.body = append(c.body, p...)
}

// Unwrap supports http.ResponseController.
func (c *responseCapture) Unwrap() http.ResponseWriter { return c.ResponseWriter }
