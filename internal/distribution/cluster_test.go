package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// cluster runs hosts on an in-memory network with a fake store.
type cluster struct {
	t       *testing.T
	store   *store.Store
	network *fleettest.Network
	hosts   map[host.ID]*node

	mu      sync.Mutex
	leaders map[string]leader // by failure domain
	states  map[host.ID]host.State
	stops   map[host.ID]func() // of the running processes
}

type leader struct {
	id    host.ID
	epoch uint64
}

// node is one host. It implements host.View and Leadership.
type node struct {
	cluster  *cluster
	identity host.Identity
	inForce  *configuration.InForce
	*Distributor
}

func (n *node) Self() host.Identity { return n.identity }

func (n *node) Members() []host.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var members []host.Member
	for id, other := range n.cluster.hosts {
		if id != n.identity.ID {
			members = append(members, host.Member{Identity: other.identity, State: n.cluster.states[id]})
		}
	}
	return members
}

func (n *node) Leading() (uint64, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	l := n.cluster.leaders[n.identity.FailureDomain]
	return l.epoch, l.id == n.identity.ID
}

// newCluster starts perDomain hosts in each failure domain; the first of each leads.
// It must be called in a synctest bubble.
func newCluster(t *testing.T, perDomain int, domains ...string) *cluster {
	c := &cluster{
		t: t, store: store.New(), network: fleettest.New(1),
		hosts: map[host.ID]*node{}, leaders: map[string]leader{}, states: map[host.ID]host.State{}, stops: map[host.ID]func(){},
	}
	c.network.SetFaults(fleettest.Faults{MinDelay: time.Millisecond, MaxDelay: 12 * time.Millisecond})
	for _, domain := range domains {
		for i := range perDomain {
			id := host.ID(fmt.Sprintf("%s-%d", domain, i))
			if i == 0 {
				c.setLeader(domain, id, 1)
			}
			c.start(id, domain, 1)
		}
	}
	return c
}

// start runs one process of a host until the test ends. It replaces an earlier process
// of the same host.
func (c *cluster) start(id host.ID, domain string, incarnation host.Incarnation) *node {
	c.mu.Lock()
	port := uint16(1000 + len(c.hosts))
	if old := c.hosts[id]; old != nil {
		port = old.identity.Fleet.Port()
	}
	identity := host.Identity{
		ID: id, Incarnation: incarnation, FailureDomain: domain, Region: "r",
		Fleet: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
	}
	n := &node{cluster: c, identity: identity, inForce: configuration.NewInForce()}
	c.hosts[id] = n
	c.mu.Unlock()
	joined := c.network.Join(identity)
	n.Distributor = New(Config{
		Self: identity, Store: c.store.Client(store.Caller{Host: string(id), FailureDomain: domain}),
		Caller: joined, Registry: joined, View: n, Leadership: n, InForce: n.inForce,
		StaleKeys: StaleKeys{Refuse: true, After: time.Minute},
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	c.stops[id] = stop
	c.t.Cleanup(stop)
	return n
}

// kill stops the process of a host without a graceful shutdown.
func (c *cluster) kill(id host.ID) {
	c.network.Leave(c.hosts[id].identity.Fleet)
	c.stops[id]()
}

func (c *cluster) setLeader(domain string, id host.ID, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[domain] = leader{id, epoch}
}

// commit commits a configuration with the given regions, modified by change, as the
// next revision.
func (c *cluster) commit(change func(*configuration.Configuration), regions ...string) configuration.Revision {
	r := configuration.NewRepository(configuration.RepositoryConfig{Store: c.store})
	stored, err := r.Load(c.t.Context())
	require.NoError(c.t, err)
	base := configuration.Revision(0)
	if stored != nil {
		base = stored.Revision
	}
	next := &configuration.Configuration{}
	for _, name := range regions {
		next.Regions = append(next.Regions, configuration.Region{Name: name})
	}
	if change != nil {
		change(next)
	}
	revision, err := r.Commit(c.t.Context(), base, next)
	require.NoError(c.t, err)
	return revision
}

// hostsWithout returns the hosts that do not have revision in force.
func (c *cluster) hostsWithout(revision configuration.Revision) []host.ID {
	var behind []host.ID
	for id, n := range c.hosts {
		if n.inForce.Revision() != revision {
			behind = append(behind, id)
		}
	}
	return behind
}

// eventually fails the test unless condition becomes true within d. It returns the
// time that this took.
func (c *cluster) eventually(d time.Duration, condition func() bool, message string) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		require.LessOrEqual(c.t, time.Since(start), d, message)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// requireInForce fails the test unless revision is in force on all hosts within d.
func (c *cluster) requireInForce(revision configuration.Revision, d time.Duration) {
	c.t.Helper()
	took := c.eventually(d, func() bool { return len(c.hostsWithout(revision)) == 0 }, "not in force everywhere")
	c.t.Logf("revision %d in force on %d hosts after %v", revision, len(c.hosts), took)
}

func (c *cluster) confirmation(domain string) Confirmation {
	entry, err := c.store.Get(c.t.Context(), ConfirmationKey(domain))
	require.NoError(c.t, err)
	var confirmed Confirmation
	if entry.Exists() {
		require.NoError(c.t, json.Unmarshal(entry.Value, &confirmed))
	}
	return confirmed
}

func (c *cluster) write(key, value string) kvstore.Entry {
	old, err := c.store.Get(c.t.Context(), key)
	require.NoError(c.t, err)
	entry, err := c.store.CompareAndSwap(c.t.Context(), kvstore.Write{Key: key, Value: []byte(value), Expected: old.Revision})
	require.NoError(c.t, err)
	return entry
}

// runWithVirtualClock runs a test in a synctest bubble, which has a virtual clock.
func runWithVirtualClock(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
