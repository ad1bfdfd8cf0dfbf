package allotment

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotrail/internal/kvstore"
)

const (
	fleetDomains    = 3
	fleetDomainTerm = 1400 * time.Millisecond
	fleetSteps      = 200

	fleetHistoriesFull  = 500 // for each of four variants
	fleetHistoriesShort = 100
)

// fleetModel is one history of several failure domains, each with one host and a
// sequence of leaders, that share one client account through the store.
type fleetModel struct {
	base     *model // clocks and the message queue
	store    map[string][]kvstore.Entry
	revision kvstore.Revision
	down     bool
	cut      [fleetDomains]bool
	domains  [fleetDomains]*fleetDomain
	wholes   []Share // by configuration revision
	dead     [fleetDomains]bool
	oracle   *oracle
	serial   int
}

type fleetDomain struct {
	index   int
	name    string
	host    *proc
	former  []*proc
	leaders []*fleetLeader
	epoch   uint64
}

type fleetLeader struct {
	domain   *fleetDomain
	epoch    uint64
	skew     time.Duration
	leaseEnd time.Time
	config   int
	term     *DomainTerm
	observer *DomainObserver
	view     *FleetView
	hosts    *DomainAllotment
}

func newFleetModel(broken rules) *fleetModel {
	m := &fleetModel{
		base:   &model{rules: broken, now: modelEpoch, hosts: 1},
		store:  map[string][]kvstore.Entry{},
		wholes: []Share{{}, {Rate: 30, Burst: 12}},
		oracle: &oracle{},
	}
	m.oracle.whole(modelEpoch, m.wholes[1])
	for i := range m.domains {
		d := &fleetDomain{index: i, name: "d" + strconv.Itoa(i)}
		d.host = m.newHost(d)
		m.domains[i] = d
		m.elect(d)
	}
	return m
}

func (m *fleetModel) newHost(d *fleetDomain) *proc {
	p := m.base.newProc(d.index, time.Duration(m.base.serial)*time.Hour)
	p.id.FailureDomain = d.name
	return p
}

func (d *fleetDomain) leader() *fleetLeader { return d.leaders[len(d.leaders)-1] }

func (m *fleetModel) local(l *fleetLeader) time.Time { return m.base.now.Add(l.skew) }

// leads reports whether the leader may still act.
func (m *fleetModel) leads(l *fleetLeader) bool { return m.base.now.Before(l.leaseEnd) }

func (m *fleetModel) elect(d *fleetDomain) {
	reachable := !m.down && !m.cut[d.index] && !m.dead[d.index]
	if len(d.leaders) > 0 && (m.leads(d.leader()) || !reachable) {
		return
	}
	d.epoch++
	l := &fleetLeader{domain: d, epoch: d.epoch, skew: time.Duration(d.epoch) * time.Hour, config: len(m.wholes) - 1}
	l.leaseEnd = m.base.now.Add(modelLease)
	now := m.local(l)
	l.term = NewDomainTerm(d.name, l.epoch, fleetDomainTerm)
	l.observer = NewDomainObserver(now, d.name, fleetDomainTerm, modelMargin)
	l.observer.rules = m.base.rules
	l.view = NewFleetView(d.name, DocumentOf("large"))
	l.view.rules = m.base.rules
	terms := Terms{Term: modelTerm, Margin: modelMargin, Hold: modelHold}
	l.hosts = NewDomainAllotment(now, l.epoch, terms)
	l.hosts.rules = m.base.rules
	d.leaders = append(d.leaders, l)
}

// get reads an entry; lag says how many versions the answer is old.
func (m *fleetModel) get(key string, lag int) kvstore.Entry {
	versions := m.store[key]
	if len(versions) == 0 {
		return kvstore.Entry{Key: key}
	}
	return versions[max(len(versions)-1-lag, 0)]
}

func (m *fleetModel) swap(w kvstore.Write) (kvstore.Entry, error) {
	current := m.get(w.Key, 0)
	if current.Revision != w.Expected {
		return current, &kvstore.Error{Kind: kvstore.KindConflict}
	}
	m.revision++
	entry := kvstore.Entry{Key: w.Key, Value: w.Value, Revision: m.revision}
	m.store[w.Key] = append(m.store[w.Key], entry)
	m.noteInForce(w.Key)
	return entry, nil
}

