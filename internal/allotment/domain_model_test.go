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

// Parameters of the model. The leases are short, so that many of them expire in one
// history.
const (
	modelShareLease  = time.Second
	modelMargin      = 100 * time.Millisecond
	modelMaxDeadline = 500 * time.Millisecond
	modelLeaderLease = 1200 * time.Millisecond
	modelLoanTerm    = 250 * time.Millisecond
	modelDrift       = 0.002 // largest relative error of a clock's rate
)

const (
	modelLarge    = Resource("account/large")
	modelTiny     = Resource("account/tiny")
	modelUpstream = Resource("upstream/u")
)

var modelResources = []Resource{modelLarge, modelTiny, modelUpstream}

// modelEpoch is the true time at which each history starts.
var modelEpoch = time.Unix(1_800_000_000, 0)

// process is one process of a host, with its own clock. After a restart of the host,
// the old process may be paused instead of dead.
type process struct {
	id               host.Identity
	clockOffset      time.Duration
	clockRate        float64
	shares           *HostShares
	buckets          map[Resource]*Bucket
	borrowed         map[Resource]*Borrowed
	requestDeadlines []time.Time // of the requests running at the upstream
	demand           float64
	paused           bool
}

// leaderProcess is a process that was elected leader of the domain.
type leaderProcess struct {
	allotment   *DomainAllotment
	clockOffset time.Duration
	leaseEnd    time.Time // true time
}

// model simulates one history of a failure domain.
type model struct {
	mutations    mutations
	now          time.Time
	processes    []*process // the newest process of each host first, then old ones
	hostCount    int
	leaders      []*leaderProcess
	queue        []func()
	inForce      map[Resource]Share // the limit for the amount in use
	target       map[Resource]Share
	oracles      map[Resource]*oracle
	incarnations host.Incarnation
}

func newModel(hosts int, enabled mutations) *model {
	m := &model{
		mutations: enabled, now: modelEpoch, hostCount: hosts,
		inForce: map[Resource]Share{
			modelLarge:    {Rate: 20, Burst: 10},
			modelTiny:     {Rate: 4, Burst: 3},
			modelUpstream: {Slots: 5, Connections: 10},
		},
		target:  map[Resource]Share{},
		oracles: map[Resource]*oracle{},
	}
	for r, limit := range m.inForce {
		m.target[r] = limit
		m.oracles[r] = &oracle{}
		m.oracles[r].setLimit(m.now, limit)
	}
	for i := range hosts {
		m.processes = append(m.processes, m.newProcess(i, 0))
	}
	m.elect(0)
	return m
}

func (m *model) newProcess(i int, clockOffset time.Duration) *process {
	m.incarnations++
	p := &process{
		id:          host.Identity{ID: host.ID(strconv.Itoa(i)), Incarnation: m.incarnations},
		clockOffset: clockOffset,
		clockRate:   1 + modelDrift*float64(int(m.incarnations)%3-1),
		shares:      NewHostShares(),
		buckets:     map[Resource]*Bucket{},
		borrowed:    map[Resource]*Borrowed{},
		demand:      float64(1 + 7*(i%2)),
	}
	p.shares.mutations = m.mutations
	for _, r := range modelResources[:2] {
		p.buckets[r] = NewBucket(modelMargin)
		p.buckets[r].mutations = m.mutations
		p.borrowed[r] = &Borrowed{mutations: m.mutations}
	}
	return p
}

func (m *model) localTime(p *process) time.Time {
	elapsed := float64(m.now.Sub(modelEpoch)) * p.clockRate
	return modelEpoch.Add(time.Duration(elapsed) + p.clockOffset)
}

func (m *model) leader() *leaderProcess { return m.leaders[len(m.leaders)-1] }

func (l *leaderProcess) localTime(now time.Time) time.Time { return now.Add(l.clockOffset) }

// elect starts a new epoch if the lease of the last leader has expired.
func (m *model) elect(clockOffset time.Duration) {
	if len(m.leaders) > 0 && m.now.Before(m.leader().leaseEnd) {
		return
	}
	l := &leaderProcess{clockOffset: clockOffset, leaseEnd: m.now.Add(modelLeaderLease)}
	times := LeaseTimes{Lease: modelShareLease, Margin: modelMargin, Deadline: modelMaxDeadline}
	l.allotment = NewDomainAllotment(l.localTime(m.now), uint64(len(m.leaders)+1), times)
	if len(m.leaders) == 0 {
		l.allotment.SetPreviousHolders(nil)
	}
	l.allotment.mutations = m.mutations
	for r, limit := range m.inForce {
		l.allotment.SetLimit(r, limit, limit, limit)
		l.allotment.Fence(r)
	}
	m.leaders = append(m.leaders, l)
}

