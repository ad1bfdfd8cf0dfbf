package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// The simulation runs a load pattern in virtual time against the placement
// decisions of several hosts, and against simpler policies for comparison.

// server is a simulated upstream with slots, a queue and a cache of the objects
// that it served last.
type server struct {
	entry     catalog.Upstream
	region    string
	slots     int
	cache     []string // most recently used first
	cacheSize int
	slowdown  float64
	noise     float64 // slowdown of the machine at the moment
	running   int
	queue     []*job
}

// job is a simulated request.
type job struct {
	req      Request
	placed   *Placement
	upstream *server
	domain   string
	host     int
	ended    bool // answered or expired
}

// loadPattern describes the load and the upstreams of one simulation.
type loadPattern struct {
	domains             map[string]string // region of each failure domain
	upstreams           map[string]int    // number in each failure domain
	slots               int
	cacheSize           int
	objects             int
	rate                func(domain string, second float64) float64 // requests per second
	cachedServiceTime   time.Duration
	uncachedServiceTime time.Duration
	objective           time.Duration
	deadline            time.Duration
	duration            time.Duration
	slowdown            map[string]float64 // factor on the service time, by upstream ID
	joinAt              time.Duration      // when an upstream joins; zero: none
	joinDomain          string             // failure domain of the upstream that joins
	hostsPerDomain      int                // hosts in each failure domain
	noUpstreamLoad      bool               // upstreams report no load
	kilobytes           float64            // of a request and its response; zero: 5
	noise               float64            // fraction of the upstreams that noiseSlowdown makes slow at a time
	hideNoise           bool               // upstreams don't report it
	slowRequests        float64            // fraction of the requests that take slowRequestFactor times as long
	queue               int                // requests that may wait at an upstream, which refuses others; zero: any number
	shareLoads          bool               // hosts share what upstreams report, and report to their region
	peerReportInterval  time.Duration      // interval of the reports between hosts; zero: none
}

func (p *loadPattern) domainsOfRegion(region string) int {
	n := 0
	for _, other := range p.domains {
		if other == region {
			n++
		}
	}
	return n
}

const (
	noiseSlowdown     = 2.5
	noiseInterval     = 600 * time.Millisecond // for which an upstream stays slow or not
	slowRequestFactor = 7
)

// simulationResult counts the outcomes of the requests.
type simulationResult struct {
	requests, onTime, late, refused, expired int
	shed                                     int // of refused, by the upstream
	crossDomain                              int // sent to another failure domain
	executions                               map[string]int
	worstDomainRatio                         float64           // smallest ratio of on-time responses of a failure domain
	perDomain                                map[string][2]int // requests and on-time responses
}

func (r *simulationResult) onTimeRatio() float64 { return float64(r.onTime) / float64(r.requests) }

// policy chooses an upstream for a request; nil refuses the request.
type policy func(s *simulation, j *job, domain string) *server

