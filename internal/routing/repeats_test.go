package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Requests ran twice that a policy in between forbade to repeat. The rules must lead from any
// table to all that came into force after it, whatever the order of changes.
func TestRepeatRulesLeadToAllLaterPolicies(t *testing.T) {
	paths := []string{"/a/", "/a/b/", "/a/b/c/", "/d/"}
	rapid.Check(t, func(t *rapid.T) {
		var tables []*Table
		for version := range rapid.IntRange(1, 8).Draw(t, "policies") {
			policy := Policy{Version: Version(version), Services: []Service{{Name: "desk"}}}
			for _, prefix := range paths {
				if rapid.Bool().Draw(t, "present") {
					policy.Routes = append(policy.Routes, Route{Name: prefix, Host: "h.example", Prefix: prefix, Idempotent: rapid.Bool().Draw(t, "idempotent")})
				}
			}
			table := NewTable(policy)
			if version > 0 {
				table.Follow(tables[version-1])
			}
			tables = append(tables, table)
		}
		from := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
		for _, path := range append(paths, "/other") {
			expected, found := false, false
			for _, table := range tables[from:] {
				route := table.Route("h.example:80", path)
				expected = expected || route != nil && !route.Idempotent
			}
			for rules := tables[from].RepeatRules(); rules != nil; rules = rules.Next() {
				found = found || rules.Forbids("h.example:80", path)
			}
			require.Equal(t, expected, found, path)
		}
	})
}

// Policies that allow the same repeats share their rules, so a request that lasts long holds no
// memory for each of them.
func TestEqualRepeatRulesAreShared(t *testing.T) {
	first := NewTable(Policy{Version: 1, Routes: []Route{{Host: "h", Prefix: "/a/", MaxAttempts: 1}}})
	second := NewTable(Policy{Version: 2, Routes: []Route{{Host: "h", Prefix: "/a/", MaxAttempts: 3}}})
	second.Follow(first)
	require.Same(t, first.RepeatRules(), second.RepeatRules())
	require.Nil(t, first.RepeatRules().Next())
}
