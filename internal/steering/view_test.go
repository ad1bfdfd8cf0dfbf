package steering

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
	"peridotrail/internal/problem"

	"github.com/stretchr/testify/require"
)

var testNow = time.Unix(1_000_000, 0)

func testSnapshot(change func(*configuration.Configuration)) *configuration.Snapshot {
	c := &configuration.Configuration{
		FailureDomains: []configuration.FailureDomain{
			{Name: "toronto", Region: "ontario"}, {Name: "hamilton", Region: "ontario"},
			{Name: "detroit", Region: "michigan"}, {Name: "lansing", Region: "michigan"},
		},
		Services: []configuration.Service{{Name: "booking-desk"}},
		ClientBlocks: []configuration.ClientBlock{
			{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Domains: []string{"detroit"}},
			{Prefix: netip.MustParsePrefix("10.9.0.0/16"), Domains: []string{"lansing", "toronto"}},
		},
	}
	if change != nil {
		change(c)
	}
	return configuration.NewSnapshot(7, c)
}

func testHosts() []Host {
	var hosts []Host
	for i, domain := range []string{"toronto", "toronto", "hamilton", "detroit", "detroit", "lansing"} {
		region := map[bool]string{true: "ontario", false: "michigan"}[i < 3]
		id := host.Identity{ID: host.ID(fmt.Sprint(domain, "-", i)), FailureDomain: domain, Region: region}
		id.Entry = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+i))
		hosts = append(hosts, Host{Identity: id, FreeSlots: map[string]int{"booking-desk": 4}})
	}
	return hosts
}

func testView(hosts []Host, shifts []Progress, change func(*configuration.Configuration)) *View {
	s := testSnapshot(change)
	return NewView(s, NewTable(s.ClientBlocks), hosts[0].Identity, hosts, shifts)
}

// domainsOf returns the failure domains of a look-up without adjacent repetition.
func domainsOf(v *View, client string) []string {
	var domains []string
	for _, h := range v.Lookup(netip.MustParseAddr(client), "booking-desk", testNow) {
		if len(domains) == 0 || domains[len(domains)-1] != h.FailureDomain {
			domains = append(domains, h.FailureDomain)
		}
	}
	return domains
}

func TestLookupOrdersDomainsByDistance(t *testing.T) {
	v := testView(testHosts(), nil, nil)
	require.Equal(t, []string{"detroit", "lansing", "hamilton", "toronto"}, domainsOf(v, "10.1.2.3"))
	require.Equal(t, []string{"lansing", "toronto", "detroit", "hamilton"}, domainsOf(v, "10.9.2.3"))
	require.Equal(t, []string{"toronto", "hamilton", "detroit", "lansing"}, domainsOf(v, "192.0.2.1"), "without a client block the domain of the host that handles the look-up is first")
}

func TestLookupExcludesLeavingGoneAndDrainedHosts(t *testing.T) {
	drain := func(kind configuration.DrainKind, target string, start time.Time) func(*configuration.Configuration) {
		return func(c *configuration.Configuration) {
			c.Drains = []configuration.Drain{{Name: "d", Kind: kind, Target: target, Start: start}}
		}
	}
	all := []string{"detroit", "lansing", "hamilton", "toronto"}
	for name, c := range map[string]struct {
		state  host.State
		change func(*configuration.Configuration)
		want   []string
	}{
		"leaving":       {host.StateLeaving, nil, []string{"detroit", "hamilton", "toronto"}},
		"gone":          {host.StateGone, nil, []string{"detroit", "hamilton", "toronto"}},
		"suspect":       {host.StateSuspect, nil, all},
		"host drain":    {host.StateLive, drain(configuration.DrainHost, "lansing-5", time.Time{}), []string{"detroit", "hamilton", "toronto"}},
		"domain drain":  {host.StateLive, drain(configuration.DrainFailureDomain, "detroit", time.Time{}), all[1:]},
		"region drain":  {host.StateLive, drain(configuration.DrainRegion, "michigan", testNow), all[2:]},
		"future drain":  {host.StateLive, drain(configuration.DrainRegion, "michigan", testNow.Add(1)), all},
		"another drain": {host.StateLive, drain(configuration.DrainUpstream, "u1", time.Time{}), all},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := testHosts()
			hosts[5].State = c.state
			require.Equal(t, c.want, domainsOf(testView(hosts, nil, c.change), "10.1.2.3"))
		})
	}
}

