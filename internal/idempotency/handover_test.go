package idempotency

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/host"
)

// fixedLeadership is a fake Leadership that returns its fields.
type fixedLeadership struct {
	term LeadershipTerm
	held bool
}

func (l *fixedLeadership) Held(time.Time) (LeadershipTerm, bool) { return l.term, l.held }

// A host that becomes leader before it has a configuration must not start a
// quarantine, because no records can have been lost. It decides as soon as it has
// its first configuration.
func TestFirstLeaderDecidesOnceConfigured(t *testing.T) {
	domains := Domains{}
	k := NewCallerKeyKeeper(identityOf(0, 1, "toronto"), func() time.Time { return start }, &fixedLeadership{term: firstTerm, held: true}, func() Domains { return domains })
	k.Observe()
	require.Equal(t, VerdictUnknown, k.Begin(beginOf("order-1", 1)).Verdict)
	domains = Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true}
	require.Equal(t, VerdictRun, k.Begin(beginOf("order-1", 2)).Verdict)
}

// Keys that were issued before a graceful shutdown stay valid, whether they were used or
// not. The keeper hands its records over while one attempt is still running; that
// attempt reports its end to the successor.
func TestPlannedStopKeepsIssuedKeys(t *testing.T) {
	n := &network{handlers: map[netip.AddrPort]handlers{}}
	now := start
	clock := func() time.Time { return now }
	identities := []host.Identity{identityOf(0, 1, "toronto"), identityOf(1, 1, "toronto"), identityOf(2, 1, "detroit")}
	var clients []*Client
	for _, self := range identities {
		s := &Service{Keeper: NewKeeper(self, clock)}
		s.Keeper.announceSerially = true
		n.serve(self.Fleet, s)
		find := func(host.ID) (host.Identity, bool) { return host.Identity{}, false }
		if self.ID != identities[0].ID {
			find = func(id host.ID) (host.Identity, bool) { return identities[0], id == identities[0].ID }
		}
		clients = append(clients, &Client{Self: self, Local: s, Calls: n, FindHost: find, retryDelay: 1})
	}
	keeper := clients[0].Local.Keeper
	var used []string
	for i := range 3 * batchRecords {
		used = append(used, keeper.Issue("clinic"))
		ticket, _, err := clients[i%3].Begin(t.Context(), "clinic", used[i], Fingerprint{}, time.Minute)
		require.NoError(t, err)
		require.NoError(t, ticket.Finish(t.Context(), ResultAnswered, &Response{Body: []byte(used[i])}))
	}
	unused, running := keeper.Issue("clinic"), keeper.Issue("clinic")
	runningTicket, _, err := clients[2].Begin(t.Context(), "clinic", running, Fingerprint{}, time.Minute)
	require.NoError(t, err)

	now = now.Add(time.Minute)
	require.NoError(t, keeper.HandOver(t.Context(), n, identities[1], identities[1:]))
	delete(n.handlers, identities[0].Fleet)
	require.NoError(t, runningTicket.Finish(t.Context(), ResultAnswered, &Response{Body: []byte("late")}))

	for _, c := range clients[1:] {
		for _, key := range used {
			_, decision, err := c.Begin(t.Context(), "clinic", key, Fingerprint{}, time.Minute)
			require.NoError(t, err)
			require.Equal(t, VerdictReplay, decision.Verdict)
			require.Equal(t, key, string(decision.Response.Body))
		}
		_, decision, err := c.Begin(t.Context(), "clinic", running, Fingerprint{}, time.Minute)
		require.NoError(t, err)
		require.Equal(t, VerdictReplay, decision.Verdict)
	}
	ticket, _, err := clients[2].Begin(t.Context(), "clinic", unused, Fingerprint{}, time.Minute)
	require.NoError(t, err)
	require.NotNil(t, ticket)
	require.Equal(t, VerdictUnknown, keeper.Begin(&Begin{Account: "clinic", Key: unused}).Verdict, "the stopped keeper makes no more decisions")
	now = now.Add(KeyValidity)
	_, decision, err := clients[1].Begin(t.Context(), "clinic", keeper.Issue("clinic"), Fingerprint{}, time.Minute)
	require.NoError(t, err)
	require.Equal(t, VerdictRun, decision.Verdict, "the age of the process is carried over")
}

