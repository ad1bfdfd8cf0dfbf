// Package httpstatus says which status codes a final HTTP response may have.
package httpstatus

import (
	"fmt"
	"net/http"
)

// maxValid is the largest status code of HTTP (RFC 9110, section 15).
const maxValid = 599

// Valid reports whether a final response may have the status. net/http also returns responses
// with a status below 100, with 101 and above 599.
func Valid(status int) bool { return status >= http.StatusOK && status <= maxValid }

// InvalidError reports a response whose status is not valid. Nothing else in the response can
// be relied on: what became of the request is unknown.
type InvalidError struct{ Status int }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("response with the invalid status %03d", e.Status)
}

// Check returns an *InvalidError if status is not valid.
func Check(status int) error {
	if Valid(status) {
		return nil
	}
	return &InvalidError{Status: status}
}
