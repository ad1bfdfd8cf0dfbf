package routing

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
)

// RepeatRules tells which requests may run more than once under a policy, and leads to the rules of
// the policies that were in force after it. A request that refers to the rules from its arrival
// can so be checked against each of them, without keeping the policies themselves. It is
// safe for concurrent use.
type RepeatRules struct {
	routes map[string][]repeatRule // by host name, longest prefix first
	next   atomic.Pointer[RepeatRules]
}

// repeatRule is what a RepeatRules keeps of a route.
type repeatRule struct {
	prefix  string
	allowed bool
}

func newRepeatRules(routes map[string][]*Route) *RepeatRules {
	r := &RepeatRules{routes: make(map[string][]repeatRule, len(routes))}
	for host, each := range routes {
		for _, route := range each {
			r.routes[host] = append(r.routes[host], repeatRule{route.Prefix, route.Idempotent})
		}
	}
	return r
}

// Forbids reports whether a request may run at most once under the policy. It doesn't if no route
// matches: the request is not sent then. host may include a port.
func (r *RepeatRules) Forbids(host, path string) bool {
	for _, rule := range r.routes[hostName(host)] {
		if strings.HasPrefix(path, rule.prefix) {
			return !rule.allowed
		}
	}
	return false
}

// Next returns the rules that came after these, nil if these are still in force.
func (r *RepeatRules) Next() *RepeatRules { return r.next.Load() }

// RepeatRules returns the rules of the policy.
func (t *Table) RepeatRules() *RepeatRules { return t.repeats }

// Follow records that the policy comes into force after another one. It must be called before the
// table is used, once for each table before. Equal rules are shared.
func (t *Table) Follow(before *Table) {
	if maps.EqualFunc(before.repeats.routes, t.repeats.routes, slices.Equal) {
		t.repeats = before.repeats
		return
	}
	before.repeats.next.Store(t.repeats)
}
