package membership

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "25")
	}
	os.Exit(m.Run())
}

// Incarnations are as far apart as those of processes that start at different times.
const (
	firstIncarnation host.Incarnation = 1_700_000_000_000_000_000
	restarted        host.Incarnation = 1_700_000_900_000_000_000
)

// cluster runs services on an in-memory network.
type cluster struct {
	t        *testing.T
	network  *fleettest.Network
	services map[host.ID]*Service
	stops    map[host.ID]func()
	leaders  map[string]Leadership // by domain
	seeds    []netip.AddrPort
	store    kvstore.Store
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t:        t,
		network:  fleettest.New(1),
		services: map[host.ID]*Service{},
		stops:    map[host.ID]func(){},
		leaders:  map[string]Leadership{},
	}
}

func identityOf(domain string, n int, incarnation host.Incarnation) host.Identity {
	number := n
	for _, c := range domain {
		number += int(c) * 1000
	}
	addr := netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
	return host.Identity{
		ID:            host.ID(fmt.Sprintf("%s-%03d", domain, n)),
		Incarnation:   incarnation,
		FailureDomain: domain,
		Fleet:         netip.AddrPortFrom(addr, 7000),
		Entry:         netip.AddrPortFrom(addr, 8000),
	}
}

func (c *cluster) start(identity host.Identity) *Service {
	node := c.network.Join(identity)
	leader := c.leaders[identity.FailureDomain]
	service := New(Options{
		Self: identity, Caller: node, Seeds: c.seeds, Store: c.store,
		Leadership: func() Leadership { return leader },
	})
	service.Register(node)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx, func() {})
	}()
	c.services[identity.ID] = service
	c.stops[identity.ID] = func() {
		c.network.Leave(identity.Fleet)
		cancel()
		<-done
		delete(c.services, identity.ID)
	}
	return service
}

func (c *cluster) startDomain(domain string, size int, leader bool) {
	if leader {
		c.leaders[domain] = Leadership{Leader: identityOf(domain, 0, 1).ID, Epoch: 1}
	}
	for n := range size {
		identity := identityOf(domain, n, firstIncarnation+host.Incarnation(n)*100_000_007)
		c.start(identity)
		if len(c.seeds) == 0 || c.seeds[len(c.seeds)-1].Addr().As4()[2] != identity.Fleet.Addr().As4()[2] {
			c.seeds = append(c.seeds, identity.Fleet)
		}
	}
}

func (c *cluster) stopAll() {
	for _, stop := range c.stops {
		stop()
	}
}

func (c *cluster) states(at host.ID) map[host.State]int {
	counts := map[host.State]int{}
	for _, m := range c.services[at].Members() {
		counts[m.State]++
	}
	return counts
}

// requireStates checks the number of members in each state at every host.
func (c *cluster) requireStates(want map[host.State]int, message string) {
	c.t.Helper()
	for id := range c.services {
		require.Equal(c.t, want, c.states(id), "%s: at %s", message, id)
	}
}

func TestConvergence(t *testing.T) {
	cases := []struct {
		name    string
		domains map[string]int
		leader  bool
	}{
		{name: "one small domain", domains: map[string]int{"a": 3}, leader: true},
		{name: "without a leader", domains: map[string]int{"a": 3, "b": 2}},
		{name: "current production size", domains: map[string]int{"a": 2, "b": 2, "c": 1, "d": 1, "e": 2, "f": 2}, leader: true},
		{name: "large domains", domains: map[string]int{"a": 20, "b": 15, "c": 1}, leader: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.stopAll()
				total := 0
				for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
					if size := test.domains[domain]; size > 0 {
						c.startDomain(domain, size, test.leader)
						total += size
					}
				}
				time.Sleep(30 * time.Second)
				c.requireStates(map[host.State]int{host.StateLive: total - 1}, "converged")
				time.Sleep(2 * time.Minute)
				c.requireStates(map[host.State]int{host.StateLive: total - 1}, "still converged")
				for id, service := range c.services {
					require.Len(t, service.View().LiveDomains(), len(test.domains), "at %s", id)
				}
			})
		})
	}
}

func TestDomainsFindEachOtherThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 11
		c := newCluster(t)
		defer c.stopAll()
		c.network.SetFaults(fleettest.Faults{MaxDelay: 400 * time.Millisecond})
		for n := range domains {
			c.startDomain(string(rune('a'+n)), 1, true)
			c.seeds = c.seeds[:1]
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		c.requireStates(map[host.State]int{host.StateLive: domains - 1}, "all domains")
	})
}

