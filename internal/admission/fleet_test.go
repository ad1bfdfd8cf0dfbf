package admission_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"peridotrail/internal/admission"
	"peridotrail/internal/allotment/holder"
	"peridotrail/internal/allotment/leader"
	"peridotrail/internal/configuration"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
)

const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 12 * time.Millisecond // between regions, one way
)

// testFleet is a fleet of hosts in one process, with real aggregates and duties,
// messages in memory, and the clock of a synctest bubble.
type testFleet struct {
	t       testing.TB
	ctx     context.Context
	network *fleettest.Network
	store   *store.Store
	hosts   []*testHost
	leads   map[string]*testLead
	work    sync.WaitGroup

	mu       sync.Mutex
	snapshot *configuration.Snapshot
}

// testLead names the leader of one failure domain.
type testLead struct {
	mu     sync.Mutex
	leader host.Identity
	epoch  uint64
}

type testHost struct {
	fleet    *testFleet
	id       host.Identity
	cancel   context.CancelFunc
	admitter *admission.Admitter
	holder   *holder.Holder
	leader   *leader.Leader
	node     *fleettest.Node
	loads    []holder.UpstreamLoad
}

// leadership is one host's view of its domain's leadership.
type leadership struct {
	lead *testLead
	self host.Identity
}

func (l leadership) Current() (host.Identity, uint64, bool) {
	l.lead.mu.Lock()
	defer l.lead.mu.Unlock()
	return l.lead.leader, l.lead.epoch, l.lead.epoch != 0
}

func (l leadership) Leading() (uint64, bool) {
	l.lead.mu.Lock()
	defer l.lead.mu.Unlock()
	return l.lead.epoch, l.lead.leader.Same(l.self)
}

// view lists the running hosts.
type view struct {
	fleet *testFleet
	self  host.Identity
}

func (v view) Self() host.Identity { return v.self }

func (v view) Members() []host.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var members []host.Member
	for _, h := range v.fleet.hosts {
		if !h.id.Same(v.self) {
			members = append(members, host.Member{Identity: h.id, State: host.StateLive})
		}
	}
	return members
}

// caller adds the delay between regions.
type caller struct {
	*fleettest.Node
	fleet *testFleet
}

func (c caller) Call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	if c.fleet.regionOf(addr) != c.Self().Region {
		time.Sleep(2 * (farDelay - nearDelay))
	}
	return c.Node.Call(ctx, addr, kind, request, reply)
}

func (f *testFleet) regionOf(addr netip.AddrPort) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.id.Fleet == addr {
			return h.id.Region
		}
	}
	return ""
}

// newFleet starts hosts, named by their failure domain, with these accounts.
// Domains d0 and d1 are in region r0, d2 and d3 in r1 and so on.
func newFleet(ctx context.Context, t testing.TB, domains []int, accounts []configuration.ClientAccount) *testFleet {
	f := &testFleet{t: t, ctx: ctx, network: fleettest.New(1), store: store.New(), leads: map[string]*testLead{}}
	f.network.SetFaults(fleettest.Faults{MinDelay: nearDelay, MaxDelay: nearDelay})
	c := &configuration.Configuration{ClientAccounts: accounts}
	for _, d := range domains {
		name := domainName(d)
		if f.leads[name] == nil {
			f.leads[name] = &testLead{}
			c.FailureDomains = append(c.FailureDomains, configuration.FailureDomain{Name: name, Region: regionName(d)})
			c.Upstreams = append(c.Upstreams, configuration.Upstream{Name: "u-" + name, FailureDomain: name, Slots: 8, Connections: 360})
		}
	}
	f.snapshot = configuration.NewSnapshot(1, c)
	for i, d := range domains {
		f.start(i, d)
	}
	for _, h := range f.hosts {
		f.elect(h.id.FailureDomain)
	}
	return f
}

func domainName(d int) string { return fmt.Sprintf("d%d", d) }
func regionName(d int) string { return fmt.Sprintf("r%d", d/2) }

// start runs a process of host i; the former one of the same host must be stopped.
func (f *testFleet) start(i, domain int) *testHost {
	id := host.Identity{
		ID: host.ID(fmt.Sprintf("h%d", i)), Incarnation: host.NewIncarnation(time.Now()),
		FailureDomain: domainName(domain), Region: regionName(domain),
		Fleet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
	}
	ctx, cancel := context.WithCancel(f.ctx)
	h := &testHost{fleet: f, id: id, cancel: cancel, node: f.network.Join(id)}
	lead := leadership{lead: f.leads[id.FailureDomain], self: id}
	members := view{fleet: f, self: id}
	messages := caller{Node: h.node, fleet: f}
	h.leader = leader.New(leader.Options{
		Self: id, Store: f.store.Client(store.Caller{Host: string(id.ID), FailureDomain: id.FailureDomain}),
		View: members, Caller: messages, Registry: h.node, Leadership: lead, Snapshot: f.current,
	})
	h.admitter = admission.New(admission.Options{
		View: members, Caller: messages, Registry: h.node, Leadership: lead, Lenders: h.leader.Lenders,
	})
	h.holder = holder.New(holder.Options{
		Self: id, Caller: messages, Leadership: lead, Local: h.leader, Accounts: h.admitter,
		Upstreams: func() []holder.UpstreamLoad { return h.loads },
		View:      members, Registry: h.node,
	})
	h.configure()
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	idle := func() {}
	f.work.Go(func() { _ = h.leader.Run(ctx, idle) })
	f.work.Go(func() { _ = h.holder.Run(ctx, idle) })
	f.work.Go(func() { _ = h.admitter.Run(ctx, idle) })
	return h
}

