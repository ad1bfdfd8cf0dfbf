package problem

import (
	"net/http"
	"time"
)

// typeInfo holds the status and title that all problems of a type share.
type typeInfo struct {
	status int
	title  string
}

var typeInfos = map[Type]typeInfo{
	TypeMalformed:          {http.StatusBadRequest, "The request is malformed or ambiguous"},
	TypeTooLarge:           {http.StatusRequestEntityTooLarge, "The request's body is too large"},
	TypeBodyTimeout:        {http.StatusRequestTimeout, "The request's body did not arrive in time"},
	TypeNotFound:           {http.StatusNotFound, "There is no such service or resource"},
	TypeUnauthenticated:    {http.StatusUnauthorized, "A valid key is required"},
	TypeKeyWithdrawn:       {http.StatusUnauthorized, "The key was withdrawn"},
	TypeRateExceeded:       {http.StatusTooManyRequests, "The client account's rate is used up"},
	TypeOverloaded:         {http.StatusServiceUnavailable, "There is no free capacity"},
	TypeDeadlineExceeded:   {http.StatusGatewayTimeout, "The deadline passed"},
	TypeNoUpstream:         {http.StatusServiceUnavailable, "No upstream serves the request"},
	TypeUpstreamFailed:     {http.StatusBadGateway, "The upstream failed"},
	TypeIdempotencyUnknown: {http.StatusConflict, "The outcome of an earlier request with this idempotency key is unknown"},
	TypeIdempotencyReused:  {http.StatusUnprocessableEntity, "The idempotency key was used for another request"},
	TypeInProgress:         {http.StatusConflict, "A request with this idempotency key is in progress"},
	TypeShuttingDown:       {http.StatusServiceUnavailable, "The host is shutting down"},
	TypeNotReady:           {http.StatusServiceUnavailable, "The host has no configuration yet"},
	TypeInternal:           {http.StatusInternalServerError, "The host failed to handle the request"},
}

// New returns a problem with the status and title of its type. An unknown type
// becomes TypeInternal.
func New(t Type, executed Executed, detail string) *Problem {
	info, ok := typeInfos[t]
	if !ok {
		t = TypeInternal
		info = typeInfos[t]
	}
	return &Problem{Type: t, Title: info.title, Status: info.status, Detail: detail, Executed: executed}
}

// WithRetryAfter sets the time after which the caller may retry and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}
