package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/problem"
	"peridotrail/internal/upstream"
)

const (
	maxAttempts   = 3
	overloadRetry = time.Second
	notReadyRetry = time.Second
)

// dispatch reads the beginning of the body, finds a place for the request and
// sends it there. It is the last step.
func (f *FrontDoor) dispatch() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		if p := x.readPayload(w, r); p != nil {
			x.refuseAndClose(w, p)
			return
		}
		f.attempts(w, r, x)
	})
}

func (f *FrontDoor) attempts(w http.ResponseWriter, r *http.Request, x *exchange) {
	work := x.work()
	var failure *sendFailure
	for attempt := 1; ; attempt++ {
		permit, err := f.options.Dispatcher.Acquire(x.ctx, work)
		if err != nil && failure != nil {
			x.refuse(w, x.sendProblem(x.ctx, failure))
			return
		}
		if err != nil {
			x.refuse(w, x.dispatchProblem(x.ctx, err))
			return
		}
		failure = f.send(w, r, x, permit)
		if failure == nil {
			return
		}
		if attempt == maxAttempts || !x.mayRetry(x.ctx, failure) {
			x.refuse(w, x.sendProblem(x.ctx, failure))
			return
		}
		work.Excluded = append(work.Excluded, permit.Target().Name())
	}
}

func (x *exchange) work() upstream.Work {
	return upstream.Work{
		Service:    x.service.Name,
		Account:    x.queue,
		Weight:     x.weight,
		Priority:   x.priority,
		Deadline:   x.deadline,
		Idempotent: x.idempotent,
		Relayed:    x.relayed,
		Origin:     x.origin,
		Grant:      x.grant,
	}
}

// mayRetry decides whether a failed attempt may be followed by another one.
// What certainly did not run may go elsewhere; what may have run only if it is
// idempotent. The dispatcher's retry budget has the last word.
func (x *exchange) mayRetry(ctx context.Context, failure *sendFailure) bool {
	if ctx.Err() != nil || !x.payload.Replayable() {
		return false
	}
	return failure.executed == problem.ExecutedNo || x.idempotent
}

// readPayload reads the beginning of the body before any upstream is contacted.
// The end of the request's time or of its key ends the reading.
func (x *exchange) readPayload(w http.ResponseWriter, r *http.Request) *problem.Problem {
	if x.payload != nil {
		return nil
	}
	if r.ContentLength == 0 {
		x.payload = forward.EmptyPayload()
		return nil
	}
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(x.ctx, func() {
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // unsupported for relayed requests, whose stream ends by itself
	})
	payload, err := forward.ReadPayload(r.Body, r.ContentLength)
	stop()
	if err == nil {
		x.payload = payload
		return nil
	}
	if p := endProblem(x.ctx, problem.ExecutedNo, "while the body was read"); p != nil {
		return p
	}
	return malformed("the body can't be read")
}

// dispatchProblem translates a refusal of the dispatcher.
func (x *exchange) dispatchProblem(ctx context.Context, err error) *problem.Problem {
	if p := endProblem(ctx, x.executed(), "while the request waited for a place"); p != nil {
		return p
	}
	var refused *upstream.RefusedError
	if !errors.As(err, &refused) {
		return problem.New(problem.TypeInternal, x.executed(), "")
	}
	p := problem.New(problemTypes[refused.Reason], x.executed(), refused.Reason.String())
	return p.WithRetryAfter(refused.RetryAfter)
}

var problemTypes = map[upstream.Reason]problem.Type{
	upstream.ReasonNoUpstream:       problem.TypeNoUpstream,
	upstream.ReasonOverloaded:       problem.TypeOverloaded,
	upstream.ReasonDeadlineTooShort: problem.TypeDeadlineExceeded,
	upstream.ReasonWithdrawn:        problem.TypeOverloaded,
	upstream.ReasonNoGrant:          problem.TypeOverloaded,
	upstream.ReasonShuttingDown:     problem.TypeShuttingDown,
}

// endProblem returns the problem of a request whose context has ended, nil if it
// has not. when says what the request was doing.
func endProblem(ctx context.Context, executed problem.Executed, when string) *problem.Problem {
	if ctx.Err() == nil {
		return nil
	}
	var withdrawn *clientaccount.KeyWithdrawnError
	if errors.As(context.Cause(ctx), &withdrawn) {
		return problem.New(problem.TypeKeyWithdrawn, executed, when)
	}
	return problem.New(problem.TypeDeadlineExceeded, executed, when)
}

// sendProblem translates the failure of the last attempt.
func (x *exchange) sendProblem(ctx context.Context, failure *sendFailure) *problem.Problem {
	if p := endProblem(ctx, x.executed(), "while the request was sent"); p != nil {
		return p
	}
	if failure.refusal != nil {
		p := *failure.refusal
		p.Executed = x.executed()
		return &p
	}
	if failure.result == upstream.ResultShed {
		return problem.New(problem.TypeOverloaded, x.executed(), "the upstream refused the request").WithRetryAfter(failure.retryAfter)
	}
	return problem.New(problem.TypeUpstreamFailed, x.executed(), failure.detail)
}

func priorityOf(text string) configuration.Priority {
	if text == string(configuration.PriorityAlert) {
		return configuration.PriorityAlert
	}
	return configuration.PriorityNormal
}
