package entry

import (
	"context"
	"net/http"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// authenticate looks up the client account of the caller's key. It registers the
// request under the key until it finishes, so that withdrawing the key ends it.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		keyKnown := x.readKey(r)
		if x.open {
			if keyKnown {
				x.useFairShareOf(x.account)
			} else {
				x.key = ""
			}
			x.account = ""
			next.ServeHTTP(w, r)
			return
		}
		if !keyKnown {
			x.refuse(w, problem.New(problem.TypeUnauthenticated, problem.ExecutedNo, "no valid key came with the request"))
			return
		}
		h.serveAuthenticated(w, r, next)
	})
}

// readKey reads the key from the request and reports whether a client account
// owns it.
func (x *exchange) readKey(r *http.Request) bool {
	key, ok := clientaccount.BearerKey(r.Header)
	if !ok {
		return false
	}
	x.key = key
	x.digest = clientaccount.DigestOf(key)
	x.account, _, ok = x.policy.KeyOwner(x.digest)
	return ok
}

// serveAuthenticated handles a request whose key belongs to a client account.
func (h *Handler) serveAuthenticated(w http.ResponseWriter, r *http.Request, next http.Handler) {
	x := exchangeOf(r)
	if containsKey(r.URL.Path, x.key) || containsKey(r.Host, x.key) || containsKey(r.Method, x.key) {
		x.refuse(w, malformed("the key may only be in the Authorization header"))
		return
	}
	ctx, active, p := h.register(x.ctx, x)
	defer active.End()
	if p != nil {
		x.refuse(w, p)
		return
	}
	invariant.Check(x.account != "", invariant.KeyOwnsRequest, "request %s has no client account", x.id)
	x.useFairShareOf(x.account)
	x.ctx = ctx
	next.ServeHTTP(w, r)
}

// useFairShareOf makes the request wait for capacity in the fair share of the
// account. On open routes a key has no other effect: it grants no rights and
// consumes no rate. Requests on open routes without a key use one common share.
func (x *exchange) useFairShareOf(account string) {
	x.queueAccount = account
	if owner := x.policy.Account(account); owner != nil {
		x.weight = owner.Weight
	}
}

// register returns a context that is cancelled when the key is withdrawn. It
// looks the key up again after the registration, because the key may have been
// withdrawn since the first look-up. The caller must call End on the request.
func (h *Handler) register(ctx context.Context, x *exchange) (context.Context, *clientaccount.Request, *problem.Problem) {
	ctx, active := h.options.Active.Begin(ctx, x.digest, x.account)
	x.policy = h.options.Policy()
	owner, _, ok := x.policy.KeyOwner(x.digest)
	if !ok || owner != x.account {
		return ctx, active, problem.New(problem.TypeKeyWithdrawn, problem.ExecutedNo, "")
	}
	return ctx, active, nil
}
