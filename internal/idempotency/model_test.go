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

// mutation breaks one rule of the protocol, to show that the model detects it.
type mutation uint8

const (
	mutationNone                  mutation = iota
	mutationKeepIdentity                   // a restarted keeper does not change its incarnation and secret
	mutationRunUnconfirmed                 // a host runs the request when the keeper does not reply
	mutationDropRecordsEarly               // a keeper drops records before their keys expire
	mutationReportUnknownAsNotRun          // a host reports an unknown result as not run
	mutationNoQuarantine                   // a new leader assumes that it has the records of all caller keys
	mutationSkipHomeCheck                  // a keeper decides about any caller key, whatever its home domain
	mutationIgnoreLostLeadership           // a host that lost its leadership continues as keeper
	mutationIgnoreStaleness                // a partitioned keeper trusts its outdated list of failure domains
	mutationKeepHandedOverRecords          // a host continues to use records that it handed over
	mutationCount
)

// modelFaults holds the possible faults of a message, repeated by their weight.
var modelFaults = []fault{
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
	faultLost, faultNoReply, faultDuplicated, faultDelayedDuplicate,
}

type modelHost struct {
	identity host.Identity
	service  *Service
	client   *Client
	view     Domains // this host's view
}

// runningAttempt is an attempt that a host has started and not yet ended.
type runningAttempt struct {
	ticket *Ticket // nil under mutationRunUnconfirmed
	key    string
	host   int
	ran    bool
}

// model simulates hosts, callers and upstreams. runs counts how often each key ran,
// and is the oracle.
type model struct {
	t         *rapid.T
	mutation  mutation
	now       time.Time
	network   *network
	hosts     []*modelHost
	leaders   map[string]*modelLeader
	domains   Domains // in force
	keys      []string
	firstUsed map[string]time.Time // time of a key's first attempt
	runs      map[string]int
	attempts  []*runningAttempt
}

// modelLeader is the holder of the leadership lease of one failure domain.
type modelLeader struct {
	host int
	term LeadershipTerm
}

// modelLeadership is the Leadership of one host.
type modelLeadership struct {
	m        *model
	domain   string
	host     int
	lastHeld LeadershipTerm // the last term that this host held
}

// Held implements Leadership.
func (l *modelLeadership) Held(time.Time) (LeadershipTerm, bool) {
	leader := l.m.leaders[l.domain]
	if leader.host != l.host {
		return l.lastHeld, l.m.mutation == mutationIgnoreLostLeadership && l.lastHeld.Epoch != 0
	}
	l.lastHeld = leader.term
	if l.m.mutation == mutationNoQuarantine {
		return LeadershipTerm{Epoch: leader.term.Epoch, Previous: l.m.hosts[l.host].service.CallerKeys.quarantine.epoch, First: true}, true
	}
	return leader.term, true
}

func failureDomainOf(i int) string { return []string{"toronto", "hamilton"}[i%2] }

var firstTerm = LeadershipTerm{Epoch: 5, First: true}

func newModel(t *rapid.T, broken mutation) *model {
	m := &model{
		t:         t,
		mutation:  broken,
		now:       start,
		network:   &network{handlers: map[netip.AddrPort]handlers{}},
		leaders:   map[string]*modelLeader{"toronto": {host: 0, term: firstTerm}, "hamilton": {host: 1, term: firstTerm}},
		domains:   Domains{Names: []string{"toronto", "hamilton"}, Revision: 1, Fresh: true},
		firstUsed: map[string]time.Time{},
		runs:      map[string]int{},
	}
	m.network.fault = func(netip.AddrPort) fault {
		return rapid.SampledFrom(modelFaults).Draw(t, "fault")
	}
	m.hosts = make([]*modelHost, modelHosts)
	for i := range m.hosts {
		m.startProcess(i, 1)
	}
	return m
}

// startProcess starts a new process of a host, without records.
func (m *model) startProcess(i int, incarnation host.Incarnation) {
	h := &modelHost{identity: identityOf(i, incarnation, failureDomainOf(i)), view: m.domains}
	clock := func() time.Time { return m.now }
	leadership := &modelLeadership{m: m, domain: failureDomainOf(i), host: i}
	callerKeys := NewCallerKeyKeeper(h.identity, clock, leadership, func() Domains { return m.keeperDomains(h) })
	h.service = &Service{Keeper: NewKeeper(h.identity, clock), CallerKeys: callerKeys}
	h.service.Keeper.announceSerially = true
	h.client = &Client{
		Self:       h.identity,
		Local:      h.service,
		Calls:      m.network,
		FindHost:   m.find,
		Leader:     m.leader,
		Domains:    func() Domains { return h.view },
		retryDelay: time.Nanosecond,
	}
	m.hosts[i] = h
	m.network.serve(h.identity.Fleet, h.service)
}

