package routing

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// InvalidError reports a document that can't be put in force.
type InvalidError struct {
	Version Version
	Item    string // route, service or account
	Reason  string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("policy version %d: %s: %s", e.Version, e.Item, e.Reason)
}

// Table is a Document indexed for look-ups. It is immutable.
type Table struct {
	version  Version
	routes   map[string][]*Route // by host name, longest prefix first
	services map[string]*Service
	owners   map[[sha256.Size]byte]*Account
	accounts []Account
	limits   Limits
}

// NewTable checks and indexes a document. It fails with an *InvalidError.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		version:  d.Version,
		routes:   map[string][]*Route{},
		services: make(map[string]*Service, len(d.Services)),
		owners:   map[[sha256.Size]byte]*Account{},
		accounts: d.Accounts,
		limits:   d.Limits,
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := t.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			t.owners[sha256.Sum256([]byte(key))] = &d.Accounts[i]
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	invalid := func(reason string) error {
		return &InvalidError{Version: t.version, Item: "route " + r.Name, Reason: reason}
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix))
	case len(r.Targets) == 0:
		return invalid("it names no service")
	case r.Timeout <= 0:
		return invalid("its timeout is not positive")
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return invalid(fmt.Sprintf("service %q does not exist", target.Service))
		}
		if target.Weight < 0 {
			return invalid(fmt.Sprintf("the weight of service %q is negative", target.Service))
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	t.routes[r.Host] = append(t.routes[r.Host], r)
	return nil
}

// Version returns the version of the document.
func (t *Table) Version() Version { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route for a request, nil if there is none. host may have a port.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range t.routes[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service, nil if it does not exist.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]*Service { return t.services }

// Owner returns the account that holds key, nil if there is none.
func (t *Table) Owner(key string) *Account {
	if key == "" {
		return nil
	}
	return t.owners[sha256.Sum256([]byte(key))]
}

// HomeRegions returns the regions in which a request of account on route may be
// served, nil for all of them.
func HomeRegions(route *Route, account *Account) (regions []string, bound bool) {
	if account == nil || len(account.HomeRegions) == 0 {
		return route.HomeRegions, len(route.HomeRegions) > 0
	}
	if len(route.HomeRegions) == 0 {
		return account.HomeRegions, true
	}
	both := make([]string, 0, len(route.HomeRegions))
	for _, region := range route.HomeRegions {
		if slices.Contains(account.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return both, true
}

// Accounts returns all client accounts. The slice must not be changed.
func (t *Table) Accounts() []Account { return t.accounts }
