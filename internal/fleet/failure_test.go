package fleet_test

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
)

func options(id host.ID, domain string) fleet.Options {
	return fleet.Options{Self: host.Identity{ID: id, Incarnation: 1, FailureDomain: domain}}
}

func echo(transport *fleet.Transport) {
	transport.Handle("echo", func(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
		var in ping
		if err := decode(&in); err != nil {
			return nil, err
		}
		return ping{Text: string(from.ID) + ":" + in.Text}, nil
	})
}

func callWithTimeout(t *testing.T, from *fleettest.Process, to netip.AddrPort, kind fleet.Kind, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return from.Call(ctx, to, kind, ping{}, nil)
}

// requireCallEventually repeats a call until it succeeds, for 20 s at most.
func requireCallEventually(t *testing.T, from *fleettest.Process, to netip.AddrPort) {
	t.Helper()
	require.Eventually(t, func() bool { return callWithTimeout(t, from, to, "echo", time.Second) == nil }, 20*time.Second, 50*time.Millisecond)
}

func TestPeerKilledAndRestarted(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, options("a", "toronto"), echo)
	b := fleettest.Start(t, ca, options("b", "detroit"), echo)
	require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
	b.Stop()
	require.Error(t, callWithTimeout(t, a, b.Addr(), "echo", 300*time.Millisecond))
	restarted := options("b", "detroit")
	restarted.Self.Incarnation = 2
	restarted.Listen = b.Addr()
	again := fleettest.Start(t, ca, restarted, echo)
	requireCallEventually(t, a, again.Addr())
}

func TestOldIncarnationIsRefused(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, options("a", "toronto"), echo)
	later := options("b", "detroit")
	later.Self.Incarnation = 2
	require.NoError(t, callWithTimeout(t, fleettest.Start(t, ca, later, echo), a.Addr(), "echo", 5*time.Second))
	old := fleettest.Start(t, ca, options("b", "detroit"), echo)
	var failure *fleet.Error
	require.ErrorAs(t, callWithTimeout(t, old, a.Addr(), "echo", 5*time.Second), &failure)
	require.True(t, failure.NotHandled())
}