// A host that received a handover but stops before it leads forwards the handover,
// so that the next leader starts without a quarantine.
func TestUnappliedHandoverIsForwarded(t *testing.T) {
	n := &network{handlers: map[netip.AddrPort]handlers{}}
	now := start
	clock := func() time.Time { return now }
	domains := func() Domains { return Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true} }
	firstLeader, neverLed, nextLeader := &fixedLeadership{term: firstTerm, held: true}, &fixedLeadership{}, &fixedLeadership{}
	var keepers []*CallerKeyKeeper
	for i, l := range []*fixedLeadership{firstLeader, neverLed, nextLeader} {
		self := identityOf(i, 1, "toronto")
		k := NewCallerKeyKeeper(self, clock, l, domains)
		n.serve(self.Fleet, &Service{Keeper: NewKeeper(self, clock), CallerKeys: k})
		keepers = append(keepers, k)
	}
	first := beginOf("order-1", 1)
	require.Equal(t, VerdictRun, keepers[0].Begin(first).Verdict)
	keepers[0].Finish(finishOf(first, ResultAnswered, &Response{Status: 201}))
	firstLeader.held = false
	require.NoError(t, keepers[0].HandOver(t.Context(), n, firstTerm, identityOf(1, 1, "toronto")))
	now = now.Add(time.Second)
	require.NoError(t, keepers[1].ForwardHandover(t.Context(), n, identityOf(2, 1, "toronto")))
	nextLeader.term, nextLeader.held = LeadershipTerm{Epoch: 9, Previous: firstTerm.Epoch}, true
	require.Equal(t, VerdictReplay, keepers[2].Begin(beginOf("order-1", 2)).Verdict)
	require.Equal(t, VerdictRun, keepers[2].Begin(beginOf("order-2", 3)).Verdict)
}

// After a graceful shutdown of the leader, its successor has the records and starts no
// quarantine. After a crash the records are lost, so it starts one.
func TestQuarantineFollowsUnplannedChangesOnly(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprint(planned), func(t *testing.T) {
			n := &network{handlers: map[netip.AddrPort]handlers{}}
			now := start
			clock := func() time.Time { return now }
			domains := func() Domains { return Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true} }
			oldHost, newHost := identityOf(0, 1, "toronto"), identityOf(1, 1, "toronto")
			oldLeader, newLeader := &fixedLeadership{term: firstTerm, held: true}, &fixedLeadership{}
			oldKeeper := NewCallerKeyKeeper(oldHost, clock, oldLeader, domains)
			newKeeper := NewCallerKeyKeeper(newHost, clock, newLeader, domains)
			n.serve(newHost.Fleet, &Service{Keeper: NewKeeper(newHost, clock), CallerKeys: newKeeper})
			first := beginOf("order-1", 1)
			require.Equal(t, VerdictRun, oldKeeper.Begin(first).Verdict)
			oldKeeper.Finish(finishOf(first, ResultAnswered, &Response{Status: 201}))
			oldLeader.held = false
			if planned {
				require.NoError(t, oldKeeper.HandOver(context.Background(), n, firstTerm, newHost))
			}
			newLeader.term, newLeader.held = LeadershipTerm{Epoch: 9, Previous: firstTerm.Epoch}, true
			want := map[bool]Verdict{true: VerdictReplay, false: VerdictUnknown}
			require.Equal(t, want[planned], newKeeper.Begin(beginOf("order-1", 2)).Verdict)
			want = map[bool]Verdict{true: VerdictRun, false: VerdictUnknown}
			require.Equal(t, want[planned], newKeeper.Begin(beginOf("order-2", 3)).Verdict)
			now = now.Add(CallerKeyRetention)
			require.Equal(t, VerdictRun, newKeeper.Begin(beginOf("order-3", 4)).Verdict)
		})
	}
}
