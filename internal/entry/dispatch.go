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
	maxAttempts        = 3
	overloadRetryAfter = time.Second
	notReadyRetryAfter = time.Second
)

// dispatch is the last handler of the chain. It buffers the beginning of the
// body, acquires a permit for a target and forwards the request to it.
func (h *Handler) dispatch() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		if p := x.readPayload(w, r); p != nil {
			x.refuseAndClose(w, p)
			return
		}
		h.runAttempts(w, r, x)
	})
}

// runAttempts sends the request to one target after the other until a response
// has been passed on, a retry is not allowed or maxAttempts is reached.
func (h *Handler) runAttempts(w http.ResponseWriter, r *http.Request, x *exchange) {
	work := x.dispatchWork()
	var failure *sendFailure
	for attempt := 1; ; attempt++ {
		permit, err := h.options.Dispatcher.Acquire(x.ctx, work)
		if err != nil && failure != nil {
			x.refuse(w, x.sendProblem(x.ctx, failure))
			return
		}
		if err != nil {
			x.refuse(w, x.dispatchProblem(x.ctx, err))
			return
		}
		if x.mayHaveExecuted && !h.mayRunAgain(x, r.Method) { // it may have waited long for the permit
			permit.Done(upstream.Outcome{Result: upstream.ResultCancelled})
			x.refuse(w, x.sendProblem(x.ctx, failure))
			return
		}
		failure = h.send(w, r, x, permit)
		if failure == nil {
			return
		}
		if attempt == maxAttempts || !h.mayRetry(x, r.Method) {
			x.refuse(w, x.sendProblem(x.ctx, failure))
			return
		}
		work.Excluded = append(work.Excluded, permit.Target().Name())
	}
}

// dispatchWork describes the request for the dispatcher.
func (x *exchange) dispatchWork() upstream.Work {
	return upstream.Work{
		Service:    x.service.Name,
		Account:    x.queueAccount,
		Weight:     x.weight,
		Priority:   x.priority,
		Deadline:   x.deadline,
		Idempotent: x.idempotent,
		Relayed:    x.relayed,
		Origin:     x.origin,
		Grant:      x.roomGrant,
	}
}

// mayRetry reports whether a failed attempt may be followed by another one. A
// request that was certainly not executed may be sent to another target; one that
// may have been executed only if policies allow that it runs again. The dispatcher
// can still refuse the retry when its retry budget is exhausted.
func (h *Handler) mayRetry(x *exchange, method string) bool {
	if x.ctx.Err() != nil || x.mayHaveExecuted && !h.mayRunAgain(x, method) {
		return false
	}
	return x.payload.Rewind()
}

// readPayload buffers the beginning of the body before any upstream is
// contacted. It stops reading when the deadline passes or the key is withdrawn.
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
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // unsupported for relayed requests, whose stream ends with its context
	})
	payload, err := forward.ReadPayload(r.Body, r.ContentLength, nil)
	stop()
	if err == nil {
		x.payload = payload
		forward.KeepBodyReadable(w, payload)
		return nil
	}
	if p := contextProblem(x.ctx, problem.ExecutedNo, "while the body was read"); p != nil {
		return p
	}
	return malformed("the body can't be read")
}

// dispatchProblem translates an error of the Dispatcher into a refusal.
func (x *exchange) dispatchProblem(ctx context.Context, err error) *problem.Problem {
	if p := contextProblem(ctx, x.executed(), "while the request waited for a place"); p != nil {
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

// contextProblem returns the refusal for a request whose context has been
// cancelled, nil if it has not been. activity says what the request was doing.
func contextProblem(ctx context.Context, executed problem.Executed, activity string) *problem.Problem {
	if ctx.Err() == nil {
		return nil
	}
	var withdrawn *clientaccount.KeyWithdrawnError
	if errors.As(context.Cause(ctx), &withdrawn) {
		return problem.New(problem.TypeKeyWithdrawn, executed, activity)
	}
	return problem.New(problem.TypeDeadlineExceeded, executed, activity)
}

// sendProblem translates the failure of the last attempt.
func (x *exchange) sendProblem(ctx context.Context, failure *sendFailure) *problem.Problem {
	if p := contextProblem(ctx, x.executed(), "while the request was sent"); p != nil {
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

func parsePriority(text string) configuration.Priority {
	if text == string(configuration.PriorityAlert) {
		return configuration.PriorityAlert
	}
	return configuration.PriorityNormal
}
