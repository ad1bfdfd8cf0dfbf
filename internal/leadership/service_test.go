package leadership

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
	"peridotrail/internal/membership"
)

// process is a host that runs membership and leadership.
type process struct {
	identity   host.Identity
	members    *membership.Service
	leadership *Service
	stop       func()
}

type cluster struct {
	t         *testing.T
	network   *fleettest.Network
	store     *store.Store
	processes []*process
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, network: fleettest.New(1), store: store.New()}
	for n := range size {
		c.start(n, host.Incarnation(1_700_000_000_000_000_000+n))
	}
	return c
}

func (c *cluster) start(n int, incarnation host.Incarnation) *process {
	addr := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7000)
	}
	identity := host.Identity{ID: host.ID(fmt.Sprintf("h%02d", n)), Incarnation: incarnation, FailureDomain: "toronto", Fleet: addr(n)}
	node := c.network.Join(identity)
	p := &process{identity: identity}
	p.leadership = New(Options{
		Self: identity, Caller: node,
		Store: c.store.Client(store.Caller{Host: string(identity.ID), FailureDomain: identity.FailureDomain}),
		View:  func() *membership.View { return p.members.View() },
	})
	p.members = membership.New(membership.Options{
		Self: identity, Caller: node, Seeds: []netip.AddrPort{addr(0), addr(1)}, Leadership: p.leadership.Leadership,
	})
	p.members.OnDigest(p.leadership.OnDigest)
	p.members.Register(node)
	p.leadership.Register(node)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = p.members.Run(ctx, func() {}); done <- struct{}{} }()
	go func() { _ = p.leadership.Run(ctx, func() {}); done <- struct{}{} }()
	p.stop = func() {
		c.network.Leave(identity.Fleet)
		cancel()
		<-done
		<-done
		p.stop = func() {}
	}
	c.processes = append(c.processes, p)
	return p
}

func (c *cluster) stopAll() {
	for _, p := range c.processes {
		p.stop()
	}
}

// leader returns the process that acts as the leader. It fails the test if there is none
// or more than one.
func (c *cluster) leader(processes []*process) *process {
	c.t.Helper()
	var found *process
	for _, p := range processes {
		if p.leadership.Current().Self {
			require.Nil(c.t, found, "two leaders")
			found = p
		}
	}
	require.NotNil(c.t, found, "no leader")
	return found
}

// except returns the processes without the excluded one.
func except(processes []*process, excluded *process) []*process {
	var left []*process
	for _, p := range processes {
		if p != excluded {
			left = append(left, p)
		}
	}
	return left
}

func TestOneLeaderIsKnownEverywhere(t *testing.T) {
	for _, size := range []int{1, 3, 15} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, size)
				defer c.stopAll()
				time.Sleep(20 * time.Second)
				leader := c.leader(c.processes)
				for _, p := range c.processes {
					status := p.leadership.Current()
					require.Equal(t, leader.identity.ID, status.Leader.ID)
					require.Equal(t, leader.leadership.Current().Epoch, status.Epoch)
				}
			})
		})
	}
}

func TestFirstLeaderActsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		time.Sleep(6 * time.Second)
		c.leader(c.processes)
	})
}

func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		old := c.leader(c.processes)
		epoch := old.leadership.Current().Epoch
		old.leadership.HandOver(t.Context())
		require.False(t, old.leadership.Current().Self)
		time.Sleep(time.Second)
		next := c.leader(c.processes)
		require.NotEqual(t, old, next)
		require.Greater(t, next.leadership.Current().Epoch, epoch)
		time.Sleep(time.Minute)
		require.Equal(t, next, c.leader(c.processes))
	})
}

func TestKilledLeaderIsReplaced(t *testing.T) {
	for _, size := range []int{2, 4, 15} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, size)
				defer c.stopAll()
				time.Sleep(30 * time.Second)
				old := c.leader(c.processes)
				epoch := old.leadership.Current().Epoch
				old.stop()
				time.Sleep(45 * time.Second)
				next := c.leader(except(c.processes, old))
				require.Greater(t, next.leadership.Current().Epoch, epoch)
			})
		})
	}
}

func TestLeaderHoldsOverDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		leader := c.leader(c.processes)
		before := leader.leadership.Current()
		c.store.SetDown(true)
		for range 60 {
			time.Sleep(10 * time.Second)
			require.Equal(t, leader, c.leader(c.processes))
		}
		require.True(t, leader.leadership.Current().HoldOver)
		require.Equal(t, before.Epoch, leader.leadership.Current().Epoch)
		c.store.SetDown(false)
		time.Sleep(10 * time.Second)
		after := c.leader(c.processes)
		require.Equal(t, leader, after)
		require.False(t, after.leadership.Current().HoldOver)
		require.Greater(t, after.leadership.Current().Epoch, before.Epoch)
	})
}

func TestLeaderInHoldOverStopsWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		leader := c.leader(c.processes)
		c.store.SetDown(true)
		time.Sleep(20 * time.Second)
		require.True(t, leader.leadership.Current().HoldOver)
		c.network.Isolate(leader.identity.Fleet, true)
		time.Sleep(6 * time.Second)
		require.False(t, leader.leadership.Current().Self)
	})
}

func TestStoreDownAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: fleettest.New(1), store: store.New()}
		c.store.SetDown(true)
		for n := range 20 {
			c.start(n, host.Incarnation(1_700_000_000_000_000_000+n))
		}
		defer c.stopAll()
		time.Sleep(time.Minute)
		for _, p := range c.processes {
			require.False(t, p.leadership.Current().Self)
		}
		c.store.SetDown(false)
		before := c.store.Calls()
		time.Sleep(30 * time.Second)
		c.leader(c.processes)
		after := c.store.Calls()
		calls := after.Reads() + after.Writes() - before.Reads() - before.Writes()
		require.Less(t, calls, int64(60), "calls within 30 s of the store's return")
	})
}

func TestResponsesLostAfterTheWrite(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cluster{t: t, network: fleettest.New(1), store: store.New()}
				c.store.LoseNextAnswers(lost)
				for n := range 3 {
					c.start(n, host.Incarnation(1_700_000_000_000_000_000+n))
				}
				defer c.stopAll()
				for range 60 {
					time.Sleep(time.Second)
					acting := 0
					for _, p := range c.processes {
						if p.leadership.Current().Self {
							acting++
						}
					}
					require.LessOrEqual(t, acting, 1)
				}
				c.leader(c.processes)
			})
		})
	}
}

func TestCandidatesRaceForTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := store.New()
		results := make(chan Result, 8)
		for n := range 8 {
			self := host.Identity{ID: host.ID(fmt.Sprint(n)), Incarnation: 1, FailureDomain: "toronto"}
			c := &leaseClient{store: shared, self: self, timing: DefaultTiming()}
			go func() { results <- c.acquire(context.Background(), time.Now) }()
		}
		held := 0
		for range 8 {
			result := <-results
			if result.Outcome == OutcomeHeld {
				held++
				continue
			}
			require.Equal(t, OutcomeOther, result.Outcome)
		}
		require.Equal(t, 1, held)
	})
}

func TestPausedLeaderWakesLate(t *testing.T) {
	cases := []struct {
		name    string
		storeUp bool
		pause   time.Duration
		acts    bool
	}{
		{name: "short pause within the lease", storeUp: true, pause: 4 * time.Second, acts: true},
		{name: "lease expired while paused", storeUp: true, pause: 12 * time.Second},
		{name: "short pause in hold-over", pause: time.Second, acts: true},
		{name: "long pause in hold-over", pause: 3 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := modelStart
			elector := NewElector(host.Identity{ID: "a", Incarnation: 1}, DefaultTiming(), now)
			observe := func() Observation {
				return Observation{Candidates: []host.ID{"a"}, LastPeerHeartbeat: now, Fresh: true}
			}
			run := func(until time.Time) {
				for now.Before(until) {
					now = now.Add(modelStep)
					switch elector.Tick(now, observe()) {
					case ActionAcquire:
						elector.Acquired(now, Result{Outcome: OutcomeHeld, Sent: now, Epoch: 1, First: true})
					case ActionRenew:
						outcome := OutcomeUnavailable
						if test.storeUp {
							outcome = OutcomeHeld
						}
						elector.Renewed(now, outcome, now)
					}
				}
			}
			run(modelStart.Add(30 * time.Second))
			require.True(t, elector.Status(now).Self)
			now = now.Add(test.pause)
			require.Equal(t, test.acts, elector.Status(now).Self, "at once after waking")
			elector.Tick(now, observe())
			require.Equal(t, test.acts, elector.Status(now).Self, "after the first tick")
		})
	}
}

func TestFence(t *testing.T) {
	var fence Fence
	require.NoError(t, fence.Admit(3))
	require.NoError(t, fence.Admit(3))
	require.NoError(t, fence.Admit(5))
	var stale *StaleEpochError
	require.ErrorAs(t, fence.Admit(4), &stale)
	require.Equal(t, uint64(5), stale.Known)
}