func TestLaterIncarnationEndsTheConnectionOfTheEarlier(t *testing.T) {
	ca := fleettest.Authority(t)
	waiting := make(chan struct{})
	ended := make(chan struct{})
	a := fleettest.Start(t, ca, options("a", "toronto"), echo, func(transport *fleet.Transport) {
		transport.Handle("wait", func(ctx context.Context, _ host.Identity, _ fleet.Decoder) (any, error) {
			close(waiting)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
	})
	old := fleettest.Start(t, ca, options("b", "detroit"))
	go func() { _ = callWithTimeout(t, old, a.Addr(), "wait", 20*time.Second) }()
	<-waiting
	later := options("b", "detroit")
	later.Self.Incarnation = 2
	require.NoError(t, callWithTimeout(t, fleettest.Start(t, ca, later), a.Addr(), "echo", 5*time.Second))
	<-ended
}

func TestPartition(t *testing.T) {
	ca := fleettest.Authority(t)
	var partitioned atomic.Bool
	filtered := options("a", "toronto")
	filtered.Filter = func(netip.AddrPort) bool { return !partitioned.Load() }
	a := fleettest.Start(t, ca, filtered, echo)
	b := fleettest.Start(t, ca, options("b", "detroit"), echo)
	require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
	partitioned.Store(true)
	require.True(t, fleet.IsKind(callWithTimeout(t, a, b.Addr(), "echo", 300*time.Millisecond), fleet.KindTimeout))
	require.Error(t, callWithTimeout(t, b, a.Addr(), "echo", 300*time.Millisecond))
	partitioned.Store(false)
	requireCallEventually(t, a, b.Addr())
	requireCallEventually(t, b, a.Addr())
}

func TestSlowPeerDoesNotBlockOthers(t *testing.T) {
	ca := fleettest.Authority(t)
	bounded := options("a", "toronto")
	bounded.MaxCallsPerPeer = 4
	a := fleettest.Start(t, ca, bounded)
	started := make(chan struct{}, 4)
	slow := fleettest.Start(t, ca, options("slow", "detroit"), func(transport *fleet.Transport) {
		transport.Handle("wait", func(ctx context.Context, _ host.Identity, _ fleet.Decoder) (any, error) {
			started <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	quick := fleettest.Start(t, ca, options("quick", "detroit"), echo)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() { _ = a.Call(ctx, slow.Addr(), "wait", ping{}, nil) })
		<-started
	}
	err := callWithTimeout(t, a, slow.Addr(), "wait", 5*time.Second)
	require.True(t, fleet.IsKind(err, fleet.KindRefused), "%v", err)
	var busy *fleet.BusyError
	require.ErrorAs(t, err, &busy)
	require.NoError(t, callWithTimeout(t, a, quick.Addr(), "echo", 5*time.Second))
	cancel()
	calls.Wait()
	require.Eventually(t, func() bool {
		return !fleet.IsKind(callWithTimeout(t, a, slow.Addr(), "wait", 50*time.Millisecond), fleet.KindRefused)
	}, 10*time.Second, 10*time.Millisecond)
}

func TestManyCallersShareOneAttemptToConnect(t *testing.T) {
	ca := fleettest.Authority(t)
	registry := metrics.NewRegistry()
	counted := options("a", "toronto")
	counted.Metrics = registry
	a := fleettest.Start(t, ca, counted)
	b := fleettest.Start(t, ca, options("b", "detroit"), echo)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() { _ = callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second) })
	}
	calls.Wait()
	require.Equal(t, int64(1), registry.Get("fleet.dials").(metrics.Counter).Count())

	gone := netip.MustParseAddrPort("127.0.0.1:1")
	var failures sync.WaitGroup
	for range 50 {
		failures.Go(func() {
			for range 20 {
				_ = callWithTimeout(t, a, gone, "echo", 20*time.Millisecond)
			}
		})
	}
	failures.Wait()
	require.Less(t, registry.Get("fleet.dials").(metrics.Counter).Count(), int64(20), "1000 calls to a dead peer")
}

func TestRotation(t *testing.T) {
	oldCA, newCA := fleettest.Authority(t), fleettest.Authority(t)
	name := func(id host.ID) keys.Name { return keys.Name{Host: id, FailureDomain: "toronto"} }
	material := func(issuer *keys.Authority, id host.ID, others ...*keys.Authority) *keys.Material {
		created, err := issuer.Material(name(id), others...)
		require.NoError(t, err)
		return created
	}
	sourceA, sourceB := keys.NewReplaceableSource(material(oldCA, "a")), keys.NewReplaceableSource(material(oldCA, "b"))
	withTLS := func(id host.ID, source keys.Source) fleet.Options {
		o := options(id, "toronto")
		o.TLS = source
		return o
	}
	a := fleettest.Start(t, oldCA, withTLS("a", sourceA), echo)
	b := fleettest.Start(t, oldCA, withTLS("b", sourceB), echo)
	requireReachable := func() {
		t.Helper()
		require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
	}
	requireReachable()
	sourceA.Replace(material(oldCA, "a", newCA)) // step 1: both hosts trust both authorities
	sourceB.Replace(material(oldCA, "b", newCA))
	requireReachable()
	sourceB.Replace(material(newCA, "b", oldCA)) // step 2: both hosts get certificates of the new authority
	sourceA.Replace(material(newCA, "a", oldCA))
	c := fleettest.Start(t, newCA, withTLS("c", keys.NewReplaceableSource(material(newCA, "c"))), echo)
	require.NoError(t, callWithTimeout(t, c, b.Addr(), "echo", 5*time.Second))
	sourceA.Replace(material(newCA, "a")) // step 3: both hosts trust the new authority only
	sourceB.Replace(material(newCA, "b"))
	requireReachable()
	d := fleettest.Start(t, oldCA, withTLS("d", keys.NewReplaceableSource(material(oldCA, "d", newCA))), echo)
	var failure *fleet.Error
	require.ErrorAs(t, callWithTimeout(t, d, b.Addr(), "echo", 5*time.Second), &failure)
	require.True(t, failure.NotHandled())
}

func TestKeyFiles(t *testing.T) {
	ca := fleettest.Authority(t)
	directory := t.TempDir()
	paths := keys.Paths{
		Certificate: filepath.Join(directory, "host.pem"),
		Key:         filepath.Join(directory, "host.key"),
		Authorities: filepath.Join(directory, "authorities.pem"),
	}
	write := func(name keys.Name) {
		certificate, err := ca.Issue(name)
		require.NoError(t, err)
		files, err := keys.EncodePEM(certificate, ca.Certificate())
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(paths.Certificate, files.Certificate, 0o600))
		require.NoError(t, os.WriteFile(paths.Key, files.Key, 0o600))
		require.NoError(t, os.WriteFile(paths.Authorities, files.Authorities, 0o600))
	}
	_, err := keys.Load(paths)
	var failure *keys.CertificateError
	require.ErrorAs(t, err, &failure)

	write(keys.Name{Host: "a", FailureDomain: "toronto"})
	loaded, err := keys.Load(paths)
	require.NoError(t, err)
	first := loaded.Current()
	require.NoError(t, loaded.Reload())
	require.NotSame(t, first, loaded.Current())

	inUse := loaded.Current()
	require.NoError(t, os.WriteFile(paths.Key, []byte("broken"), 0o600))
	require.ErrorAs(t, loaded.Reload(), &failure)
	require.Same(t, inUse, loaded.Current(), "the material in use stays")

	write(keys.Name{Host: "b", FailureDomain: "toronto"})
	require.ErrorAs(t, loaded.Reload(), &failure, "a host does not change its name")
}

