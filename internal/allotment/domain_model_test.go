package allotment

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
	"pgregory.net/rapid"
)

// Sizes of the model: short terms so that many of them pass in one history.
const (
	modelTerm     = time.Second
	modelMargin   = 100 * time.Millisecond
	modelHold     = 500 * time.Millisecond
	modelLease    = 1200 * time.Millisecond
	modelLoanTerm = 250 * time.Millisecond
	modelDrift    = 0.002 // largest difference of a clock's rate
)

const (
	modelLarge    = Resource("account/large")
	modelTiny     = Resource("account/tiny")
	modelUpstream = Resource("upstream/u")
)

var modelResources = []Resource{modelLarge, modelTiny, modelUpstream}

// modelEpoch is the true start time.
var modelEpoch = time.Unix(1_800_000_000, 0)

// proc is one process of a host, with its own clock. A restarted host's former
// process may be paused in place of dead.
type proc struct {
	id       host.Identity
	skew     time.Duration
	rate     float64
	shares   *HostShares
	buckets  map[Resource]*Bucket
	borrowed map[Resource]*Borrowed
	running  []time.Time // deadlines of the requests on the upstream
	demand   float64
	paused   bool
}

// leaderProc is one holder of the leadership.
type leaderProc struct {
	allotment *DomainAllotment
	skew      time.Duration
	leaseEnd  time.Time // true time
}

// model is one history of a failure domain.
type model struct {
	rules   rules
	now     time.Time
	procs   []*proc // the newest process of each host first, then former ones
	hosts   int
	leaders []*leaderProc
	queue   []func()
	inForce map[Resource]Share // the most that may be in use
	target  map[Resource]Share
	oracle  map[Resource]*oracle
	serial  host.Incarnation
}

func newModel(hosts int, broken rules) *model {
	m := &model{
		rules: broken, now: modelEpoch, hosts: hosts,
		inForce: map[Resource]Share{
			modelLarge:    {Rate: 20, Burst: 10},
			modelTiny:     {Rate: 4, Burst: 3},
			modelUpstream: {Slots: 5, Connections: 10},
		},
		target: map[Resource]Share{},
		oracle: map[Resource]*oracle{},
	}
	for r, whole := range m.inForce {
		m.target[r] = whole
		m.oracle[r] = &oracle{}
		m.oracle[r].whole(m.now, whole)
	}
	for i := range hosts {
		m.procs = append(m.procs, m.newProc(i, 0))
	}
	m.elect(0)
	return m
}

func (m *model) newProc(i int, skew time.Duration) *proc {
	m.serial++
	p := &proc{
		id:       host.Identity{ID: host.ID(strconv.Itoa(i)), Incarnation: m.serial},
		skew:     skew,
		rate:     1 + modelDrift*float64(int(m.serial)%3-1),
		shares:   NewHostShares(),
		buckets:  map[Resource]*Bucket{},
		borrowed: map[Resource]*Borrowed{},
		demand:   float64(1 + 7*(i%2)),
	}
	p.shares.rules = m.rules
	for _, r := range modelResources[:2] {
		p.buckets[r] = NewBucket(modelMargin)
		p.buckets[r].rules = m.rules
		p.borrowed[r] = &Borrowed{rules: m.rules}
	}
	return p
}

func (m *model) local(p *proc) time.Time {
	elapsed := float64(m.now.Sub(modelEpoch)) * p.rate
	return modelEpoch.Add(time.Duration(elapsed) + p.skew)
}

func (m *model) leader() *leaderProc { return m.leaders[len(m.leaders)-1] }

func (l *leaderProc) local(now time.Time) time.Time { return now.Add(l.skew) }

// elect starts a new epoch once the last lease is over.
func (m *model) elect(skew time.Duration) {
	if len(m.leaders) > 0 && m.now.Before(m.leader().leaseEnd) {
		return
	}
	l := &leaderProc{skew: skew, leaseEnd: m.now.Add(modelLease)}
	terms := Terms{Term: modelTerm, Margin: modelMargin, Hold: modelHold}
	l.allotment = NewDomainAllotment(l.local(m.now), uint64(len(m.leaders)+1), terms)
	if len(m.leaders) == 0 {
		l.allotment.SetFormer(nil)
	}
	l.allotment.rules = m.rules
	for r, whole := range m.inForce {
		l.allotment.SetWhole(r, whole, whole, whole)
		l.allotment.Fence(r)
	}
	m.leaders = append(m.leaders, l)
}

