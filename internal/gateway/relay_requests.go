package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/fleet/relay"
	"peridotrail/internal/http1"
	"peridotrail/internal/problem"
	"peridotrail/internal/routing"
)

const (
	// maxRelayTries limits the hosts that are asked to send one request while this host is
	// cut off. Otherwise only one is.
	maxRelayTries = 3
	// minRelayTime is the time until the deadline below which a request is not relayed.
	minRelayTime = 30 * time.Millisecond
)

// mayRelay reports whether another host may be asked to send the request. A relayed
// request is not relayed again, and one that may have run is not sent again by this way:
// how often the other host would send it is not known here.
func (x *exchange) mayRelay() bool {
	tries := 1
	if cutOff, _ := x.gateway.links.CutOff(); cutOff {
		tries = maxRelayTries
	}
	return x.gateway.relays != nil && x.relayedBy == "" && !x.arrived && len(x.relayTried) < tries &&
		x.deadline.Sub(boottime.Now()) >= minRelayTime &&
		!strings.HasPrefix(x.request.RequestURI, "//") // hosts of earlier builds read it as a host name
}

// relay asks other hosts to send the request until one does. ok is false if none did; the
// request has not run then.
func (x *exchange) relay(ctx context.Context) (outcome attemptOutcome, ok bool) {
	for x.mayRelay() && x.authoriseAttempt() == nil { // the policy may have changed since the last try
		if !x.payload.Rewind() {
			break
		}
		peer, found := x.gateway.relays.peers.acquire(x.homes(), x.relayTried, boottime.Now())
		if !found {
			break
		}
		x.relayTried = append(x.relayTried, peer.host)
		began := boottime.Now()
		outcome, unable, detail := x.relayTo(ctx, peer)
		x.gateway.relays.peers.release(peer, unable, boottime.Now())
		x.gateway.metrics.countRelay(string(outcome.result))
		x.logRelay(peer, outcome.result, detail, began)
		if outcome.result != resultNotRun {
			x.relayedTo, x.arrived = peer.host.Name, true
			x.lastPlacement = nil                             // its upstream did not answer
			x.attempts = max(x.attempts, x.route.MaxAttempts) // the other host has used them
			return outcome, true
		}
	}
	x.refundToken()
	return attemptOutcome{}, false
}

// relayTo sends the request to another host. unable tells that this host can't send
// requests now, and detail why the request was not answered.
func (x *exchange) relayTo(ctx context.Context, peer relayPeer) (outcome attemptOutcome, unable bool, detail string) {
	metadata := relay.Metadata{
		Service: x.service, Idempotent: x.mayRepeat(), Counted: x.counted,
		ElapsedMs: boottime.Now().Sub(x.start).Milliseconds(), Homes: x.homes().Regions(),
	}
	checked := context.WithValue(ctx, relayCheckKey{}, func() error { return x.checkHomesInForce(peer.host.Name, peer.host.Region) })
	response, err := x.gateway.relays.client.Send(peer.address, metadata, x.relayedRequest(checked))
	if err != nil {
		var homes *HomesError
		if errors.As(err, &homes) {
			return attemptOutcome{result: resultNotRun}, false, err.Error()
		}
		if ctx.Err() != nil {
			return attemptOutcome{result: resultCancelled}, false, err.Error()
		}
		if http1.IsInvalid(err) {
			x.gateway.metrics.countInvalidResponse()
		}
		result, unable := relayResult(err)
		return attemptOutcome{result: result}, unable, err.Error()
	}
	if refusal := relay.Refusal(response); refusal != nil {
		_ = response.Body.Close() // a refusal is read whole
		if refusal.Executed == problem.ExecutedNo {
			return attemptOutcome{result: resultNotRun}, refusal.Type != problem.TypeOverloaded, refusal.Detail
		}
		if refusal.Status == http.StatusGatewayTimeout || ctx.Err() != nil { // the refusal may have broken off at the deadline
			return attemptOutcome{result: resultCancelled}, false, refusal.Detail
		}
		return attemptOutcome{result: resultUnknown}, false, refusal.Detail
	}
	reply := x.gateway.dialect.ReadReply(response)
	if id, incarnation, ok := takeUpstreamHeader(response.Header); ok && reply.Leaving {
		x.gateway.state.pool.SetLeaving(id, incarnation)
	}
	if response.StatusCode < http.StatusBadRequest && !reply.Signed {
		_ = response.Body.Close() // it is not used
		return attemptOutcome{result: resultUnknown}, true, "a success without the signature of an upstream"
	}
	outcome, err = x.readResponse(response)
	switch {
	case err == nil:
		return outcome, false, ""
	case ctx.Err() != nil:
		return attemptOutcome{result: resultCancelled}, false, err.Error()
	default:
		return attemptOutcome{result: resultUnknown}, true, err.Error()
	}
}

