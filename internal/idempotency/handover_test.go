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

type fixedLeadership struct {
	tenure Tenure
	held   bool
}

func (l *fixedLeadership) Held(time.Time) (Tenure, bool) { return l.tenure, l.held }

// A host that leads before it has a configuration does not begin in quarantine.
func TestFirstLeaderWaitsForTheConfiguration(t *testing.T) {
	domains := Domains{}
	k := NewOwnKeeper(identityOf(0, 1, "toronto"), func() time.Time { return start }, &fixedLeadership{tenure: firstTenure, held: true}, func() Domains { return domains })
	k.Observe()
	require.Equal(t, VerdictUnknown, k.Begin(beginOf("order-1", 1)).Verdict)
	domains = Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true}
	require.Equal(t, VerdictRun, k.Begin(beginOf("order-1", 2)).Verdict)
}

// Keys that were issued before a planned stop go on to work, used or not.
func TestPlannedStopKeepsIssuedKeys(t *testing.T) {
	n := &network{handlers: map[netip.AddrPort]handlers{}}
	now := start
	clock := func() time.Time { return now }
	identities := []host.Identity{identityOf(0, 1, "toronto"), identityOf(1, 1, "toronto"), identityOf(2, 1, "detroit")}
	var clients []*Client
	for _, self := range identities {
		s := &Service{Keeper: NewKeeper(self, clock)}
		s.Keeper.serial = true
		n.serve(self.Fleet, s)
		find := func(host.ID) (host.Identity, bool) { return host.Identity{}, false }
		if self.ID != identities[0].ID {
			find = func(id host.ID) (host.Identity, bool) { return identities[0], id == identities[0].ID }
		}
		clients = append(clients, &Client{Self: self, Local: s, Calls: n, Find: find, pause: 1})
	}
	keeper := clients[0].Local.Keeper
	var used []string
	for i := range 3 * partRecords {
		used = append(used, keeper.Issue("clinic"))
		ticket, _, err := clients[i%3].Begin(t.Context(), "clinic", used[i], Fingerprint{}, time.Minute)
		require.NoError(t, err)
		require.NoError(t, ticket.Finish(t.Context(), ResultAnswered, &Answer{Body: []byte(used[i])}))
	}
	unused, running := keeper.Issue("clinic"), keeper.Issue("clinic")
	late, _, err := clients[2].Begin(t.Context(), "clinic", running, Fingerprint{}, time.Minute)
	require.NoError(t, err)

	now = now.Add(time.Minute)
	require.NoError(t, keeper.HandOver(t.Context(), n, identities[1], identities[1:]))
	delete(n.handlers, identities[0].Fleet)
	require.NoError(t, late.Finish(t.Context(), ResultAnswered, &Answer{Body: []byte("late")}))

	for _, c := range clients[1:] {
		for _, key := range used {
			_, decision, err := c.Begin(t.Context(), "clinic", key, Fingerprint{}, time.Minute)
			require.NoError(t, err)
			require.Equal(t, VerdictReplay, decision.Verdict)
			require.Equal(t, key, string(decision.Answer.Body))
		}
		_, decision, err := c.Begin(t.Context(), "clinic", running, Fingerprint{}, time.Minute)
		require.NoError(t, err)
		require.Equal(t, VerdictReplay, decision.Verdict)
	}
	ticket, _, err := clients[2].Begin(t.Context(), "clinic", unused, Fingerprint{}, time.Minute)
	require.NoError(t, err)
	require.NotNil(t, ticket)
	require.Equal(t, VerdictUnknown, keeper.Begin(&Begin{Account: "clinic", Key: unused}).Verdict, "the old keeper decides no more")
	now = now.Add(KeyValidity)
	_, decision, err := clients[1].Begin(t.Context(), "clinic", keeper.Issue("clinic"), Fingerprint{}, time.Minute)
	require.NoError(t, err)
	require.Equal(t, VerdictRun, decision.Verdict, "the age of the process is carried over")
}

// A host that stops before it led passes on what it inherited.
func TestUnusedInheritanceIsPassedOn(t *testing.T) {
	n := &network{handlers: map[netip.AddrPort]handlers{}}
	now := start
	clock := func() time.Time { return now }
	domains := func() Domains { return Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true} }
	leads, never, follows := &fixedLeadership{tenure: firstTenure, held: true}, &fixedLeadership{}, &fixedLeadership{}
	var keepers []*OwnKeeper
	for i, l := range []*fixedLeadership{leads, never, follows} {
		self := identityOf(i, 1, "toronto")
		k := NewOwnKeeper(self, clock, l, domains)
		n.serve(self.Fleet, &Service{Keeper: NewKeeper(self, clock), Own: k})
		keepers = append(keepers, k)
	}
	first := beginOf("order-1", 1)
	require.Equal(t, VerdictRun, keepers[0].Begin(first).Verdict)
	keepers[0].Finish(finishOf(first, ResultAnswered, &Answer{Status: 201}))
	leads.held = false
	require.NoError(t, keepers[0].HandOver(t.Context(), n, firstTenure, identityOf(1, 1, "toronto")))
	now = now.Add(time.Second)
	require.NoError(t, keepers[1].PassOn(t.Context(), n, identityOf(2, 1, "toronto")))
	follows.tenure, follows.held = Tenure{Epoch: 9, Previous: firstTenure.Epoch}, true
	require.Equal(t, VerdictReplay, keepers[2].Begin(beginOf("order-1", 2)).Verdict)
	require.Equal(t, VerdictRun, keepers[2].Begin(beginOf("order-2", 3)).Verdict)
}

// A leader that stops as planned leaves no quarantine behind; one that dies does.
func TestQuarantineFollowsUnplannedChangesOnly(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprint(planned), func(t *testing.T) {
			n := &network{handlers: map[netip.AddrPort]handlers{}}
			now := start
			clock := func() time.Time { return now }
			domains := func() Domains { return Domains{Names: []string{"toronto"}, Revision: 1, Fresh: true} }
			one, two := identityOf(0, 1, "toronto"), identityOf(1, 1, "toronto")
			leads, follows := &fixedLeadership{tenure: firstTenure, held: true}, &fixedLeadership{}
			old := NewOwnKeeper(one, clock, leads, domains)
			next := NewOwnKeeper(two, clock, follows, domains)
			n.serve(two.Fleet, &Service{Keeper: NewKeeper(two, clock), Own: next})
			first := beginOf("order-1", 1)
			require.Equal(t, VerdictRun, old.Begin(first).Verdict)
			old.Finish(finishOf(first, ResultAnswered, &Answer{Status: 201}))
			leads.held = false
			if planned {
				require.NoError(t, old.HandOver(context.Background(), n, firstTenure, two))
			}
			follows.tenure, follows.held = Tenure{Epoch: 9, Previous: firstTenure.Epoch}, true
			want := map[bool]Verdict{true: VerdictReplay, false: VerdictUnknown}
			require.Equal(t, want[planned], next.Begin(beginOf("order-1", 2)).Verdict)
			want = map[bool]Verdict{true: VerdictRun, false: VerdictUnknown}
			require.Equal(t, want[planned], next.Begin(beginOf("order-2", 3)).Verdict)
			now = now.Add(OwnRetention)
			require.Equal(t, VerdictRun, next.Begin(beginOf("order-3", 4)).Verdict)
		})
	}
}
