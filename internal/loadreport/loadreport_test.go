package loadreport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// pool keeps the counts of a test.
type pool struct {
	mu    sync.Mutex
	own   []Count
	taken map[netip.AddrPort][]Count
	times int
}

func (p *pool) Counts() []Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Count(nil), p.own...)
}

func (p *pool) Take(host netip.AddrPort, counts []Count) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken[host] = counts
	p.times++
}

func (p *pool) from(host netip.AddrPort) []Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken[host]
}

func (p *pool) set(own []Count) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = own
}

func open(t *testing.T) (*Exchange, *pool, netip.AddrPort) {
	t.Helper()
	p := &pool{taken: map[netip.AddrPort][]Count{}}
	e, err := Listen("127.0.0.1:0", p, log.NewNopLogger())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e, p, e.socket.Address()
}

func TestCountsArrive(t *testing.T) {
	a, sender, from := open(t)
	b, receiver, to := open(t)
	a.SetPeers([]netip.AddrPort{to})
	b.SetPeers([]netip.AddrPort{from})
	own := []Count{{Upstream: 7, Requests: 3}, {Upstream: 9, Requests: 1}}
	sender.set(own)
	require.Eventually(t, func() bool { return len(receiver.from(from)) == 2 }, time.Second, time.Millisecond)
	require.Equal(t, own, receiver.from(from))
	sender.set(nil)
	require.Eventually(t, func() bool { return len(receiver.from(from)) == 0 }, time.Second, time.Millisecond, "no requests are told as well")
}

func TestStrangersAndUnreadableDatagramsHarmNothing(t *testing.T) {
	a, sender, _ := open(t)
	b, receiver, to := open(t)
	sender.set([]Count{{Upstream: 7, Requests: 3}})
	a.SetPeers([]netip.AddrPort{to}) // b does not know a
	_, friend, from := open(t)
	friend.set([]Count{{Upstream: 8, Requests: 1}})
	b.SetPeers([]netip.AddrPort{from})
	raw, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	defer raw.Close()
	for _, data := range [][]byte{nil, {0xff}, make([]byte, 3000)} {
		_, err := raw.Write(data)
		require.NoError(t, err)
	}
	time.Sleep(3 * interval)
	require.Zero(t, receiver.times)
}

func TestMessageFitsInAPacket(t *testing.T) {
	a, sender, from := open(t)
	b, receiver, to := open(t)
	a.SetPeers([]netip.AddrPort{to})
	b.SetPeers([]netip.AddrPort{from})
	var own []Count
	for i := range 1000 {
		own = append(own, Count{Upstream: uint32(1<<31 + i), Requests: uint16(i)})
	}
	sender.set(own)
	require.Eventually(t, func() bool { return len(receiver.from(from)) == mostCounts }, time.Second, time.Millisecond)
	require.Equal(t, uint16(999), receiver.from(from)[0].Requests, "the largest counts go first")
}
