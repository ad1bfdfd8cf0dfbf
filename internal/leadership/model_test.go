package leadership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

const (
	modelStep   = 250 * time.Millisecond
	modelBeat   = time.Second
	modelFaults = 5 * time.Minute // with faults
	modelQuiet  = time.Minute     // without faults, at the end
)

var modelStart = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// modelStore is the key of one domain with its lease.
type modelStore struct {
	up       bool
	revision uint64
	holder   host.Identity
	epoch    uint64
	expires  time.Time
}

func (s *modelStore) held(now time.Time) bool { return s.epoch != 0 && now.Before(s.expires) }

// modelCall is one call to the store under way.
type modelCall struct {
	action   Action
	sent     time.Time
	effectAt time.Time
	answerAt time.Time
	lost     bool // the answer
	from     host.Identity
	result   Result
}

type modelHost struct {
	identity host.Identity
	elector  *Elector
	call     *modelCall
	pausedTo time.Time
	downTo   time.Time
	peers    time.Time // last exchange
	heardOf  map[host.ID]time.Time
}

func (h *modelHost) runs(now time.Time) bool { return !now.Before(h.pausedTo) && !now.Before(h.downTo) }

// model is one failure domain whose hosts run electors. Its faults follow the
// assumptions of the design: the whole domain reaches the store or none of it;
// hosts pause, die and restart, lose heartbeats, are isolated from their domain
// or, two of them, from each other.
type model struct {
	random   *rand.Rand
	now      time.Time
	store    modelStore
	hosts    []*modelHost
	cut      [2]int // pair of hosts that don't hear each other
	cutTo    time.Time
	isolated int
	isoTo    time.Time
	faults   bool
	mutation mutation
	calls    []*modelCall
	highest  uint64 // epoch that acted
	acted    int    // steps with a leader
}

func newModel(seed uint64, size int, mutated mutation) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: modelStart, faults: true, mutation: mutated}
	m.store.up = true
	for i := range size {
		h := &modelHost{identity: host.Identity{ID: host.ID(fmt.Sprint("h", i)), Incarnation: 1}}
		m.hosts = append(m.hosts, h)
		m.boot(h)
	}
	return m
}

func (m *model) boot(h *modelHost) {
	h.elector = NewElector(h.identity, DefaultTiming(), m.now)
	h.elector.mutation = m.mutation
	h.call = nil
	h.peers = time.Time{}
	h.heardOf = map[host.ID]time.Time{}
}

// run plays the history and returns a description of the first violation.
func (m *model) run() string {
	end := m.now.Add(modelFaults)
	for m.now.Before(end) {
		if violation := m.step(); violation != "" {
			return violation
		}
	}
	m.faults = false
	m.store.up = true
	m.cutTo, m.isoTo = m.now, m.now
	end = m.now.Add(modelQuiet)
	for m.now.Before(end) {
		if violation := m.step(); violation != "" {
			return violation
		}
	}
	if m.acting() == nil {
		return "no leader after a quiet minute"
	}
	return ""
}

func (m *model) step() string {
	m.now = m.now.Add(modelStep)
	if m.faults {
		m.injectFaults()
	}
	if violation := m.check(); violation != "" {
		return violation
	}
	if m.now.Sub(modelStart)%modelBeat == 0 {
		m.heartbeats()
	}
	m.takeEffect()
	for _, h := range m.hosts {
		m.progress(h)
		if h.runs(m.now) {
			m.tick(h)
		}
	}
	return m.check()
}

func (m *model) chance(perMinute float64) bool {
	return m.random.Float64() < perMinute*modelStep.Minutes()
}

func (m *model) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(limit))
}

func (m *model) injectFaults() {
	if m.chance(1.5) {
		m.store.up = !m.store.up
	}
	h := m.hosts[m.random.IntN(len(m.hosts))]
	if m.chance(2) {
		h.pausedTo = m.now.Add(m.upTo(25 * time.Second))
	}
	if m.chance(0.5) && h.runs(m.now) {
		h.downTo = m.now.Add(m.upTo(20 * time.Second))
		h.identity.Incarnation++
		m.boot(h)
	}
	if m.chance(1) {
		m.cut = [2]int{m.random.IntN(len(m.hosts)), m.random.IntN(len(m.hosts))}
		m.cutTo = m.now.Add(m.upTo(30 * time.Second))
	}
	if m.chance(1) {
		m.isolated = m.random.IntN(len(m.hosts))
		m.isoTo = m.now.Add(m.upTo(40 * time.Second))
	}
}

func (m *model) connected(i, j int) bool {
	if m.now.Before(m.isoTo) && (i == m.isolated || j == m.isolated) {
		return false
	}
	pair := m.cut == [2]int{i, j} || m.cut == [2]int{j, i}
	return !pair || !m.now.Before(m.cutTo)
}

func (m *model) heartbeats() {
	for i, a := range m.hosts {
		for j, b := range m.hosts {
			lost := m.faults && m.random.Float64() < 0.1
			if i >= j || lost || !m.connected(i, j) || !a.runs(m.now) || !b.runs(m.now) {
				continue
			}
			fromA, fromB := a.elector.Status(m.now), b.elector.Status(m.now)
			m.deliver(a, b, fromA)
			m.deliver(b, a, fromB)
		}
	}
}

func (m *model) deliver(from, to *modelHost, status Status) {
	to.peers = m.now
	to.heardOf[from.identity.ID] = m.now
	to.elector.Heard(m.now, from.identity, status.Leader, status.Epoch)
}