// keeperDomains returns the failure domains that the keeper of a host uses.
func (m *model) keeperDomains(h *modelHost) Domains {
	d := h.view
	switch m.mutation {
	case mutationSkipHomeCheck:
		d.Names = []string{h.identity.FailureDomain}
	case mutationIgnoreStaleness:
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

// leader returns the leader of a domain as another host sees it. It may return the
// other host of the domain, because views of the leader lag.
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

func (m *model) makeCallerKey(*rapid.T) {
	m.keys = append(m.keys, fmt.Sprintf("own-%d", len(m.keys)))
}

// sendRequest starts an attempt of a caller. Callers use a caller key only within
// CallerKeyRetention of its first use.
func (m *model) sendRequest(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	key := rapid.SampledFrom(m.keys[max(0, len(m.keys)-3):]).Draw(t, "key")
	if first, ok := m.firstUsed[key]; ok && !IsIssued(key) && m.now.Sub(first) >= CallerKeyRetention {
		t.Skip("the caller gave up")
	}
	if _, ok := m.firstUsed[key]; !ok {
		m.firstUsed[key] = m.now
	}
	m.attempt(key, m.drawHost())
}

// attempt calls Begin for a key through a host. It returns the attempt if it may
// run, and nil otherwise.
func (m *model) attempt(key string, i int) *runningAttempt {
	ctx := context.Background()
	ticket, decision, err := m.hosts[i].client.Begin(ctx, modelAccount, key, Fingerprint{}, time.Second)
	m.checkDecision(key, decision, err)
	if ticket == nil && (err == nil || m.mutation != mutationRunUnconfirmed) {
		return nil
	}
	a := &runningAttempt{ticket: ticket, key: key, host: i}
	m.attempts = append(m.attempts, a)
	return a
}

// race sends a new key through all hosts and runs each attempt that may run.
func (m *model) race(t *rapid.T) {
	if rapid.Bool().Draw(t, "issued") {
		m.issue(t)
	} else {
		m.makeCallerKey(t)
	}
	key := m.keys[len(m.keys)-1]
	m.firstUsed[key] = m.now
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
		if a := m.attempt(key, i); a != nil {
			a.ran = true
			m.runs[key]++
		}
	}
}

// checkDecision compares the decision that the caller gets with what has run.
func (m *model) checkDecision(key string, decision Decision, err error) {
	if err != nil {
		return
	}
	switch decision.Verdict {
	case VerdictReplay:
		if m.runs[key] != 1 || string(decision.Response.Body) != key {
			m.t.Fatalf("key %q: replay of %q after %d runs", key, decision.Response.Body, m.runs[key])
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

// runAttempt lets the upstream run a random attempt.
func (m *model) runAttempt(t *rapid.T) {
	a := m.attempts[m.drawAttempt(t)]
	if a.ran {
		t.Skip("has run")
	}
	a.ran = true
	m.runs[a.key]++
}

// endDrawn ends a random attempt and reports its end to the keeper.
func (m *model) endDrawn(t *rapid.T) { m.endAttempt(t, m.drawAttempt(t)) }

func (m *model) endAttempt(t *rapid.T, i int) {
	a := m.attempts[i]
	m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
	if a.ticket == nil {
		return
	}
	result, response := ResultNotRun, (*Response)(nil)
	if a.ran {
		result = rapid.SampledFrom([]Result{ResultAnswered, ResultUnknown}).Draw(t, "result")
	}
	if result == ResultAnswered {
		response = &Response{Status: 201, Body: []byte(a.key)}
	}
	if result == ResultUnknown && m.mutation == mutationReportUnknownAsNotRun {
		result = ResultNotRun
	}
	_ = a.ticket.Finish(context.Background(), result, response) // a lost report leaves the key unknown
}

// restart replaces the process of a host. Its attempts end without a report, and
// its lease passes to the other host of the domain.
func (m *model) restart(*rapid.T) {
	i := m.drawHost()
	incarnation := m.hosts[i].identity.Incarnation + 1
	secret := m.hosts[i].service.Keeper.issued.secret
	if m.mutation == mutationKeepIdentity {
		incarnation--
	}
	m.startProcess(i, incarnation)
	if m.mutation == mutationKeepIdentity {
		keeper := m.hosts[i].service.Keeper
		keeper.issued = newIssuerRecords(keeper.issued.issuer, start, secret)
	}
	kept := m.attempts[:0]
	for _, a := range m.attempts {
		if a.host != i {
			kept = append(kept, a)
		}
	}
	m.attempts = kept
	if m.leaders[failureDomainOf(i)].host == i {
		m.elect(failureDomainOf(i))
	}
}

// stop shuts a process down gracefully: its attempts end first, then its records of issued
// keys and caller keys go to the other host of the domain.
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
	if leader := m.leaders[failureDomainOf(i)]; leader.host == i {
		term := leader.term
		h.service.CallerKeys.Observe()
		leader.host = -1
		_ = h.service.CallerKeys.HandOver(ctx, m.network, term, successor) // if a message is lost, the successor starts with a quarantine
		leader.host = i
		m.elect(failureDomainOf(i))
	}
	var others []host.Identity
	for _, other := range m.hosts {
		others = append(others, other.identity)
	}
	_ = h.service.Keeper.HandOver(ctx, m.network, successor, others) // if a message is lost, the keys stay unknown
	if m.mutation == mutationKeepHandedOverRecords {
		handedOver := h.service.Keeper.issued
		copied := newIssuerRecords(handedOver.issuer, handedOver.issuerStarted, handedOver.secret)
		m.startProcess(i, h.identity.Incarnation+1)
		m.hosts[i].service.Keeper.takeovers[handedOver.issuer] = &takeover{records: copied, completed: true, since: m.now}
		return
	}
	m.startProcess(i, h.identity.Incarnation+1)
}

// elect moves the lease of a domain to its other host.
func (m *model) elect(domain string) {
	leader := m.leaders[domain]
	leader.host = (leader.host + 2) % modelHosts
	leader.term = LeadershipTerm{Epoch: leader.term.Epoch + 3, Previous: leader.term.Epoch}
}

func (m *model) loseLease(t *rapid.T) {
	m.elect(rapid.SampledFrom([]string{"toronto", "hamilton"}).Draw(t, "domain"))
}

// changeDomains changes the configured failure domains. Hosts learn of the change
// one by one; one without confirmation for MaxStaleness knows that its view may be
// outdated.
func (m *model) changeDomains(t *rapid.T) {
	names := [][]string{{"toronto", "hamilton"}, {"hamilton"}, {"toronto"}}
	m.domains = Domains{
		Names:    rapid.SampledFrom(names).Draw(t, "domains"),
		Revision: m.domains.Revision + configuration.Revision(1),
		Fresh:    true,
	}
}

func (m *model) learnConfiguration(*rapid.T) {
	h := m.hosts[m.drawHost()]
	h.view = m.domains
	h.service.CallerKeys.Observe()
}

func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.network.delayed) == 0 {
		t.Skip("nothing is late")
	}
	m.network.delayed[0]()
	m.network.delayed = m.network.delayed[1:]
}

// wait advances the time. Hosts whose configuration is outdated stop trusting it
// before MaxStaleness has passed.
func (m *model) wait(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{1, 20, 299, 301}).Draw(t, "seconds")) * time.Second
	m.now = m.now.Add(d)
	for _, h := range m.hosts {
		if h.view.Revision != m.domains.Revision && d >= MaxStaleness/2 {
			h.view.Fresh = false
		}
	}
	if m.mutation == mutationDropRecordsEarly {
		for _, h := range m.hosts {
			for i := range h.service.Keeper.issued.shards {
				clear(h.service.Keeper.issued.shards[i].records.byID)
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
		"":                m.check,
		"issue":           m.issue,
		"make caller key": m.makeCallerKey,
		"send":            m.sendRequest,
		"send again":      m.sendRequest,
		"send twice":      m.sendRequest,
		"race":            m.race,
		"run":             m.runAttempt,
		"run another":     m.runAttempt,
		"end":             m.endDrawn,
		"restart":         m.restart,
		"stop":            m.stop,
		"lose lease":      m.loseLease,
		"configure":       m.changeDomains,
		"learn":           m.learnConfiguration,
		"repeat late":     m.deliverDelayed,
		"wait":            m.wait,
	}
}

func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, mutationNone)
		t.Repeat(m.actions())
	})
}

// mutationSeeds is the maximum number of seeds that are tried for one mutation.
const mutationSeeds = 12

// Each mutation breaks one rule of the protocol; the model must detect all of them.
func TestModelCatchesMutations(t *testing.T) {
	seed := flag.Lookup("rapid.seed").Value
	defer func(before string) { require.NoError(t, seed.Set(before)) }(seed.String())
	for broken := mutationNone + 1; broken < mutationCount; broken++ {
		t.Run(fmt.Sprint(broken), func(t *testing.T) {
			for n := range mutationSeeds {
				require.NoError(t, seed.Set(strconv.Itoa(n+1)))
				if detects(t, broken) {
					return
				}
			}
			t.Fatalf("mutation %d is not detected", broken)
		})
	}
}

// detects reports whether the model fails under a mutation with the current seed.
func detects(t *testing.T, broken mutation) bool {
	r := &failureRecorder{TB: t}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rapid.Check(r, func(t *rapid.T) { t.Repeat(newModel(t, broken).actions()) })
	}()
	<-ended
	return r.failed
}

// failureRecorder records the failure that rapid reports, instead of failing the
// test. FailNow ends the goroutine, so rapid.Check runs in one of its own.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