// upstreamHeader is the header in which a host tells the one from which it has a request
// which process of an upstream responded: ID and incarnation, separated by a space. Hosts of
// earlier builds neither send nor read it.
const upstreamHeader = "Peridotrail-Upstream"

func formatUpstream(u catalog.Upstream) string {
	return u.ID + " " + strconv.FormatInt(u.Incarnation, 10)
}

// takeUpstreamHeader removes upstreamHeader and returns its value. ok is false if there is
// none or it can't be read.
func takeUpstreamHeader(header http.Header) (id string, incarnation int64, ok bool) {
	value := header.Get(upstreamHeader)
	header.Del(upstreamHeader)
	id, text, ok := strings.Cut(value, " ")
	incarnation, err := strconv.ParseInt(text, 10, 64)
	return id, incarnation, ok && err == nil
}

// relayedRequest returns the request as another host receives it, with the headers of
// the caller.
func (x *exchange) relayedRequest(ctx context.Context) *http.Request {
	request := &http.Request{
		Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI, Host: x.request.Host,
		Header: x.header, ContentLength: x.payload.Length(), RemoteAddr: x.request.RemoteAddr, Body: http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = x.payload.Reader()
	}
	return request.WithContext(ctx)
}

// serveRelayed sends a request for another host. That host has charged the client
// account; this one checks the policy and the keys again and counts what it sends.
func (g *Gateway) serveRelayed(w http.ResponseWriter, r *http.Request) {
	origin, ok := relay.FromContext(r.Context())
	if !ok {
		notRunProblem(problem.TypeInternal, "the request was not relayed").Write(w)
		return
	}
	g.metrics.countRelay("received")
	if rejection := g.rejectRelayed(origin); rejection != nil {
		rejection.Write(w)
		return
	}
	defer g.relays.end()
	x := &exchange{
		gateway: g, request: r, call: g.dialect.ReadCall(r),
		start:     boottime.Now().Add(-time.Duration(max(origin.Metadata.ElapsedMs, 0)) * time.Millisecond),
		relayedBy: string(origin.From.ID), counted: origin.Metadata.Counted, service: origin.Metadata.Service,
		atMostOnce: !origin.Metadata.Idempotent, relayHomes: routing.NewHomes(origin.Metadata.Homes),
	}
	x.serve(w)
}

// rejectRelayed returns the problem with which to refuse a relayed request before it is
// read. If there is none it takes a slot, which the caller must give back with end.
func (g *Gateway) rejectRelayed(origin relay.Origin) *problem.Problem {
	cutOff, _ := g.links.CutOff()
	switch {
	case origin.Metadata.Hops > 0:
		return notRunProblem(problem.TypeMalformed, "the request was relayed before")
	case g.shuttingDown.Load():
		return notRunProblem(problem.TypeShuttingDown, "the host is leaving")
	case cutOff:
		return notRunProblem(problem.TypeNoUpstream, "the host is cut off itself")
	case !g.relays.begin():
		return notRunProblem(problem.TypeOverloaded, "the host sends as many requests for others as it may")
	}
	return nil
}

// mayHold reports whether this host may hold a request with the given homes. One that its caller
// sent here it has already.
func (x *exchange) mayHold(homes routing.Homes) bool {
	return x.relayedBy == "" || homes.Allows(x.gateway.settings.get().Region)
}

// relayedProblem returns the problem to respond with to the host from which the request
// comes. Problems of the route or the key are those of this host's policy, which may
// differ from the other host's, so they only say that this host does not send it.
func (x *exchange) relayedProblem(p *problem.Problem) *problem.Problem {
	if p.Executed != problem.ExecutedNo || p.Type == problem.TypeOverloaded && !x.unreachable {
		return p
	}
	return notRunProblem(problem.TypeNoUpstream, p.Detail)
}

// logRelay writes one line about a request that another host was asked to send.
func (x *exchange) logRelay(peer relayPeer, result result, detail string, began boottime.Instant) {
	if !x.gateway.logLimiter.allow(result == resultAnswered) {
		return
	}
	_ = level.Info(x.gateway.logger).Log("event", "request relayed", "request", x.call.ID, "peer", peer.host.Name, "domain", peer.host.FailureDomain,
		"region", peer.host.Region, "homes", x.homes(), "result", string(result), "took_ms", boottime.Now().Sub(began).Milliseconds(), "detail", detail)
}