func TestKilledHost(t *testing.T) {
	for _, size := range []int{3, 15} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.stopAll()
				c.startDomain("a", size, true)
				c.startDomain("b", 2, true)
				time.Sleep(30 * time.Second)
				c.stops[identityOf("a", 1, 0).ID]()
				delete(c.stops, identityOf("a", 1, 0).ID)
				time.Sleep(10 * time.Second)
				c.requireStates(map[host.State]int{host.StateLive: size, host.StateSuspect: 1}, "suspect")
				time.Sleep(45 * time.Second)
				c.requireStates(map[host.State]int{host.StateLive: size, host.StateGone: 1}, "gone")
			})
		})
	}
}

func TestLeavingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startDomain("a", 12, true)
		c.startDomain("b", 2, true)
		time.Sleep(30 * time.Second)
		leaving := c.services[identityOf("a", 5, 0).ID]
		leaving.Leave(t.Context())
		time.Sleep(8 * time.Second)
		for id, service := range c.services {
			if id == leaving.Self().ID {
				continue
			}
			index := slices.IndexFunc(service.Members(), func(m host.Member) bool { return m.Identity.ID == leaving.Self().ID })
			require.Equal(t, host.StateLeaving, service.Members()[index].State, "at %s", id)
		}
	})
}

func TestRestartedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startDomain("a", 12, true)
		c.startDomain("b", 2, true)
		time.Sleep(30 * time.Second)
		old := identityOf("a", 5, 0)
		c.stops[old.ID]()
		c.start(identityOf("a", 5, restarted))
		time.Sleep(12 * time.Second)
		c.requireStates(map[host.State]int{host.StateLive: 13}, "restarted")
		for id, service := range c.services {
			for _, m := range service.Members() {
				if m.Identity.ID == old.ID {
					require.Equal(t, restarted, m.Identity.Incarnation, "at %s", id)
				}
			}
		}
	})
}

func TestPartitionOfDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		c.startDomain("a", 3, true)
		c.startDomain("b", 3, true)
		time.Sleep(20 * time.Second)
		c.network.Partition("a", "b")
		time.Sleep(10 * time.Minute)
		c.requireStates(map[host.State]int{host.StateLive: 2, host.StateSuspect: 3}, "partitioned")
		c.network.Heal("a", "b")
		time.Sleep(10 * time.Second)
		c.requireStates(map[host.State]int{host.StateLive: 5}, "healed")
	})
}

func TestStoreListIsOnlyAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		listed := store.New()
		first := identityOf("a", 0, 1)
		listed.SetHosts([]kvstore.HostRecord{
			{Name: string(first.ID), FailureDomain: "a", FleetAddress: first.Fleet.String()},
			{Name: "dead", FailureDomain: "a", FleetAddress: "10.9.9.9:7000"},
		})
		c.store = listed
		c.start(first)
		c.start(identityOf("a", 1, 1))
		c.start(identityOf("b", 2, 1))
		time.Sleep(time.Minute)
		c.requireStates(map[host.State]int{host.StateLive: 2}, "seeds from the store")
		listed.SetDown(true)
		time.Sleep(10 * time.Minute)
		c.requireStates(map[host.State]int{host.StateLive: 2}, "store down")
	})
}

func TestConvergenceAfterFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("long randomised run")
	}
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		loss := rapid.Float64Range(0, 0.3).Draw(r, "loss")
		size := rapid.IntRange(2, 12).Draw(r, "size")
		partition := rapid.Bool().Draw(r, "cut")
		restart := rapid.IntRange(0, size-1).Draw(r, "restart")
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.stopAll()
			c.network = fleettest.New(seed)
			c.network.SetFaults(fleettest.Faults{Loss: loss, Duplication: 0.1, MaxDelay: 300 * time.Millisecond})
			c.startDomain("a", size, true)
			c.startDomain("b", 3, true)
			time.Sleep(20 * time.Second)
			if partition {
				c.network.Partition("a", "b")
			}
			id := identityOf("a", restart, 0).ID
			c.stops[id]()
			time.Sleep(10 * time.Second)
			c.start(identityOf("a", restart, restarted))
			time.Sleep(10 * time.Second)
			c.network.Heal("a", "b")
			c.network.SetFaults(fleettest.Faults{})
			time.Sleep(40 * time.Second)
			c.requireStates(map[host.State]int{host.StateLive: size + 2}, "after the faults end")
		})
	})
}