// renew sends a request of p to a leader that it may know.
func (m *model) renew(p *proc, l *leaderProc) {
	now := m.local(p)
	p.shares.Observe(l.allotment.Epoch())
	m.change(p, p.shares.Expire(now))
	request := p.shares.Request(now, modelResources, func(r Resource) Usage { return m.usage(p, r) })
	m.send(func() { m.atLeader(p, l, request) })
}

func (m *model) usage(p *proc, r Resource) Usage {
	now := m.local(p)
	if r == modelUpstream {
		n := p.inUse(now)
		return Usage{Demand: p.demand, Held: Share{Slots: n, Connections: n}}
	}
	return Usage{Demand: p.demand, Held: p.buckets[r].Held()}
}

func (p *proc) inUse(now time.Time) int {
	n := 0
	for _, deadline := range p.running {
		if now.Before(deadline) {
			n++
		}
	}
	return n
}

func (m *model) atLeader(p *proc, l *leaderProc, request RenewRequest) {
	if !m.now.Before(l.leaseEnd) {
		return
	}
	answer := l.allotment.Renew(l.local(m.now), p.id, request)
	m.send(func() { m.atHost(p, answer) })
}

func (m *model) atHost(p *proc, answer RenewResponse) {
	now := m.local(p)
	m.change(p, p.shares.Apply(now, answer))
	for _, b := range p.buckets {
		b.Extend(now, p.shares.Until())
	}
}

func (m *model) change(p *proc, changes []Change) {
	for _, c := range changes {
		if b := p.buckets[c.Resource]; b != nil {
			b.Resize(m.local(p), c.Share)
		}
	}
}

// send queues a message. The queue is unordered and may lose or repeat it.
func (m *model) send(deliver func()) {
	m.queue = append(m.queue, deliver)
	if len(m.queue) > 24 {
		m.queue = m.queue[1:]
	}
}

// admit tries n requests of an account at p.
func (m *model) admit(p *proc, r Resource, n int) {
	now := m.local(p)
	for range n {
		if p.borrowed[r].Take(now) || p.buckets[r].Take(now) {
			m.oracle[r].admit(m.now)
		}
	}
}

// run starts a request on the upstream if p has a free slot.
func (m *model) run(p *proc, length time.Duration) {
	now := m.local(p)
	if now.Before(p.shares.Until()) && p.inUse(now) < p.shares.Share(modelUpstream).Slots {
		p.running = append(p.running, now.Add(length))
	}
}

// borrow asks peer for tokens, and settles earlier loans.
func (m *model) borrow(p, peer *proc, r Resource) {
	asked := m.local(p)
	lender := Lender{Host: peer.id.ID, Incarnation: peer.id.Incarnation}
	settlements := p.borrowed[r].Settlements(asked, lender)
	m.send(func() {
		at := m.local(peer)
		for _, s := range settlements {
			peer.buckets[r].Settle(at, s.ID, s.Unspent)
		}
		loan, _ := peer.buckets[r].Lend(at, 3, 0, modelLoanTerm)
		m.send(func() {
			p.borrowed[r].Acknowledge(lender, settlements)
			p.borrowed[r].Add(m.local(p), asked, lender, loan)
		})
	})
}

// setWhole changes the whole of a resource; a lower one is in force once the
// leader says so.
func (m *model) setWhole(r Resource, percent int) {
	base := map[Resource]Share{
		modelLarge:    {Rate: 20, Burst: 10},
		modelTiny:     {Rate: 4, Burst: 3},
		modelUpstream: {Slots: 5, Connections: 10},
	}[r]
	target := base.Scale(float64(percent) / 100)
	m.target[r] = target
	m.raise(r, m.inForce[r].Max(target))
}

func (m *model) raise(r Resource, whole Share) {
	m.inForce[r] = whole
	m.oracle[r].whole(m.now, whole)
}