func (m *fleetModel) noteInForce(key string) {
	if _, ok := DocumentIndex(key); ok {
		m.oracle.whole(m.base.now, m.inForce())
	}
}

// inForce returns the rate and burst that the document in the store allows.
func (m *fleetModel) inForce() Share {
	document, _ := DecodeDocument("", m.get(DocumentKey(DocumentOf("large")), 0).Value)
	if a := document.Account("large"); a != nil {
		return a.InForce
	}
	return m.wholes[1]
}

// write performs a write with the given fate: it succeeds, its answer is lost, it
// is lost, or it arrives much later.
func (m *fleetModel) write(l *fleetLeader, w kvstore.Write, fate int, finish func(kvstore.Entry, error)) {
	unknown := &kvstore.Error{Kind: kvstore.KindUnknownOutcome}
	switch {
	case m.down:
		finish(kvstore.Entry{}, &kvstore.Error{Kind: kvstore.KindUnavailable})
	case m.cut[l.domain.index] || fate == 1:
		finish(kvstore.Entry{}, unknown)
	case fate == 2:
		_, _ = m.swap(w)
		finish(kvstore.Entry{}, unknown)
	case fate == 3:
		m.base.send(func() { _, _ = m.swap(w) })
		finish(kvstore.Entry{}, unknown)
	default:
		finish(m.swap(w))
	}
}

func (m *fleetModel) operation() string {
	m.serial++
	return strconv.Itoa(m.serial)
}

// read brings the leader's view up to date, apart from a lag.
func (m *fleetModel) read(l *fleetLeader, lag int) {
	if m.down || m.cut[l.domain.index] {
		return
	}
	_ = l.view.Observe(m.get(l.view.Key(), lag))
	for _, d := range m.domains {
		_ = l.observer.Observe(m.local(l), d.name, m.get(DomainKey(d.name), lag))
	}
	_ = l.term.Observe(m.get(DomainKey(l.domain.name), 0))
}

func (m *fleetModel) renewRecord(l *fleetLeader, fate int) {
	peers := []string{}
	for _, d := range m.domains {
		if d != l.domain && !m.dead[d.index] {
			peers = append(peers, d.name)
		}
	}
	if w, ok := l.term.Renew(m.local(l), l.domain.host.id.ID, peers, m.operation()); ok {
		m.write(l, w, fate, func(e kvstore.Entry, err error) { _ = l.term.Finish(e, err) })
	}
}

// input is what the leader plans from.
func (m *fleetModel) input(l *fleetLeader) FleetInput {
	now := m.local(l)
	in := FleetInput{
		Domain: l.domain.name, Epoch: l.epoch, Generation: l.term.Generation(),
		Revision:      uint64(l.config),
		Accounts:      []Account{{Name: "large", Whole: m.wholes[l.config]}},
		Generations:   l.observer.Generations(),
		FloorFraction: 0.5,
		Rebalance:     true,
		ExtraValid:    m.extraValid(l),
		Demand:        func(string) float64 { return l.domain.host.demand },
		InEffect:      func(_ string, limit Share) bool { return l.hosts.InEffect(now, modelLarge, limit) },
	}
	for i, d := range m.domains {
		if m.dead[i] {
			in.Dead = append(in.Dead, d.name)
		} else {
			in.Domains = append(in.Domains, d.name)
		}
	}
	return in
}

func (m *fleetModel) extraValid(l *fleetLeader) bool {
	return m.local(l).Add(modelTerm).Before(l.term.Until())
}

func (m *fleetModel) ready(l *fleetLeader) bool {
	return m.leads(l) && l.term.Owned() && l.view.Loaded()
}

func (m *fleetModel) plan(l *fleetLeader, fate int) {
	if !m.ready(l) {
		return
	}
	w, ok := l.view.Plan(m.input(l), m.operation())
	m.adopt(l)
	if ok {
		m.write(l, w, fate, func(e kvstore.Entry, err error) { _ = l.view.Finish(e, err) })
		m.adopt(l)
	}
}