func TestSweepEndsConnectionsThatAreNoLongerAccepted(t *testing.T) {
	oldCA, newCA := fleettest.Authority(t), fleettest.Authority(t)
	material, err := oldCA.Material(keys.Name{Host: "a", FailureDomain: "toronto"})
	require.NoError(t, err)
	source := keys.NewReplaceableSource(material)
	withTLS := options("a", "toronto")
	withTLS.TLS = source
	a := fleettest.Start(t, oldCA, withTLS, echo)
	b := fleettest.Start(t, oldCA, options("b", "toronto"), echo)
	require.NoError(t, callWithTimeout(t, b, a.Addr(), "echo", 5*time.Second))
	a.Sweep(time.Now())
	require.NoError(t, callWithTimeout(t, b, a.Addr(), "echo", 5*time.Second))
	material, err = newCA.Material(keys.Name{Host: "a", FailureDomain: "toronto"})
	require.NoError(t, err)
	source.Replace(material)
	a.Sweep(time.Now())
	require.Error(t, callWithTimeout(t, b, a.Addr(), "echo", time.Second))
}

func TestSweepEndsUnusedConnections(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, options("a", "toronto"), echo)
	b := fleettest.Start(t, ca, options("b", "toronto"), echo)
	require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
	a.Sweep(time.Now().Add(time.Minute))
	require.Equal(t, 1, a.Connections())
	b.Sweep(time.Now().Add(time.Hour))
	require.Equal(t, 1, b.Connections(), "only the dialing side ends an unused connection")
	a.Sweep(time.Now().Add(time.Hour))
	require.Eventually(t, func() bool { return a.Connections() == 0 && b.Connections() == 0 }, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
}

func TestReconnectDelay(t *testing.T) {
	cases := []struct {
		failures int
		jitter   float64
		want     time.Duration
	}{
		{1, 0, 50 * time.Millisecond},
		{1, 0.5, 75 * time.Millisecond},
		{2, 0, 100 * time.Millisecond},
		{4, 0.5, 600 * time.Millisecond},
		{50, 0, 2500 * time.Millisecond},
	}
	for _, test := range cases {
		require.Equal(t, test.want, fleet.ReconnectDelay(test.failures, test.jitter))
	}
}

func TestUnreadStreamsBlockNeitherMessagesNorStreams(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, options("a", "toronto"))
	b := fleettest.Start(t, ca, options("b", "detroit"), echo, func(transport *fleet.Transport) {
		transport.HandleStream("large", func(_ context.Context, _ host.Identity, stream fleet.Stream) {
			_, _ = stream.Write(make([]byte, 1<<20))
			_ = stream.CloseWrite()
		})
		transport.HandleStream("small", func(_ context.Context, _ host.Identity, stream fleet.Stream) {
			_, _ = stream.Write([]byte("whole"))
			_ = stream.CloseWrite()
		})
	})
	for range 50 {
		stream, err := a.OpenStream(t.Context(), b.Addr(), "large")
		require.NoError(t, err)
		t.Cleanup(func() { _ = stream.Close() })
		require.NoError(t, stream.SetDeadline(time.Now().Add(10*time.Second)))
		require.NoError(t, stream.CloseWrite())
		_, err = io.ReadFull(stream, make([]byte, 1))
		require.NoError(t, err)
	}
	require.NoError(t, callWithTimeout(t, a, b.Addr(), "echo", 5*time.Second))
	stream, err := a.OpenStream(t.Context(), b.Addr(), "small")
	require.NoError(t, err)
	require.NoError(t, stream.CloseWrite())
	require.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
	body, err := io.ReadAll(stream)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.NoError(t, stream.Close())
}
