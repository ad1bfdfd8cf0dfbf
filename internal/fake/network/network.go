// Package network forwards UDP packets between the hosts of one process over emulated
// links. Tests set the links' delays and inject network partitions.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	linkCapacity  = 4096 // max packets in transit on one link; others are dropped
	maxPacketSize = 64 << 10
)

// DelayFunc returns the one-way delay between two failure domains.
type DelayFunc func(from, to string) time.Duration

// Network forwards packets between ports. It is safe for concurrent use.
type Network struct {
	delay DelayFunc

	mu               sync.Mutex // guards the fields below
	ports            []*Port
	links            map[linkKey]*link
	partitionedPairs map[linkKey]bool // by failure domains
	done             chan struct{}
}

type linkKey struct {
	from string
	to   string
}

// New returns a network without ports. A nil delay means no delay.
func New(delay DelayFunc) *Network {
	if delay == nil {
		delay = func(string, string) time.Duration { return 0 }
	}
	return &Network{
		delay:            delay,
		links:            map[linkKey]*link{},
		partitionedPairs: map[linkKey]bool{},
		done:             make(chan struct{}),
	}
}

// Port is the public address of one host. Packets sent to it are delivered to the
// host's own socket, with the sender's Port as their source.
type Port struct {
	network *Network
	domain  string
	public  *net.UDPConn
	private netip.AddrPort
}

// Join opens a port on loopback for a host of the given failure domain that
// listens at private.
func (n *Network) Join(domain string, private netip.AddrPort) (*Port, error) {
	public, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(private.Addr(), 0)))
	if err != nil {
		return nil, &PortError{Domain: domain, Err: err}
	}
	port := &Port{network: n, domain: domain, public: public, private: private}
	n.mu.Lock()
	n.ports = append(n.ports, port)
	n.mu.Unlock()
	go port.receive()
	return port, nil
}

// Address returns the public address, which other hosts use.
func (p *Port) Address() netip.AddrPort {
	return p.public.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Leave closes the port and removes it from the network.
func (p *Port) Leave() {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, port := range n.ports {
		if port == p {
			n.ports = append(n.ports[:i], n.ports[i+1:]...)
			break
		}
	}
	_ = p.public.Close() // unblocks receive
}

// Partition drops all packets between two failure domains, in both directions.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends a Partition.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

// Isolate partitions a failure domain from all others that have ports.
func (n *Network) Isolate(domain string) {
	for _, other := range n.domains() {
		if other != domain {
			n.Partition(domain, other)
		}
	}
}

// Rejoin heals all partitions of a failure domain.
func (n *Network) Rejoin(domain string) {
	for _, other := range n.domains() {
		n.Heal(domain, other)
	}
}

// Close closes all ports and ends all links.
func (n *Network) Close() {
	n.mu.Lock()
	ports := append([]*Port(nil), n.ports...)
	n.mu.Unlock()
	for _, port := range ports {
		port.Leave()
	}
	close(n.done)
}

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedPairs[linkKey{a, b}] = partitioned
	n.partitionedPairs[linkKey{b, a}] = partitioned
}

func (n *Network) domains() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	seen := map[string]bool{}
	var domains []string
	for _, port := range n.ports {
		if !seen[port.domain] {
			seen[port.domain] = true
			domains = append(domains, port.domain)
		}
	}
	return domains
}

// receive forwards the packets that other hosts send to p until the port closes.
func (p *Port) receive() {
	buffer := make([]byte, maxPacketSize)
	for {
		size, from, err := p.public.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.network.forward(source, p, append([]byte(nil), buffer[:size]...))
	}
}

// forward sends a packet over the link from its sender to a port. It drops packets
// from unknown senders and between partitioned domains.
func (n *Network) forward(source netip.AddrPort, to *Port, data []byte) {
	n.mu.Lock()
	from := n.portBySource(source)
	if from == nil || n.partitionedPairs[linkKey{from.domain, to.domain}] {
		n.mu.Unlock()
		return
	}
	l := n.linkBetween(from, to)
	n.mu.Unlock()
	l.send(packet{data: data, deliverAt: time.Now().Add(n.delay(from.domain, to.domain)), from: from, to: to})
}

// portBySource returns the port of the host whose own socket is source, or nil. The
// caller holds n.mu.
func (n *Network) portBySource(source netip.AddrPort) *Port {
	for _, port := range n.ports {
		if port.private == source {
			return port
		}
	}
	return nil
}

// linkBetween returns the link between two ports and starts it on first use. The
// caller holds n.mu.
func (n *Network) linkBetween(from, to *Port) *link {
	key := linkKey{from.private.String(), to.private.String()}
	l := n.links[key]
	if l == nil {
		l = &link{packets: make(chan packet, linkCapacity)}
		n.links[key] = l
		go l.deliver(n.done)
	}
	return l
}
