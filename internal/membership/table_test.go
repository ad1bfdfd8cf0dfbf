package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/host"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func heartbeatWithPeriod(period time.Duration) Heartbeat {
	return Heartbeat{Period: uint32(period.Milliseconds())}
}

func TestOldIncarnationIsRefused(t *testing.T) {
	table := NewTable(identityOf("a", 0, 1), DefaultTiming(), start)
	require.NoError(t, table.RecordHeartbeat(start, identityOf("a", 1, 20), heartbeatWithPeriod(time.Second)))
	var stale *StaleIncarnationError
	require.ErrorAs(t, table.RecordHeartbeat(start.Add(time.Second), identityOf("a", 1, 10), Heartbeat{Leaving: true}), &stale)
	require.Equal(t, host.Incarnation(20), stale.Latest)
	require.Equal(t, host.StateLive, table.members[identityOf("a", 1, 0).ID].state)
	table.Apply(SyncReply{Summaries: []Summary{{
		Domain: "a", Stamp: Stamp{Epoch: 1, Sequence: 1},
		Hosts: []HostSummary{{Identity: identityOf("a", 1, 10), State: host.StateGone}},
	}}}, start)
	require.Equal(t, host.Incarnation(20), table.members[identityOf("a", 1, 0).ID].identity.Incarnation)
}

func TestNewIncarnationIsLiveAgain(t *testing.T) {
	table := NewTable(identityOf("a", 0, 1), DefaultTiming(), start)
	require.NoError(t, table.RecordHeartbeat(start, identityOf("a", 1, 10), Heartbeat{Leaving: true}))
	require.Equal(t, host.StateLeaving, table.members[identityOf("a", 1, 0).ID].state)
	require.NoError(t, table.RecordHeartbeat(start, identityOf("a", 1, 20), heartbeatWithPeriod(time.Second)))
	require.Equal(t, host.StateLive, table.members[identityOf("a", 1, 0).ID].state)
}

func TestStatesBySilence(t *testing.T) {
	table := NewTable(identityOf("a", 0, 1), DefaultTiming(), start)
	peer := identityOf("a", 1, 10)
	require.NoError(t, table.RecordHeartbeat(start, peer, heartbeatWithPeriod(time.Second)))
	want := map[time.Duration]host.State{
		2 * time.Second:  host.StateLive,
		4 * time.Second:  host.StateSuspect,
		29 * time.Second: host.StateSuspect,
		31 * time.Second: host.StateGone,
	}
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		table.Tick(start.Add(elapsed))
		if state, ok := want[elapsed]; ok {
			require.Equal(t, state.String(), table.members[peer.ID].state.String(), "after %s", elapsed)
		}
	}
	for elapsed := time.Minute; elapsed < 2*time.Hour; elapsed += time.Second {
		table.Tick(start.Add(elapsed))
	}
	require.Empty(t, table.members)
}

func TestPauseMakesTheViewStale(t *testing.T) {
	table := NewTable(identityOf("a", 0, 1), DefaultTiming(), start)
	peer := identityOf("a", 1, 10)
	require.NoError(t, table.RecordHeartbeat(start, peer, heartbeatWithPeriod(time.Second)))
	table.Tick(start.Add(time.Second))
	require.True(t, table.Fresh())
	resumed := start.Add(10 * time.Minute)
	table.Tick(resumed)
	require.False(t, table.Fresh())
	require.Equal(t, host.StateLive, table.members[peer.ID].state)
	require.NoError(t, table.RecordHeartbeat(resumed, peer, heartbeatWithPeriod(time.Second)))
	require.True(t, table.Fresh())
	for elapsed := time.Second; elapsed <= 4*time.Second; elapsed += time.Second {
		table.Tick(resumed.Add(elapsed))
	}
	require.Equal(t, host.StateSuspect, table.members[peer.ID].state)
}

// leaderTable returns the table of a leader that has received a heartbeat from each
// of the given number of other hosts.
func leaderTable(others int) *Table {
	table := NewTable(identityOf("a", 0, 1), DefaultTiming(), start)
	table.SetLeadership(start, Leadership{Leader: table.self.ID, Epoch: 1})
	for n := range others {
		_ = table.RecordHeartbeat(start, identityOf("a", n+1, 1), heartbeatWithPeriod(time.Second))
	}
	return table
}

func TestSummariesCarryOnlyChanges(t *testing.T) {
	leader := leaderTable(20)
	other := NewTable(identityOf("b", 0, 1), DefaultTiming(), start)
	complete := leader.ChangesSince(SyncRequest{Held: other.Stamps()})
	require.Len(t, complete.Summaries[0].Hosts, 21)
	other.Apply(complete, start)
	require.Equal(t, leader.ownStamp(), other.domain("a").stamp)
	require.Empty(t, leader.ChangesSince(SyncRequest{Held: other.Stamps()}).Summaries)

	require.NoError(t, leader.RecordHeartbeat(start, identityOf("a", 5, 2), heartbeatWithPeriod(time.Second)))
	change := leader.ChangesSince(SyncRequest{Held: other.Stamps()})
	require.Len(t, change.Summaries[0].Hosts, 2) // the changed host and the leader
	other.Apply(change, start)
	require.Equal(t, host.Incarnation(2), other.members[identityOf("a", 5, 0).ID].identity.Incarnation)
	require.Len(t, other.members, 21)

	third := NewTable(identityOf("b", 1, 1), DefaultTiming(), start)
	third.Apply(complete, start)
	relayed := other.ChangesSince(SyncRequest{Held: third.Stamps()})
	for _, summary := range relayed.Summaries {
		if summary.Domain == "a" {
			require.Len(t, summary.Hosts, 2)
		}
	}
	third.Apply(relayed, start)
	require.Equal(t, other.domain("a").stamp, third.domain("a").stamp)
}

