package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testPolicy() Policy {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}, Timeout: time.Second}
	}
	return Policy{
		Version:  7,
		Services: []Service{{Name: "s"}},
		Routes:   []Route{route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/")},
		Accounts: []Account{{Name: "clinic", Keys: []string{"k1", "k2"}, HomeRegions: []string{"east", "west"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(testPolicy())
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a/": "short"} {
		require.Equal(t, want, table.Route("h", path).Name, path)
	}
	require.Equal(t, "other", table.Route("i:8080", "/a/b/x").Name)
	for _, path := range []string{"/a", "/", "/b/", ""} {
		require.Nil(t, table.Route("h", path), path)
	}
	require.Nil(t, table.Route("j", "/a/x"))
	require.Equal(t, 1, table.Route("h", "/a/x").MaxAttempts)
}

func TestAccountByKey(t *testing.T) {
	table := NewTable(testPolicy())
	require.Equal(t, "clinic", table.AccountByKey("k2").Name)
	require.Nil(t, table.AccountByKey("k3"))
	require.Nil(t, table.AccountByKey(""))
}

// An invalid route concerns no other entry. Its requests are refused: they don't go where a
// shorter prefix leads.
func TestInvalidRouteConcernsItsRequestsOnly(t *testing.T) {
	for name, change := range map[string]func(*Policy){
		"no service":      func(policy *Policy) { policy.Routes[1].Targets = nil },
		"unknown service": func(policy *Policy) { policy.Routes[1].Targets[0].Service = "x" },
		"timeout":         func(policy *Policy) { policy.Routes[1].Timeout = 0 },
		"weight":          func(policy *Policy) { policy.Routes[1].Targets[0].Weight = -1 },
	} {
		policy := testPolicy()
		change(&policy)
		table := NewTable(policy)
		require.Len(t, table.Problems(), 1, name)
		require.Equal(t, Version(7), table.Problems()[0].Version)
		require.Equal(t, "route long", table.Problems()[0].Item)
		require.NotEmpty(t, table.Route("h", "/a/b/x").Unusable, name)
		require.Empty(t, table.Route("h", "/a/x").Unusable, name)
		require.NotNil(t, table.AccountByKey("k1"))
	}
}

func TestRouteWithoutAUsablePrefixIsLeftOut(t *testing.T) {
	policy := testPolicy()
	policy.Routes[1].Prefix = "/a"
	table := NewTable(policy)
	require.Len(t, table.Problems(), 1)
	require.Equal(t, "short", table.Route("h", "/a/b/x").Name)
}
