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
	sameRegionDelay  = 500 * time.Microsecond
	otherRegionDelay = 12 * time.Millisecond // one-way delay between regions
)

// testFleet is a fleet of hosts in one process. It runs the real allotment types and
// tasks, passes messages in memory, and uses the clock of a synctest bubble.
type testFleet struct {
	t           testing.TB
	ctx         context.Context
	network     *fleettest.Network
	store       *store.Store
	hosts       []*testHost
	leaderships map[string]*testLeadership
	tasks       sync.WaitGroup

	mu       sync.Mutex // guards hosts, snapshot and changes of leaders
	snapshot *configuration.Snapshot
}

// testLeadership holds the leader of one failure domain.
type testLeadership struct {
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
	loads    []holder.UpstreamUsage
}

// hostLeadership is one host's view of the leadership of its domain.
type hostLeadership struct {
	domain *testLeadership
	self   host.Identity
}

func (l hostLeadership) Current() (host.Identity, uint64, bool) {
	l.domain.mu.Lock()
	defer l.domain.mu.Unlock()
	return l.domain.leader, l.domain.epoch, l.domain.epoch != 0
}

func (l hostLeadership) Leading() (uint64, bool) {
	l.domain.mu.Lock()
	defer l.domain.mu.Unlock()
	return l.domain.epoch, l.domain.leader.SameProcess(l.self)
}

// testView is a host.View that lists the running hosts.
type testView struct {
	fleet *testFleet
	self  host.Identity
}

func (v testView) Self() host.Identity { return v.self }

func (v testView) Members() []host.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var members []host.Member
	for _, h := range v.fleet.hosts {
		if !h.id.SameProcess(v.self) {
			members = append(members, host.Member{Identity: h.id, State: host.StateLive})
		}
	}
	return members
}

// delayingCaller adds the delay of a round trip between regions to calls.
type delayingCaller struct {
	*fleettest.Node
	fleet *testFleet
}

