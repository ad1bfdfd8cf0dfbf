package upstream

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"

	"github.com/stretchr/testify/require"
)

// fakeFleet delivers messages between dispatchers in one process.
type fakeFleet struct {
	delay   time.Duration
	hosts   map[netip.AddrPort]*fakeHost
	lost    bool
	carried int
}

type fakeHost struct {
	identity   host.Identity
	dispatcher *Dispatcher
	handlers   map[fleet.Kind]fleet.Handler
}

func (h *fakeHost) Handle(kind fleet.Kind, handler fleet.Handler) { h.handlers[kind] = handler }

type fakeCaller struct {
	network *fakeFleet
	from    host.Identity
}

type lostError struct{}

func (lostError) Error() string { return "lost" }

func (c fakeCaller) Call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	c.network.carried++
	time.Sleep(c.network.delay)
	if c.network.lost {
		return lostError{}
	}
	encoded, err := json.Marshal(request)
	if err != nil {
		return err
	}
	decode := func(into any) error { return json.Unmarshal(encoded, into) }
	answer, err := c.network.hosts[addr].handlers[kind](ctx, c.from, decode)
	if err != nil {
		return err
	}
	time.Sleep(c.network.delay)
	if encoded, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(encoded, reply)
}

func (f *fakeFleet) join(id, domain, region string, current *configuration.Configuration, share fixedShare) *fakeHost {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+len(f.hosts)))
	h := &fakeHost{handlers: map[fleet.Kind]fleet.Handler{}}
	h.identity = host.Identity{ID: host.ID(id), Incarnation: 1, FailureDomain: domain, Region: region, Fleet: address}
	h.dispatcher = New(Options{
		Self: h.identity, Capacity: share, Transports: fakeTransports{}, Caller: fakeCaller{f, h.identity},
		Configuration: func() *configuration.Configuration { return current },
		Peers:         func() []Peer { return f.peersOf(h) },
	})
	h.dispatcher.Register(h)
	f.hosts[address] = h
	return h
}

func (f *fakeFleet) peersOf(self *fakeHost) []Peer {
	var peers []Peer
	for _, h := range f.hosts {
		if h != self {
			peers = append(peers, Peer{Identity: h.identity, FreeSlots: h.dispatcher.FreeSlots()})
		}
	}
	return peers
}

// runRequest runs one request at a dispatcher that takes the given service time.
func runRequest(t *testing.T, d *Dispatcher, work Work, service time.Duration) Target {
	t.Helper()
	permit, err := d.Acquire(t.Context(), work)
	require.NoError(t, err)
	time.Sleep(service)
	permit.Done(Outcome{Result: ResultOK, Latency: service})
	return permit.Target()
}

func TestOverflowGoesToAPeerUnderItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		current := testConfiguration()
		network := &fakeFleet{delay: time.Millisecond, hosts: map[netip.AddrPort]*fakeHost{}}
		a := network.join("a", "toronto", "ontario", current, fixedShare{"u1": 1})
		b := network.join("b", "detroit", "michigan", current, fixedShare{"u3": 2})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = a.dispatcher.Run(ctx) })
		work := Work{Service: "booking-desk"}
		runRequest(t, a.dispatcher, work, 200*time.Millisecond)
		busy, err := a.dispatcher.Acquire(t.Context(), work)
		require.NoError(t, err)

		permit, err := a.dispatcher.Acquire(t.Context(), work)
		require.NoError(t, err)
		require.True(t, permit.Target().IsPeer)
		require.Equal(t, b.identity, permit.Target().Peer)

		relayed := Work{Service: "booking-desk", Relayed: true, Origin: "a", Grant: permit.Target().Grant}
		remote, err := b.dispatcher.Acquire(t.Context(), relayed)
		require.NoError(t, err)
		require.Equal(t, "u3", remote.Target().Upstream)
		relayed.Grant++
		_, err = b.dispatcher.Acquire(t.Context(), relayed)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonNoGrant, refused.Reason)

		remote.Done(Outcome{Result: ResultOK})
		permit.Done(Outcome{Result: ResultOK})
		busy.Done(Outcome{Result: ResultOK})
		cancel()
		tasks.Wait()
	})
}

func TestLostRoomRequestsLeaveWorkInTheLocalQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		current := testConfiguration()
		network := &fakeFleet{delay: time.Millisecond, hosts: map[netip.AddrPort]*fakeHost{}, lost: true}
		a := network.join("a", "toronto", "ontario", current, fixedShare{"u1": 1})
		network.join("b", "detroit", "michigan", current, fixedShare{"u3": 2})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = a.dispatcher.Run(ctx) })
		work := Work{Service: "booking-desk"}
		runRequest(t, a.dispatcher, work, 100*time.Millisecond)
		var running sync.WaitGroup
		for range 3 {
			running.Go(func() { runRequest(t, a.dispatcher, work, 100*time.Millisecond) })
		}
		target := runRequest(t, a.dispatcher, work, 100*time.Millisecond)
		require.Equal(t, "u1", target.Upstream)
		running.Wait()
		require.Positive(t, network.carried)
		require.Less(t, network.carried, 20, "requests to a peer that does not answer back off")
		cancel()
		tasks.Wait()
	})
}

func TestAcquireEndsWithItsContextOrDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		current := testConfiguration()
		network := &fakeFleet{hosts: map[netip.AddrPort]*fakeHost{}}
		a := network.join("a", "toronto", "ontario", current, fixedShare{"u1": 1})
		work := Work{Service: "booking-desk"}
		busy, err := a.dispatcher.Acquire(t.Context(), work)
		require.NoError(t, err)

		ctx, cancel := context.WithCancelCause(t.Context())
		go func() {
			time.Sleep(10 * time.Millisecond)
			cancel(lostError{})
		}()
		_, err = a.dispatcher.Acquire(ctx, work)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonWithdrawn, refused.Reason)
		require.ErrorIs(t, err, lostError{})

		start := time.Now()
		work.Deadline = start.Add(30 * time.Millisecond)
		_, err = a.dispatcher.Acquire(t.Context(), work)
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonDeadlineTooShort, refused.Reason)
		require.Equal(t, 30*time.Millisecond, time.Since(start))

		busy.Done(Outcome{Result: ResultOK})
		_, err = a.dispatcher.Acquire(t.Context(), work)
		require.NoError(t, err)
	})
}

func TestDrainedUpstreamGetsNoNewWork(t *testing.T) {
	for _, drain := range []configuration.Drain{
		{Kind: configuration.DrainUpstream, Target: "u1"},
		{Kind: configuration.DrainFailureDomain, Target: "toronto"},
		{Kind: configuration.DrainRegion, Target: "ontario"},
	} {
		t.Run(string(drain.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				current := testConfiguration()
				d := New(Options{
					Self: host.Identity{ID: "a", FailureDomain: "toronto"}, Capacity: fixedShare{"u1": 2, "u2": 2},
					Transports: fakeTransports{}, Configuration: func() *configuration.Configuration { return current },
				})
				permit, err := d.Acquire(t.Context(), Work{Service: "booking-desk"})
				require.NoError(t, err)
				changed := *current
				changed.FailureDomains = []configuration.FailureDomain{{Name: "toronto", Region: "ontario"}}
				drain.Start = time.Now().Add(time.Minute)
				changed.Drains = []configuration.Drain{drain}
				current = &changed
				require.Equal(t, 4, countFreeSlots(t, d)+1)
				time.Sleep(time.Minute)
				want := map[configuration.DrainKind]int{configuration.DrainUpstream: 2}[drain.Kind]
				require.Equal(t, want, countFreeSlots(t, d))
				permit.Done(Outcome{Result: ResultOK})
			})
		})
	}
}

// countFreeSlots returns how many more requests the dispatcher would run at the same time.
func countFreeSlots(t *testing.T, d *Dispatcher) int {
	var permits []*Permit
	for {
		permit, err := d.Acquire(t.Context(), Work{Service: "booking-desk", Deadline: time.Now().Add(time.Nanosecond)})
		if err != nil {
			break
		}
		permits = append(permits, permit)
	}
	for _, permit := range permits {
		permit.Done(Outcome{Result: ResultOK})
	}
	return len(permits)
}

func TestNoisyAccountDoesNotChangeTheWaitOfOthers(t *testing.T) {
	quiet, noisy := waitOfSmallAccount(t, 0), waitOfSmallAccount(t, 25)
	require.LessOrEqual(t, noisy, quiet+2*testService, "it waits at most for the two requests in progress")
}

const testService = 10 * time.Millisecond

// waitOfSmallAccount returns the longest time that requests of one account take
// while another keeps a backlog of the given length.
func waitOfSmallAccount(t *testing.T, backlog int) (longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		current := testConfiguration()
		network := &fakeFleet{hosts: map[netip.AddrPort]*fakeHost{}}
		a := network.join("a", "toronto", "ontario", current, fixedShare{"u1": 1, "u2": 1})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range backlog {
			running.Go(func() {
				for ctx.Err() == nil {
					runRequest(t, a.dispatcher, Work{Service: "booking-desk", Account: "noisy"}, testService)
				}
			})
		}
		for range 50 {
			start := time.Now()
			runRequest(t, a.dispatcher, Work{Service: "booking-desk", Account: "small"}, testService)
			longest = max(longest, time.Since(start))
			time.Sleep(3 * time.Millisecond)
		}
		cancel()
		running.Wait()
	})
	return longest
}

func BenchmarkAcquire(b *testing.B) {
	current := testConfiguration()
	d := New(Options{
		Self: host.Identity{ID: "a", FailureDomain: "toronto"}, Capacity: fixedShare{"u1": 2, "u2": 2},
		Transports: fakeTransports{}, Configuration: func() *configuration.Configuration { return current },
	})
	b.ReportAllocs()
	for b.Loop() {
		permit, err := d.Acquire(b.Context(), Work{Service: "booking-desk", Account: "a"})
		if err != nil {
			b.Fatal(err)
		}
		permit.Done(Outcome{Result: ResultOK, Latency: time.Millisecond})
	}
}
