package entry

import (
	"net/http"
	"time"

	"peridotrail/internal/problem"
)

// RequestSummary describes how one request of a caller ended.
type RequestSummary struct {
	Service     string
	Account     string // empty on open routes
	Good        bool   // complete response, without a failure of this system or of an upstream
	CallerFault bool   // the caller disconnected, exceeded its rate or sent an unacceptable request
	Latency     time.Duration
}

// summary returns the summary of a finished exchange. status is zero if no
// response was begun.
func (x *exchange) summary(status int) RequestSummary {
	e := RequestSummary{Service: x.service.Name, Account: x.account, Latency: time.Since(x.start)}
	switch {
	case x.callerGone:
		e.CallerFault = true
	case x.refusal != nil:
		e.CallerFault = isCallerFault(x.refusal.Type)
	case status == 0 || x.truncated:
		e.Good = false
	default:
		e.Good = status < http.StatusInternalServerError
	}
	return e
}

func isCallerFault(t problem.Type) bool {
	switch t {
	case problem.TypeMalformed, problem.TypeNotFound, problem.TypeUnauthenticated, problem.TypeKeyWithdrawn,
		problem.TypeRateExceeded, problem.TypeIdempotencyReused, problem.TypeInProgress:
		return true
	}
	return false
}
