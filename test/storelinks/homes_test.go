package storelinks

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/knownfailure"
	"peridotrail/platform/platformtest"
)

const (
	homedHost = "homed.example" // its only route is open and has homes
	mixedHost = "mixed.example" // has a route with homes and one without; both need a key
	freeHost  = "free.example"  // has no homes
	homedKey  = "key-of-bank"   // of an account with homes

	homeRegion = "michigan"
	leftRegion = "ontario" // all its hosts stop
	lastRegion = "ohio"

	lookupsOfATest = 40 // of each name

	callHeader    = "X-Call" // index into calls
	callInterval  = 2 * probeInterval
	callsPerAsk   = 3 // a caller asks for hosts before each third of its calls
	regainTime    = 3 * time.Second
	homesExamples = 10 // that are logged
)

// homes are the regions in which requests may run, of the open route, of the keyed one and of the account.
// None: all regions.
type homes struct{ open, keyed, account []string }

// addTo adds the routes and the account with homes, and routes without.
func (h homes) addTo(d *platformtest.PolicyDocument) {
	d.Routes = append(d.Routes,
		platformtest.PolicyRoute{Host: homedHost, Prefix: "/", Service: serviceA, Open: true, Homes: h.open},
		platformtest.PolicyRoute{Host: mixedHost, Prefix: "/home/", Service: serviceA, Homes: h.keyed},
		platformtest.PolicyRoute{Host: mixedHost, Prefix: "/free/", Service: serviceA},
		platformtest.PolicyRoute{Host: freeHost, Prefix: "/", Service: serviceA})
	d.Accounts = append(d.Accounts, platformtest.PolicyAccount{Name: "bank", Keys: []string{homedKey}, Homes: h.account})
}

// movedHomes returns other homes: mostly one region, some two, some none.
func movedHomes(random *rand.Rand) homes {
	some := func() []string {
		all := []string{homeRegion, leftRegion, lastRegion}
		random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		return all[:[]int{0, 1, 1, 1, 1, 2}[random.IntN(6)]]
	}
	return homes{open: some(), keyed: some(), account: some()}
}

// call is what a caller sends.
type call struct{ name, path, key string }

var calls = []call{
	{homedHost, "/x", ""}, {mixedHost, "/home/x", baseKey}, {mixedHost, "/home/x", homedKey},
	{mixedHost, "/free/x", homedKey}, {mixedHost, "/free/x", baseKey}, {freeHost, "/x", homedKey},
}

// allows reports whether a call may run in a region.
func (h homes) allows(c call, region string) bool {
	return (c.name != homedHost || contains(h.open, region)) &&
		(c.path != "/home/x" || contains(h.keyed, region)) &&
		(c.key != homedKey || contains(h.account, region))
}

// namesFar reports whether hosts of a region may be named to callers of other regions.
func (h homes) namesFar(name, region string) bool {
	return (name != homedHost || contains(h.open, region)) && (name != mixedHost || contains(h.keyed, region))
}

