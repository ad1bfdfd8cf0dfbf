// Package problem defines the error responses that callers receive, as problem
// details of RFC 9457.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Executed says whether an upstream may have run the request.
type Executed string

// Values of Executed.
const (
	ExecutedNo      Executed = "no"      // no byte reached an upstream, or the upstream reported that it did not run the request
	ExecutedUnknown Executed = "unknown" // the request may have run
)

// ExecutedHeader is the response header that holds the Executed value of a problem.
const ExecutedHeader = "Peridotrail-Executed"

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Type identifies a kind of refusal or failure. Its value is a relative URI.
type Type string

// Problem types.
const (
	TypeMalformed          Type = "/problems/malformed-request"
	TypeTooLarge           Type = "/problems/body-too-large"
	TypeBodyTimeout        Type = "/problems/body-timeout"
	TypeNotFound           Type = "/problems/not-found"
	TypeUnauthenticated    Type = "/problems/unauthenticated"
	TypeKeyWithdrawn       Type = "/problems/key-withdrawn"
	TypeRateExceeded       Type = "/problems/rate-exceeded"
	TypeOverloaded         Type = "/problems/overloaded"
	TypeDeadlineExceeded   Type = "/problems/deadline-exceeded"
	TypeNoUpstream         Type = "/problems/no-upstream"
	TypeUpstreamFailed     Type = "/problems/upstream-failed"
	TypeIdempotencyUnknown Type = "/problems/idempotency-unknown"
	TypeIdempotencyReused  Type = "/problems/idempotency-key-reused"
	TypeInProgress         Type = "/problems/request-in-progress"
	TypeShuttingDown       Type = "/problems/shutting-down"
	TypeNotReady           Type = "/problems/not-ready"
	TypeInternal           Type = "/problems/internal"
)

// Problem is one refusal or failure. It implements error.
type Problem struct {
	Type       Type          `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Executed   Executed      `json:"executed"`
	RetryAfter time.Duration `json:"-"` // sent as Retry-After in whole seconds, rounded up; zero: not sent
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (status %d, executed %s): %s", p.Title, p.Status, p.Executed, p.Detail)
}

// Write sends the problem as the response. The handler must not have written
// anything to w before.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set(ExecutedHeader, string(p.Executed))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
