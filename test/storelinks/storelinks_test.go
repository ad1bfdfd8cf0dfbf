package storelinks

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/knownfailure"
	"peridotrail/platform/platformtest"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the first soak")
	soakSeeds  = flag.Int("soak.seeds", 1, "number of soaks")
	soakLength = flag.Duration("soak.length", 30*time.Second, "duration of one soak")
	// soakRollbacks lets the store return from a copy now and then; what hosts then miss is in KNOWN-RED.txt.
	soakRollbacks = flag.Bool("soak.rollbacks", false, "the store returns from older copies")
	soakHosts     = flag.Int("soak.hosts", 3, "hosts of each failure domain")
)

const (
	// probeInterval is the time between two probes of each kind at a host.
	probeInterval = 100 * time.Millisecond
	// settleTime is how long probes go on after the last version is due.
	settleTime = 1 * time.Second
	// recoveryTime lets hosts register again after their links were mended.
	recoveryTime = 4 * time.Second
	// registrationTime lets hosts learn of each other.
	registrationTime = 2 * time.Second
	// leaseTime is the lease of a host's registration in the store.
	leaseTime    = 3 * time.Second
	addedNumbers = 4 // of the routes and keys that are added and dropped
)

// trial is a fleet under probes.
type trial struct {
	*fleet
	judge
	homesJudge
	serial    atomic.Int64
	kept      sync.Map   // *keptCount by host name
	homeMoves *rand.Rand // nil: homes stay as they are
}

// keptCount counts requests on the route that all versions have.
type keptCount struct{ sent, served atomic.Int64 }

func startRun(t *testing.T, hosts int) *trial {
	t.Helper()
	r := &trial{fleet: startFleet(t, hosts)}
	r.put(policy{version: 1, moved: serviceA, routes: map[int]bool{}, keys: map[int]bool{}}, r.write)
	r.run()
	for _, h := range r.hosts {
		r.kept.Store(h.name, &keptCount{})
	}
	time.Sleep(registrationTime)
	return r
}

func (r *trial) write(text string) { r.store.Put(platformtest.PolicyKey, text) }

// probeAll sends probes to all hosts until ctx ends.
func (r *trial) probeAll(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	for _, h := range r.hosts {
		probes := map[string]func(n int) probe{
			"moved": func(int) probe { return probe{path: "/moved/x", key: baseKey} },
			"route": func(n int) probe {
				return probe{path: fmt.Sprintf("/added-%d/x", n%addedNumbers), key: baseKey, n: n % addedNumbers}
			},
			"key": func(n int) probe {
				return probe{path: "/kept/x", key: fmt.Sprintf("key-%d", n%addedNumbers), n: n % addedNumbers}
			},
			"kept": func(int) probe { return probe{path: "/kept/x", key: baseKey} },
		}
		for kind, next := range probes {
			callers.Go(func() { r.probe(ctx, h, kind, next) })
		}
	}
	return &callers
}

func (r *trial) probe(ctx context.Context, h *host, kind string, next func(n int) probe) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q, sent := next(n), time.Now()
		status, service := h.request(context.Background(), q.path, q.key, fmt.Sprintf("%016x", r.serial.Add(1)))
		r.judge.judge(h, q, sent, status, service)
		if kind == "kept" {
			count, _ := r.kept.Load(h.name)
			count.(*keptCount).sent.Add(1)
			if status == http.StatusOK {
				count.(*keptCount).served.Add(1)
			}
		}
	}
}

// change writes a next version that moves a route and adds or drops a route and a key.
func (r *trial) change(random *rand.Rand, bulk int) {
	p := r.newest().next()
	p.moved = []string{serviceA, serviceB}[p.version%2]
	p.bulk = bulk
	for _, all := range []map[int]bool{p.routes, p.keys} {
		if n := random.IntN(addedNumbers); all[n] {
			delete(all, n)
		} else {
			all[n] = true
		}
	}
	if r.homeMoves != nil {
		p.homes = movedHomes(r.homeMoves)
	}
	r.put(p, r.write)
}

// inDomain returns the hosts of a failure domain by name.
func (r *trial) inDomain(domain string) []*host {
	var hosts []*host
	for _, h := range r.hosts {
		if h.domain == domain {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *host) int { return slices.Compare([]byte(a.name), []byte(b.name)) })
	return hosts
}

// report logs the result and fails the test if a response was late.
func (r *trial) report() {
	r.t.Helper()
	late := r.lateHosts()
	r.t.Logf("%d responses judged, %d other refusals, %d hosts late, %d calls to the store", r.judged, r.other, len(late), r.store.Calls())
	for _, line := range late {
		r.t.Log(line)
	}
	if len(late) > 0 {
		for _, h := range r.hosts {
			if len(r.late[h.name]) > 0 {
				r.t.Logf("log of %s:\n%s", h.name, h.logLines())
				break
			}
		}
	}
	assert.Empty(r.t, late)
	r.reportHomes()
}