// renew sends a renewal request of p to the leader l.
func (m *model) renew(p *process, l *leaderProcess) {
	now := m.localTime(p)
	p.shares.ObserveEpoch(l.allotment.Epoch())
	m.applyChanges(p, p.shares.Expire(now))
	request := p.shares.Request(now, modelResources, func(r Resource) Usage { return m.usage(p, r) })
	m.send(func() { m.atLeader(p, l, request) })
}

func (m *model) usage(p *process, r Resource) Usage {
	now := m.localTime(p)
	if r == modelUpstream {
		n := p.inUse(now)
		return Usage{Demand: p.demand, InUse: Share{Slots: n, Connections: n}}
	}
	return Usage{Demand: p.demand, InUse: p.buckets[r].InUse()}
}

func (p *process) inUse(now time.Time) int {
	n := 0
	for _, deadline := range p.requestDeadlines {
		if now.Before(deadline) {
			n++
		}
	}
	return n
}

func (m *model) atLeader(p *process, l *leaderProcess, request RenewRequest) {
	if !m.now.Before(l.leaseEnd) {
		return
	}
	reply := l.allotment.Renew(l.localTime(m.now), p.id, request)
	m.send(func() { m.atHost(p, reply) })
}

func (m *model) atHost(p *process, reply RenewReply) {
	now := m.localTime(p)
	m.applyChanges(p, p.shares.Apply(now, reply))
	for _, b := range p.buckets {
		b.Extend(now, p.shares.Until())
	}
}

func (m *model) applyChanges(p *process, changes []ShareChange) {
	for _, c := range changes {
		if b := p.buckets[c.Resource]; b != nil {
			b.Resize(m.localTime(p), c.Share)
		}
	}
}

// send queues a message. The queue may reorder, lose or repeat messages.
func (m *model) send(deliver func()) {
	m.queue = append(m.queue, deliver)
	if len(m.queue) > 24 {
		m.queue = m.queue[1:]
	}
}

// admit attempts to admit n requests of an account at p.
func (m *model) admit(p *process, r Resource, n int) {
	now := m.localTime(p)
	for range n {
		if p.borrowed[r].Take(now) || p.buckets[r].Take(now) {
			m.oracles[r].admit(m.now)
		}
	}
}

// startRequest starts a request on the upstream if p has a free slot.
func (m *model) startRequest(p *process, length time.Duration) {
	now := m.localTime(p)
	if now.Before(p.shares.Until()) && p.inUse(now) < p.shares.Share(modelUpstream).Slots {
		p.requestDeadlines = append(p.requestDeadlines, now.Add(length))
	}
}

// borrow requests tokens from peer and returns unspent tokens of earlier loans.
func (m *model) borrow(p, peer *process, r Resource) {
	asked := m.localTime(p)
	lender := Lender{Host: peer.id.ID, Incarnation: peer.id.Incarnation}
	returns := p.borrowed[r].PendingReturns(asked, lender)
	m.send(func() {
		at := m.localTime(peer)
		for _, loanReturn := range returns {
			peer.buckets[r].EndLoan(at, loanReturn.ID, loanReturn.Unspent)
		}
		loan, _ := peer.buckets[r].Lend(at, 3, 0, modelLoanTerm)
		m.send(func() {
			p.borrowed[r].Acknowledge(lender, returns)
			p.borrowed[r].Add(m.localTime(p), asked, lender, loan)
		})
	})
}

// setLimit changes the limit of a resource. A lower limit is in force only once the
// leader reports that it is in effect.
func (m *model) setLimit(r Resource, percent int) {
	base := map[Resource]Share{
		modelLarge:    {Rate: 20, Burst: 10},
		modelTiny:     {Rate: 4, Burst: 3},
		modelUpstream: {Slots: 5, Connections: 10},
	}[r]
	target := base.Scale(float64(percent) / 100)
	m.target[r] = target
	m.setInForce(r, m.inForce[r].Max(target))
}

