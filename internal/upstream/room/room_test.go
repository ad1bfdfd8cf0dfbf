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

// delivery is a reply in transit to its borrower.
type delivery struct {
	peer     host.Identity
	borrower int
	reply    Reply
	sent     time.Time
	arrives  time.Time
}

// relay is one relay in progress.
type relay struct {
	borrower int
	held     *HeldGrant
	grant    uint64
	running  bool
}

// roomModel is one lender with a fixed number of slots and several borrowers.
// Messages between them may be delayed, lost or duplicated.
type roomModel struct {
	capacity  int
	local     int // slots in use by local requests
	lender    *Lender
	borrowers []*HeldGrants
	messages  []delivery
	relays    []relay
	now       time.Time
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
	return m.capacity - m.running() - m.lender.ReservedSlots(m.now)
}

func origin(borrower int) host.ID { return host.ID(rune('a' + borrower)) }

func (m *roomModel) requestGrant(t *rapid.T) {
	borrower := rapid.IntRange(0, len(m.borrowers)-1).Draw(t, "borrower")
	travel := time.Duration(rapid.IntRange(0, 700).Draw(t, "travel")) * time.Millisecond
	grant, _ := m.borrowers[borrower].CurrentGrant("lender", m.now)
	request := Request{Slots: rapid.IntRange(0, 5).Draw(t, "slots"), Renew: grant}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		reply := m.lender.Lend(origin(borrower), request, m.free(), m.now)
		d := delivery{peer: host.Identity{ID: "lender"}, borrower: borrower, reply: reply, sent: m.now, arrives: m.now.Add(travel)}
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
		m.borrowers[d.borrower].AddReply(d.peer, 1, d.reply, d.sent, m.now)
	}
	m.messages = waiting
}

func (m *roomModel) relay(t *rapid.T) {
	borrower := rapid.IntRange(0, len(m.borrowers)-1).Draw(t, "borrower")
	held := m.borrowers[borrower].Find(m.now, func(*HeldGrant) bool { return true })
	if held == nil {
		return
	}
	m.borrowers[borrower].StartRelay(held)
	if m.lender.StartRelay(origin(borrower), held.ID, m.now) != nil {
		m.borrowers[borrower].EndRelay(held, true)
		return
	}
	m.relays = append(m.relays, relay{borrower: borrower, held: held, grant: held.ID, running: true})
}

// rogue sends a relay under an arbitrary grant, whether or not the grant exists, has
// expired or is used up.
func (m *roomModel) rogue(t *rapid.T) {
	borrower := rapid.IntRange(0, len(m.borrowers)-1).Draw(t, "borrower")
	grant := uint64(rapid.IntRange(1, 10).Draw(t, "grant"))
	if m.lender.StartRelay(origin(borrower), grant, m.now) == nil {
		held := &HeldGrant{InUse: 1}
		m.relays = append(m.relays, relay{borrower: borrower, held: held, grant: grant, running: true})
	}
}

func (m *roomModel) end(t *rapid.T) {
	if len(m.relays) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.relays)-1).Draw(t, "relay")
	if m.relays[i].running {
		m.relays[i].running = false
		m.lender.EndRelay(m.relays[i].grant)
		m.borrowers[m.relays[i].borrower].EndRelay(m.relays[i].held, false)
	}
}

// TestLenderNeverRunsMoreThanItsSlots checks random histories in which messages are
// lost, duplicated and delayed: local and relayed requests together stay within the
// slots, and a grant whose messages are lost reserves slots for no longer than its
// term and the lender's margin.
func TestLenderNeverRunsMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &roomModel{capacity: rapid.IntRange(1, 8).Draw(t, "capacity"), lender: NewLender(1), now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 3).Draw(t, "borrowers") {
			m.borrowers = append(m.borrowers, &HeldGrants{})
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask":   m.requestGrant,
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
				require.Zero(t, m.lender.ReservedSlots(m.now.Add(Term+LenderMargin+1)))
			},
		})
	})
}

func TestLenderRefusesGrantsOfOtherHostsAndEarlierProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLender(100)
	reply := l.Lend("a", Request{Slots: 2}, 3, now)
	require.Equal(t, Reply{Grant: 101, Slots: 2}, reply)
	var ungranted *UngrantedError
	require.ErrorAs(t, l.StartRelay("b", reply.Grant, now), &ungranted)
	require.ErrorAs(t, NewLender(200).StartRelay("a", reply.Grant, now), &ungranted)
	require.NoError(t, l.StartRelay("a", reply.Grant, now))
	require.ErrorAs(t, l.StartRelay("a", reply.Grant, now.Add(Term+LenderMargin+1)), &ungranted)
	require.Equal(t, "expired", ungranted.Cause)
}

func TestHeldGrantEndsOneTermAfterItsRequestWasSent(t *testing.T) {
	sent := time.Unix(1000, 0)
	var h HeldGrants
	h.AddReply(host.Identity{ID: "l"}, 1, Reply{Grant: 1, Slots: 2}, sent, sent.Add(400*time.Millisecond))
	require.Equal(t, 2, h.Free(sent.Add(Term-1)))
	require.Zero(t, h.Free(sent.Add(Term)))
	h.AddReply(host.Identity{ID: "l"}, 1, Reply{Grant: 2, Slots: 2}, sent, sent.Add(600*time.Millisecond))
	require.Zero(t, h.Free(sent.Add(600*time.Millisecond)), "a grant is unusable if its reply took longer than the term")
}