func TestMessagesPerHostAreBounded(t *testing.T) {
	const size = 60
	leader := leaderTable(size - 1)
	require.Empty(t, leader.Targets(start))
	require.LessOrEqual(t, float64(size-1)/leader.heartbeatPeriod().Seconds(), float64(maxLeaderHeartbeatRate))
	follower := NewTable(identityOf("a", 30, 1), DefaultTiming(), start)
	follower.SetLeadership(start, Leadership{Leader: leader.self.ID, Epoch: 1})
	for n := range size {
		if n != 30 {
			_ = follower.RecordHeartbeat(start, identityOf("a", n, 1), heartbeatWithPeriod(time.Second))
		}
	}
	require.Len(t, follower.Targets(start), 1+ringSuccessors)
}

func TestLowerEpochNeverReplacesASummary(t *testing.T) {
	table := NewTable(identityOf("b", 0, 1), DefaultTiming(), start)
	apply := func(epoch, sequence uint64, state host.State) {
		table.Apply(SyncReply{Summaries: []Summary{{
			Domain: "a", Stamp: Stamp{Epoch: epoch, Sequence: sequence},
			Hosts: []HostSummary{{Identity: identityOf("a", 1, 1), State: state}},
		}}}, start)
	}
	apply(2, 10, host.StateLive)
	apply(1, 99, host.StateLeaving)
	apply(2, 9, host.StateLeaving)
	require.Equal(t, host.StateLive, table.members[identityOf("a", 1, 0).ID].state)
	apply(3, 1, host.StateLeaving)
	require.Equal(t, host.StateLeaving, table.members[identityOf("a", 1, 0).ID].state)
}

func TestNewLeaderKeepsTheHostsThatWereListed(t *testing.T) {
	table := NewTable(identityOf("a", 1, 1), DefaultTiming(), start)
	table.SetLeadership(start, Leadership{Leader: identityOf("a", 0, 1).ID, Epoch: 1})
	summary := Summary{Domain: "a", Stamp: Stamp{Epoch: 1, Sequence: 1}}
	for n := range 20 {
		summary.Hosts = append(summary.Hosts, HostSummary{Identity: identityOf("a", n, 1)})
	}
	table.Apply(SyncReply{Summaries: []Summary{summary}}, start)
	now := start
	advance := func(by time.Duration) {
		for end := now.Add(by); now.Before(end); {
			now = now.Add(time.Second)
			table.Tick(now)
		}
	}
	advance(15 * time.Second)
	table.SetLeadership(now, Leadership{Leader: table.self.ID, Epoch: 2})
	table.Tick(now)
	require.Len(t, table.Candidates(), maxCandidates)
	period := table.heartbeatPeriod()
	advance(2 * period)
	for _, m := range table.members {
		require.Equal(t, host.StateLive, m.state, m.identity.ID)
	}
	require.Len(t, table.Targets(now), 19, "the new leader sends heartbeats to the hosts from which it has received none")
	advance(period + time.Second)
	for _, m := range table.members {
		require.Equal(t, host.StateSuspect, m.state, m.identity.ID)
	}
}

func TestRingPredecessorReportsALateHost(t *testing.T) {
	const size = 40
	leader := leaderTable(size - 1)
	summary := leader.ChangesSince(SyncRequest{}).Summaries
	late := identityOf("a", 11, 1)
	slow := leader.heartbeatPeriod()
	for n := range size {
		if n > 0 {
			require.NoError(t, leader.RecordHeartbeat(start, identityOf("a", n, 1), heartbeatWithPeriod(slow)))
		}
	}
	predecessor := NewTable(identityOf("a", 10, 1), DefaultTiming(), start)
	predecessor.SetLeadership(start, Leadership{Leader: leader.self.ID, Epoch: 1})
	predecessor.Apply(SyncReply{Summaries: summary}, start)
	now := start
	for range 4 {
		now = now.Add(time.Second)
		predecessor.Tick(now)
		leader.Tick(now)
		for n := range size {
			if n != 11 && n != 10 {
				require.NoError(t, predecessor.RecordHeartbeat(now, identityOf("a", n, 1), heartbeatWithPeriod(time.Second)))
			}
		}
	}
	heartbeat := predecessor.NewHeartbeat(now, Digest{}, time.Second)
	require.Equal(t, []host.ID{late.ID}, heartbeat.LateHosts)
	require.Equal(t, host.StateLive, leader.members[late.ID].state)
	require.NoError(t, leader.RecordHeartbeat(now, predecessor.self, heartbeat))
	require.Equal(t, host.StateSuspect, leader.members[late.ID].state)
	require.Contains(t, leader.Targets(now), Target{Addr: late.Fleet, Identity: late, Period: time.Second})
	require.NoError(t, leader.RecordHeartbeat(now, late, heartbeatWithPeriod(slow)))
	require.Equal(t, host.StateLive, leader.members[late.ID].state)
}
