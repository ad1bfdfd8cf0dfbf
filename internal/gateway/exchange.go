package gateway

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/placement"
	"peridotrail/internal/problem"
	"peridotrail/internal/routing"
)

// exchange handles one request from its arrival to its response. It is not safe
// for concurrent use.
type exchange struct {
	gateway *Gateway
	request *http.Request
	ctx     context.Context // of the request, ends also when the host gives it up
	call    Call
	start   boottime.Instant // when the request arrived from the caller

	table        *routing.Table
	repeats      *routing.RepeatRules // the last ones that mayRepeat has looked at
	proofAwaited bool                 // the request has waited for a proof that the policy is current
	route        *routing.Route
	account      *routing.Account
	service      string
	payload      *forward.Payload
	header       http.Header // end-to-end headers of the request
	target       url.URL     // of the request to an upstream, without the host
	deadline     boottime.Instant

	lastPlacement   *placement.Placement // nil before the first attempt
	triedUpstreams  []string             // IDs
	attempts        int
	chargedAccount  string // client account that paid a token, empty if none did
	counted         bool   // the request was counted for the retry budget
	arrived         bool   // an upstream may have received the request
	mayHaveRun      bool   // an upstream may have run the request
	atMostOnce      bool   // a policy since the request arrived, or the host that relayed it, does not allow that it runs again
	responseStarted bool   // part of a response may have been sent
	responseMemory  int64  // bytes taken for buffered responses
	lastResult      string // result of the last attempt, for the log

	crash crashPhase

	unreachable bool           // this host can't reach any upstream of the service, as of the last placement
	relayedBy   string         // name of the host from which this host has the request, empty if from the caller
	relayedTo   string         // name of the host that sent the request, empty if none did
	relayTried  []catalog.Host // hosts that were asked to send the request
	relayHomes  routing.Homes  // homes under the policy of relayedBy
}

// serveRequest handles a request of a caller.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	if g.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, request: r, call: g.dialect.ReadCall(r), start: boottime.Now()}
	x.serve(w)
}

// serve handles the request.
func (x *exchange) serve(w http.ResponseWriter) {
	ctx, cancel := context.WithCancel(x.request.Context())
	defer cancel()
	defer context.AfterFunc(x.gateway.stop.abandoned, cancel)()
	x.ctx = ctx
	defer func() {
		if reason := recover(); reason != nil {
			x.handlePanic(w, reason)
		}
	}()
	defer x.releaseResponseMemory()
	rejection := x.prepare(w)
	if x.payload != nil {
		defer x.payload.Release()
		defer x.settled()
	}
	if rejection == nil {
		rejection = x.dispatch(w)
	}
	if rejection != nil {
		x.reject(w, rejection)
	}
}

// prepare authorises the request, chooses its service and deadline and reads its body. It
// returns the problem with which to reject the request, nil if there is none.
func (x *exchange) prepare(w http.ResponseWriter) *problem.Problem {
	g := x.gateway
	if g.rejecting.Load() {
		return notRunProblem(problem.TypeShuttingDown, "the host is leaving").WithRetryAfter(otherHostRetryAfter)
	}
	if rejection := x.authorise(); rejection != nil {
		return rejection
	}
	if x.relayedBy == "" {
		x.service = g.splitter.chooseService(x.route)
	} else if !routesTo(x.route, x.service) {
		return notRunProblem(problem.TypeNotFound, "the route does not lead to the service")
	}
	if rejection := x.checkServiceUsable(); rejection != nil {
		return rejection
	}
	target, ok := targetURL(x.request)
	if !ok {
		return notRunProblem(problem.TypeMalformed, "the request target can't be sent unchanged")
	}
	x.target = target
	x.header = endToEndHeaders(x.request.Header)
	x.deadline = x.start.Add(x.route.Timeout)
	if x.call.Deadline > 0 {
		x.deadline = min(x.deadline, x.start.Add(x.call.Deadline))
	}
	return x.readBody(w)
}