// lead lets the leader divide, and takes lower wholes as in force once they are
// in effect.
func (m *model) lead(l *leaderProc) {
	if !m.now.Before(l.leaseEnd) {
		return
	}
	now := l.local(m.now)
	for _, r := range modelResources {
		limit := m.target[r].Max(m.inForce[r])
		l.allotment.SetWhole(r, m.target[r], limit, limit)
	}
	l.allotment.Divide(now)
	for _, r := range modelResources {
		if l == m.leader() && (l.allotment.InEffect(now, r, m.target[r]) || m.rules.lowerWithoutShrink) {
			m.raise(r, m.target[r])
		}
	}
}

// check compares the shares that processes may use with what is in force.
func (m *model) check() error {
	for _, r := range modelResources {
		var live Share
		running := 0
		for _, p := range m.procs {
			now := m.local(p)
			if now.Before(p.shares.Until()) {
				live = live.Plus(p.shares.Share(r))
			}
			running += p.inUse(now)
		}
		if !live.Within(m.inForce[r]) {
			return fmt.Errorf("%s: live shares %+v exceed %+v", r, live, m.inForce[r])
		}
		if r == modelUpstream && running > m.inForce[r].Slots {
			return fmt.Errorf("%d requests run on %d slots", running, m.inForce[r].Slots)
		}
	}
	return nil
}

// step performs the action that one random number selects.
func (m *model) step(x uint64) {
	take := func(n int) int { v := int(x % uint64(n)); x /= uint64(n); return v }
	action := take(24)
	p := m.procs[take(len(m.procs))]
	r := modelResources[take(2)]
	if p.paused && action < 14 {
		return
	}
	switch action {
	case 0, 1, 2, 3, 4:
		l := m.leader()
		if take(8) == 0 {
			l = m.leaders[take(len(m.leaders))]
		}
		if l.allotment.Epoch() >= p.shares.Epoch() {
			m.renew(p, l)
			m.prompt(2, take(4))
		}
	case 5, 6, 7, 8:
		m.admit(p, r, 1+take(12))
	case 9:
		m.run(p, time.Duration(1+take(5))*100*time.Millisecond)
	case 10, 11:
		if peer := m.procs[take(m.hosts)]; peer != p {
			m.borrow(p, peer, r)
			m.prompt(2, take(4))
		}
	case 12:
		p.demand = float64(take(20))
	case 13:
		p.borrowed[r].Return(m.local(p), modelLoanTerm)
	case 14, 15, 16:
		m.deliver(take(len(m.queue)+1), take(6))
	case 17, 18:
		m.lead(m.leaders[max(len(m.leaders)-1-take(2), 0)])
	case 19:
		m.elect(time.Duration(take(64)) * time.Second)
	case 20:
		m.rare(take(9), p, take(64))
	case 21, 22, 23:
		m.now = m.now.Add(time.Duration(take(200)) * time.Millisecond)
	}
}

// prompt delivers up to n messages at once, each in the order sent, so that most
// calls complete.
func (m *model) prompt(n, lucky int) {
	for range n {
		if lucky > 0 && len(m.queue) > 0 {
			m.deliver(len(m.queue)-1, lucky)
		}
	}
}

// rare performs the seldom actions.
func (m *model) rare(kind int, p *proc, arg int) {
	switch kind {
	case 0, 1:
		p.paused = !p.paused
	case 2:
		m.restart(arg%m.hosts, arg%2 == 0)
	case 3:
		m.setWhole(modelResources[arg%3], 40+20*(arg%5))
	case 4:
		m.now = m.now.Add(time.Duration(arg%8) * 250 * time.Millisecond)
		if m.now.Before(m.leader().leaseEnd) {
			m.leader().leaseEnd = m.leader().leaseEnd.Add(time.Duration(arg%2) * modelLease)
		}
	case 5:
		m.change(p, p.shares.Leave())
	case 6:
		m.handOver()
	case 7, 8:
		m.holdOver(p)
	}
}

// holdOver lets a process keep its shares while there is no leader, at the half of
// the accounts' shares.
func (m *model) holdOver(p *proc) {
	l := m.leader()
	if m.now.Before(l.leaseEnd) || l.allotment.Epoch() != p.shares.Epoch() {
		return
	}
	now := m.local(p)
	m.change(p, p.shares.Expire(now))
	m.change(p, p.shares.HoldOver(now, now, modelTerm/2, DefaultFloorFraction))
	for _, b := range p.buckets {
		b.Extend(now, p.shares.Until())
	}
}

