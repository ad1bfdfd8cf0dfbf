package entry

import (
	"net/http"
	"strings"

	"peridotrail/internal/configuration"
	"peridotrail/internal/problem"
)

// route finds the service and the policy for the path.
func (f *FrontDoor) route(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		x.policy = f.options.Policy()
		if x.policy == nil {
			x.refuse(w, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").WithRetryAfter(notReadyRetry))
			return
		}
		if p := x.resolve(r); p != nil {
			x.refuse(w, p)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// resolve fills in the service, the path below it and the route's policy.
func (x *exchange) resolve(r *http.Request) *problem.Problem {
	name, path := cutService(r.URL.Path)
	escapedName, rawPath := cutService(r.URL.EscapedPath())
	if name != escapedName {
		return malformed("the service name is encoded")
	}
	x.service = x.policy.Service(name)
	if x.service == nil {
		return problem.New(problem.TypeNotFound, problem.ExecutedNo, "there is no such service")
	}
	x.path, x.rawPath = path, rawPath
	x.idempotent = isIdempotent(r.Method)
	x.priority = configuration.PriorityNormal
	route := x.policy.Route(name, path)
	if route == nil {
		return nil
	}
	return x.apply(route)
}

func (x *exchange) apply(route *configuration.Route) *problem.Problem {
	if route.Open && x.path != x.rawPath {
		return malformed("the path of an open route must not be encoded")
	}
	x.prefix = route.Prefix
	x.open = route.Open
	if route.Idempotent != nil {
		x.idempotent = *route.Idempotent
	}
	if route.Priority != "" {
		x.priority = route.Priority
	}
	return nil
}

// cutService splits "/SERVICE/rest" into the service's name and "/rest".
func cutService(path string) (service, rest string) {
	service, rest, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found {
		return service, "/"
	}
	return service, "/" + rest
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