// Hosts that the store rejected kept an older policy beyond its delay, although other hosts had
// the newer one: they answered 404 and 401 for added routes and keys, and sent requests to the
// former service.
func TestPolicyIsInForceAtHostsThatTheStoreRejects(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts 24 processes")
	}
	r := startRun(t, 4)
	first := func(all []*host) []*host { return all[:1] }
	allButLast := func(all []*host) []*host { return all[:len(all)-1] }
	whole := func(all []*host) []*host { return all }
	cases := []struct {
		name     string
		rejected func([]*host) []*host
		fault    int // index into the faults of a round
	}{{"first", first, 0}, {"all but the last", allButLast, 0}, {"all", whole, 0}, {"first", first, 1}, {"all but the last", allButLast, 1}, {"all", whole, 1}}
	random := rand.New(rand.NewPCG(1, 1))
	for _, faults := range [][2]platformtest.Fault{
		{platformtest.FaultReset, platformtest.FaultSilent},
		{platformtest.FaultUnavailable, platformtest.FaultTooManyRequests},
	} {
		var rejected []*host
		for i, c := range cases {
			for _, h := range c.rejected(r.inDomain(domains[i])) {
				h.link.SetFault(faults[c.fault])
				rejected = append(rejected, h)
			}
		}
		ctx, stop := context.WithCancel(context.Background())
		callers := r.probeAll(ctx)
		for range 4 {
			time.Sleep(400 * time.Millisecond)
			r.change(random, 0)
		}
		time.Sleep(policyDelay + settleTime)
		stop()
		callers.Wait()
		for _, h := range rejected {
			count, _ := r.kept.Load(h.name)
			sent, served := count.(*keptCount).sent.Swap(0), count.(*keptCount).served.Swap(0)
			assert.GreaterOrEqual(t, served, sent*9/10, "%s: requests on a route that all versions have", h.name)
			h.link.SetFault(platformtest.FaultNone)
		}
		time.Sleep(recoveryTime)
	}
	r.report()
}

// Hosts that the store rejected learned from others that the registrations of all rejected hosts had
// expired. They named none of them to callers any more, sent these to the few others and knew too few
// hosts to follow.
func TestRejectedHostsStayKnownToEachOther(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts 12 processes")
	}
	r := startRun(t, 2)
	rejected := r.hosts[:len(r.hosts)-2]
	for i, h := range rejected {
		h.link.SetFault([]platformtest.Fault{platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultUnavailable, platformtest.FaultTooManyRequests}[i/2%4])
	}
	lookedUp := func(h *host) []string {
		addresses, err := h.lookup()
		assert.NoError(t, err, h.name)
		return addresses
	}
	for range 20 {
		time.Sleep(leaseTime / 6)
		for _, h := range rejected {
			assert.ElementsMatch(t, callersOf(r.inDomain(h.domain)), lookedUp(h), h.name)
		}
		if t.Failed() {
			return
		}
	}
	gone, stopped := rejected[0], rejected[2]
	gone.kill()
	stopped.stop()
	forgotten := func() bool {
		for _, h := range rejected {
			if h == gone || h == stopped {
				continue
			}
			if addresses := lookedUp(h); slices.Contains(addresses, gone.callers) || slices.Contains(addresses, stopped.callers) {
				return false
			}
		}
		return true
	}
	require.Eventually(t, forgotten, leaseTime, 50*time.Millisecond, "hosts that have ended are not named, although the store rejects those that ask")
	for _, h := range rejected {
		h.link.SetFault(platformtest.FaultNone)
	}
	for range 10 {
		time.Sleep(leaseTime / 6)
		for _, h := range rejected[4:] {
			assert.ElementsMatch(t, callersOf(r.inDomain(h.domain)), lookedUp(h), h.name)
		}
		assert.True(t, forgotten(), "they are not named afterwards either")
	}
}

