package entry

import (
	"context"
	"net/http"
	"time"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// exchange is what the steps know of one request. It belongs to the request's
// goroutine.
type exchange struct {
	ctx      context.Context // ends with the deadline, with the key and when the caller goes away
	id       string
	start    time.Time
	policy   Policy
	service  *configuration.Service
	path     string // decoded path below /SERVICE
	rawPath  string // encoded path below /SERVICE
	prefix   string // prefix of the matching route; empty if none matches
	open     bool
	priority configuration.Priority

	idempotent bool

	key     string // the caller's key; never logged
	digest  clientaccount.Digest
	account string
	queue   string // account whose fair share the request uses while it waits
	weight  int

	deadline time.Time
	payload  *forward.Payload

	relayed bool
	origin  string // ID of the host that relayed the request
	grant   uint64

	sendContext context.Context // ends an attempt; nil: ctx

	mayHaveRun bool // bytes of the request may have reached an upstream
	cut        bool
	gone       bool // the caller went away before the end
	target     string
	refusal    *problem.Problem
}

type exchangeKey struct{}

func withExchange(r *http.Request, x *exchange) *http.Request {
	x.ctx = context.WithValue(r.Context(), exchangeKey{}, x)
	return r.WithContext(x.ctx)
}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

// executed returns what a refusal may say about the request.
func (x *exchange) executed() problem.Executed {
	if x.mayHaveRun {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

// refuse answers with p and ends the exchange.
func (x *exchange) refuse(w http.ResponseWriter, p *problem.Problem) {
	invariant.Check(p.Executed != problem.ExecutedNo || !x.mayHaveRun, invariant.RefusalNotRun,
		"request %s: %s says not run", x.id, p.Type)
	x.refusal = p
	if p.Type == problem.TypeUnauthenticated || p.Type == problem.TypeKeyWithdrawn {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	p.Write(w)
}

// refuseAndClose answers with p and has the server close the connection.
func (x *exchange) refuseAndClose(w http.ResponseWriter, p *problem.Problem) {
	w.Header().Set("Connection", "close")
	x.refuse(w, p)
}

// attemptContext returns the context under which attempts run.
func (x *exchange) attemptContext() context.Context {
	if x.sendContext != nil {
		return x.sendContext
	}
	return x.ctx
}

func malformed(detail string) *problem.Problem {
	return problem.New(problem.TypeMalformed, problem.ExecutedNo, detail)
}
