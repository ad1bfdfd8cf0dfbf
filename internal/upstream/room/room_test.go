package room

import (
	"flag"
	"os"
	"testing"
	"time"

	"peridotrail/internal/host"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "500")
		_ = flag.Set("rapid.steps", "100")
	}
	os.Exit(m.Run())
}

// delivery is a reply on its way to its holder.
type delivery struct {
	peer    host.Identity
	holder  int
	reply   Reply
	asked   time.Time
	arrives time.Time
}

// relay is one relay in progress.
type relay struct {
	holder  int
	holding *Holding
	grant   uint64
	running bool
}

// roomModel is one lender with a fixed number of slots and several holders that
// exchange messages which may be late, lost or doubled.
type roomModel struct {
	capacity int
	local    int // slots in use by local work
	lender   *Lender
	holders  []*Holder
	messages []delivery
	relays   []relay
	now      time.Time
}

func (m *roomModel) running() int {
	total := m.local
	for _, r := range m.relays {
		if r.running {
			total++
		}
	}
	return total
}

func (m *roomModel) free() int {
	return m.capacity - m.running() - m.lender.SetAside(m.now)
}

func origin(holder int) host.ID { return host.ID(rune('a' + holder)) }

func (m *roomModel) ask(t *rapid.T) {
	holder := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	travel := time.Duration(rapid.IntRange(0, 700).Draw(t, "travel")) * time.Millisecond
	grant, _ := m.holders[holder].Current("lender", m.now)
	request := Request{Slots: rapid.IntRange(0, 5).Draw(t, "slots"), Renew: grant}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		reply := m.lender.Lend(origin(holder), request, m.free(), m.now)
		d := delivery{peer: host.Identity{ID: "lender"}, holder: holder, reply: reply, asked: m.now, arrives: m.now.Add(travel)}
		m.messages = append(m.messages, d)
	}
}

func (m *roomModel) deliver() {
	var waiting []delivery
	for _, d := range m.messages {
		if m.now.Before(d.arrives) {
			waiting = append(waiting, d)
			continue
		}
		m.holders[d.holder].Add(d.peer, 1, d.reply, d.asked, m.now)
	}
	m.messages = waiting
}

func (m *roomModel) relay(t *rapid.T) {
	holder := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	holding := m.holders[holder].Find(m.now, func(*Holding) bool { return true })
	if holding == nil {
		return
	}
	m.holders[holder].Start(holding)
	if m.lender.Use(origin(holder), holding.Grant, m.now) != nil {
		m.holders[holder].Release(holding, true)
		return
	}
	m.relays = append(m.relays, relay{holder: holder, holding: holding, grant: holding.Grant, running: true})
}

// rogue relays under a grant without regard to its size or end.
func (m *roomModel) rogue(t *rapid.T) {
	holder := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	grant := uint64(rapid.IntRange(1, 10).Draw(t, "grant"))
	if m.lender.Use(origin(holder), grant, m.now) == nil {
		holding := &Holding{InUse: 1}
		m.relays = append(m.relays, relay{holder: holder, holding: holding, grant: grant, running: true})
	}
}

func (m *roomModel) end(t *rapid.T) {
	if len(m.relays) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.relays)-1).Draw(t, "relay")
	if m.relays[i].running {
		m.relays[i].running = false
		m.lender.Release(m.relays[i].grant)
		m.holders[m.relays[i].holder].Release(m.relays[i].holding, false)
	}
}

// TestLenderNeverRunsMoreThanItsSlots checks random histories: whatever is lost,
// doubled or late, local and relayed work together stay within the slots, and a
// grant whose messages are lost blocks slots for no longer than a term.
func TestLenderNeverRunsMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &roomModel{capacity: rapid.IntRange(1, 8).Draw(t, "capacity"), lender: NewLender(1), now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 3).Draw(t, "holders") {
			m.holders = append(m.holders, &Holder{})
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask":   m.ask,
			"relay": m.relay,
			"rogue": m.rogue,
			"end":   m.end,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "passed")) * time.Millisecond)
				m.deliver()
			},
			"local": func(t *rapid.T) {
				if m.free() > 0 {
					m.local++
				}
			},
			"local end": func(t *rapid.T) { m.local = max(0, m.local-1) },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, m.running(), m.capacity)
				require.GreaterOrEqual(t, m.free(), 0)
				require.Zero(t, m.lender.SetAside(m.now.Add(Term+LenderMargin+1)))
			},
		})
	})
}

func TestLenderRefusesGrantsOfOthersAndOfEarlierProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLender(100)
	reply := l.Lend("a", Request{Slots: 2}, 3, now)
	require.Equal(t, Reply{Grant: 101, Slots: 2}, reply)
	var ungranted *UngrantedError
	require.ErrorAs(t, l.Use("b", reply.Grant, now), &ungranted)
	require.ErrorAs(t, NewLender(200).Use("a", reply.Grant, now), &ungranted)
	require.NoError(t, l.Use("a", reply.Grant, now))
	require.ErrorAs(t, l.Use("a", reply.Grant, now.Add(Term+LenderMargin+1)), &ungranted)
	require.Equal(t, "expired", ungranted.Cause)
}

func TestHolderSpendsOnlyWithinTheTermFromBeforeItAsked(t *testing.T) {
	asked := time.Unix(1000, 0)
	var h Holder
	h.Add(host.Identity{ID: "l"}, 1, Reply{Grant: 1, Slots: 2}, asked, asked.Add(400*time.Millisecond))
	require.Equal(t, 2, h.Free(asked.Add(Term-1)))
	require.Zero(t, h.Free(asked.Add(Term)))
	h.Add(host.Identity{ID: "l"}, 1, Reply{Grant: 2, Slots: 2}, asked, asked.Add(600*time.Millisecond))
	require.Zero(t, h.Free(asked.Add(600*time.Millisecond)), "a reply that took longer than the term is worth nothing")
}