// progress returns the answer of a call to the store.
func (m *model) progress(h *modelHost) {
	call := h.call
	if call == nil {
		return
	}
	if m.now.Before(call.answerAt) || !h.runs(m.now) {
		return
	}
	h.call = nil
	if call.lost {
		call.result.Outcome = OutcomeUnavailable
	}
	if call.action == ActionRenew {
		h.elector.Renewed(m.now, call.result.Outcome, call.sent)
		return
	}
	h.elector.Acquired(m.now, call.result)
}

// takeEffect carries out the calls that have reached the store, also those that
// their host no longer waits for.
func (m *model) takeEffect() {
	waiting := m.calls[:0]
	for _, call := range m.calls {
		if m.now.Before(call.effectAt) {
			waiting = append(waiting, call)
			continue
		}
		m.effect(call)
	}
	m.calls = waiting
}

func (m *model) effect(call *modelCall) {
	call.result = Result{Outcome: OutcomeUnavailable, Sent: call.sent}
	if !m.store.up {
		return
	}
	held := m.store.held(m.now)
	own := held && m.store.holder.SameProcess(call.from)
	switch {
	case own:
		m.store.expires = m.now.Add(DefaultTiming().LeaseTTL)
		call.result.Outcome = OutcomeHeld
		call.result.Epoch = m.store.epoch
	case call.action == ActionRenew:
		call.result.Outcome = OutcomeExpired
	case held:
		call.result.Outcome = OutcomeOther
		call.result.Leader = m.store.holder
		call.result.Epoch = m.store.epoch
	default:
		call.result.First = m.store.revision == 0
		m.store.revision++
		m.store.holder = call.from
		m.store.epoch = m.store.revision
		m.store.expires = m.now.Add(DefaultTiming().LeaseTTL)
		call.result.Outcome = OutcomeHeld
		call.result.Epoch = m.store.epoch
		call.result.Lease = kvstore.LeaseID(m.store.epoch)
	}
}

func (m *model) tick(h *modelHost) {
	observed := Observation{PeersHeard: h.peers, Fresh: true, Alone: len(h.heardOf) == 0}
	for _, other := range m.hosts {
		heard, ok := h.heardOf[other.identity.ID]
		if other == h || ok && m.now.Sub(heard) < 3*modelBeat {
			observed.Candidates = append(observed.Candidates, other.identity.ID)
		}
	}
	action := h.elector.Tick(m.now, observed)
	if action == ActionNone {
		return
	}
	call := &modelCall{from: h.identity, action: action, sent: m.now, effectAt: m.now.Add(m.upTo(time.Second))}
	call.answerAt = call.effectAt.Add(m.upTo(time.Second))
	call.lost = m.faults && m.random.Float64() < 0.15
	if m.faults && m.random.Float64() < 0.1 {
		call.effectAt = m.now.Add(m.upTo(5 * time.Second))
		call.answerAt = call.effectAt
	}
	if timeout := m.now.Add(storeTimeout); call.answerAt.After(timeout) {
		call.answerAt = timeout
		call.lost = true
	}
	h.call = call
	m.calls = append(m.calls, call)
}

func (m *model) acting() []*modelHost {
	var acting []*modelHost
	for _, h := range m.hosts {
		if h.runs(m.now) && h.elector.Status(m.now).Self {
			acting = append(acting, h)
		}
	}
	return acting
}

func (m *model) check() string {
	acting := m.acting()
	if len(acting) > 1 {
		return fmt.Sprintf("at %s %s and %s act at the same time", m.now.Sub(modelStart), acting[0].identity.ID, acting[1].identity.ID)
	}
	if len(acting) == 0 {
		return ""
	}
	m.acted++
	epoch := acting[0].elector.Status(m.now).Epoch
	if epoch < m.highest {
		return fmt.Sprintf("at %s epoch %d acts after epoch %d", m.now.Sub(modelStart), epoch, m.highest)
	}
	m.highest = epoch
	return ""
}

func TestNeverTwoLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		size := rapid.IntRange(1, 5).Draw(t, "size")
		m := newModel(seed, size, mutationNone)
		require.Empty(t, m.run())
	})
}

// TestFoundHistories repeats histories that ended with two leaders before a fix.
func TestFoundHistories(t *testing.T) {
	histories := map[string]struct {
		seed uint64
		size int
	}{
		"restarted and isolated":           {0x1a58, 4},
		"isolated while the store returns": {0x17, 3},
		"isolated after winning":           {0x66696, 5},
		"lease lost before acting":         {0xf1c4, 4},
		"hold-over without having acted":   {0x7d, 3},
	}
	for name, history := range histories {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, newModel(history.seed, history.size, mutationNone).run())
		})
	}
}

func TestMutationsAreCaught(t *testing.T) {
	const histories = 400
	mutations := map[string]mutation{
		"ignore a pause":                 mutationIgnorePause,
		"count the term from the answer": mutationTermFromAnswer,
		"ignore a higher epoch":          mutationIgnoreEpoch,
		"hold over without peers":        mutationIgnorePeers,
		"act at once after winning":      mutationNoActivationDelay,
	}
	for name, mutated := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(histories) {
				if newModel(seed, 3, mutated).run() != "" || newModel(seed, 4, mutated).run() != "" {
					return
				}
			}
			t.Fatalf("no violation in %d histories", histories)
		})
	}
}
