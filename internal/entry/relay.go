package entry

import (
	"net/http"
	"strconv"

	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

// addRelayHeaders adds what this host decided about the request, for the peer
// that the request is relayed to.
func (x *exchange) addRelayHeaders(header http.Header, target upstream.Target) {
	header[relayService] = []string{x.service.Name}
	header[relayAccount] = []string{x.account}
	header[relayWeight] = []string{strconv.Itoa(x.weight)}
	header[relayPriority] = []string{string(x.priority)}
	header[relayIdempotent] = []string{strconv.FormatBool(x.idempotent)}
	header[relayGrant] = []string{strconv.FormatUint(target.Grant, 10)}
}

// RelayHandler returns a handler for requests that other entry hosts relayed over
// mutually authenticated streams. The origin has authenticated and admitted them.
// They are sent to upstreams of this failure domain or refused as not executed.
// The handler trusts the relay headers, so callers must not be able to reach it.
func (h *Handler) RelayHandler() http.Handler {
	return h.instrument(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		x.relayed = true
		x.policy = h.options.Policy()
		if x.policy == nil {
			x.refuse(w, problem.New(problem.TypeNotReady, problem.ExecutedNo, ""))
			return
		}
		if p := x.readRelayHeaders(r); p != nil {
			x.refuse(w, p)
			return
		}
		h.applyDeadline(h.dispatch()).ServeHTTP(w, r)
	}))
}

// readRelayHeaders fills in the exchange from the headers of the relaying host.
func (x *exchange) readRelayHeaders(r *http.Request) *problem.Problem {
	header := r.Header
	x.service = x.policy.Service(header.Get(relayService))
	if x.service == nil {
		return problem.New(problem.TypeNotFound, problem.ExecutedNo, "the service is unknown at this host")
	}
	if id := header.Get(RequestIDHeader); id != "" {
		x.id = id
	}
	_, x.path = splitService(r.URL.Path)
	_, x.rawPath = splitService(r.URL.EscapedPath())
	x.account = header.Get(relayAccount)
	x.queueAccount = x.account
	x.weight, _ = strconv.Atoi(header.Get(relayWeight)) // zero is treated as one
	x.priority = parsePriority(header.Get(relayPriority))
	x.idempotent = header.Get(relayIdempotent) == "true"
	if incoming, ok := relay.FromContext(r.Context()); ok {
		x.origin = string(incoming.From.ID)
	}
	x.roomGrant, _ = strconv.ParseUint(header.Get(relayGrant), 10, 64) // zero: no room grant
	return nil
}

// peerRefusal returns the refusal of the entry host that a request was relayed
// to, nil if the response is that of an upstream.
func peerRefusal(response *http.Response) *sendFailure {
	refusal := relay.Refusal(response)
	if refusal == nil {
		return nil
	}
	failure := &sendFailure{result: upstream.ResultFailed, executed: refusal.Executed, refusal: refusal}
	if refusal.Executed == problem.ExecutedNo {
		failure.result = upstream.ResultShed
	}
	if refusal.RetryAfter == 0 && response.Header.Get("Retry-After") != "" {
		refusal.RetryAfter = overloadRetryAfter
	}
	return failure
}