type event struct {
	at boottime.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simulation struct {
	pattern      loadPattern
	choose       policy
	random       *rand.Rand
	now          boottime.Instant
	pending      events
	upstreams    []*server
	pools        map[string][]*Pool // by failure domain
	result       simulationResult
	arrivalCount int
	rounds       int // of reports between hosts
}

const (
	simulationStart = boottime.Instant(time.Hour)
	simulationSeed  = 11
)

func simulate(p loadPattern, choose policy) *simulationResult {
	s := &simulation{
		pattern: p, choose: choose, random: rand.New(rand.NewPCG(simulationSeed, 1)), now: simulationStart, pools: map[string][]*Pool{},
		result: simulationResult{executions: map[string]int{}, perDomain: map[string][2]int{}},
	}
	for _, domain := range sortedKeys(p.domains) {
		for i := range p.upstreams[domain] {
			s.addUpstream(domain, i)
		}
		for range max(p.hostsPerDomain, 1) {
			pool := newTestPool(domain, p.domains)
			pool.settings.Host = fmt.Sprintf("%s-%d", domain, len(s.pools[domain]))
			pool.settings.HostCounts = func() (region, all int) {
				return max(p.hostsPerDomain, 1) * p.domainsOfRegion(p.domains[domain]), max(p.hostsPerDomain, 1) * len(p.domains)
			}
			s.pools[domain] = append(s.pools[domain], pool)
		}
	}
	s.publishUpstreams()
	for _, domain := range sortedKeys(p.domains) {
		s.scheduleArrivals(domain)
	}
	if p.joinAt > 0 {
		s.schedule(simulationStart.Add(p.joinAt), func() { s.addUpstream(p.joinDomain, 99); s.publishUpstreams() })
	}
	if p.peerReportInterval > 0 {
		s.reportPeerCounts()
	}
	if p.noise > 0 {
		s.changeNoise()
	}
	for s.pending.Len() > 0 {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.do()
	}
	s.result.worstDomainRatio = 1
	for _, counts := range s.result.perDomain {
		s.result.worstDomainRatio = min(s.result.worstDomainRatio, float64(counts[1])/float64(counts[0]))
	}
	return &s.result
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func newTestPool(domain string, regions map[string]string) *Pool {
	return NewPool(Settings{
		FailureDomain: domain, Region: regions[domain], Regions: regionsFrom(regions),
		LateScore: 0.2, CrossDomainCost: 0.03, CrossRegionCost: 0.03, RegionRoundTrip: 24 * time.Millisecond, MaxShift: 0.11,
		ViewProof: func() boottime.Instant { return math.MaxInt64 },
		ColdLimit: func(catalog.Upstream, boottime.Instant) (int, bool) { return 0, false }, ColdStart: func(string) time.Duration { return 0 },
	})
}

func (s *simulation) addUpstream(domain string, i int) {
	id := fmt.Sprintf("%s-%d", domain, i)
	slowdown := s.pattern.slowdown[id]
	if slowdown == 0 {
		slowdown = 1
	}
	s.upstreams = append(s.upstreams, &server{
		entry:  catalog.Upstream{ID: id, Service: "s", Address: id, FailureDomain: domain, Slots: s.pattern.slots},
		region: s.pattern.domains[domain], slots: s.pattern.slots, cacheSize: s.pattern.cacheSize, slowdown: slowdown, noise: 1,
	})
}

func (s *simulation) publishUpstreams() {
	var entries []catalog.Upstream
	for _, u := range s.upstreams {
		entries = append(entries, u.entry)
	}
	for _, pools := range s.pools {
		for _, pool := range pools {
			pool.SetUpstreams(entries, nil, s.now)
		}
	}
}

// reportPeerCounts exchanges the counts of requests in flight between the hosts of
// each failure domain.
func (s *simulation) reportPeerCounts() {
	for _, pools := range s.pools {
		for i, sender := range pools {
			counts := sender.InflightCounts()
			for k, receiver := range pools {
				if k != i {
					receiver.SetPeerInflightCounts(fmt.Sprint(i), counts, 500*time.Millisecond, s.now)
				}
			}
		}
	}
	if s.pattern.shareLoads {
		s.shareLoads()
	}
	if s.now.Sub(simulationStart) < s.pattern.duration {
		s.schedule(s.now.Add(s.pattern.peerReportInterval), s.reportPeerCounts)
	}
}

// farReportRounds is the number of rounds of reports after which those of other failure domains
// of the region follow.
const farReportRounds = 4

// shareLoads exchanges the loads that upstreams have reported within the failure domains, and
// now and then the counts of requests within the regions.
func (s *simulation) shareLoads() {
	s.rounds++
	for _, domain := range sortedKeys(s.pattern.domains) {
		pools := s.pools[domain]
		for i, sender := range pools {
			for id, load := range sender.TakeLoads() {
				for k, receiver := range pools {
					if k != i {
						receiver.AddPeerLoad(id, load, s.now)
					}
				}
			}
			if s.rounds%farReportRounds != 0 {
				continue
			}
			counts := sender.InflightCounts()
			for other, receivers := range s.pools {
				if other == domain || s.pattern.domains[other] != s.pattern.domains[domain] {
					continue
				}
				for _, receiver := range receivers {
					receiver.SetPeerInflightCounts(domain+fmt.Sprint(i), counts, time.Second, s.now)
				}
			}
		}
	}
}

// changeNoise draws which upstreams are slow until the next change.
func (s *simulation) changeNoise() {
	for _, u := range s.upstreams {
		u.noise = 1
		if s.random.Float64() < s.pattern.noise {
			u.noise = noiseSlowdown
		}
	}
	if s.now.Sub(simulationStart) < s.pattern.duration {
		s.schedule(s.now.Add(noiseInterval), s.changeNoise)
	}
}

func (s *simulation) schedule(when boottime.Instant, do func()) {
	heap.Push(&s.pending, event{when, do})
}

// scheduleArrivals schedules the requests of one failure domain.
func (s *simulation) scheduleArrivals(domain string) {
	at := simulationStart
	for at.Sub(simulationStart) < s.pattern.duration {
		rate := s.pattern.rate(domain, at.Sub(simulationStart).Seconds())
		at = at.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		object := fmt.Sprintf("o%d", s.random.IntN(s.pattern.objects))
		heap.Push(&s.pending, event{at, func() { s.arrive(domain, object) }})
	}
}

func (s *simulation) arrive(domain, object string) {
	s.arrivalCount++
	j := &job{
		domain: domain, host: s.arrivalCount % len(s.pools[domain]),
		req: Request{
			Service: "s", Route: "r", Object: object, Sticky: true, LatencyObjective: s.pattern.objective,
			Objective: s.now.Add(s.pattern.objective), Deadline: s.now.Add(s.pattern.deadline),
		},
	}
	s.result.requests++
	counts := s.result.perDomain[domain]
	counts[0]++
	s.result.perDomain[domain] = counts
	u := s.choose(s, j, domain)
	if u == nil {
		s.result.refused++
		return
	}
	if s.pattern.queue > 0 && u.running >= u.slots && len(u.queue) >= s.pattern.queue {
		s.result.refused++
		s.result.shed++
		if j.placed != nil {
			j.placed.Done(Report{Outcome: OutcomeNotRun, Load: &Load{Running: u.running, Waiting: len(u.queue), Slots: u.slots}}, s.now)
		}
		return
	}
	j.upstream = u
	if u.entry.FailureDomain != domain {
		s.result.crossDomain++
	}
	s.schedule(j.req.Deadline, func() { s.expire(j) })
	u.queue = append(u.queue, j)
	s.serve(u)
}

// serve starts queued requests while slots are free.
func (s *simulation) serve(u *server) {
	for u.running < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if j.ended {
			continue
		}
		u.running++
		s.result.executions[u.entry.ID]++
		mean := s.pattern.uncachedServiceTime
		if slices.Contains(u.cache, j.req.Object) {
			mean = s.pattern.cachedServiceTime
		}
		u.cacheObject(j.req.Object)
		if s.pattern.slowRequests > 0 && s.random.Float64() < s.pattern.slowRequests {
			mean *= slowRequestFactor
		}
		serviceTime := float64(mean) * u.slowdown * u.noise * (1 + 0.15*s.random.NormFloat64())
		end := s.now.Add(time.Duration(max(serviceTime, float64(time.Millisecond))))
		s.schedule(min(end, max(j.req.Deadline, s.now)), func() { s.finish(j, end) })
	}
}

func (u *server) cacheObject(object string) {
	u.cache = slices.DeleteFunc(u.cache, func(o string) bool { return o == object })
	u.cache = append([]string{object}, u.cache...)
	if len(u.cache) > u.cacheSize {
		u.cache = u.cache[:u.cacheSize]
	}
}

func (s *simulation) finish(j *job, end boottime.Instant) {
	u := j.upstream
	u.running--
	defer s.serve(u)
	if j.ended || end > j.req.Deadline {
		s.expire(j)
		return
	}
	j.ended = true
	if s.now <= j.req.Objective {
		s.result.onTime++
		counts := s.result.perDomain[j.domain]
		counts[1]++
		s.result.perDomain[j.domain] = counts
	} else {
		s.result.late++
	}
	if j.placed != nil {
		report := Report{Outcome: OutcomeAnswered, Kilobytes: max(s.pattern.kilobytes, 5)}
		if !s.pattern.noUpstreamLoad {
			report.Load = &Load{Running: u.running, Waiting: len(u.queue), Slots: u.slots}
			if !s.pattern.hideNoise && s.pattern.noise > 0 {
				report.Load.Slowdown = u.noise
			}
		}
		j.placed.Done(report, s.now)
	}
}

func (s *simulation) expire(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.result.expired++
	if j.placed != nil {
		j.placed.Done(Report{Outcome: OutcomeExpired}, s.now)
	}
}

// poolPolicy chooses by Pool.Place.
func poolPolicy(s *simulation, j *job, domain string) *server {
	placed, err := s.pools[domain][j.host].Place(j.req, s.now)
	if err != nil {
		return nil
	}
	j.placed = &placed
	for _, u := range s.upstreams {
		if u.entry.ID == placed.Upstream.ID {
			return u
		}
	}
	return nil
}

// leastLoaded chooses the upstream of the failure domain with the fewest requests.
// Unlike a Pool it knows the exact number.
func leastLoaded(s *simulation, _ *job, domain string) *server {
	var best *server
	for _, u := range s.upstreams {
		if u.entry.FailureDomain == domain && (best == nil || u.running+len(u.queue) < best.running+len(best.queue)) {
			best = u
		}
	}
	return best
}

func hash(u *server, j *job) uint64 { return xxhash.Sum64String(u.entry.ID + "\x00" + j.req.Object) }

// localRendezvous chooses an upstream of the failure domain by rendezvous hashing of
// the object.
func localRendezvous(s *simulation, j *job, domain string) *server {
	var best *server
	for _, u := range s.upstreams {
		if u.entry.FailureDomain == domain && (best == nil || hash(u, j) > hash(best, j)) {
			best = u
		}
	}
	return best
}

// roundRobin chooses the upstreams of the failure domain in turn.
func roundRobin(s *simulation, _ *job, domain string) *server {
	var local []*server
	for _, u := range s.upstreams {
		if u.entry.FailureDomain == domain {
			local = append(local, u)
		}
	}
	return local[s.arrivalCount%len(local)]
}

func steadyRate(rate float64) func(string, float64) float64 {
	return func(string, float64) float64 { return rate }
}

// unevenFleet has failure domains with three, two and one upstreams, and more
// objects than the cache of one upstream can hold.
func unevenFleet() loadPattern {
	return loadPattern{
		domains:   map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		upstreams: map[string]int{"a1": 3, "a2": 3, "b1": 1, "b2": 1, "c1": 2, "c2": 2},
		slots:     8, cacheSize: 20, objects: 35, hostsPerDomain: 2,
		cachedServiceTime: 264 * time.Millisecond, uncachedServiceTime: 880 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 4 * time.Second,
		duration: 40 * time.Second, rate: steadyRate(20),
	}
}

// regionalPeaks returns a rate whose peaks in the three regions are a third of a
// period apart.
func regionalPeaks(mean, amplitude float64) func(string, float64) float64 {
	phase := map[byte]float64{'a': 0, 'b': 1.0 / 3, 'c': 2.0 / 3}
	return func(domain string, second float64) float64 {
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(second/36+phase[domain[0]])))
	}
}