func contains(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// homesJudge counts look-ups and calls.
type homesJudge struct {
	homesMu  sync.Mutex     // guards the fields below
	lookups  int            // that named hosts
	refused  int            // look-ups that named none
	far      int            // look-ups that named hosts outside the caller's region
	misnamed []string       // far look-ups that no version in force allows
	sent     map[string]int // calls by the caller's region and the name
	served   map[string]int
}

// judgeLookup checks a response to a caller's look-up. It reports whether hosts were named.
func (r *trial) judgeLookup(c *caller, h *host, asked time.Time, addresses []string, err error) bool {
	versions, named := r.inForce(asked, time.Now()), r.regionsOf(addresses)
	r.homesMu.Lock()
	defer r.homesMu.Unlock()
	if err != nil {
		r.refused++
		return false
	}
	r.lookups++
	named = slices.DeleteFunc(named, func(region string) bool { return region == c.region })
	if len(named) > 0 {
		r.far++
	}
	for _, region := range named {
		if !slices.ContainsFunc(versions, func(p policy) bool { return p.homes.namesFar(c.call.name, region) }) {
			r.misnamed = append(r.misnamed, fmt.Sprintf("%s look-up of %s from %s at %s named %s, versions in force %v", asked.Format("05.000"), c.call.name, c.region, h.name, region, homesIn(versions)))
			break
		}
	}
	return true
}

// homesIn returns the versions and their homes, for logs.
func homesIn(versions []policy) (text []string) {
	for _, p := range versions {
		text = append(text, fmt.Sprintf("%d %v", p.version, p.homes))
	}
	return text
}

// reportHomes checks all calls that reached upstreams and logs the result.
func (r *trial) reportHomes() {
	r.t.Helper()
	arrived, outside := 0, []string{}
	for domain, u := range r.upstreams {
		for _, request := range u.Requests() {
			n, err := strconv.Atoi(request.Header.Get(callHeader))
			if err != nil {
				continue // a probe
			}
			arrived++
			versions := r.inForce(request.At, request.At)
			if !slices.ContainsFunc(versions, func(p policy) bool { return p.homes.allows(calls[n], regions[domain]) }) {
				line := fmt.Sprintf("%s call %s %v ran in %s, versions in force %v", request.At.Format("05.000"), request.ID, calls[n], regions[domain], homesIn(versions))
				if len(outside) < homesExamples {
					line += "\n" + r.logLinesOf(request.ID)
				}
				outside = append(outside, line)
			}
		}
	}
	r.homesMu.Lock()
	defer r.homesMu.Unlock()
	r.t.Logf("homes: %d requests reached upstreams, %d outside; %d look-ups answered, %d of them far, %d outside; %d refused", arrived, len(outside), r.lookups, r.far, len(r.misnamed), r.refused)
	r.t.Logf("homes: calls sent %v, served %v", r.sent, r.served)
	if len(r.misnamed) > 0 {
		r.t.Log(r.logLinesOf(`"event":"look-up"`))
	}
	for _, all := range [][]string{outside, r.misnamed} {
		for _, line := range all[:min(len(all), homesExamples)] {
			r.t.Log(line)
		}
	}
	assert.Zero(r.t, len(outside), "requests outside their homes")
	assert.Zero(r.t, len(r.misnamed), "look-ups that name hosts outside the homes")
}

// logLinesOf returns the lines of all hosts' logs that contain a text.
func (f *fleet) logLinesOf(text string) string {
	var lines []string
	for _, h := range f.hosts {
		all, _ := os.ReadFile(h.log) // a host that never started has none
		for line := range strings.SplitSeq(string(all), "\n") {
			if strings.Contains(line, text) {
				lines = append(lines, h.name+" "+line)
			}
		}
	}
	return strings.Join(lines, "\n")
}

// caller looks hosts up and sends calls to one that was named. It keeps a response while it gets no new one.
type caller struct {
	*trial
	region, domain string
	call           call
	header         string // value of callHeader
	keepsAlive     bool   // it stays with its host and connection while that is named
	client         *http.Client
	random         *rand.Rand
	named          []string // addresses; those that failed are removed
	current        string   // empty: none
}

// callAll starts callers of all calls in all failure domains.
func (r *trial) callAll(ctx context.Context, seed uint64) *sync.WaitGroup {
	var callers sync.WaitGroup
	r.sent, r.served = map[string]int{}, map[string]int{}
	for i, domain := range domains {
		for n, call := range calls {
			c := &caller{
				trial: r, region: regions[domain], domain: domain, call: call, header: strconv.Itoa(n), keepsAlive: (i+n)%2 == 0,
				client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}, random: rand.New(rand.NewPCG(seed, uint64(100+10*i+n))),
			}
			callers.Go(func() {
				defer c.client.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					if n%callsPerAsk == 0 {
						c.ask()
					}
					c.send()
					wait(ctx, callInterval)
				}
			})
		}
	}
	return &callers
}

// ask asks up to three hosts, near ones first.
func (c *caller) ask() {
	hosts := slices.Clone(c.hosts)
	c.random.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	for _, near := range []func(*host) bool{
		func(h *host) bool { return h.domain == c.domain },
		func(h *host) bool { return h.domain != c.domain && regions[h.domain] == c.region },
		func(h *host) bool { return regions[h.domain] != c.region },
	} {
		h, asked := hosts[slices.IndexFunc(hosts, near)], time.Now()
		addresses, err := platformtest.LookUp(c.client, h.lookups, c.call.name, c.region, c.domain)
		if !c.judgeLookup(c, h, asked, addresses, err) {
			continue
		}
		c.named = addresses
		if !c.keepsAlive || !slices.Contains(addresses, c.current) {
			c.client.CloseIdleConnections()
			c.current = ""
		}
		return
	}
}

