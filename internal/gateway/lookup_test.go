package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/catalog"
	"peridotrail/internal/routing"
)

// hostsOf returns hosts h0, h1 and so on, one in each of the failure domains.
func hostsOf(domains ...string) []catalog.Host {
	regions := map[string]string{"w1": "west", "w2": "west", "e1": "east"}
	var hosts []catalog.Host
	for i, domain := range domains {
		hosts = append(hosts, catalog.Host{Name: fmt.Sprintf("h%d", i), EntryAddress: fmt.Sprintf("a%d", i), FailureDomain: domain, Region: regions[domain]})
	}
	return hosts
}

func TestNearHosts(t *testing.T) {
	all := hostsOf("w1", "w2", "e1", "w1")
	cases := []struct {
		name   string
		hosts  []catalog.Host
		lookup Lookup
		want   []string
	}{
		{"two in the domain", all, Lookup{Region: "west", FailureDomain: "w1"}, []string{"a0", "a3"}},
		{"one in the domain, more in the region", all, Lookup{Region: "west", FailureDomain: "w2"}, []string{"a0", "a1", "a3"}},
		{"one in the region", all, Lookup{Region: "east", FailureDomain: "e1"}, []string{"a2"}},
		{"none in the region", all, Lookup{Region: "north", FailureDomain: "n1"}, []string{}},
		{"none at all", nil, Lookup{Region: "west", FailureDomain: "w1"}, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.ElementsMatch(t, c.want, entryAddresses(nearHosts(c.hosts, c.lookup))) })
	}
}

// Look-ups of callers whose region had no known host named the hosts of all regions, whatever the homes of the name.
func TestFarHostsAreInHomesOfAllRoutesOfTheName(t *testing.T) {
	all := hostsOf("w1", "w2", "e1", "w1")
	west, east, north := []string{"west"}, []string{"east"}, []string{"north"}
	const outdated = "the policy was last proved current long ago"
	cases := []struct {
		name   string
		routes [][]string // homes of the routes of the name
		doubt  string
		want   []string
	}{
		{"no homes", [][]string{nil, nil}, "", []string{"a0", "a1", "a2", "a3"}},
		{"no homes and an outdated policy", [][]string{nil}, outdated, []string{"a0", "a1", "a2", "a3"}},
		{"one home", [][]string{west}, "", []string{"a0", "a1", "a3"}},
		{"one home and an outdated policy", [][]string{west}, outdated, []string{}},
		{"two homes", [][]string{{"north", "east"}}, "", []string{"a2"}},
		{"a route with a home and one without", [][]string{nil, east}, "", []string{"a2"}},
		{"routes with a common home", [][]string{{"west", "east"}, east}, "", []string{"a2"}},
		{"routes without a common home", [][]string{west, east}, "", []string{}},
		{"a home without hosts", [][]string{north}, "", []string{}},
		{"a home without hosts and a route without a home", [][]string{north, nil}, "", []string{}},
		{"an unknown name", nil, "", []string{"a0", "a1", "a2", "a3"}},
		{"an unknown name and an outdated policy", nil, outdated, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			policy := routing.Policy{Version: 1}
			for i, homes := range c.routes {
				policy.Routes = append(policy.Routes, routing.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), HomeRegions: homes})
			}
			name := nameHomes{doubt: c.doubt}
			name.homes, name.known = routing.NewTable(policy).HomesOfName("h:443")
			far, refusal := farHosts(all, name)
			require.ElementsMatch(t, c.want, entryAddresses(far))
			require.Equal(t, len(far) == 0, refusal != "")
		})
	}
}