func compareWithBaselines(t *testing.T, p loadPattern) (pooled *simulationResult, baselines map[string]*simulationResult) {
	t.Helper()
	pooled = simulate(p, poolPolicy)
	baselines = map[string]*simulationResult{
		"least loaded": simulate(p, leastLoaded), "rendezvous": simulate(p, localRendezvous), "round robin": simulate(p, roundRobin),
	}
	report := func(name string, r *simulationResult) {
		t.Logf("%-13s on time %.3f worst domain %.3f late %d refused %d expired %d crossed %d of %d", name, r.onTimeRatio(), r.worstDomainRatio, r.late, r.refused, r.expired, r.crossDomain, r.requests)
	}
	report("placement", pooled)
	for name, r := range baselines {
		report(name, r)
	}
	return pooled, baselines
}

// The load is constant. It is below the capacity of upstreams that have the objects
// cached, and above the capacity of those that have not.
func TestSimulatedSteadyLoadWithSmallCaches(t *testing.T) {
	pooled, baselines := compareWithBaselines(t, unevenFleet())
	for name, baseline := range baselines {
		require.Greater(t, pooled.onTimeRatio(), baseline.onTimeRatio(), "against %s", name)
	}
	require.Greater(t, pooled.onTimeRatio(), 0.85)
}