func (c *caller) send() {
	if c.current == "" && len(c.named) > 0 {
		c.current = c.named[c.random.IntN(len(c.named))]
	}
	served := false
	if c.current != "" {
		status, err := c.post()
		served = status == http.StatusOK
		if err != nil {
			c.named = slices.DeleteFunc(c.named, func(address string) bool { return address == c.current })
			c.current = ""
		}
	}
	c.homesMu.Lock()
	defer c.homesMu.Unlock()
	key := c.region + " " + c.call.name
	c.sent[key]++
	if served {
		c.served[key]++
	}
}

func (c *caller) post() (status int, err error) {
	id := fmt.Sprintf("%016x", c.serial.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.current+c.call.path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, err
	}
	request.Host = c.call.name
	request.Header.Set(platformtest.CallHeader, id)
	request.Header.Set(platformtest.DeadlineHeader, "1500")
	request.Header.Set(callHeader, c.header)
	if c.call.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.call.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status counts
	return response.StatusCode, nil
}

// regionsOf returns the regions of the hosts with the given addresses for callers.
func (f *fleet) regionsOf(addresses []string) []string {
	var named []string
	for _, h := range f.hosts {
		if slices.Contains(addresses, h.callers) && !slices.Contains(named, regions[h.domain]) {
			named = append(named, regions[h.domain])
		}
	}
	slices.Sort(named)
	return named
}

// inRegion returns the hosts of a region.
func (f *fleet) inRegion(region string) []*host {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return regions[h.domain] != region })
}

// stopRegion stops all hosts of a region by plan and waits until they have ended.
func (f *fleet) stopRegion(region string) {
	var all []<-chan struct{}
	for _, h := range f.inRegion(region) {
		all = append(all, h.stop())
	}
	for _, ended := range all {
		<-ended
	}
}

// startRegion starts the hosts of a region again.
func (f *fleet) startRegion(region string) {
	for _, h := range f.inRegion(region) {
		h.kill()
		h.start(f.t)
	}
}

// setHomes writes a next version with other homes.
func (r *trial) setHomes(h homes) {
	p := r.newest().next()
	p.homes = h
	r.put(p, r.write)
}

// setFaults sets the fault of the links of all hosts.
func (f *fleet) setFaults(fault platformtest.Fault) {
	for _, h := range f.hosts {
		h.link.SetFault(fault)
	}
}

// stopRegions stops and starts whole regions, except one, until ctx ends.
func (r *trial) stopRegions(ctx context.Context, random *rand.Rand, except string) {
	for ctx.Err() == nil {
		left := []string{homeRegion, leftRegion, lastRegion}
		random.Shuffle(len(left), func(i, k int) { left[i], left[k] = left[k], left[i] })
		left = slices.DeleteFunc(left, func(region string) bool { return region == except })[:1+random.IntN(2)]
		wait(ctx, time.Duration(1000+random.IntN(4000))*time.Millisecond)
		r.t.Logf("%s: hosts of %v stop", time.Now().Format("05.000"), left)
		for _, region := range left {
			r.stopRegion(region)
			wait(ctx, time.Duration(random.IntN(2000))*time.Millisecond)
		}
		wait(ctx, time.Duration(500+random.IntN(5000))*time.Millisecond)
		for _, region := range left {
			r.startRegion(region)
		}
	}
}

// lookUpAt asks hosts for a name as a caller of a region.
func (r *trial) lookUpAt(hosts []*host, name, region string) (named [][]string, refused int) {
	for _, h := range hosts {
		addresses, err := platformtest.LookUp(h.client, h.lookups, name, region, "")
		if err != nil {
			assert.EqualError(r.t, err, "status 503", h.name)
			refused++
			continue
		}
		named = append(named, r.regionsOf(addresses))
	}
	return named, refused
}