// adopt passes the domain's share on to the division among its hosts.
func (m *fleetModel) adopt(l *fleetLeader) {
	whole, total, assured := l.view.Usable("large", l.term.Generation(), m.extraValid(l))
	l.hosts.SetWhole(modelLarge, whole, total, assured)
	l.hosts.SetEnd(l.term.Until())
	if former, known := l.term.Holders(); known {
		l.hosts.SetFormer(former)
	}
	if l.view.Fenced(l.epoch) {
		l.hosts.Fence(modelLarge)
	}
}

func (m *fleetModel) divide(l *fleetLeader) {
	if m.ready(l) {
		m.adopt(l)
		l.hosts.Divide(m.local(l))
	}
}

func (m *fleetModel) fence(l *fleetLeader, fate int) {
	if !m.ready(l) {
		return
	}
	for _, domain := range l.observer.Expired(m.local(l)) {
		if w, ok := l.observer.Fence(domain, m.operation()); ok {
			m.write(l, w, fate, func(e kvstore.Entry, err error) {
				_ = l.observer.Finish(m.local(l), domain, e, err)
			})
		}
	}
}

// unanimity asks the leaders of all peers not to end the extra shares.
func (m *fleetModel) unanimity(l *fleetLeader) {
	asked := m.local(l)
	if !m.ready(l) || len(l.term.Peers()) == 0 {
		return
	}
	generation := l.term.Generation()
	missing := len(l.term.Peers())
	for _, name := range l.term.Peers() {
		peer := m.domains[int(name[1]-'0')]
		if m.cut[peer.index] != m.cut[l.domain.index] {
			return
		}
		m.base.send(func() {
			to := peer.leader()
			if !m.leads(to) || !to.observer.Promise(m.local(to), l.domain.name, generation) {
				return
			}
			m.base.send(func() {
				if missing--; missing == 0 && l.term.Generation() == generation {
					l.term.Promised(asked, fleetDomainTerm)
				}
			})
		})
	}
}

func (m *fleetModel) renewHost(d *fleetDomain, p *proc, lucky int) {
	l := d.leader()
	if p.paused || l.epoch < p.shares.Epoch() {
		return
	}
	p.shares.Observe(l.epoch)
	m.base.change(p, p.shares.Expire(m.base.local(p)))
	request := p.shares.Request(m.base.local(p), []Resource{modelLarge}, func(r Resource) Usage { return m.base.usage(p, r) })
	m.base.send(func() {
		if !m.leads(l) {
			return
		}
		answer := l.hosts.Renew(m.local(l), p.id, request)
		m.base.send(func() { m.base.atHost(p, answer) })
	})
	m.base.prompt(2, lucky)
}

func (m *fleetModel) admit(p *proc, n int) {
	now := m.base.local(p)
	for range n {
		if p.buckets[modelLarge].Take(now) {
			m.oracle.admit(m.base.now)
		}
	}
}

func (m *fleetModel) step(x uint64) {
	take := func(n int) int { v := int(x % uint64(n)); x /= uint64(n); return v }
	action := take(24)
	d := m.domains[take(fleetDomains)]
	l := d.leaders[max(len(d.leaders)-1-take(8)/7, 0)]
	fate := max(take(10)-6, 0)
	switch action {
	case 0, 1, 2, 3, 4, 5:
		m.cycle(d, l, fate)
	case 6:
		l.leaseEnd = m.extendLease(l)
		m.renewHost(d, d.host, 2)
	case 7:
		if m.leads(l) {
			m.read(l, take(4))
		}
	case 8:
		if m.leads(l) {
			m.renewRecord(l, fate)
		}
	case 9:
		m.plan(l, fate)
	case 10:
		m.divide(l)
	case 11, 12:
		m.renewHost(d, d.host, take(4))
	case 13, 14:
		m.admit(d.host, 1+take(14))
	case 15:
		m.fence(l, fate)
	case 16:
		m.unanimity(l)
	case 17:
		m.elect(d)
	case 18:
		m.base.deliver(take(len(m.base.queue)+1), take(6))
	case 19:
		m.rare(d, l, take(8), take(64))
	case 20, 21, 22, 23:
		m.base.now = m.base.now.Add(time.Duration(take(300)) * time.Millisecond)
	}
}

