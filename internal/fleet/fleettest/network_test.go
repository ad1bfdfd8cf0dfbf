package fleettest

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

func identity(id host.ID, domain string, port uint16) host.Identity {
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	return host.Identity{ID: id, Incarnation: 1, FailureDomain: domain, Fleet: addr}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		set     func(*Network, *Node)
		handled int
		kind    fleet.ErrorKind // zero if the call succeeds
	}{
		{name: "none", set: func(*Network, *Node) {}, handled: 1},
		{name: "loss", set: func(n *Network, _ *Node) { n.SetFaults(Faults{Loss: 1}) }, kind: fleet.KindTimeout},
		{name: "duplication", set: func(n *Network, _ *Node) { n.SetFaults(Faults{Duplication: 1}) }, handled: 2},
		{name: "delay past the deadline", set: func(n *Network, _ *Node) {
			n.SetFaults(Faults{MinDelay: 2 * time.Second, MaxDelay: 2 * time.Second})
		}, kind: fleet.KindTimeout},
		{name: "partition", set: func(n *Network, _ *Node) { n.Partition("toronto", "detroit") }, kind: fleet.KindTimeout},
		{name: "healed partition", set: func(n *Network, _ *Node) {
			n.Partition("toronto", "detroit")
			n.Heal("detroit", "toronto")
		}, handled: 1},
		{name: "isolated", set: func(n *Network, b *Node) { n.Isolate(b.Self().Fleet, true) }, kind: fleet.KindTimeout},
		{name: "gone", set: func(n *Network, b *Node) { n.Leave(b.Self().Fleet) }, kind: fleet.KindUnreachable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := New(1)
				a := network.Join(identity("a", "toronto", 1))
				b := network.Join(identity("b", "detroit", 2))
				var handled atomic.Int64
				b.Handle("count", func(context.Context, host.Identity, fleet.Decoder) (any, error) {
					return handled.Add(1), nil
				})
				test.set(network, b)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var reply int
				err := a.Call(ctx, b.Self().Fleet, "count", struct{}{}, &reply)
				synctest.Wait()
				require.Equal(t, test.handled, int(handled.Load()))
				if test.kind == 0 {
					require.NoError(t, err)
					return
				}
				require.True(t, fleet.IsKind(err, test.kind), "%v", err)
			})
		})
	}
}

func TestSameSeedSameFaults(t *testing.T) {
	outcome := func(seed uint64) (lost []bool) {
		network := New(seed)
		network.SetFaults(Faults{Loss: 0.5})
		from, to := identity("a", "x", 1).Fleet, identity("b", "x", 2).Fleet
		for range 64 {
			lost = append(lost, network.drawFaults(from, to, "kind").requestLost)
		}
		return lost
	}
	require.Equal(t, outcome(1), outcome(1))
	require.NotEqual(t, outcome(1), outcome(2))
}
