package upstream

import (
	"fmt"
	"testing"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/upstream/room"

	"github.com/stretchr/testify/require"
)

func testPool(slots ...int) *pool {
	share := fixedShare{}
	p := newPool("s", share, 1, &egressBudget{})
	for i, n := range slots {
		name := fmt.Sprint("u", i)
		share[name] = n
		u := configuration.Upstream{Name: name, Slots: n}
		p.upstreams = append(p.upstreams, &upstreamState{config: u, health: newHealth(time.Time{})})
	}
	return p
}

func mustPlace(t *testing.T, p *pool, work Work, now time.Time) *placement {
	t.Helper()
	place, _, refused := p.submit(work, 0, now)
	require.Nil(t, refused)
	require.NotNil(t, place)
	return place
}

// serve runs n requests of the given latency one after the other.
func serve(t *testing.T, p *pool, n int, latency time.Duration, now time.Time) {
	t.Helper()
	for range n {
		p.finish(mustPlace(t, p, Work{}, now), Outcome{Result: ResultOK, Latency: latency}, now)
	}
}

func TestPoolRefusesWorkThatCannotMeetItsDeadline(t *testing.T) {
	p := testPool(1)
	now := testStart
	serve(t, p, 100, 20*time.Millisecond, now)
	mustPlace(t, p, Work{}, now)
	_, _, refused := p.submit(Work{Deadline: now.Add(15 * time.Millisecond)}, 0, now)
	require.Equal(t, ReasonDeadlineTooShort, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	_, waiting, refused := p.submit(Work{Deadline: now.Add(60 * time.Millisecond)}, 0, now)
	require.Nil(t, refused)
	require.Equal(t, now.Add(40*time.Millisecond), waiting.latestStart)
}

func TestPoolIgnoresAnOutdatedServiceTime(t *testing.T) {
	p := testPool(1)
	serve(t, p, 10, 5*time.Second, testStart)
	mustPlace(t, p, Work{}, testStart)
	short := func(now time.Time) Work { return Work{Deadline: now.Add(time.Second)} }
	_, _, refused := p.submit(short(testStart), 0, testStart)
	require.NotNil(t, refused)
	later := testStart.Add(estimateMaxAge + time.Millisecond)
	_, waiting, refused := p.submit(short(later), 0, later)
	require.Nil(t, refused, "an outdated estimate must not refuse requests for ever")
	require.NotNil(t, waiting)
}

func TestPoolPrefersTheFasterUpstream(t *testing.T) {
	p := testPool(4, 4)
	now := testStart
	for range 40 {
		for i, u := range p.upstreams {
			u.observe(Outcome{Result: ResultOK, Latency: time.Duration(1+9*i) * 5 * time.Millisecond}, true, now)
		}
	}
	used := map[string]int{}
	for range 5 {
		used[mustPlace(t, p, Work{}, now).upstream.config.Name]++
	}
	require.Equal(t, map[string]int{"u0": 4, "u1": 1}, used)
}

func TestPoolEjectsAtMostHalfOfItsUpstreams(t *testing.T) {
	p := testPool(2, 2, 2, 2)
	now := testStart
	for range 200 {
		place := mustPlace(t, p, Work{}, now)
		p.finish(place, Outcome{Result: ResultFailed, Latency: time.Millisecond}, now)
	}
	limit, _ := p.slots(now)
	require.Equal(t, 4, limit)
}

func TestPoolRelayedWorkNeedsAGrantAndLocalWorkKeepsOffItsSlots(t *testing.T) {
	p := testPool(10)
	now := testStart
	relayed := Work{Relayed: true, Origin: "h2", Grant: 99}
	_, _, refused := p.submit(relayed, 0, now)
	require.Equal(t, ReasonNoGrant, refused.Reason)

	serve(t, p, 1, time.Millisecond, now)
	reply := p.lender.Lend("h2", room.Request{Slots: 20}, p.lendable(now), now)
	require.Equal(t, 9, reply.Slots, "one slot is reserved for local requests")
	mustPlace(t, p, Work{}, now)
	_, waiting, _ := p.submit(Work{}, 0, now)
	require.NotNil(t, waiting, "the other slots are reserved for the grant")

	relayed.Grant = reply.Grant
	for range 9 {
		mustPlace(t, p, relayed, now)
	}
	_, _, refused = p.submit(relayed, 0, now)
	require.NotNil(t, refused)

	expired := now.Add(room.Term + room.LenderMargin + time.Millisecond)
	_, _, refused = p.submit(relayed, 0, expired)
	require.NotNil(t, refused)
}

func TestPoolReservesALostGrantForOneTermOnly(t *testing.T) {
	p := testPool(10)
	serve(t, p, 1, time.Millisecond, testStart)
	p.lender.Lend("h2", room.Request{Slots: 20}, p.lendable(testStart), testStart)
	mustPlace(t, p, Work{}, testStart)
	require.Zero(t, p.unreservedSlots(testStart))
	later := testStart.Add(room.Term + room.LenderMargin + time.Millisecond)
	require.Equal(t, 9, p.unreservedSlots(later))
}

func TestPoolPeersWaitForRoomInTurn(t *testing.T) {
	p := testPool(2)
	now := testStart
	first, second := mustPlace(t, p, Work{}, now), mustPlace(t, p, Work{}, now)
	request := room.Request{Slots: 5, MaxWait: maxLenderWait}
	_, a := p.lend("a", request, now)
	_, b := p.lend("b", request, now)
	_, c := p.lend("c", request, now)
	require.True(t, p.removeRoomWaiter(b))
	_, waiting, _ := p.submit(Work{}, 0, now)
	require.NotNil(t, waiting)

	p.finish(first, Outcome{Result: ResultOK}, now)
	require.Len(t, p.dispatchWaiting(now), 1, "requests of this host come first")
	p.lendToWaiters(now)
	require.Empty(t, a.decided)

	p.finish(second, Outcome{Result: ResultOK}, now)
	p.lendToWaiters(now)
	require.Equal(t, 1, (<-a.decided).Slots)
	require.Empty(t, c.decided)
	require.False(t, p.removeRoomWaiter(a))
}

func TestRoomPlannerReturnsUnusedSlots(t *testing.T) {
	p := testPool(1)
	serve(t, p, 20, 100*time.Millisecond, testStart)
	now := testStart
	peer := host.Identity{ID: "h2"}
	p.heldGrants.AddReply(peer, distanceSameDomain, room.Reply{Grant: 7, Slots: 3}, now, now)
	requests := newRoomPlanner().plan(p, nil, now)
	require.Equal(t, []roomRequest{{peer: peer, message: room.Request{Service: "s", Renew: 7}}}, requests)
	require.Zero(t, p.heldGrants.Free(now), "slots to return are no longer used here")
}

func TestRoomPlannerRenewsAGrantInUse(t *testing.T) {
	p := testPool()
	now := testStart
	peer := host.Identity{ID: "h2"}
	p.heldGrants.AddReply(peer, distanceSameDomain, room.Reply{Grant: 7, Slots: 1}, now, now)
	mustPlace(t, p, Work{}, now)
	planner := newRoomPlanner()
	require.Empty(t, planner.plan(p, nil, now))
	later := now.Add(room.Term - renewBefore)
	requests := planner.plan(p, nil, later)
	require.Equal(t, []roomRequest{{peer: peer, message: room.Request{Service: "s", Slots: 1, Renew: 7}}}, requests)
	require.Empty(t, planner.plan(p, nil, later), "one request at a time")
	planner.recordReply(requests[0], room.Reply{Grant: 7, Slots: 1}, false, later)
	p.heldGrants.AddReply(peer, distanceSameDomain, room.Reply{Grant: 7, Slots: 1}, later, later)
	require.Empty(t, planner.plan(p, nil, later))
}

func TestPoolReservesNothingWithoutLocalWork(t *testing.T) {
	p := testPool(10)
	require.Equal(t, 10, p.lendable(testStart))
	serve(t, p, 1, time.Millisecond, testStart)
	require.Equal(t, 9, p.lendable(testStart))
	require.Equal(t, 10, p.lendable(testStart.Add(reserveWindow)))
	mustPlace(t, p, Work{}, testStart)
	_, waiting, _ := p.submit(Work{Excluded: []string{"u0"}}, 0, testStart)
	require.NotNil(t, waiting)
	require.Zero(t, p.lendable(testStart), "nothing is lent while requests are queued here")
}

func TestPoolOverflowsUnderAGrantWhenThatIsSooner(t *testing.T) {
	p := testPool(1)
	now := testStart
	serve(t, p, 50, 50*time.Millisecond, now)
	mustPlace(t, p, Work{}, now)
	_, waiting, _ := p.submit(Work{}, time.Millisecond, now)
	require.NotNil(t, waiting)
	peer := host.Identity{ID: "h2"}
	p.heldGrants.AddReply(peer, distanceSameRegion, room.Reply{Grant: 7, Slots: 1}, now, now.Add(2*time.Millisecond))
	assigned := p.dispatchWaiting(now.Add(2 * time.Millisecond))
	require.Len(t, assigned, 1)
	require.Equal(t, peer, assigned[0].place.heldGrant.Peer)
	_, waiting, _ = p.submit(Work{}, time.Millisecond, now)
	require.NotNil(t, waiting, "the grant is used up")
	p.finish(assigned[0].place, Outcome{Result: ResultOK}, now)
	require.Len(t, p.dispatchWaiting(now.Add(room.Term)), 0, "no relay starts after the term")
}

func TestPoolEgressBudgetStopsRelaysToOtherRegions(t *testing.T) {
	p := testPool()
	now := testStart
	p.egress.setRate(1000, now)
	now = now.Add(time.Second)
	p.heldGrants.AddReply(host.Identity{ID: "far"}, distanceOtherRegion, room.Reply{Grant: 1, Slots: 2}, now, now)
	place := mustPlace(t, p, Work{}, now)
	p.finish(place, Outcome{Result: ResultOK, BytesSent: 5000}, now)
	_, waiting, refused := p.submit(Work{}, 0, now)
	require.Nil(t, refused)
	require.NotNil(t, waiting, "the budget is overdrawn")
	require.False(t, p.egress.available(now.Add(3*time.Second)))
	require.True(t, p.egress.available(now.Add(5*time.Second)))
}

func TestRetryBudgetLimitsRetriesToAFraction(t *testing.T) {
	var b retryBudget
	allowed := 0
	for range 1000 {
		b.recordAttempt()
		if b.takeRetry() {
			allowed++
		}
	}
	require.InDelta(t, 1000*retriesPerAttempt+initialRetryBalance, allowed, 1)
}
