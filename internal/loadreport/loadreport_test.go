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

// fakePool reports the counts of a test and records those it receives.
type fakePool struct {
	mu         sync.Mutex
	own        []Count
	received   map[netip.AddrPort][]Count
	receptions int

	ownSamples, samples []Sample
}

func (p *fakePool) Counts() []Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Count(nil), p.own...)
}

func (p *fakePool) SetPeerCounts(peer netip.AddrPort, counts []Count, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received[peer] = counts
	p.receptions++
}

func (p *fakePool) TakeSamples() []Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.ownSamples
	p.ownSamples = nil
	return taken
}

func (p *fakePool) AddPeerSamples(samples []Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, samples...)
}

func (p *fakePool) receivedSamples() []Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.samples
}

func (p *fakePool) receivedFrom(peer netip.AddrPort) []Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[peer]
}

func (p *fakePool) setOwn(own []Count) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = own
}

func startExchange(t *testing.T) (*Exchange, *fakePool, netip.AddrPort) {
	t.Helper()
	p := &fakePool{received: map[netip.AddrPort][]Count{}}
	e, err := Listen("127.0.0.1:0", p, log.NewNopLogger())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e, p, e.socket.Address()
}

func TestPeersReceiveCounts(t *testing.T) {
	a, sender, from := startExchange(t)
	b, receiver, to := startExchange(t)
	a.SetPeers([]Peer{{Address: to, Samples: true}})
	b.SetPeers([]Peer{{Address: from, Samples: true}})
	own := []Count{{Upstream: 7, Requests: 3}, {Upstream: 9, Requests: 1}}
	sender.setOwn(own)
	require.Eventually(t, func() bool { return len(receiver.receivedFrom(from)) == 2 }, time.Second, time.Millisecond)
	require.Equal(t, own, receiver.receivedFrom(from))
	sender.setOwn(nil)
	require.Eventually(t, func() bool { return len(receiver.receivedFrom(from)) == 0 }, time.Second, time.Millisecond, "an empty report is sent too and clears the counts")
}

func TestExchangeIgnoresUnknownPeersAndInvalidDatagrams(t *testing.T) {
	a, sender, _ := startExchange(t)
	b, receiver, to := startExchange(t)
	sender.setOwn([]Count{{Upstream: 7, Requests: 3}})
	a.SetPeers([]Peer{{Address: to, Samples: true}}) // a is not a peer of b
	_, peerPool, from := startExchange(t)
	peerPool.setOwn([]Count{{Upstream: 8, Requests: 1}})
	b.SetPeers([]Peer{{Address: from, Samples: true}})
	raw, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	defer raw.Close()
	for _, data := range [][]byte{nil, {0xff}, make([]byte, 3000)} {
		_, err := raw.Write(data)
		require.NoError(t, err)
	}
	time.Sleep(3 * reportInterval)
	require.Zero(t, receiver.receptions)
}

func TestReportIsLimitedToOnePacket(t *testing.T) {
	a, sender, from := startExchange(t)
	b, receiver, to := startExchange(t)
	a.SetPeers([]Peer{{Address: to, Samples: true}})
	b.SetPeers([]Peer{{Address: from, Samples: true}})
	var own []Count
	for i := range 1000 {
		own = append(own, Count{Upstream: uint32(1<<31 + i), Requests: uint16(i)})
	}
	sender.setOwn(own)
	sender.mu.Lock()
	for range 100000 {
		sender.ownSamples = append(sender.ownSamples, Sample{Upstream: 1 << 31, Running: 1 << 15, Waiting: 1 << 15, Slots: 1 << 15, Slowdown: 1 << 15})
	}
	sender.mu.Unlock()
	require.Eventually(t, func() bool { return len(receiver.receivedFrom(from)) == maxCounts }, time.Second, time.Millisecond)
	require.Equal(t, uint16(999), receiver.receivedFrom(from)[0].Requests, "the largest counts are sent first")
	require.Len(t, receiver.receivedSamples(), maxSamples, "they fit in the same packet")
}

// What a host sends does not grow with the number of hosts of its failure domain, and a
// report outlasts the loss of the next one.
func TestReportsPerSecondAreBounded(t *testing.T) {
	for _, peers := range []int{0, 1, 2, 8, 13, 16, 32, 60, 300, 1000} {
		perSecond := float64(peers) / interval(peers).Seconds()
		require.LessOrEqual(t, perSecond, float64(maxReportsPerSecond), "%d peers", peers)
		require.GreaterOrEqual(t, interval(peers), reportInterval)
		require.LessOrEqual(t, float64(peers)/intervalOfFar(peers).Seconds(), float64(maxFarReportsPerSecond), "%d peers", peers)
		require.Greater(t, validity(intervalOfFar(peers)), 2*intervalOfFar(peers), "%d peers", peers)
		require.Greater(t, validity(interval(peers)), 2*interval(peers), "%d peers", peers)
	}
	require.Equal(t, reportInterval, interval(16))
	require.Equal(t, 500*time.Millisecond, validity(interval(16)))
}

func TestIntervalFollowsTheNumberOfPeers(t *testing.T) {
	a, sender, from := startExchange(t)
	b, receiver, to := startExchange(t)
	b.SetPeers([]Peer{{Address: from, Samples: true}})
	peers := []Peer{{Address: to, Samples: true}}
	for port := range 79 { // nobody listens there
		peers = append(peers, Peer{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(1+port)), Samples: port%2 == 0})
	}
	a.SetPeers(peers)
	sender.setOwn([]Count{{Upstream: 7, Requests: 3}})
	time.Sleep(2 * time.Second)
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	require.Positive(t, receiver.receptions)
	require.LessOrEqual(t, receiver.receptions, 5, "80 peers get two reports a second each")
}

// A host learned the load of an upstream only from its own responses, which are few where many
// hosts share the upstreams.
func TestSamplesReachPeersOfTheDomainOnly(t *testing.T) {
	a, sender, from := startExchange(t)
	b, near, nearAddress := startExchange(t)
	c, far, farAddress := startExchange(t)
	a.SetPeers([]Peer{{Address: nearAddress, Samples: true}, {Address: farAddress, Samples: true, Far: true}})
	b.SetPeers([]Peer{{Address: from, Samples: true}})
	c.SetPeers([]Peer{{Address: from, Samples: true, Far: true}})
	sender.setOwn([]Count{{Upstream: 7, Requests: 3}})
	sample := Sample{Upstream: 1 << 31, Running: 4, Waiting: 12, Slots: 4, Slowdown: 250}
	sender.mu.Lock()
	sender.ownSamples = []Sample{sample}
	sender.mu.Unlock()
	require.Eventually(t, func() bool { return len(near.receivedSamples()) == 1 && len(far.receivedFrom(from)) == 1 }, 2*time.Second, time.Millisecond)
	require.Equal(t, sample, near.receivedSamples()[0])
	require.Empty(t, far.receivedSamples())
}

// Hosts of earlier builds send and read a list of counts.
func TestReportsOfEarlierBuildsAreRead(t *testing.T) {
	a, sender, from := startExchange(t)
	b, receiver, to := startExchange(t)
	a.SetPeers([]Peer{{Address: to}})
	b.SetPeers([]Peer{{Address: from}})
	for _, own := range [][]Count{{{Upstream: 7, Requests: 3}, {Upstream: 9, Requests: 1}}, {{Upstream: 7, Requests: 2}}} {
		sender.setOwn(own)
		require.Eventually(t, func() bool { return len(receiver.receivedFrom(from)) == len(own) }, time.Second, time.Millisecond)
		require.Equal(t, own, receiver.receivedFrom(from))
	}
}