func (m *model) setInForce(r Resource, limit Share) {
	m.inForce[r] = limit
	m.oracles[r].setLimit(m.now, limit)
}

// divideAndLower makes the leader divide the resources, and puts lower limits in force
// that are in effect.
func (m *model) divideAndLower(l *leaderProcess) {
	if !m.now.Before(l.leaseEnd) {
		return
	}
	now := l.localTime(m.now)
	for _, r := range modelResources {
		limit := m.target[r].Max(m.inForce[r])
		l.allotment.SetLimit(r, m.target[r], limit, limit)
	}
	l.allotment.Divide(now)
	for _, r := range modelResources {
		if l == m.leader() && (l.allotment.InEffect(now, r, m.target[r]) || m.mutations.lowerBeforeShrink) {
			m.setInForce(r, m.target[r])
		}
	}
}

// check compares the sum of the shares that processes may use with the limit in force.
func (m *model) check() error {
	for _, r := range modelResources {
		var live Share
		running := 0
		for _, p := range m.processes {
			now := m.localTime(p)
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
	draw := func(n int) int { v := int(x % uint64(n)); x /= uint64(n); return v }
	action := draw(24)
	p := m.processes[draw(len(m.processes))]
	r := modelResources[draw(2)]
	if p.paused && action < 14 {
		return
	}
	switch action {
	case 0, 1, 2, 3, 4:
		l := m.leader()
		if draw(8) == 0 {
			l = m.leaders[draw(len(m.leaders))]
		}
		if l.allotment.Epoch() >= p.shares.Epoch() {
			m.renew(p, l)
			m.deliverNewest(2, draw(4))
		}
	case 5, 6, 7, 8:
		m.admit(p, r, 1+draw(12))
	case 9:
		m.startRequest(p, time.Duration(1+draw(5))*100*time.Millisecond)
	case 10, 11:
		if peer := m.processes[draw(m.hostCount)]; peer != p {
			m.borrow(p, peer, r)
			m.deliverNewest(2, draw(4))
		}
	case 12:
		p.demand = float64(draw(20))
	case 13:
		p.borrowed[r].ReturnEnding(m.localTime(p), modelLoanTerm)
	case 14, 15, 16:
		m.deliver(draw(len(m.queue)+1), draw(6))
	case 17, 18:
		m.divideAndLower(m.leaders[max(len(m.leaders)-1-draw(2), 0)])
	case 19:
		m.elect(time.Duration(draw(64)) * time.Second)
	case 20:
		m.rareAction(draw(9), p, draw(64))
	case 21, 22, 23:
		m.now = m.now.Add(time.Duration(draw(200)) * time.Millisecond)
	}
}

// deliverNewest calls deliver for the newest message, n times, unless fate is 0. With
// n = 2 it processes a request and its reply, so that most calls complete.
func (m *model) deliverNewest(n, fate int) {
	for range n {
		if fate > 0 && len(m.queue) > 0 {
			m.deliver(len(m.queue)-1, fate)
		}
	}
}

// rareAction performs an action that is selected less often than those of step.
func (m *model) rareAction(kind int, p *process, arg int) {
	switch kind {
	case 0, 1:
		p.paused = !p.paused
	case 2:
		m.restart(arg%m.hostCount, arg%2 == 0)
	case 3:
		m.setLimit(modelResources[arg%3], 40+20*(arg%5))
	case 4:
		m.now = m.now.Add(time.Duration(arg%8) * 250 * time.Millisecond)
		if m.now.Before(m.leader().leaseEnd) {
			m.leader().leaseEnd = m.leader().leaseEnd.Add(time.Duration(arg%2) * modelLeaderLease)
		}
	case 5:
		m.applyChanges(p, p.shares.Leave())
	case 6:
		m.handOver()
	case 7, 8:
		m.holdOver(p)
	}
}

// holdOver makes a process extend its lease while there is no leader, with half of the
// shares of accounts.
func (m *model) holdOver(p *process) {
	l := m.leader()
	if m.now.Before(l.leaseEnd) || l.allotment.Epoch() != p.shares.Epoch() {
		return
	}
	now := m.localTime(p)
	m.applyChanges(p, p.shares.Expire(now))
	m.applyChanges(p, p.shares.HoldOver(now, now, modelShareLease/2, DefaultFloorFraction))
	for _, b := range p.buckets {
		b.Extend(now, p.shares.Until())
	}
}

// handOver ends the leadership and starts the next with the holders that the old
// leader knows.
func (m *model) handOver() {
	l := m.leader()
	if !m.now.Before(l.leaseEnd) {
		return
	}
	holders, ok := l.allotment.HandOver(l.localTime(m.now))
	l.leaseEnd = m.now
	m.elect(l.clockOffset + time.Hour)
	if ok {
		m.leader().allotment.SetPreviousHolders(holders)
	}
}

// restart replaces a host's process. The old process is dead, or is paused and resumes
// later.
func (m *model) restart(i int, dead bool) {
	old := m.processes[i]
	m.processes[i] = m.newProcess(i, time.Duration(m.incarnations)*time.Hour)
	if !dead && len(m.processes) < 2*m.hostCount {
		old.paused = true
		m.processes = append(m.processes, old)
	}
}

// deliver processes message i of the queue. Fate 0 delivers it and keeps it for another
// delivery, 1 drops it, and any other value delivers it once.
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

// mix hashes x, because rapid draws mostly small numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// run performs the steps of one history and returns the first violation.
func (m *model) run(steps []uint64) error {
	for i, x := range steps {
		m.step(mix(x + uint64(i)<<32))
		if err := m.check(); err != nil {
			return err
		}
	}
	for r, o := range m.oracles {
		if err := o.check(); err != nil {
			return fmt.Errorf("%s: %w", r, err)
		}
	}
	return nil
}

const (
	historySteps         = 250
	historiesFull        = 5000 // for each of four numbers of hosts
	historiesShort       = 200
	maxMutationHistories = 30000 // at most, until the first violation
)

func setRapidFlags(n int) {
	_ = flag.Set("rapid.checks", strconv.Itoa(n))
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestDomainHistories(t *testing.T) {
	n := historiesFull
	if testing.Short() {
		n = historiesShort
	}
	setRapidFlags(n)
	for hosts := 1; hosts <= 4; hosts++ {
		t.Run(strconv.Itoa(hosts)+" hosts", func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				steps := rapid.SliceOfN(rapid.Uint64(), historySteps, historySteps).Draw(t, "steps")
				if err := newModel(hosts, mutations{}).run(steps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// mutationCase names the disabled rules and the first history to try, which was the
// first to show a violation. After changes of the model a later one may be needed.
type mutationCase struct {
	name         string
	mutations    mutations
	firstHistory int
}

// checkMutations requires that some history violates a limit with each mutation.
func checkMutations(t *testing.T, cases []mutationCase, history func(n int, enabled mutations) error) {
	t.Cleanup(invariant.SetHandler(func(*invariant.Violation) {}))
	for _, m := range cases {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for n := m.firstHistory; n < m.firstHistory+maxMutationHistories; n++ {
				if err := history(n, m.mutations); err != nil {
					t.Logf("history %d: %v", n, err)
					return
				}
			}
			t.Fatalf("not caught in %d histories", maxMutationHistories)
		})
	}
}

// TestDomainMutations shows that each rule of the protocol is needed: without it, some
// history violates a limit.
func TestDomainMutations(t *testing.T) {
	cases := []mutationCase{
		{"skip the empty start", mutations{skipEmptyStart: true}, 454},
		{"count the lease from the reply", mutations{leaseFromReply: true}, 4133},
		{"ignore the epoch", mutations{ignoreEpoch: true}, 21673},
		{"lend without counting outstanding loans", mutations{ignoreOutstandingLoans: true}, 3413},
		{"reclaim without waiting", mutations{reclaimWithoutWait: true}, 1},
		{"reallocate before the confirmation", mutations{growBeforeConfirm: true}, 1},
		{"allocate in a new epoch without waiting", mutations{skipRecoveryWait: true}, 1},
		{"lower the rate before all holders have shrunk", mutations{lowerBeforeShrink: true}, 8},
	}
	generator := rapid.SliceOfN(rapid.Uint64(), historySteps, historySteps)
	checkMutations(t, cases, func(n int, enabled mutations) error {
		return newModel(1+n%4, enabled).run(generator.Example(n))
	})
}
