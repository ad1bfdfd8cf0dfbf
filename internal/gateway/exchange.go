package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/boottime"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/placement"
	"peridotrail/internal/problem"
	"peridotrail/internal/routing"
)

// exchange is the way of one request through this host.
type exchange struct {
	gateway *Gateway
	request *http.Request
	call    Call
	arrived boottime.Instant

	table   *routing.Table
	route   *routing.Route
	account *routing.Account
	service string
	payload *forward.Payload
	header  http.Header // end-to-end headers of the request
	limit   boottime.Instant

	placed     *placement.Placement // of the last attempt
	tried      []string
	attempts   int
	paidBy     string // client account whose rate was spent, empty if none was
	mayHaveRun bool   // an upstream may have run the request
	delivering bool   // an answer may have begun
	last       string // result of the last attempt, for the log
}

// requests serves one request of a caller.
func (g *Gateway) requests(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, request: r, call: g.dialect.ReadCall(r), arrived: boottime.Now()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		if reason := recover(); reason != nil {
			x.recovered(w, reason)
		}
	}()
	refusal := x.prepare()
	if x.payload != nil {
		defer x.payload.Release()
	}
	if refusal == nil {
		refusal = x.run(w)
	}
	if refusal != nil {
		x.refuse(w, refusal)
	}
}

// prepare finds out what the request is and whether it may run.
func (x *exchange) prepare() *problem.Problem {
	g := x.gateway
	if g.refusing.Load() {
		return notRun(problem.TypeShuttingDown, "the host is leaving").WithRetryAfter(shortRetry)
	}
	if refusal := x.authorise(); refusal != nil {
		return refusal
	}
	most := bodyBytes(x.table.Limits())
	if x.request.ContentLength > most {
		return notRun(problem.TypeTooLarge, "the body is larger than the limit")
	}
	payload, err := forward.ReadPayload(http.MaxBytesReader(nil, x.request.Body, most), x.request.ContentLength)
	if err != nil {
		return unreadable(err)
	}
	x.payload = payload
	x.service = g.splitter.choose(x.route)
	x.header = endToEnd(x.request.Header)
	x.limit = x.arrived.Add(x.route.Timeout)
	if x.call.Deadline > 0 {
		x.limit = min(x.limit, x.arrived.Add(x.call.Deadline))
	}
	return nil
}

// unreadable says why a body could not be read.
func unreadable(err error) *problem.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return notRun(problem.TypeTooLarge, err.Error())
	}
	return notRun(problem.TypeMalformed, "the body could not be read: "+err.Error())
}

// defaultBodyBytes bounds a body where the policy does not.
const defaultBodyBytes = 64 << 20

func bodyBytes(limits routing.Limits) int64 {
	if limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return defaultBodyBytes
}

// authorise finds the route and the account under the policy in force now.
func (x *exchange) authorise() *problem.Problem {
	g := x.gateway
	table := g.state.table.Load()
	if table == nil {
		return notRun(problem.TypeNotReady, "no policy is in force yet").WithRetryAfter(shortRetry)
	}
	if table == x.table {
		return x.currentKeys()
	}
	x.table = table
	x.route = table.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return notRun(problem.TypeNotFound, "no route matches")
	}
	x.account = table.Owner(x.call.Key)
	if x.account == nil && !x.route.Open {
		return notRun(problem.TypeUnauthenticated, "the key is unknown")
	}
	return x.currentKeys()
}

// currentKeys refuses keyed requests while the keys are not proved current.
func (x *exchange) currentKeys() *problem.Problem {
	if x.route.Open {
		return nil
	}
	if age, ok := x.gateway.keysCurrent(boottime.Now()); !ok {
		return notRun(problem.TypeNotReady, "the keys were last proved current "+age.String()+" ago").WithRetryAfter(shortRetry)
	}
	return nil
}

// shortRetry is the advice where another host can serve the request at once.
const shortRetry = 50 * time.Millisecond

func notRun(t problem.Type, detail string) *problem.Problem {
	return problem.New(t, problem.ExecutedNo, detail)
}

// work describes the request to the placement.
func (x *exchange) work() placement.Work {
	w := placement.Work{
		Service:          x.service,
		Route:            x.route.Name,
		Object:           x.call.Object,
		Sticky:           x.route.Sticky,
		Objective:        x.arrived.Add(x.route.LatencyObjective),
		Limit:            x.limit,
		LatencyObjective: x.route.LatencyObjective,
		Tried:            x.tried,
	}
	if regions, bound := routing.HomeRegions(x.route, x.account); bound {
		w.Allowed = func(region string) bool { return contains(regions, region) }
	}
	return w
}