// The regions peak in turn, and the peak exceeds the capacity of the region.
func TestSimulatedRegionsPeakInTurn(t *testing.T) {
	p := unevenFleet()
	p.rate = regionalPeaks(24, 0.55)
	p.duration = 72 * time.Second
	pooled, baselines := compareWithBaselines(t, p)
	for name, baseline := range baselines {
		require.Greater(t, pooled.onTimeRatio(), baseline.onTimeRatio(), "against %s", name)
	}
	require.Greater(t, pooled.onTimeRatio(), 0.75)
}

// The load exceeds the capacity of all upstreams. On-time responses stay near the
// capacity, and excess requests are refused instead of expiring.
func TestSimulatedOverload(t *testing.T) {
	p := unevenFleet()
	p.rate = steadyRate(95)
	p.duration = 20 * time.Second
	pooled, baselines := compareWithBaselines(t, p)
	for name, baseline := range baselines {
		require.Greater(t, pooled.onTime, 2*baseline.onTime, "against %s", name)
	}
	require.Less(t, pooled.expired, pooled.requests/50)
}

// One of the three upstreams of a domain takes five times as long.
func TestSimulatedSlowUpstream(t *testing.T) {
	p := unevenFleet()
	p.slowdown = map[string]float64{"a1-0": 5}
	pooled, baselines := compareWithBaselines(t, p)
	for name, baseline := range baselines {
		require.Greater(t, pooled.onTimeRatio(), baseline.onTimeRatio(), "against %s", name)
	}
	require.Less(t, pooled.executions["a1-0"], pooled.executions["a1-1"])
}