// Drains, evacuations and the end of upstreams take the path of the policy.
func TestHostsThatTheStoreRejectsLearnOfUpstreams(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts 12 processes")
	}
	r := startRun(t, 2)
	rejected := r.hosts[:len(r.hosts)-2]
	for i, h := range rejected {
		h.link.SetFault([]platformtest.Fault{platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultUnavailable, platformtest.FaultTooManyRequests}[i/2%4])
	}
	send := func() (counts map[string]int) {
		counts = map[string]int{}
		for domain, u := range r.upstreams {
			counts[domain] -= len(u.Requests())
		}
		for _, h := range rejected {
			for range 30 {
				status, _ := h.request(t.Context(), "/kept/x", baseKey, fmt.Sprintf("%016x", r.serial.Add(1)))
				assert.Equal(t, http.StatusOK, status, h.name)
			}
		}
		for domain, u := range r.upstreams {
			counts[domain] += len(u.Requests())
		}
		return counts
	}
	time.Sleep(leaseTime)
	left := []string{"toronto", "detroit", "cleveland"}
	before := send()
	for _, domain := range left {
		require.NotZero(t, before[domain], "requests to the upstream of %s before", domain)
	}
	r.store.Put(platformtest.UpstreamPrefix+r.upstreams["toronto"].ID, r.upstreams["toronto"].Entry(serviceA, "toronto", "draining", 200))
	r.store.Delete(platformtest.UpstreamPrefix + r.upstreams["detroit"].ID)
	r.store.Put(platformtest.EvacuationPrefix+"cleveland", "{}")
	time.Sleep(policyDelay)
	after := send()
	for _, domain := range left {
		assert.Zero(t, after[domain], "requests to the upstream of %s", domain)
	}
}

// callersOf returns the addresses of hosts for callers.
func callersOf(hosts []*host) []string {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.callers)
	}
	return addresses
}

// TestStoreLinksSoak rejects hosts in overlapping series, kills some, stops whole regions by plan, drops the
// store's history and writes policies in storms, which also move homes. One host always reaches the store; without one, no host can know of a policy.
func TestStoreLinksSoak(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts processes and takes half a minute")
	}
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	r := startRun(t, *soakHosts)
	random := rand.New(rand.NewPCG(seed, 0))
	spared := r.hosts[random.IntN(len(r.hosts))]
	ctx, stop := context.WithTimeout(context.Background(), *soakLength)
	defer stop()
	r.homeMoves = rand.New(rand.NewPCG(seed, 2))
	callers, homeCallers := r.probeAll(ctx), r.callAll(ctx, seed)
	var troubles sync.WaitGroup
	troubles.Go(func() { r.stopRegions(ctx, rand.New(rand.NewPCG(seed, 3)), regions[spared.domain]) })
	storms := rand.New(rand.NewPCG(seed, 1))
	troubles.Go(func() {
		for ctx.Err() == nil {
			bulk := []int{0, 0, 0, 1400}[storms.IntN(4)]
			for range 1 + storms.IntN(6) {
				r.change(storms, bulk)
				wait(ctx, time.Duration(100+storms.IntN(500))*time.Millisecond)
			}
			wait(ctx, time.Duration(3000+storms.IntN(2500))*time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		fault := []platformtest.Fault{platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultUnavailable, platformtest.FaultTooManyRequests}[random.IntN(4)]
		length := time.Duration(3000+random.IntN(6000)) * time.Millisecond
		var rejected []*host
		kind := random.IntN(6)
		domain := r.inDomain(domains[random.IntN(len(domains))])
		switch kind {
		case 0, 1: // a third of all hosts
			for _, h := range r.hosts {
				if random.IntN(3) == 0 {
					rejected = append(rejected, h)
				}
			}
		case 2:
			rejected = domain
		case 3:
			rejected = domain[:len(domain)-1]
		case 4: // all hosts but one of each failure domain
			for _, name := range domains {
				rejected = append(rejected, r.inDomain(name)[1:]...)
			}
		case 5:
			r.store.SetWatchesMuted(true)
			wait(ctx, time.Second)
			r.store.Compact()
			r.store.SetWatchesMuted(false)
		}
		rejected = slices.DeleteFunc(slices.Clone(rejected), func(h *host) bool { return h == spared })
		var names []string
		for _, h := range rejected {
			h.link.SetFault(fault)
			names = append(names, h.name)
		}
		if *soakRollbacks && random.IntN(2) == 0 {
			pause := time.Duration(500+random.IntN(2500)) * time.Millisecond
			troubles.Go(func() {
				wait(ctx, time.Second) // the hosts have been rejected for some time
				older := r.store.Copy()
				wait(ctx, pause)
				r.store.RollBack(older, platformtest.PolicyKey, platformtest.UpstreamPrefix)
			})
		}
		t.Logf("%s: trouble %d, fault %d for %v: %v", time.Now().Format("05.000"), kind, fault, length, names)
		troubles.Go(func() {
			wait(ctx, length)
			for _, h := range rejected {
				h.link.SetFault(platformtest.FaultNone)
			}
		})
		if random.IntN(3) == 0 {
			h, down := r.hosts[random.IntN(len(r.hosts))], time.Duration(500+random.IntN(3000))*time.Millisecond
			if h != spared {
				troubles.Go(func() {
					h.kill()
					wait(ctx, down)
					h.start(t)
				})
			}
		}
		wait(ctx, time.Duration(2000+random.IntN(5000))*time.Millisecond)
	}
	callers.Wait()
	homeCallers.Wait()
	troubles.Wait()
	r.report()
}

// wait waits for a time or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
