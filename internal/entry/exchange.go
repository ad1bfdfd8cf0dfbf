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

// exchange holds the state of one request for the handlers of the chain. Only the
// request's goroutine may use it.
type exchange struct {
	ctx      context.Context // cancelled at the deadline, when the key is withdrawn and when the caller disconnects
	id       string
	start    time.Time
	policy   Policy
	service  *configuration.Service
	path     string // decoded path below /SERVICE
	rawPath  string // encoded path below /SERVICE
	prefix   string // prefix of the matching route; empty if none matches
	open     bool   // the route is open: requests need no key
	priority configuration.Priority

	idempotent bool // executing the request twice does no harm, see mayRunAgain

	key          string // the caller's key; never logged
	digest       clientaccount.Digest
	account      string // client account that owns the key; empty on open routes
	queueAccount string // account whose fair share the request uses while it waits for capacity
	weight       int    // weight of that account in the fair sharing of capacity

	deadline time.Time
	payload  *forward.Payload

	relayed   bool
	origin    string // ID of the host that relayed the request
	roomGrant uint64 // ID of the room grant that the relaying host used; zero if none

	attemptCtx context.Context // context of the attempts; nil: ctx

	mayHaveExecuted bool   // an upstream may have received bytes of the request
	truncated       bool   // the response was aborted after it had begun
	callerGone      bool   // the caller disconnected before the response was complete
	targetName      string // target of the last attempt, for the access log
	refusal         *problem.Problem
}

type exchangeKey struct{}

func withExchange(r *http.Request, x *exchange) *http.Request {
	x.ctx = context.WithValue(r.Context(), exchangeKey{}, x)
	return r.WithContext(x.ctx)
}

func exchangeOf(r *http.Request) *exchange {
	return r.Context().Value(exchangeKey{}).(*exchange)
}

// executed returns what a refusal must say about the execution of the request.
func (x *exchange) executed() problem.Executed {
	if x.mayHaveExecuted {
		return problem.ExecutedUnknown
	}
	return problem.ExecutedNo
}

// refuse responds with p and records it as the result of the exchange.
func (x *exchange) refuse(w http.ResponseWriter, p *problem.Problem) {
	invariant.Check(p.Executed != problem.ExecutedNo || !x.mayHaveExecuted, invariant.RefusedNotExecuted,
		"request %s: problem %s says that the request was not executed", x.id, p.Type)
	x.refusal = p
	if p.Type == problem.TypeUnauthenticated || p.Type == problem.TypeKeyWithdrawn {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	p.Write(w)
}

// refuseAndClose responds with p and makes the server close the connection.
func (x *exchange) refuseAndClose(w http.ResponseWriter, p *problem.Problem) {
	w.Header().Set("Connection", "close")
	x.refuse(w, p)
}

// attemptContext returns the context for attempts to forward the request.
func (x *exchange) attemptContext() context.Context {
	if x.attemptCtx != nil {
		return x.attemptCtx
	}
	return x.ctx
}

func malformed(detail string) *problem.Problem {
	return problem.New(problem.TypeMalformed, problem.ExecutedNo, detail)
}
