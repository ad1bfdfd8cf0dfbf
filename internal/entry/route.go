package entry

import (
	"net/http"
	"strings"

	"peridotrail/internal/configuration"
	"peridotrail/internal/problem"
)

// route looks up the service and the route for the request's path.
func (h *Handler) route(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		x.policy = h.options.Policy()
		if x.policy == nil {
			x.refuse(w, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").WithRetryAfter(notReadyRetryAfter))
			return
		}
		if p := x.resolve(r); p != nil {
			x.refuse(w, p)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// resolve sets the exchange's service, the path below the service and the
// settings of the matching route.
func (x *exchange) resolve(r *http.Request) *problem.Problem {
	name, path := splitService(r.URL.Path)
	escapedName, rawPath := splitService(r.URL.EscapedPath())
	if name != escapedName {
		return malformed("the service name is encoded")
	}
	x.service = x.policy.Service(name)
	if x.service == nil {
		return problem.New(problem.TypeNotFound, problem.ExecutedNo, "there is no such service")
	}
	x.path, x.rawPath = path, rawPath
	x.idempotent = idempotentUnder(x.policy, name, path, r.Method)
	x.priority = configuration.PriorityNormal
	route := x.policy.Route(name, path)
	if route == nil {
		return nil
	}
	return x.applyRoute(route)
}

// applyRoute copies the settings of the route to the exchange.
func (x *exchange) applyRoute(route *configuration.Route) *problem.Problem {
	if route.Open && x.path != x.rawPath {
		return malformed("the path of an open route must not be encoded")
	}
	x.prefix = route.Prefix
	x.open = route.Open
	if route.Priority != "" {
		x.priority = route.Priority
	}
	return nil
}

// splitService splits "/SERVICE/rest" into the service's name and "/rest".
func splitService(path string) (service, rest string) {
	service, rest, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found {
		return service, "/"
	}
	return service, "/" + rest
}

// idempotentUnder reports whether a policy allows that a request runs more than once.
func idempotentUnder(policy Policy, service, path, method string) bool {
	if route := policy.Route(service, path); route != nil && route.Idempotent != nil {
		return *route.Idempotent
	}
	return isIdempotent(method)
}

// mayRunAgain reports whether a request that may have been executed may be sent to another
// target: every policy that was in force since it arrived must allow that.
func (h *Handler) mayRunAgain(x *exchange, method string) bool {
	if policy := h.options.Policy(); policy != nil && x.idempotent {
		x.idempotent = idempotentUnder(policy, x.service.Name, x.path, method)
	}
	return x.idempotent
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