// handOver ends the leadership and begins the next with the known holders.
func (m *model) handOver() {
	l := m.leader()
	if !m.now.Before(l.leaseEnd) {
		return
	}
	holders, ok := l.allotment.HandOver(l.local(m.now))
	l.leaseEnd = m.now
	m.elect(l.skew + time.Hour)
	if ok {
		m.leader().allotment.SetFormer(holders)
	}
}

// restart replaces a host's process. The former one is dead, or paused and wakes later.
func (m *model) restart(i int, dead bool) {
	former := m.procs[i]
	m.procs[i] = m.newProc(i, time.Duration(m.serial)*time.Hour)
	if !dead && len(m.procs) < 2*m.hosts {
		former.paused = true
		m.procs = append(m.procs, former)
	}
}

// deliver takes a message from the queue: it arrives, arrives and stays to arrive
// again, or is lost.
func (m *model) deliver(i, fate int) {
	if i >= len(m.queue) {
		return
	}
	message := m.queue[i]
	if fate != 0 {
		m.queue = append(m.queue[:i:i], m.queue[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

// mix spreads the generator's mostly small numbers evenly.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// history runs one history and returns the first violation.
func (m *model) history(steps []uint64) error {
	for i, x := range steps {
		m.step(mix(x + uint64(i)<<32))
		if err := m.check(); err != nil {
			return err
		}
	}
	for r, o := range m.oracle {
		if err := o.check(); err != nil {
			return fmt.Errorf("%s: %w", r, err)
		}
	}
	return nil
}

const (
	historySteps      = 250
	historiesFull     = 5000 // for each of four sizes
	historiesShort    = 200
	historiesMutation = 30000 // at most, until the first violation
)

func setChecks(n int) {
	_ = flag.Set("rapid.checks", strconv.Itoa(n))
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestDomainHistories(t *testing.T) {
	n := historiesFull
	if testing.Short() {
		n = historiesShort
	}
	setChecks(n)
	for hosts := 1; hosts <= 4; hosts++ {
		t.Run(strconv.Itoa(hosts)+" hosts", func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				steps := rapid.SliceOfN(rapid.Uint64(), historySteps, historySteps).Draw(t, "steps")
				if err := newModel(hosts, rules{}).history(steps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// mutation is a set of broken rules and a history that shows the violation. When
// the model changes, later histories are tried.
type mutation struct {
	name   string
	broken rules
	first  int
}

// checkMutations requires that some history breaks a promise under each mutation.
func checkMutations(t *testing.T, mutations []mutation, history func(n int, broken rules) error) {
	t.Cleanup(invariant.SetHandler(func(*invariant.Violation) {}))
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for n := m.first; n < m.first+historiesMutation; n++ {
				if err := history(n, m.broken); err != nil {
					t.Logf("history %d: %v", n, err)
					return
				}
			}
			t.Fatalf("not caught in %d histories", historiesMutation)
		})
	}
}

// TestDomainMutations shows that each rule of the protocol is needed: without it,
// some history breaks a promise.
func TestDomainMutations(t *testing.T) {
	mutations := []mutation{
		{"skip the empty start", rules{skipEmptyStart: true}, 454},
		{"count the term from the answer", rules{termFromAnswer: true}, 4133},
		{"ignore the epoch", rules{ignoreEpoch: true}, 21673},
		{"lend without counting outstanding", rules{lendUncounted: true}, 3413},
		{"reclaim without waiting", rules{reclaimWithoutWait: true}, 1},
		{"give again before the confirmation", rules{growBeforeConfirm: true}, 1},
		{"open a new epoch without waiting", rules{openWithoutWait: true}, 1},
		{"lower the rate before all holders shrank", rules{lowerWithoutShrink: true}, 8},
	}
	generator := rapid.SliceOfN(rapid.Uint64(), historySteps, historySteps)
	checkMutations(t, mutations, func(n int, broken rules) error {
		return newModel(1+n%4, broken).history(generator.Example(n))
	})
}
