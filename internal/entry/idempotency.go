package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/idempotency"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

const inProgressRetryAfter = time.Second

// enforceIdempotencyKey passes on a non-idempotent request with an idempotency
// key only if the key's keeper confirms that no other attempt may have executed it.
func (h *Handler) enforceIdempotencyKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		key := r.Header.Get(IdempotencyKey)
		if x.idempotent || key == "" {
			next.ServeHTTP(w, r)
			return
		}
		if p := x.checkIdempotencyKey(key); p != nil {
			x.refuse(w, p)
			return
		}
		if p := x.readPayload(w, r); p != nil {
			x.refuseAndClose(w, p)
			return
		}
		h.beginAttempt(w, r, x, key, next)
	})
}

func (x *exchange) checkIdempotencyKey(key string) *problem.Problem {
	if x.account == "" {
		return malformed(IdempotencyKey + " is accepted only with the key of a client account")
	}
	if !idempotency.ValidCallerKey(key) {
		return malformed(IdempotencyKey + " must be visible ASCII of bounded length")
	}
	return nil
}

// beginAttempt asks the key's keeper whether the request may run. It runs the
// request, replays an earlier response or refuses.
func (h *Handler) beginAttempt(w http.ResponseWriter, r *http.Request, x *exchange, key string, next http.Handler) {
	if h.options.Idempotency == nil {
		x.refuse(w, problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "this host keeps no idempotency keys"))
		return
	}
	remaining := time.Until(x.deadline)
	ticket, decision, err := h.options.Idempotency.Begin(x.ctx, x.account, key, x.fingerprint(r), remaining)
	switch {
	case err != nil:
		p := problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "the keeper of the idempotency key can't be reached")
		p.Status = http.StatusServiceUnavailable
		x.refuse(w, p.WithRetryAfter(overloadRetryAfter))
	case ticket != nil:
		h.runAttempt(w, r, x, ticket, next)
	case decision.Verdict == idempotency.VerdictReplay:
		replay(w, x, decision.Response)
	default:
		x.refuse(w, decisionProblem(decision.Verdict))
	}
}

// decisionProblem translates a keeper's verdict into a refusal.
func decisionProblem(verdict idempotency.Verdict) *problem.Problem {
	switch verdict {
	case idempotency.VerdictInProgress:
		return problem.New(problem.TypeInProgress, problem.ExecutedUnknown, "").WithRetryAfter(inProgressRetryAfter)
	case idempotency.VerdictReused:
		return problem.New(problem.TypeIdempotencyReused, problem.ExecutedNo, "")
	case idempotency.VerdictFull:
		return problem.New(problem.TypeOverloaded, problem.ExecutedNo, "the keeper holds no more idempotency keys").WithRetryAfter(overloadRetryAfter)
	case idempotency.VerdictInvalid:
		return malformed("the idempotency key was not issued to this client account")
	default:
		return problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "")
	}
}

// runAttempt runs the only attempt that the ticket allows. The attempt continues
// when the caller disconnects, so that the caller's retry gets the response. It is
// cancelled at the deadline and when the key is withdrawn.
func (h *Handler) runAttempt(w http.ResponseWriter, r *http.Request, x *exchange, ticket *idempotency.Ticket, next http.Handler) {
	capture := &responseCapture{ResponseWriter: w}
	defer h.finishAttempt(capture, x, ticket)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	defer cancel()
	ctx, active, p := h.register(ctx, x)
	defer active.End()
	if p != nil {
		x.refuse(capture, p)
		return
	}
	x.attemptCtx = ctx
	next.ServeHTTP(capture, r)
}

// finishAttempt reports the attempt's result to the keeper. It must be deferred.
// If the keeper is on another host, the response is flushed first, so that the
// caller does not wait for the report.
func (h *Handler) finishAttempt(c *responseCapture, x *exchange, ticket *idempotency.Ticket) {
	reason := recover()
	result, response := x.attemptResult(c, reason != nil)
	if reason == nil && !ticket.IsLocal() {
		_ = http.NewResponseController(c.ResponseWriter).Flush() // a caller that missed the response retries
	}
	invariant.Check(result != idempotency.ResultNotRun || !x.mayHaveExecuted, invariant.AtMostOnce,
		"request %s is reported to its keeper as not executed", x.id)
	if err := ticket.Finish(x.ctx, result, response); err != nil {
		h.metrics.unconfirmed.Inc(1)
		_ = level.Warn(h.options.Logger).Log("msg", "idempotency keeper did not confirm", "request", x.id, "err", err)
	}
	if reason != nil {
		panic(reason)
	}
	if c.callerGone {
		panic(http.ErrAbortHandler)
	}
}

// attemptResult returns the attempt's result for the keeper, with the response if
// it was recorded. After a panic the result is unknown.
func (x *exchange) attemptResult(c *responseCapture, panicked bool) (idempotency.Result, *idempotency.Response) {
	switch {
	case panicked || x.truncated:
		return idempotency.ResultUnknown, nil
	case x.refusal != nil && x.refusal.Executed == problem.ExecutedNo:
		return idempotency.ResultNotRun, nil
	case x.refusal != nil || c.status == 0:
		return idempotency.ResultUnknown, nil
	case c.tooLarge:
		return idempotency.ResultAnswered, nil
	default:
		return idempotency.ResultAnswered, &idempotency.Response{Status: c.status, Header: c.header, Body: c.body}
	}
}

// replay sends the response that an earlier attempt received.
func replay(w http.ResponseWriter, x *exchange, response *idempotency.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header[ReplayedHeader] = []string{"true"}
	header[RequestIDHeader] = []string{x.id}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // a caller that missed the response retries
}

// fingerprint returns a hash that identifies the request. It covers the length of
// the body, and its content if the body is buffered completely.
func (x *exchange) fingerprint(r *http.Request) idempotency.Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Method, x.service.Name, x.rawPath, withoutKey(r.URL.RawQuery, x.key), r.Header.Get("Content-Type")} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(x.payload.Length())))
	if body, whole := x.payload.Prefix(); whole {
		h.Write(body)
	}
	return idempotency.Fingerprint(h.Sum(nil))
}
