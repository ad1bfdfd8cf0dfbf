package entry

import (
	"net/http"
	"time"

	"peridotrail/internal/problem"
)

// Ended is what a caller got for one request.
type Ended struct {
	Service     string
	Account     string // empty on open routes
	Good        bool   // answered whole, without a failure of the system or an upstream
	CallerFault bool   // the caller went away or was over its rate, or its request was not acceptable
	Latency     time.Duration
}

// ended sums the exchange up. status is zero if no answer was begun.
func (x *exchange) ended(status int) Ended {
	e := Ended{Service: x.service.Name, Account: x.account, Latency: time.Since(x.start)}
	switch {
	case x.gone:
		e.CallerFault = true
	case x.refusal != nil:
		e.CallerFault = isCallerFault(x.refusal.Type)
	case status == 0 || x.cut:
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