func (h *testHost) configure() {
	bursts := map[string]float64{}
	for _, a := range h.fleet.current().ClientAccounts {
		bursts[a.Name] = float64(a.Burst)
	}
	h.admitter.Configure(bursts)
}

func (f *testFleet) current() *configuration.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// configure puts a changed configuration in force everywhere.
func (f *testFleet) configure(change func(*configuration.Configuration)) {
	f.mu.Lock()
	next := *f.snapshot.Configuration
	next.ClientAccounts = append([]configuration.ClientAccount(nil), next.ClientAccounts...)
	next.FailureDomains = append([]configuration.FailureDomain(nil), next.FailureDomains...)
	change(&next)
	f.snapshot = configuration.NewSnapshot(f.snapshot.Revision+1, &next)
	hosts := append([]*testHost(nil), f.hosts...)
	f.mu.Unlock()
	for _, h := range hosts {
		h.configure()
	}
}

// elect makes the first running host of a domain its leader, unless it is already.
func (f *testFleet) elect(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lead := f.leads[domain]
	lead.mu.Lock()
	defer lead.mu.Unlock()
	for _, h := range f.hosts {
		if h.id.FailureDomain == domain {
			if !h.id.Same(lead.leader) {
				lead.leader = h.id
				lead.epoch++
			}
			return
		}
	}
}

// kill ends a process without warning.
func (f *testFleet) kill(h *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.cancel()
	f.network.Leave(h.id.Fleet)
	for i, other := range f.hosts {
		if other == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			return
		}
	}
}

// leave stops a process gracefully.
func (f *testFleet) leave(h *testHost) {
	h.admitter.Return(f.ctx)
	h.holder.Leave(f.ctx)
	h.leader.Leave(f.ctx)
	f.kill(h)
}

// live returns the running hosts.
func (f *testFleet) live() []*testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*testHost(nil), f.hosts...)
}

// figures counts the requests of one account. Its reference is one token bucket
// for the whole fleet that starts full.
type figures struct {
	account  string
	rate     float64
	burst    float64
	mu       sync.Mutex
	level    float64
	at       time.Time
	sent     int
	admitted int
	refused  int
	wrongful int
	broken   int // admissions beyond the rate and burst
	notReady int
}

func newFigures(a configuration.ClientAccount) *figures {
	return &figures{account: a.Name, rate: a.Rate, burst: float64(a.Burst), level: float64(a.Burst), at: time.Now()}
}

// fill advances the reference. The caller holds mu.
func (g *figures) fill() {
	now := time.Now()
	g.level = math.Min(g.burst, g.level+g.rate*now.Sub(g.at).Seconds())
	g.at = now
}

func (g *figures) record(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill()
	g.sent++
	if err == nil {
		g.admitted++
		g.level--
		if g.level < -1e-6 {
			g.broken++
		}
		return
	}
	g.refused++
	if g.level >= 1 {
		g.wrongful++
	}
	if _, ok := err.(*admission.NotReadyError); ok {
		g.notReady++
	}
}

// start begins a new measurement without forgetting the reference's level.
func (g *figures) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill()
	g.sent, g.admitted, g.refused, g.wrongful, g.notReady = 0, 0, 0, 0, 0
}

func (g *figures) wrongfulShare() float64 {
	return float64(g.wrongful) / math.Max(float64(g.sent), 1)
}

// load sends requests of an account with exponential gaps for the duration. Pick
// chooses the host of each request.
func (f *testFleet) load(g *figures, perSecond float64, duration time.Duration, seed uint64, pick func(*rand.Rand, time.Duration, []*testHost) *testHost) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var calls sync.WaitGroup
	for time.Since(start) < duration {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		hosts := f.live()
		if len(hosts) == 0 {
			continue
		}
		h := pick(random, time.Since(start), hosts)
		calls.Go(func() {
			g.record(h.admitter.Admit(f.ctx, g.account))
		})
	}
	calls.Wait()
}

func oneHost(_ *rand.Rand, _ time.Duration, hosts []*testHost) *testHost { return hosts[0] }

func spread(r *rand.Rand, _ time.Duration, hosts []*testHost) *testHost {
	return hosts[r.IntN(len(hosts))]
}

// moving sends all requests to one host for two seconds, then to the next.
func moving(_ *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
	return hosts[int(t/(2*time.Second))%len(hosts)]
}