// Callers of a region whose hosts had all stopped were sent to hosts outside the homes of their route: look-ups
// named the hosts of all regions.
func TestLookupsOfARegionWithoutHostsNameHomesOnly(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := startFleet(t, 2)
	only := []string{homeRegion}
	f.store.Put(platformtest.PolicyKey, policy{version: 1, moved: serviceA, homes: homes{open: only, keyed: only}}.text())
	f.run()
	time.Sleep(registrationTime)
	f.stopRegion(leftRegion)
	time.Sleep(leaseTime)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for name, want := range map[string][]string{homedHost: {homeRegion}, mixedHost: {homeRegion}, freeHost: {"michigan", "ohio"}} {
		outside := 0
		for n := range lookupsOfATest {
			h := f.hosts[n%len(f.hosts)]
			if regions[h.domain] == leftRegion {
				continue
			}
			addresses, err := platformtest.LookUp(client, h.lookups, name, leftRegion, "toronto")
			require.NoError(t, err)
			if !slices.Equal(want, f.regionsOf(addresses)) {
				outside++
			}
		}
		require.Zero(t, outside, "look-ups of %s that name other regions than %v", name, want)
	}
}

// Requests and look-ups stay in the homes while regions lose all hosts and regain them, and while homes move in
// storms and the store rejects hosts.
func TestHomesHoldWhileRegionsLoseAllHosts(t *testing.T) {
	knownfailure.SkipIfListed(t)
	if testing.Short() {
		t.Skip("starts 12 processes")
	}
	r := startRun(t, 2)
	fixed := homes{open: []string{homeRegion}, keyed: []string{homeRegion}, account: []string{homeRegion, leftRegion}}
	r.setHomes(fixed)
	time.Sleep(policyDelay)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers := r.callAll(ctx, 1)
	regain := func(region string) {
		t.Helper()
		r.startRegion(region)
		for _, h := range r.inRegion(region) {
			require.Eventually(t, h.isReady, startTime, 20*time.Millisecond, h.name)
		}
		ready := time.Now()
		require.Eventually(t, func() bool {
			named, refused := r.lookUpAt(append(r.inRegion(lastRegion), r.inRegion(region)...), homedHost, region)
			return refused == 0 && !slices.ContainsFunc(named, func(all []string) bool { return !slices.Equal(all, []string{region}) })
		}, regainTime, 10*time.Millisecond, "look-ups name the hosts of %s again", region)
		t.Logf("look-ups name %s %v after its hosts are ready", region, time.Since(ready).Round(time.Millisecond))
	}
	r.stopRegion(leftRegion)
	time.Sleep(leaseTime)
	regain(leftRegion)

	r.stopRegion(leftRegion)
	r.stopRegion(homeRegion)
	time.Sleep(leaseTime)
	r.homesMu.Lock()
	clear(r.sent)
	clear(r.served)
	r.homesMu.Unlock()
	for range lookupsOfATest / 4 {
		for _, name := range []string{homedHost, mixedHost} {
			named, _ := r.lookUpAt(r.inRegion(lastRegion), name, leftRegion)
			assert.Empty(t, named, "look-ups of %s, whose home has no hosts", name)
			named, refused := r.lookUpAt(r.inRegion(lastRegion), name, lastRegion)
			assert.Zero(t, refused)
			assert.Equal(t, [][]string{{lastRegion}}, slices.CompactFunc(named, slices.Equal), name)
		}
		time.Sleep(leaseTime / 10)
	}
	r.homesMu.Lock()
	for _, name := range []string{homedHost, mixedHost, freeHost} {
		key := lastRegion + " " + name
		assert.GreaterOrEqual(t, r.served[key], max(1, r.sent[key]*9/10), "calls to %s from the region that has hosts", name)
	}
	r.homesMu.Unlock()
	regain(homeRegion)
	regain(leftRegion)

	random := rand.New(rand.NewPCG(1, 1))
	r.homeMoves = random
	for _, fault := range []platformtest.Fault{platformtest.FaultReset, platformtest.FaultSilent} {
		for i, h := range r.hosts {
			if i%5 < 2 { // 40 %
				h.link.SetFault(fault)
			}
		}
		for range 12 {
			r.change(random, 0)
			time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
		}
		time.Sleep(policyDelay)
		r.setFaults(platformtest.FaultNone)
	}

	// No host can know that the homes have moved.
	r.setHomes(fixed)
	time.Sleep(recoveryTime)
	r.setFaults(platformtest.FaultReset)
	time.Sleep(200 * time.Millisecond)
	r.setHomes(homes{open: []string{lastRegion}, keyed: []string{lastRegion}})
	time.Sleep(2 * policyDelay)
	stop()
	callers.Wait()
	r.report()
}
