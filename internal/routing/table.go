package routing

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// PolicyError reports an entry of a policy that can't be applied as it is.
type PolicyError struct {
	Version Version
	Item    string // the entry, for example "route NAME"
	Reason  string
}

// Error implements error.
func (e PolicyError) Error() string {
	return fmt.Sprintf("policy version %d: %s: %s", e.Version, e.Item, e.Reason)
}

// Table is a Policy indexed for look-ups. It is immutable once it is in force.
type Table struct {
	version       Version
	routes        map[string][]*Route // by host name, longest prefix first
	services      map[string]*Service
	accountsByKey map[[sha256.Size]byte]*Account // by the SHA-256 hash of the key
	accounts      []Account
	limits        Limits
	problems      []PolicyError
	repeats       *RepeatRules
}

// NewTable checks and indexes a policy. An entry that can't be applied affects no other
// one: its requests are refused, and Problems lists it. The table refers to the policy,
// which must not be changed afterwards.
func NewTable(policy Policy) *Table {
	t := &Table{
		version:       policy.Version,
		routes:        map[string][]*Route{},
		services:      make(map[string]*Service, len(policy.Services)),
		accountsByKey: map[[sha256.Size]byte]*Account{},
		accounts:      policy.Accounts,
		limits:        policy.Limits,
		problems:      slices.Clone(policy.Problems),
	}
	for i := range policy.Services {
		t.services[policy.Services[i].Name] = &policy.Services[i]
	}
	for i := range policy.Routes {
		t.addRoute(&policy.Routes[i])
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.repeats = newRepeatRules(t.routes)
	for i := range policy.Accounts {
		for _, key := range policy.Accounts[i].Keys {
			t.accountsByKey[sha256.Sum256([]byte(key))] = &policy.Accounts[i]
		}
	}
	return t
}

// addRoute checks and indexes a route. It sets MaxAttempts to at least 1.
func (t *Table) addRoute(r *Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		t.addProblem("route "+r.Name, fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix))
		return // it is not known which requests the route concerns
	}
	if r.Unusable == "" {
		if reason := t.unusable(r); reason != "" {
			r.Unusable = reason
			t.addProblem("route "+r.Name, reason)
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	name := hostName(r.Host)
	t.routes[name] = append(t.routes[name], r)
}

// unusable returns why no request on a route can be served, empty if requests can be.
func (t *Table) unusable(r *Route) string {
	switch {
	case len(r.Targets) == 0:
		return "no target service is given"
	case r.Timeout <= 0:
		return "the timeout is not positive"
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fmt.Sprintf("service %q does not exist", target.Service)
		}
		if target.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", target.Service)
		}
	}
	return ""
}

func (t *Table) addProblem(item, reason string) {
	t.problems = append(t.problems, PolicyError{Version: t.version, Item: item, Reason: reason})
}

// Problems returns the entries of the policy that can't be applied as they are. The slice
// must not be changed.
func (t *Table) Problems() []PolicyError { return t.problems }

// Version returns the version of the policy.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route for a request, or nil if there is none. host may include
// a port.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HomesOfName returns the regions that are homes of every route of a host name, which may include
// a port: whichever route a request takes, they may serve it unless its client account has other
// homes. known is false if there is no route.
func (t *Table) HomesOfName(host string) (homes Homes, known bool) {
	routes := t.routes[hostName(host)]
	for _, route := range routes {
		homes = homes.And(homesOfRoute(route))
	}
	return homes, len(routes) > 0
}

// hostName returns the name by which routes are found: a host without its port, in lower case and
// without the dot that may end a full name.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

// Service returns a service, or nil if it does not exist.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// AccountByKey returns the client account that owns a key, or nil if there is none.
func (t *Table) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accountsByKey[sha256.Sum256([]byte(key))]
}

// Accounts returns all client accounts. The slice must not be changed.
func (t *Table) Accounts() []Account { return t.accounts }