func contains(all []string, one string) bool {
	for _, each := range all {
		if each == one {
			return true
		}
	}
	return false
}

// run sends the request to upstreams until one answers. It returns the refusal
// or failure to send if none does.
func (x *exchange) run(w http.ResponseWriter) *problem.Problem {
	ctx, cancel := context.WithTimeout(x.request.Context(), x.limit.Sub(boottime.Now()))
	defer cancel()
	for {
		placed, failure := x.place()
		if failure != nil {
			return failure
		}
		reply := x.send(ctx, placed)
		x.gateway.counters.attempted(string(reply.result))
		x.last = string(reply.result)
		switch reply.result {
		case resultAnswered:
			return x.deliver(w, reply)
		case resultTooLarge:
			return problem.New(problem.TypeTooLarge, problem.ExecutedUnknown, "the body is larger than the limit")
		case resultUnknown:
			x.mayHaveRun = true
		case resultCancelled:
			x.mayHaveRun = true
			return x.expired()
		}
		if x.mayHaveRun && !x.route.Idempotent {
			return x.unknown("the upstream gave no answer")
		}
		if x.attempts >= x.route.MaxAttempts {
			return x.exhausted("no upstream answered")
		}
		if !x.gateway.limits.takeRepeat(x.service, boottime.Now()) {
			return x.exhausted("the budget of repeats is used up")
		}
	}
}

// place chooses the upstream of the next attempt.
func (x *exchange) place() (*placement.Placement, *problem.Problem) {
	if refusal := x.admit(); refusal != nil {
		return nil, refusal
	}
	if refusal := x.renew(); refusal != nil {
		x.giveBack()
		return nil, refusal
	}
	now := boottime.Now()
	placed, err := x.gateway.state.pool.Place(x.work(), now)
	if err != nil {
		x.giveBack()
		return nil, x.noPlace(err)
	}
	if x.attempts == 0 {
		x.gateway.limits.firstSend(x.service, now)
	}
	x.attempts++
	x.placed = &placed
	x.tried = append(x.tried, placed.Upstream.ID)
	return x.placed, nil
}

// noPlace answers a request for which no upstream was found.
func (x *exchange) noPlace(err error) *problem.Problem {
	if x.mayHaveRun {
		return x.unknown(err.Error())
	}
	after := exhaustedRetry
	var refused *placement.RefusedError
	if errors.As(err, &refused) {
		after = refused.RetryAfter
	}
	return notRun(problem.TypeOverloaded, err.Error()).WithRetryAfter(after)
}

// renew looks at the policy and the keys again right before an attempt: the body
// may have taken long to arrive, and an earlier attempt to fail.
func (x *exchange) renew() *problem.Problem {
	before := x.table
	if refusal := x.authorise(); refusal != nil {
		if x.attempts > 0 {
			return x.exhausted(refusal.Detail)
		}
		return refusal
	}
	if x.table != before && !targets(x.route, x.service) {
		x.service = x.gateway.splitter.choose(x.route)
	}
	return nil
}

// targets reports whether a route sends requests to a service.
func targets(route *routing.Route, service string) bool {
	for _, target := range route.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// admit spends one request of the account's rate, once.
func (x *exchange) admit() *problem.Problem {
	if x.account == nil || x.paidBy != "" {
		return nil
	}
	ok, wait := x.gateway.limits.takeRate(x.request.Context(), x.account.Name)
	if !ok {
		return notRun(problem.TypeRateExceeded, "client account "+x.account.Name).WithRetryAfter(wait)
	}
	x.paidBy = x.account.Name
	return nil
}

// giveBack returns the token of a request that no upstream was asked to run.
func (x *exchange) giveBack() {
	if x.paidBy != "" && x.attempts == 0 {
		x.gateway.limits.returnRate(x.paidBy)
		x.paidBy = ""
	}
}

// expired ends a request whose time is over or whose caller has left.
func (x *exchange) expired() *problem.Problem {
	detail := "no answer in time"
	if x.request.Context().Err() != nil {
		detail = "the caller left"
	}
	return problem.New(problem.TypeDeadlineExceeded, problem.ExecutedUnknown, detail)
}

func (x *exchange) unknown(detail string) *problem.Problem {
	return problem.New(problem.TypeUpstreamFailed, problem.ExecutedUnknown, detail)
}

// exhausted ends a request that no further upstream is asked to run.
func (x *exchange) exhausted(detail string) *problem.Problem {
	if x.mayHaveRun {
		return x.unknown(detail)
	}
	return notRun(problem.TypeOverloaded, detail).WithRetryAfter(exhaustedRetry)
}

// exhaustedRetry is the advice after upstreams refused to run a request.
const exhaustedRetry = 300 * time.Millisecond