func TestLookupSpreadsBlocksAndKeepsEachBlockInPlace(t *testing.T) {
	hosts := testHosts()
	v := testView(hosts, nil, nil)
	without := testView(append(hosts[:4:4], hosts[5]), nil, nil)
	first := map[host.ID]int{}
	for i := range 1000 {
		client := netip.AddrFrom4([4]byte{192, 0, byte(i), byte(i >> 8)})
		before := v.Lookup(client, "booking-desk", testNow)[0]
		after := without.Lookup(client, "booking-desk", testNow)[0]
		require.Equal(t, before, after, "removing a host of another domain must not move a block")
		first[before.ID]++
	}
	require.Len(t, first, 2)
	for id, n := range first {
		require.Greater(t, n, 100, id)
	}
}

func TestLookupPrefersHostsWithFreeCapacity(t *testing.T) {
	hosts := testHosts()
	hosts[0].FreeSlots = nil
	hosts[1].FreeSlots = map[string]int{"booking-desk": 60}
	v := testView(hosts, nil, nil)
	first := map[host.ID]int{}
	for i := range 1000 {
		first[v.Lookup(netip.AddrFrom4([4]byte{192, 0, byte(i), byte(i >> 8)}), "booking-desk", testNow)[0].ID]++
	}
	require.Greater(t, first["toronto-1"], 3*first["toronto-0"])
	require.Positive(t, first["toronto-0"])
}

func TestLookupMovesTheShareOfAShift(t *testing.T) {
	moved := func(share float64) map[netip.Addr]bool {
		shifts := []Progress{{Name: "s", From: "detroit", To: "toronto", Base: 0.25, Moved: share}}
		v := testView(testHosts(), shifts, func(c *configuration.Configuration) {
			c.ClientBlocks = nil
			for i := range 2000 {
				prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{20, byte(i >> 8), byte(i), 0}), 24)
				c.ClientBlocks = append(c.ClientBlocks, configuration.ClientBlock{Prefix: prefix, Domains: []string{"detroit"}})
			}
		})
		set := map[netip.Addr]bool{}
		for i := range 2000 {
			client := netip.AddrFrom4([4]byte{20, byte(i >> 8), byte(i), 9})
			if v.Lookup(client, "booking-desk", testNow)[0].FailureDomain == "toronto" {
				set[client] = true
			}
		}
		return set
	}
	few, more := moved(0.1), moved(0.4)
	require.Empty(t, moved(0))
	require.InDelta(t, 200, len(few), 50)
	require.InDelta(t, 800, len(more), 80)
	for client := range few {
		require.Contains(t, more, client, "a larger share contains the smaller one")
	}
}

func TestServiceHandlesValidAndInvalidRequests(t *testing.T) {
	snapshot := testSnapshot(nil)
	current := (*configuration.Snapshot)(nil)
	hosts := testHosts()
	s := New(Options{
		Self: hosts[0].Identity, Configuration: func() *configuration.Snapshot { return current },
		Hosts: func() []Host { return hosts }, Documents: func(string) []distribution.Document { return nil },
	})
	get := func(method, target string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		s.Refresh()
		s.ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
		return recorder
	}
	require.Equal(t, 503, get("GET", "/v1/entry-hosts?service=booking-desk").Code)
	current = snapshot
	recorder := get("GET", "/v1/entry-hosts?service=booking-desk&client=10.1.2.3")
	require.Equal(t, 200, recorder.Code)
	require.Equal(t, "max-age=10", recorder.Header().Get("Cache-Control"))
	var response api.LookupResponse
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
	require.Equal(t, configuration.Revision(7), response.Revision)
	require.Equal(t, "detroit", response.Hosts[0].FailureDomain)
	require.True(t, response.Hosts[0].Address.IsValid())
	for target, want := range map[string]problem.Type{
		"/v1/entry-hosts":                                 problem.TypeMalformed,
		"/v1/entry-hosts?service=none":                    problem.TypeNotFound,
		"/v1/entry-hosts?service=booking-desk&client=me":  problem.TypeMalformed,
		"/v1/entry-hosts?service=booking-desk&client=1.2": problem.TypeMalformed,
	} {
		var refusal problem.Problem
		require.NoError(t, json.Unmarshal(get("GET", target).Body.Bytes(), &refusal))
		require.Equal(t, want, refusal.Type, target)
	}
	require.Equal(t, 400, get("POST", "/v1/entry-hosts?service=booking-desk").Code)
	for i := range hosts {
		hosts[i].State = host.StateLeaving
	}
	require.Equal(t, 503, get("GET", "/v1/entry-hosts?service=booking-desk").Code)
}

func BenchmarkLookup(b *testing.B) {
	v := testView(testHosts(), nil, nil)
	client := netip.MustParseAddr("10.9.2.3")
	b.ReportAllocs()
	for b.Loop() {
		v.Lookup(client, "booking-desk", testNow)
	}
}
