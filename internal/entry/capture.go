package entry

import (
	"net/http"

	"peridotrail/internal/idempotency"
)

// capture keeps an answer while it is written to the caller. When the caller is
// gone it goes on to take the answer, as long as it is small enough to keep.
type capture struct {
	http.ResponseWriter
	status   int
	header   http.Header
	body     []byte
	tooLarge bool
	gone     bool // the caller can't be written to
}

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
		c.header = c.Header().Clone()
		c.header.Del("Trailer")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) {
	if c.status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	c.keep(p)
	if c.gone && !c.tooLarge {
		return len(p), nil
	}
	n, err := c.ResponseWriter.Write(p)
	if err == nil {
		return n, nil
	}
	c.gone = true
	if c.tooLarge {
		return n, err
	}
	return len(p), nil
}

func (c *capture) keep(p []byte) {
	if c.tooLarge {
		return
	}
	if len(c.body)+len(p) > idempotency.MaxAnswerBytes {
		c.tooLarge = true
		c.body = nil
		return
	}
	c.body = append(c.body, p...)
}

// Unwrap supports http.ResponseController.
func (c *capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }
