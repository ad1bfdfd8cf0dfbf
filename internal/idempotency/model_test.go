package idempotency

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

const (
	modelHosts   = 4
	modelAccount = "clinic"
)

// mutation breaks one rule of the protocol, to show that the model finds it.
type mutation uint8

const (
	mutationNone           mutation = iota
	mutationKeepIdentity            // a restarted keeper does not change its incarnation and secret
	mutationRunUnconfirmed          // a host runs the request when the keeper does not answer
	mutationForgetEarly             // a keeper forgets records before their keys expire
	mutationCallUnknown             // a host reports an unknown end as not run
	mutationNoQuarantine            // a new leader trusts that it knows all own keys
	mutationTrustSender             // a keeper takes any own key as at home
	mutationNoLease                 // a host that lost its leadership goes on as keeper
	mutationStale                   // a keeper that is cut off trusts its failure domains
	mutationKeepBooks               // a host goes on with a book that it handed over
	mutationCount
)

// modelFaults weighs the faults of messages.
var modelFaults = []fault{
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
	faultLost, faultNoReply, faultDoubled, faultRepeated,
}

type modelHost struct {
	identity host.Identity
	service  *Service
	client   *Client
	domains  Domains // what this host knows
}

type running struct {
	ticket *Ticket // nil under mutationRunUnconfirmed
	key    string
	host   int
	ran    bool
}

// model holds hosts, callers and upstreams. The oracle is runs.
type model struct {
	t        *rapid.T
	mutation mutation
	now      time.Time
	network  *network
	hosts    []*modelHost
	leaders  map[string]*modelLeader
	domains  Domains // in force
	keys     []string
	used     map[string]time.Time // first attempt
	runs     map[string]int
	attempts []*running
}

// modelLeader is the lease of one failure domain.
type modelLeader struct {
	host   int
	tenure Tenure
}

type modelLeadership struct {
	m      *model
	domain string
	host   int
	last   Tenure // held last
}

// Held implements Leadership.
func (l *modelLeadership) Held(time.Time) (Tenure, bool) {
	leader := l.m.leaders[l.domain]
	if leader.host != l.host {
		return l.last, l.m.mutation == mutationNoLease && l.last.Epoch != 0
	}
	l.last = leader.tenure
	if l.m.mutation == mutationNoQuarantine {
		return Tenure{Epoch: leader.tenure.Epoch, Previous: l.m.hosts[l.host].service.Own.term.epoch, First: true}, true
	}
	return leader.tenure, true
}

func domainOf(i int) string { return []string{"toronto", "hamilton"}[i%2] }

var firstTenure = Tenure{Epoch: 5, First: true}

func newModel(t *rapid.T, broken mutation) *model {
	m := &model{
		t:        t,
		mutation: broken,
		now:      start,
		network:  &network{handlers: map[netip.AddrPort]handlers{}},
		leaders:  map[string]*modelLeader{"toronto": {host: 0, tenure: firstTenure}, "hamilton": {host: 1, tenure: firstTenure}},
		domains:  Domains{Names: []string{"toronto", "hamilton"}, Revision: 1, Fresh: true},
		used:     map[string]time.Time{},
		runs:     map[string]int{},
	}
	m.network.fault = func(netip.AddrPort) fault {
		return rapid.SampledFrom(modelFaults).Draw(t, "fault")
	}
	m.hosts = make([]*modelHost, modelHosts)
	for i := range m.hosts {
		m.boot(i, 1)
	}
	return m
}

// boot starts the process of a host with nothing kept.
func (m *model) boot(i int, incarnation host.Incarnation) {
	h := &modelHost{identity: identityOf(i, incarnation, domainOf(i)), domains: m.domains}
	clock := func() time.Time { return m.now }
	leadership := &modelLeadership{m: m, domain: domainOf(i), host: i}
	own := NewOwnKeeper(h.identity, clock, leadership, func() Domains { return m.known(h) })
	h.service = &Service{Keeper: NewKeeper(h.identity, clock), Own: own}
	h.service.Keeper.serial = true
	h.client = &Client{
		Self:    h.identity,
		Local:   h.service,
		Calls:   m.network,
		Find:    m.find,
		Leader:  m.leader,
		Domains: func() Domains { return h.domains },
		pause:   time.Nanosecond,
	}
	m.hosts[i] = h
	m.network.serve(h.identity.Fleet, h.service)
}

// known returns the failure domains that the keeper of a host goes by.
func (m *model) known(h *modelHost) Domains {
	d := h.domains
	switch m.mutation {
	case mutationTrustSender:
		d.Names = []string{h.identity.FailureDomain}
	case mutationStale:
		d.Fresh = true
	}
	return d
}

func (m *model) find(id host.ID) (host.Identity, bool) {
	for _, h := range m.hosts {
		if h.identity.ID == id {
			return h.identity, true
		}
	}
	return host.Identity{}, false
}

// leader may name any host of the domain: views of the leader lag.
func (m *model) leader(domain string) (host.Identity, bool) {
	i := m.leaders[domain].host
	if rapid.IntRange(0, 4).Draw(m.t, "lagging view") == 0 {
		i = (i + 2) % modelHosts
	}
	return m.hosts[i].identity, true
}

func (m *model) drawHost() int { return rapid.IntRange(0, modelHosts-1).Draw(m.t, "host") }

func (m *model) issue(*rapid.T) {
	h := m.hosts[m.drawHost()]
	m.keys = append(m.keys, h.service.Keeper.Issue(modelAccount))
}

func (m *model) makeOwn(*rapid.T) {
	m.keys = append(m.keys, fmt.Sprintf("own-%d", len(m.keys)))
}

// send starts an attempt of a caller, who uses its own keys within OwnRetention
// only.
func (m *model) send(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	key := rapid.SampledFrom(m.keys[max(0, len(m.keys)-3):]).Draw(t, "key")
	if first, ok := m.used[key]; ok && !IsIssued(key) && m.now.Sub(first) >= OwnRetention {
		t.Skip("the caller gave up")
	}
	if _, ok := m.used[key]; !ok {
		m.used[key] = m.now
	}
	m.attempt(key, m.drawHost())
}

// attempt asks for a key through a host and returns the granted attempt.
func (m *model) attempt(key string, i int) *running {
	ctx := context.Background()
	ticket, decision, err := m.hosts[i].client.Begin(ctx, modelAccount, key, Fingerprint{}, time.Second)
	m.checkDecision(key, decision, err)
	if ticket == nil && (err == nil || m.mutation != mutationRunUnconfirmed) {
		return nil
	}
	a := &running{ticket: ticket, key: key, host: i}
	m.attempts = append(m.attempts, a)
	return a
}

// race sends a new key through all hosts and lets each granted attempt run.
func (m *model) race(t *rapid.T) {
	if rapid.Bool().Draw(t, "issued") {
		m.issue(t)
	} else {
		m.makeOwn(t)
	}
	key := m.keys[len(m.keys)-1]
	m.used[key] = m.now
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
		if a := m.attempt(key, i); a != nil {
			a.ran = true
			m.runs[key]++
		}
	}
}

// checkDecision compares what the caller is told with what has run.
func (m *model) checkDecision(key string, decision Decision, err error) {
	if err != nil {
		return
	}
	switch decision.Verdict {
	case VerdictReplay:
		if m.runs[key] != 1 || string(decision.Answer.Body) != key {
			m.t.Fatalf("key %q: replay of %q after %d runs", key, decision.Answer.Body, m.runs[key])
		}
	case VerdictFull, VerdictInvalid:
		if m.runs[key] != 0 {
			m.t.Fatalf("key %q: %s, but it has run", key, decision.Verdict)
		}
	}
}

func (m *model) drawAttempt(t *rapid.T) int {
	if len(m.attempts) == 0 {
		t.Skip("no attempts")
	}
	return rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
}

// run lets the upstream run an attempt.
func (m *model) run(t *rapid.T) {
	a := m.attempts[m.drawAttempt(t)]
	if a.ran {
		t.Skip("has run")
	}
	a.ran = true
	m.runs[a.key]++
}

// end ends an attempt and tells the keeper.
func (m *model) end(t *rapid.T) { m.endAttempt(t, m.drawAttempt(t)) }

func (m *model) endAttempt(t *rapid.T, i int) {
	a := m.attempts[i]
	m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
	if a.ticket == nil {
		return
	}
	result, answer := ResultNotRun, (*Answer)(nil)
	if a.ran {
		result = rapid.SampledFrom([]Result{ResultAnswered, ResultUnknown}).Draw(t, "result")
	}
	if result == ResultAnswered {
		answer = &Answer{Status: 201, Body: []byte(a.key)}
	}
	if result == ResultUnknown && m.mutation == mutationCallUnknown {
		result = ResultNotRun
	}
	_ = a.ticket.Finish(context.Background(), result, answer) // a lost report leaves the key unknown
}

// restart replaces the process of a host. Its attempts end without a report, and
// its lease passes to the other host of the domain.
func (m *model) restart(*rapid.T) {
	i := m.drawHost()
	incarnation := m.hosts[i].identity.Incarnation + 1
	secret := m.hosts[i].service.Keeper.own.secret
	if m.mutation == mutationKeepIdentity {
		incarnation--
	}
	m.boot(i, incarnation)
	if m.mutation == mutationKeepIdentity {
		keeper := m.hosts[i].service.Keeper
		keeper.own = newBook(keeper.own.id, start, secret)
	}
	kept := m.attempts[:0]
	for _, a := range m.attempts {
		if a.host != i {
			kept = append(kept, a)
		}
	}
	m.attempts = kept
	if m.leaders[domainOf(i)].host == i {
		m.elect(domainOf(i))
	}
}

// stop ends a process gracefully: its attempts have ended, its books and the
// records of own keys go to the other host of the domain.
func (m *model) stop(t *rapid.T) {
	i := m.drawHost()
	for j := 0; j < len(m.attempts); {
		if m.attempts[j].host != i {
			j++
			continue
		}
		m.endAttempt(t, j)
	}
	h, successor := m.hosts[i], m.hosts[(i+2)%modelHosts].identity
	ctx := context.Background()
	if leader := m.leaders[domainOf(i)]; leader.host == i {
		tenure := leader.tenure
		h.service.Own.Observe()
		leader.host = -1
		_ = h.service.Own.HandOver(ctx, m.network, tenure, successor) // lost: the successor begins with a quarantine
		leader.host = i
		m.elect(domainOf(i))
	}
	var others []host.Identity
	for _, other := range m.hosts {
		others = append(others, other.identity)
	}
	_ = h.service.Keeper.HandOver(ctx, m.network, successor, others) // lost: the keys stay unknown
	if m.mutation == mutationKeepBooks {
		old := h.service.Keeper.own
		copied := newBook(old.id, old.started, old.secret)
		m.boot(i, h.identity.Incarnation+1)
		m.hosts[i].service.Keeper.adopted[old.id] = &adoption{book: copied, done: true, from: m.now}
		return
	}
	m.boot(i, h.identity.Incarnation+1)
}

// elect moves the lease of a domain to its other host.
func (m *model) elect(domain string) {
	leader := m.leaders[domain]
	leader.host = (leader.host + 2) % modelHosts
	leader.tenure = Tenure{Epoch: leader.tenure.Epoch + 3, Previous: leader.tenure.Epoch}
}

func (m *model) loseLease(t *rapid.T) {
	m.elect(rapid.SampledFrom([]string{"toronto", "hamilton"}).Draw(t, "domain"))
}

// configure changes the failure domains. Hosts learn of it one by one, and one
// that has not heard for MaxStaleness knows that it may be behind.
func (m *model) configure(t *rapid.T) {
	names := [][]string{{"toronto", "hamilton"}, {"hamilton"}, {"toronto"}}
	m.domains = Domains{
		Names:    rapid.SampledFrom(names).Draw(t, "domains"),
		Revision: m.domains.Revision + configuration.Revision(1),
		Fresh:    true,
	}
}

func (m *model) learn(*rapid.T) {
	h := m.hosts[m.drawHost()]
	h.domains = m.domains
	h.service.Own.Observe()
}

func (m *model) repeatLate(t *rapid.T) {
	if len(m.network.late) == 0 {
		t.Skip("nothing is late")
	}
	m.network.late[0]()
	m.network.late = m.network.late[1:]
}

// wait lets time pass. Before MaxStaleness is over, hosts learn the
// configuration or stop trusting theirs.
func (m *model) wait(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{1, 20, 299, 301}).Draw(t, "seconds")) * time.Second
	m.now = m.now.Add(d)
	for _, h := range m.hosts {
		if h.domains.Revision != m.domains.Revision && d >= MaxStaleness/2 {
			h.domains.Fresh = false
		}
	}
	if m.mutation == mutationForgetEarly {
		for _, h := range m.hosts {
			for i := range h.service.Keeper.own.shards {
				clear(h.service.Keeper.own.shards[i].records.byID)
			}
		}
	}
}

func (m *model) check(t *rapid.T) {
	for key, runs := range m.runs {
		if runs > 1 {
			t.Fatalf("key %q ran %d times", key, runs)
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":            m.check,
		"issue":       m.issue,
		"make own":    m.makeOwn,
		"send":        m.send,
		"send again":  m.send,
		"send twice":  m.send,
		"race":        m.race,
		"run":         m.run,
		"run another": m.run,
		"end":         m.end,
		"restart":     m.restart,
		"stop":        m.stop,
		"lose lease":  m.loseLease,
		"configure":   m.configure,
		"learn":       m.learn,
		"repeat late": m.repeatLate,
		"wait":        m.wait,
	}
}

func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, mutationNone)
		t.Repeat(m.actions())
	})
}

// mutationSeeds bounds the sets of histories that are tried for one mutation.
const mutationSeeds = 12

// Each mutation breaks one rule; the model finds all of them.
func TestModelCatchesMutations(t *testing.T) {
	seed := flag.Lookup("rapid.seed").Value
	defer func(before string) { require.NoError(t, seed.Set(before)) }(seed.String())
	for broken := mutationNone + 1; broken < mutationCount; broken++ {
		t.Run(fmt.Sprint(broken), func(t *testing.T) {
			for n := range mutationSeeds {
				require.NoError(t, seed.Set(strconv.Itoa(n+1)))
				if catches(t, broken) {
					return
				}
			}
			t.Fatalf("mutation %d is not found", broken)
		})
	}
}

// catches reports whether one set of histories finds a mutation.
func catches(t *testing.T, broken mutation) bool {
	r := &recorder{TB: t}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rapid.Check(r, func(t *rapid.T) { t.Repeat(newModel(t, broken).actions()) })
	}()
	<-ended
	return r.failed
}

// recorder notes a failure in place of the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Log(...any)            {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