// readBody reads the beginning of the body, the whole if there is memory for it. It returns
// the problem with which to reject the request, nil if there is none.
func (x *exchange) readBody(w http.ResponseWriter) *problem.Problem {
	maxBytes := maxBodyBytes(x.table.Limits())
	if x.request.ContentLength > maxBytes {
		return notRunProblem(problem.TypeTooLarge, "the body is larger than the limit")
	}
	if x.request.ContentLength != 0 {
		x.setReadDeadline(w, time.Now().Add(x.deadline.Sub(boottime.Now())))
	}
	payload, err := forward.ReadPayload(http.MaxBytesReader(nil, x.request.Body, maxBytes), x.request.ContentLength, x.gateway.bodies)
	if err != nil {
		return bodyReadProblem(err)
	}
	x.payload = payload
	if payload.Kept() && x.request.ContentLength != 0 {
		x.setReadDeadline(w, time.Time{})
	}
	forward.KeepBodyReadable(w, payload)
	return nil
}

// setReadDeadline sets the time until which the caller must have sent the body; zero means
// no limit.
func (x *exchange) setReadDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(at) // unsupported by relays, whose streams end with the request
}

// bodyReadProblem returns the problem for a body that could not be read.
func bodyReadProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunProblem(problem.TypeTooLarge, err.Error())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRunProblem(problem.TypeBodyTimeout, "the deadline passed while the body was read")
	}
	return notRunProblem(problem.TypeMalformed, "the body could not be read: "+err.Error())
}

// defaultMaxBodyBytes limits a body if the policy sets no limit.
const defaultMaxBodyBytes = 64 << 20

