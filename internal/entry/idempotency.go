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

const inProgressRetry = time.Second

// runOnce lets a non-idempotent request with an idempotency key pass only if the
// key's keeper says that no other attempt may have run.
func (f *FrontDoor) runOnce(next http.Handler) http.Handler {
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
		f.begin(w, r, x, key, next)
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

func (f *FrontDoor) begin(w http.ResponseWriter, r *http.Request, x *exchange, key string, next http.Handler) {
	if f.options.Idempotency == nil {
		x.refuse(w, problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "this host keeps no idempotency keys"))
		return
	}
	left := time.Until(x.deadline)
	ticket, decision, err := f.options.Idempotency.Begin(x.ctx, x.account, key, x.fingerprint(r), left)
	switch {
	case err != nil:
		p := problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "the keeper of the idempotency key can't be reached")
		p.Status = http.StatusServiceUnavailable
		x.refuse(w, p.WithRetryAfter(overloadRetry))
	case ticket != nil:
		f.runTicket(w, r, x, ticket, next)
	case decision.Verdict == idempotency.VerdictReplay:
		replay(w, x, decision.Answer)
	default:
		x.refuse(w, decisionProblem(decision.Verdict))
	}
}

func decisionProblem(verdict idempotency.Verdict) *problem.Problem {
	switch verdict {
	case idempotency.VerdictInProgress:
		return problem.New(problem.TypeInProgress, problem.ExecutedUnknown, "").WithRetryAfter(inProgressRetry)
	case idempotency.VerdictReused:
		return problem.New(problem.TypeIdempotencyReused, problem.ExecutedNo, "")
	case idempotency.VerdictFull:
		return problem.New(problem.TypeOverloaded, problem.ExecutedNo, "the keeper holds no more idempotency keys").WithRetryAfter(overloadRetry)
	case idempotency.VerdictInvalid:
		return malformed("the idempotency key was not issued to this client account")
	default:
		return problem.New(problem.TypeIdempotencyUnknown, problem.ExecutedUnknown, "")
	}
}

// runTicket runs the one attempt. It goes on when the caller goes away, so that
// the caller's retry gets the answer; the deadline and a withdrawn key end it.
func (f *FrontDoor) runTicket(w http.ResponseWriter, r *http.Request, x *exchange, ticket *idempotency.Ticket, next http.Handler) {
	capture := &capture{ResponseWriter: w}
	defer f.endTicket(capture, x, ticket)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	defer cancel()
	ctx, active, p := f.register(ctx, x)
	defer active.End()
	if p != nil {
		x.refuse(capture, p)
		return
	}
	x.sendContext = ctx
	next.ServeHTTP(capture, r)
}

// endTicket tells the keeper how the attempt ended. A keeper on another host is
// told after the answer has left, so that the caller does not wait for it.
func (f *FrontDoor) endTicket(c *capture, x *exchange, ticket *idempotency.Ticket) {
	reason := recover()
	result, answer := x.outcome(c, reason != nil)
	if reason == nil && !ticket.IsLocal() {
		_ = http.NewResponseController(c.ResponseWriter).Flush() // a lost caller asks again
	}
	invariant.Check(result != idempotency.ResultNotRun || !x.mayHaveRun, invariant.AtMostOnce,
		"request %s is given up as not run", x.id)
	if err := ticket.Finish(x.ctx, result, answer); err != nil {
		f.metrics.unconfirmed.Inc(1)
		_ = level.Warn(f.options.Logger).Log("msg", "idempotency keeper did not confirm", "request", x.id, "err", err)
	}
	if reason != nil {
		panic(reason)
	}
	if c.gone {
		panic(http.ErrAbortHandler)
	}
}

// outcome says how the attempt ended. After a panic it may have run.
func (x *exchange) outcome(c *capture, panicked bool) (idempotency.Result, *idempotency.Answer) {
	switch {
	case panicked || x.cut:
		return idempotency.ResultUnknown, nil
	case x.refusal != nil && x.refusal.Executed == problem.ExecutedNo:
		return idempotency.ResultNotRun, nil
	case x.refusal != nil || c.status == 0:
		return idempotency.ResultUnknown, nil
	case c.tooLarge:
		return idempotency.ResultAnswered, nil
	default:
		return idempotency.ResultAnswered, &idempotency.Answer{Status: c.status, Header: c.header, Body: c.body}
	}
}

// replay sends the answer that an earlier attempt received.
func replay(w http.ResponseWriter, x *exchange, answer *idempotency.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header[ReplayedHeader] = []string{"true"}
	header[RequestIDHeader] = []string{x.id}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a lost caller asks again
}

// fingerprint identifies the request. The body counts if it is held whole, its
// length otherwise.
func (x *exchange) fingerprint(r *http.Request) idempotency.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, x.service.Name, x.rawPath, withoutKey(r.URL.RawQuery, x.key), r.Header.Get("Content-Type")} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(x.payload.Length())))
	if body, ok := x.payload.Whole(); ok {
		h.Write(body)
	}
	return idempotency.Fingerprint(h.Sum(nil))
}
