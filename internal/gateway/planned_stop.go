package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/problem"
)

const (
	// rejectAfterFraction is the fraction of the grace period after which a host
	// that shuts down rejects new requests. Until then callers learn from look-ups
	// that it is no longer available.
	rejectAfterFraction = 0.45
	// abandonFraction is the fraction of the grace period after which requests still at
	// upstreams are given up.
	abandonFraction = 0.93
	// shutdownEndFraction is the fraction of the grace period after which the process ends.
	// What remains after abandonFraction is for the responses to the requests given up.
	shutdownEndFraction = 0.95
	// maxUncheckedSends is how long after the begin of a shutdown, at most, requests are sent
	// whether or not they are certain to end in time. Callers that come later had time to learn
	// that the host leaves.
	maxUncheckedSends = 3 * time.Second
)

// plannedStop decides which requests a host that shuts down still sends to upstreams. It is safe
// for concurrent use.
type plannedStop struct {
	schedule  atomic.Pointer[stopSchedule] // nil unless the host shuts down
	abandoned context.Context              // ends when requests at upstreams are given up
	abandon   context.CancelFunc
	leaving   context.Context // ends when new requests are rejected
	leave     context.CancelFunc
}

type stopSchedule struct {
	checkSends boottime.Instant // from when on requests are sent only if they end in time
	abandon    boottime.Instant
}

func newPlannedStop() *plannedStop {
	p := &plannedStop{}
	p.abandoned, p.abandon = context.WithCancel(context.Background())
	p.leaving, p.leave = context.WithCancel(context.Background())
	return p
}

// endWaits returns a handler whose requests stop waiting when new ones are rejected. A host that waits
// for changes then follows another one, rather than holding up the stop.
func (p *plannedStop) endWaits(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(p.leaving, cancel)()
		inner.ServeHTTP(w, r.WithContext(ctx))
	})
}

// begin begins a shutdown that ends within the grace period. The caller must call the function
// that it returns when the shutdown has ended.
func (p *plannedStop) begin(grace time.Duration, now boottime.Instant) (end func()) {
	p.schedule.Store(&stopSchedule{
		checkSends: now.Add(min(scale(grace, rejectAfterFraction), maxUncheckedSends)),
		abandon:    now.Add(scale(grace, abandonFraction)),
	})
	timer := time.AfterFunc(scale(grace, abandonFraction), p.abandon)
	return func() { timer.Stop() }
}

// maySend reports whether a request with the given deadline may be sent to an upstream.
func (p *plannedStop) maySend(deadline, now boottime.Instant) bool {
	schedule := p.schedule.Load()
	return schedule == nil || now < schedule.checkSends || deadline <= schedule.abandon
}

// checkStop rejects a request that is not sent any more because the host may end before it.
func (x *exchange) checkStop() *problem.Problem {
	if x.gateway.stop.maySend(x.deadline, boottime.Now()) {
		return nil
	}
	const detail = "the host is leaving and may end before the request"
	if x.attempts > 0 {
		return x.attemptsExhausted(detail)
	}
	return notRunProblem(problem.TypeShuttingDown, detail).WithRetryAfter(otherHostRetryAfter)
}