func maxBodyBytes(limits routing.Limits) int64 {
	if limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// authorise looks up the route and the client account in the policy in force now,
// and checks that keys are current. A route or key that the policy does not have is refused for
// good only if the policy is known to be current: a newer one may have it.
func (x *exchange) authorise() *problem.Problem {
	g := x.gateway
	proof := g.replica.Proof() // before the policy is read, which may become newer meanwhile
	table := g.state.table.Load()
	if table == nil {
		return notRunProblem(problem.TypeNotReady, "no policy is in force yet").WithRetryAfter(otherHostRetryAfter)
	}
	if table != x.table {
		x.table = table
		x.route = table.Route(x.request.Host, x.request.URL.Path)
		x.account = table.AccountByKey(x.call.Key)
		if x.repeats == nil {
			x.repeats = table.RepeatRules()
		}
	}
	switch {
	case x.route == nil:
		return x.refuseForGood(problem.TypeNotFound, "no route matches", proof)
	case x.route.Unusable != "":
		return unusableProblem("route " + x.route.Name + ": " + x.route.Unusable)
	case x.account != nil && x.account.Unusable != "":
		return unusableProblem("client account " + x.account.Name + ": " + x.account.Unusable)
	case x.account == nil && !x.route.Open:
		return x.refuseForGood(problem.TypeUnauthenticated, "the key is unknown", proof)
	}
	if rejection := x.checkKeysCurrent(); rejection != nil {
		return rejection
	}
	return x.checkHomes(proof)
}

// checkHomes rejects a request that no region may serve, and one with homes unless the policy is
// known to be current: a newer one may have moved them. proof is the instant at which the view was
// last proved current before the policy was read.
func (x *exchange) checkHomes(proof boottime.Instant) *problem.Problem {
	homes := x.homes()
	if !homes.Restricted() {
		return nil
	}
	if !x.mayHold(homes) {
		// TypeOverloaded, since the host can send other requests.
		return notRunProblem(problem.TypeOverloaded, "the host is in "+x.gateway.settings.get().Region+", the homes are "+homes.String())
	}
	x.gateway.replica.NeedProof()
	doubt, renewed := x.policyDoubt(proof)
	switch {
	case renewed:
		return x.authorise()
	case doubt != "":
		return notRunProblem(problem.TypeNotReady, "the request has homes, but "+doubt).WithRetryAfter(otherHostRetryAfter)
	case homes.Empty():
		return unusableProblem("route " + x.route.Name + " and client account " + x.accountName() + " have no home region in common")
	}
	return nil
}

// refuseForGood returns the problem for a request that the policy in force does not allow. Callers
// don't send such a request again. While a newer policy may be in force at other hosts, it is
// refused for the moment only. proof is the instant at which the view was last proved current
// before the policy was read.
func (x *exchange) refuseForGood(t problem.Type, detail string, proof boottime.Instant) *problem.Problem {
	doubt, renewed := x.policyDoubt(proof)
	switch {
	case renewed:
		return x.authorise()
	case doubt != "":
		return notRunProblem(problem.TypeNotReady, detail+", but "+doubt).WithRetryAfter(otherHostRetryAfter)
	}
	return notRunProblem(t, detail)
}

// policyDoubt returns why a newer policy may be in force at other hosts, empty if that is not so.
// It may wait once for a request; renewed then tells that the policy has been proved current
// meanwhile, so that it must be read again.
func (x *exchange) policyDoubt(proof boottime.Instant) (reason string, renewed bool) {
	now := boottime.Now()
	reason, stale := x.gateway.policyDoubt(proof, now)
	if stale && !x.proofAwaited {
		x.proofAwaited = true
		renewed = x.gateway.awaitProof(x.ctx, now)
	}
	return reason, renewed
}

// mayRepeat reports whether a request that may have run may be sent to another upstream: every
// policy that was in force here since it arrived must allow that.
func (x *exchange) mayRepeat() bool {
	for rules := x.repeats; rules != nil; rules = rules.Next() {
		x.repeats = rules
		x.atMostOnce = x.atMostOnce || rules.Forbids(x.request.Host, x.request.URL.Path)
	}
	return !x.atMostOnce
}

// checkServiceUsable rejects requests for a service whose entry in the policy can't be
// applied.
func (x *exchange) checkServiceUsable() *problem.Problem {
	if service := x.table.Service(x.service); service != nil && service.Unusable != "" {
		return unusableProblem("service " + x.service + ": " + service.Unusable)
	}
	return nil
}

// unusableRetryAfter is the Retry-After value for requests that can't be served under the
// policy in force. Hosts of another build may be able to.
const unusableRetryAfter = time.Second

func unusableProblem(detail string) *problem.Problem {
	return notRunProblem(problem.TypeNoUpstream, detail).WithRetryAfter(unusableRetryAfter)
}

// checkKeysCurrent rejects requests to routes that require a key while the last
// proof that the keys are current is too old: a key may have been withdrawn since.
func (x *exchange) checkKeysCurrent() *problem.Problem {
	if x.route.Open {
		return nil
	}
	now := boottime.Now()
	if reason := x.gateway.state.keysOutdated(now); reason != "" {
		return notRunProblem(problem.TypeNotReady, reason).WithRetryAfter(otherHostRetryAfter)
	}
	if age, ok := x.gateway.keysCurrent(now); !ok {
		return notRunProblem(problem.TypeNotReady, "the keys were last proved current "+age.String()+" ago").WithRetryAfter(otherHostRetryAfter)
	}
	return nil
}

// otherHostRetryAfter is the Retry-After value when another host can serve the
// request at once.
const otherHostRetryAfter = 50 * time.Millisecond

// notRunProblem returns a problem that promises that the request was not run.
func notRunProblem(t problem.Type, detail string) *problem.Problem {
	return problem.New(t, problem.ExecutedNo, detail)
}

// placementRequest returns the request as the placement pool takes it.
func (x *exchange) placementRequest() placement.Request {
	request := placement.Request{
		Service:          x.service,
		Route:            x.route.Name,
		Object:           x.call.Object,
		Sticky:           x.route.Sticky,
		Objective:        x.start.Add(x.route.LatencyObjective),
		Deadline:         x.deadline,
		LatencyObjective: x.route.LatencyObjective,
		Tried:            x.triedUpstreams,
	}
	if homes := x.homes(); homes.Restricted() {
		request.RegionAllowed = homes.Allows
	}
	return request
}

// homes returns the homes of the request under the policy in which its route was looked up last. A
// relayed request has those of both hosts in common.
func (x *exchange) homes() routing.Homes {
	return routing.HomesOf(x.route, x.account).And(x.relayHomes)
}

// dispatch sends the request to one upstream after another until one responds, and
// delivers the response. If none does, it returns the problem to respond with.
func (x *exchange) dispatch(w http.ResponseWriter) *problem.Problem {
	ctx, cancel := context.WithTimeout(x.ctx, x.deadline.Sub(boottime.Now()))
	defer cancel()
	for {
		attempt, rejection := x.attempt(ctx)
		if rejection != nil {
			return rejection
		}
		if done, rejection := x.conclude(w, attempt); done {
			return rejection
		}
		detail := ""
		switch {
		case attempt.result == resultWithheld:
			continue // the upstream is among those tried, so another one is chosen
		case !x.mayRetryAfterCrash(attempt):
			detail = "an upstream crashed while it ran this request before"
		case x.attempts >= x.route.MaxAttempts:
			detail = "no upstream answered"
		case !x.payload.Rewind():
			detail = bodyNotKept
		case !x.gateway.limits.takeRetry(x.service, boottime.Now()):
			detail = "the budget of repeats is used up"
		default:
			continue
		}
		if attempt.linkFailed && x.gateway.links.Suspected(boottime.Now()) {
			if relayed, ok := x.relay(ctx); ok {
				if done, rejection := x.conclude(w, relayed); done {
					return rejection
				}
			}
		}
		return x.attemptsExhausted(detail)
	}
}

// bodyNotKept is the detail of a refusal of a request whose body was sent and not kept.
const bodyNotKept = "the body was too long to be kept and sent again"

// attempt makes the next attempt: at an upstream, or through another host if this one
// can't reach the upstreams. It returns the problem to respond with if neither is
// possible.
func (x *exchange) attempt(ctx context.Context) (attemptOutcome, *problem.Problem) {
	if rejection := x.checkCrashes(); rejection != nil {
		x.refundToken()
		return attemptOutcome{}, rejection
	}
	if cutOff, _ := x.gateway.links.CutOff(); cutOff {
		if relayed, ok := x.relay(ctx); ok {
			return relayed, nil
		}
	}
	if !x.payload.Rewind() {
		return attemptOutcome{}, x.attemptsExhausted(bodyNotKept)
	}
	placed, rejection := x.place()
	if rejection != nil {
		if x.unreachable {
			if relayed, ok := x.relay(ctx); ok {
				return relayed, nil
			}
		}
		return attemptOutcome{}, rejection
	}
	if x.crash.trial {
		if rejection := x.claimTrial(ctx); rejection != nil {
			x.withdraw(placed)
			return attemptOutcome{}, rejection
		}
	}
	attempt := x.send(ctx, placed)
	x.gateway.metrics.countAttempt(string(attempt.result))
	if attempt.result == resultWithheld {
		x.attempts--
	}
	return attempt, nil
}

// conclude delivers the response of an attempt, or decides what its failure means. done
// is false if the request may be sent again.
func (x *exchange) conclude(w http.ResponseWriter, attempt attemptOutcome) (done bool, rejection *problem.Problem) {
	x.lastResult = string(attempt.result)
	switch attempt.result {
	case resultAnswered:
		return true, x.deliver(w, attempt)
	case resultTooLarge:
		return true, problem.New(problem.TypeTooLarge, problem.ExecutedUnknown, "the body is larger than the limit")
	case resultUnknown:
		x.mayHaveRun = true
	case resultCancelled:
		x.mayHaveRun = true
		return true, x.deadlineExceeded()
	}
	if x.mayHaveRun && !x.mayRepeat() {
		return true, x.outcomeUnknown("the upstream gave no answer")
	}
	return false, nil
}

// authoriseAttempt charges the client account for the first attempt, and checks the
// policy and the keys again, and whether the host stays long enough.
func (x *exchange) authoriseAttempt() *problem.Problem {
	if rejection := x.admit(); rejection != nil {
		return rejection
	}
	rejection := x.reauthorise()
	if rejection == nil {
		rejection = x.checkStop()
	}
	if rejection != nil {
		x.refundToken()
	}
	return rejection
}

// place chooses the upstream of the next attempt.
func (x *exchange) place() (*placement.Placement, *problem.Problem) {
	x.unreachable = false
	if rejection := x.authoriseAttempt(); rejection != nil {
		return nil, rejection
	}
	if x.attempts > 0 && x.attempts >= x.route.MaxAttempts { // the policy may have changed since the last attempt
		return nil, x.attemptsExhausted("no upstream answered")
	}
	now := boottime.Now()
	placed, err := x.gateway.state.pool.Place(x.placementRequest(), now)
	if err != nil {
		x.refundToken()
		return nil, x.placementFailed(err)
	}
	if !x.counted {
		x.gateway.limits.countFirstAttempt(x.service, now)
		x.counted = true
	}
	x.attempts++
	x.lastPlacement = &placed
	inputs := placed.Inputs()
	x.gateway.metrics.countPlacement(inputs)
	if inputs.Limited {
		x.logColdRequest(&placed)
	}
	if inputs.Limit.Rate > 0 {
		x.logLimitedRequest(&placed)
	}
	x.triedUpstreams = append(x.triedUpstreams, placed.Upstream.ID)
	return x.lastPlacement, nil
}

// withdraw ends a placement whose request is not sent.
func (x *exchange) withdraw(placed *placement.Placement) {
	placed.Done(placement.Report{Outcome: placement.OutcomeCancelled}, boottime.Now())
	x.attempts--
	x.refundToken()
}

// placementFailed returns the problem for a request that no upstream could be
// chosen for.
func (x *exchange) placementFailed(err error) *problem.Problem {
	retryAfter := exhaustedRetryAfter
	var refused *placement.RefusedError
	if errors.As(err, &refused) {
		retryAfter = refused.RetryAfter
		x.unreachable = refused.AllUnreachable()
	}
	if x.mayHaveRun {
		return x.outcomeUnknown(err.Error())
	}
	return notRunProblem(problem.TypeOverloaded, err.Error()).WithRetryAfter(retryAfter)
}

// reauthorise checks the policy and the keys again right before an attempt, since
// both may have changed while the body was read or an earlier attempt failed.
func (x *exchange) reauthorise() *problem.Problem {
	before := x.table
	if rejection := x.authorise(); rejection != nil {
		if x.attempts > 0 {
			return x.attemptsExhausted(rejection.Detail)
		}
		return rejection
	}
	if x.mayHaveRun && !x.mayRepeat() {
		return x.outcomeUnknown("the policy in force now does not allow that the request runs again")
	}
	if x.table != before && !routesTo(x.route, x.service) && x.relayedBy == "" {
		x.service = x.gateway.splitter.chooseService(x.route)
	}
	if rejection := x.checkServiceUsable(); rejection != nil {
		if x.attempts > 0 {
			return x.attemptsExhausted(rejection.Detail)
		}
		return rejection
	}
	return nil
}

// routesTo reports whether a route sends requests to a service.
func routesTo(route *routing.Route, service string) bool {
	for _, target := range route.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// admit takes a token from the client account's rate for the first attempt; further
// attempts are free. It rejects the request if there is no token.
func (x *exchange) admit() *problem.Problem {
	if x.account == nil || x.chargedAccount != "" || x.relayedBy != "" {
		return nil // the host from which a relayed request comes has charged the account
	}
	ok, wait := x.gateway.limits.takeToken(x.request.Context(), x.account.Name, longestReturn(x.deadline, boottime.Now()))
	if !ok {
		return notRunProblem(problem.TypeRateExceeded, "client account "+x.account.Name).WithRetryAfter(wait)
	}
	x.chargedAccount = x.account.Name
	return nil
}

// longestReturn returns how long a caller with the given deadline waits before it returns: callers
// honour a Retry-After up to a third of their remaining time.
func longestReturn(deadline, now boottime.Instant) time.Duration { return deadline.Sub(now) / 3 }

// refundToken returns the token of a request that was not sent to any upstream.
func (x *exchange) refundToken() {
	if x.chargedAccount != "" && x.attempts == 0 {
		x.gateway.limits.returnToken(x.chargedAccount)
		x.chargedAccount = ""
	}
}

// deadlineExceeded returns the problem for a request whose deadline has passed or
// whose caller has closed the connection.
func (x *exchange) deadlineExceeded() *problem.Problem {
	detail := "no answer in time"
	switch {
	case x.request.Context().Err() != nil:
		detail = "the caller left"
	case x.ctx.Err() != nil:
		detail = "the host ended before the upstream answered"
	}
	return problem.New(problem.TypeDeadlineExceeded, problem.ExecutedUnknown, detail)
}

// outcomeUnknown returns the problem for a request that an upstream may have run.
func (x *exchange) outcomeUnknown(detail string) *problem.Problem {
	return problem.New(problem.TypeUpstreamFailed, problem.ExecutedUnknown, detail)
}

// attemptsExhausted returns the problem for a request that is not sent to any
// further upstream.
func (x *exchange) attemptsExhausted(detail string) *problem.Problem {
	if x.mayHaveRun {
		return x.outcomeUnknown(detail)
	}
	return notRunProblem(problem.TypeOverloaded, detail).WithRetryAfter(exhaustedRetryAfter)
}

// exhaustedRetryAfter is the Retry-After value after upstreams rejected a request.
const exhaustedRetryAfter = 300 * time.Millisecond