// cycle performs what a leader and its host do periodically.
func (m *fleetModel) cycle(d *fleetDomain, l *fleetLeader, fate int) {
	if !m.leads(l) {
		return
	}
	l.leaseEnd = m.extendLease(l)
	m.read(l, 0)
	m.renewRecord(l, fate)
	m.divide(l)
	m.renewHost(d, d.host, 2)
	m.renewHost(d, d.host, 2)
	m.fence(l, 0)
	m.plan(l, fate)
	m.divide(l)
}

// extendLease renews the lease of the newest leader while the store is reachable,
// or while it is down for all so that no other leader can be elected.
func (m *fleetModel) extendLease(l *fleetLeader) time.Time {
	if l != l.domain.leader() || !m.leads(l) || m.dead[l.domain.index] {
		return l.leaseEnd
	}
	return m.base.now.Add(modelLease)
}

func (m *fleetModel) rare(d *fleetDomain, l *fleetLeader, kind, arg int) {
	switch kind {
	case 0:
		m.cut[d.index] = !m.cut[d.index]
	case 1:
		m.down = !m.down
	case 2:
		m.wholes = append(m.wholes, Share{Rate: float64(6 * (1 + arg%6)), Burst: float64(3 * (1 + arg%5))})
	case 3:
		l.config = len(m.wholes) - 1
	case 4:
		d.former = append(d.former, d.host)
		d.host = m.newHost(d)
	case 5:
		m.base.now = m.base.now.Add(time.Duration(arg%8) * 300 * time.Millisecond)
	case 6:
		d.host.demand = float64(arg)
	case 7:
		m.markDead(d, arg)
	}
}

// markDead stops all processes of a domain and marks it dead, or revives it.
func (m *fleetModel) markDead(d *fleetDomain, arg int) {
	if m.dead[d.index] {
		m.dead[d.index] = false
	} else if arg%4 == 0 {
		m.dead[d.index] = true
		for _, l := range d.leaders {
			l.leaseEnd = time.Time{}
		}
		d.host, d.former = m.newHost(d), nil
	}
	m.wholes = append(m.wholes, m.wholes[len(m.wholes)-1])
	for _, other := range m.domains {
		other.leader().config = len(m.wholes) - 1
	}
}

func (m *fleetModel) check() error {
	var live Share
	for _, d := range m.domains {
		for _, p := range append([]*proc{d.host}, d.former...) {
			if m.base.local(p).Before(p.shares.Until()) {
				live = live.Plus(p.shares.Share(modelLarge))
			}
		}
	}
	if limit := m.inForce(); !live.Within(limit) {
		return fmt.Errorf("live shares %+v exceed %+v", live, limit)
	}
	return nil
}

func (m *fleetModel) history(steps []uint64, variant uint64) error {
	for i, x := range steps {
		m.step(mix(x + uint64(i)<<32 + variant<<60))
		if err := m.check(); err != nil {
			return err
		}
	}
	return m.oracle.check()
}

func TestFleetHistories(t *testing.T) {
	n := fleetHistoriesFull
	if testing.Short() {
		n = fleetHistoriesShort
	}
	setChecks(n)
	for variant := range uint64(4) {
		t.Run(strconv.FormatUint(variant, 10), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				steps := rapid.SliceOfN(rapid.Uint64(), fleetSteps, fleetSteps).Draw(t, "steps")
				if err := newFleetModel(rules{}).history(steps, variant); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestFleetMutations shows that each rule between failure domains is needed.
func TestFleetMutations(t *testing.T) {
	mutations := []mutation{
		{"reclaim extra shares without waiting", rules{reclaimUnfenced: true}, 71},
		{"forget a write with a lost answer", rules{ignoreLostWrite: true}, 653},
		{"renew beyond the domain's term", rules{ignoreEnd: true}, 3408},
	}
	generator := rapid.SliceOfN(rapid.Uint64(), fleetSteps, fleetSteps)
	checkMutations(t, mutations, func(n int, broken rules) error {
		return newFleetModel(broken).history(generator.Example(n), 0)
	})
}