func (c delayingCaller) Call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	if c.fleet.regionOf(addr) != c.Self().Region {
		time.Sleep(2 * (otherRegionDelay - sameRegionDelay))
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

// newFleet starts one host for each element of domains, which is the number of its
// failure domain. Domains d0 and d1 are in region r0, d2 and d3 in r1 and so on.
func newFleet(ctx context.Context, t testing.TB, domains []int, accounts []configuration.ClientAccount) *testFleet {
	f := &testFleet{t: t, ctx: ctx, network: fleettest.New(1), store: store.New(), leaderships: map[string]*testLeadership{}}
	f.network.SetFaults(fleettest.Faults{MinDelay: sameRegionDelay, MaxDelay: sameRegionDelay})
	c := &configuration.Configuration{ClientAccounts: accounts}
	for _, d := range domains {
		name := domainName(d)
		if f.leaderships[name] == nil {
			f.leaderships[name] = &testLeadership{}
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

// start starts a process of host i. An earlier process of this host must have been
// stopped.
func (f *testFleet) start(i, domain int) *testHost {
	id := host.Identity{
		ID: host.ID(fmt.Sprintf("h%d", i)), Incarnation: host.NewIncarnation(time.Now()),
		FailureDomain: domainName(domain), Region: regionName(domain),
		Fleet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
	}
	ctx, cancel := context.WithCancel(f.ctx)
	h := &testHost{fleet: f, id: id, cancel: cancel, node: f.network.Join(id)}
	leadership := hostLeadership{domain: f.leaderships[id.FailureDomain], self: id}
	members := testView{fleet: f, self: id}
	messages := delayingCaller{Node: h.node, fleet: f}
	h.leader = leader.New(leader.Options{
		Self: id, Store: f.store.Client(store.Caller{Host: string(id.ID), FailureDomain: id.FailureDomain}),
		View: members, Caller: messages, Registry: h.node, Leadership: leadership, Snapshot: f.current,
	})
	h.admitter = admission.New(admission.Options{
		View: members, Caller: messages, Registry: h.node, Leadership: leadership, Lenders: h.leader.Lenders,
	})
	h.holder = holder.New(holder.Options{
		Self: id, Caller: messages, Leadership: leadership, LocalLeader: h.leader, Accounts: h.admitter,
		Upstreams: func() []holder.UpstreamUsage { return h.loads },
		View:      members, Registry: h.node,
	})
	h.configure()
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	reportProgress := func() {}
	f.tasks.Go(func() { _ = h.leader.Run(ctx, reportProgress) })
	f.tasks.Go(func() { _ = h.holder.Run(ctx, reportProgress) })
	f.tasks.Go(func() { _ = h.admitter.Run(ctx, reportProgress) })
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

// configure changes the configuration and applies it to all hosts.
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

// elect makes the first running host of a domain its leader. The epoch rises if the
// leader changes.
func (f *testFleet) elect(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	domainLeadership := f.leaderships[domain]
	domainLeadership.mu.Lock()
	defer domainLeadership.mu.Unlock()
	for _, h := range f.hosts {
		if h.id.FailureDomain == domain {
			if !h.id.SameProcess(domainLeadership.leader) {
				domainLeadership.leader = h.id
				domainLeadership.epoch++
			}
			return
		}
	}
}

// kill stops a process without a graceful shutdown.
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

// stopGracefully returns the loans and shares of a host and stops its process.
func (f *testFleet) stopGracefully(h *testHost) {
	h.admitter.ReturnLoans(f.ctx)
	h.holder.Leave(f.ctx)
	h.leader.Leave(f.ctx)
	f.kill(h)
}

// runningHosts returns the running hosts.
func (f *testFleet) runningHosts() []*testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*testHost(nil), f.hosts...)
}

// requestCounts counts the requests of one account. It compares each admission and
// refusal with a reference: a single token bucket for the whole fleet that starts
// full.
type requestCounts struct {
	account           string
	rate              float64
	burst             float64
	mu                sync.Mutex
	referenceTokens   float64
	refilledAt        time.Time
	sent              int
	admitted          int
	refused           int
	refusedWithinRate int
	admittedOverRate  int // admissions beyond the rate and burst
	notReady          int
}

func newRequestCounts(a configuration.ClientAccount) *requestCounts {
	return &requestCounts{account: a.Name, rate: a.Rate, burst: float64(a.Burst), referenceTokens: float64(a.Burst), refilledAt: time.Now()}
}

// refillReference adds the tokens accrued since the last call to the reference. The
// caller holds mu.
func (g *requestCounts) refillReference() {
	now := time.Now()
	g.referenceTokens = math.Min(g.burst, g.referenceTokens+g.rate*now.Sub(g.refilledAt).Seconds())
	g.refilledAt = now
}

func (g *requestCounts) record(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refillReference()
	g.sent++
	if err == nil {
		g.admitted++
		g.referenceTokens--
		if g.referenceTokens < -1e-6 {
			g.admittedOverRate++
		}
		return
	}
	g.refused++
	if g.referenceTokens >= 1 {
		g.refusedWithinRate++
	}
	if _, ok := err.(*admission.NotReadyError); ok {
		g.notReady++
	}
}

// resetCounts starts a new measurement and keeps the tokens of the reference and
// admittedOverRate.
func (g *requestCounts) resetCounts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refillReference()
	g.sent, g.admitted, g.refused, g.refusedWithinRate, g.notReady = 0, 0, 0, 0, 0
}

func (g *requestCounts) refusedWithinRateShare() float64 {
	return float64(g.refusedWithinRate) / math.Max(float64(g.sent), 1)
}

// sendLoad sends requests of an account as a Poisson process for the duration. pick
// chooses the host of each request.
func (f *testFleet) sendLoad(g *requestCounts, perSecond float64, duration time.Duration, seed uint64, pick func(*rand.Rand, time.Duration, []*testHost) *testHost) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var calls sync.WaitGroup
	for time.Since(start) < duration {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		hosts := f.runningHosts()
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

func firstHost(_ *rand.Rand, _ time.Duration, hosts []*testHost) *testHost { return hosts[0] }

func randomHost(r *rand.Rand, _ time.Duration, hosts []*testHost) *testHost {
	return hosts[r.IntN(len(hosts))]
}

// rotatingHost sends all requests to one host for two seconds, then to the next.
func rotatingHost(_ *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
	return hosts[int(t/(2*time.Second))%len(hosts)]
}
