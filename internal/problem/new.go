package problem

import (
	"net/http"
	"time"
)

type kind struct {
	status int
	title  string
}

var kinds = map[Type]kind{
	TypeMalformed:          {http.StatusBadRequest, "The request is malformed or ambiguous"},
	TypeTooLarge:           {http.StatusRequestEntityTooLarge, "The request's body is too large"},
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
	k, ok := kinds[t]
	if !ok {
		t = TypeInternal
		k = kinds[t]
	}
	return &Problem{Type: t, Title: k.title, Status: k.status, Detail: detail, Executed: executed}
}

// After sets the advice when to come back and returns the problem.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}
