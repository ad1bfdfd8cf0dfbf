package entry

import (
	"context"
	"net/http"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/invariant"
	"peridotrail/internal/problem"
)

// authenticate finds the client account of the caller's key and registers the
// request under the key until it ends.
func (f *FrontDoor) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		known := x.readKey(r)
		if x.open {
			if known {
				x.shareOf(x.account)
			} else {
				x.key = ""
			}
			x.account = ""
			next.ServeHTTP(w, r)
			return
		}
		if !known {
			x.refuse(w, problem.New(problem.TypeUnauthenticated, problem.ExecutedNo, "no valid key came with the request"))
			return
		}
		f.serveOwned(w, r, next)
	})
}

// readKey takes the key from the request and reports whether an account owns it.
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

func (f *FrontDoor) serveOwned(w http.ResponseWriter, r *http.Request, next http.Handler) {
	x := exchangeOf(r)
	if containsKey(r.URL.Path, x.key) || containsKey(r.Host, x.key) || containsKey(r.Method, x.key) {
		x.refuse(w, malformed("the key may only be in the Authorization header"))
		return
	}
	ctx, active, p := f.register(x.ctx, x)
	defer active.End()
	if p != nil {
		x.refuse(w, p)
		return
	}
	invariant.Check(x.account != "", invariant.KeyOwnsRequest, "request %s has no client account", x.id)
	x.shareOf(x.account)
	x.ctx = ctx
	next.ServeHTTP(w, r)
}

// shareOf counts the request against the fair share of an account under
// shortage. On open routes this is all that a key does: it gives no rights and
// uses up no rate. Open requests without a key share one part.
func (x *exchange) shareOf(account string) {
	x.queue = account
	if owner := x.policy.Account(account); owner != nil {
		x.weight = owner.Weight
	}
}

// register makes ctx end when the key is withdrawn. The key may have been
// withdrawn since it was looked up, hence the second look-up.
func (f *FrontDoor) register(ctx context.Context, x *exchange) (context.Context, *clientaccount.Request, *problem.Problem) {
	ctx, active := f.options.Active.Begin(ctx, x.digest, x.account)
	x.policy = f.options.Policy()
	owner, _, ok := x.policy.KeyOwner(x.digest)
	if !ok || owner != x.account {
		return ctx, active, problem.New(problem.TypeKeyWithdrawn, problem.ExecutedNo, "")
	}
	return ctx, active, nil
}