// An upstream joins when the baselines have the objects cached.
func TestSimulatedJoiningUpstreamGetsRequests(t *testing.T) {
	p := unevenFleet()
	p.joinAt, p.joinDomain = 10*time.Second, "a1"
	pooled, _ := compareWithBaselines(t, p)
	require.Positive(t, pooled.executions["a1-99"])
}

// Each of the nine hosts of a failure domain sees a ninth of its requests, and
// upstreams report no load. Without reports from its peers a host keeps sending to
// upstreams that are full.
func TestSimulatedPeerReportsWithoutUpstreamLoad(t *testing.T) {
	p := unevenFleet()
	p.hostsPerDomain, p.noUpstreamLoad = 9, true
	p.rate = func(domain string, _ float64) float64 { return float64(p.upstreams[domain]) * 20 }
	alone := simulate(p, poolPolicy)
	p.peerReportInterval = 100 * time.Millisecond
	reporting := simulate(p, poolPolicy)
	t.Logf("alone: on time %.3f worst %.3f expired %d refused %d; reporting: on time %.3f worst %.3f expired %d refused %d",
		alone.onTimeRatio(), alone.worstDomainRatio, alone.expired, alone.refused, reporting.onTimeRatio(), reporting.worstDomainRatio, reporting.expired, reporting.refused)
	require.Greater(t, reporting.onTimeRatio(), alone.onTimeRatio())
	require.Greater(t, reporting.worstDomainRatio, alone.worstDomainRatio)
}
