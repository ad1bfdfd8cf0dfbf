// Package network carries the UDP packets between hosts of one process over
// emulated links with delays, which a test cuts and heals while it runs.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	linkCapacity  = 4096 // packets under way on one link; more are dropped
	maxPacketSize = 64 << 10
)

// DelayFunc gives the one-way delay between two failure domains.
type DelayFunc func(from, to string) time.Duration

// Network connects ports. It is safe for concurrent use.
type Network struct {
	delay DelayFunc

	mu    sync.Mutex // guards the fields below
	ports []*Port
	links map[linkKey]*link
	cut   map[linkKey]bool // by failure domains
	done  chan struct{}
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
		delay: delay,
		links: map[linkKey]*link{},
		cut:   map[linkKey]bool{},
		done:  make(chan struct{}),
	}
}

// Port is the address under which one host is reached. Packets to it come out
// at the host's own socket, sent from the sender's port.
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

// Address returns the address that other hosts use.
func (p *Port) Address() netip.AddrPort {
	return p.public.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Leave closes the port.
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

// Cut drops all packets between two failure domains, in both directions.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a Cut.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// Isolate cuts a failure domain off from all others that have joined.
func (n *Network) Isolate(domain string) {
	for _, other := range n.domains() {
		if other != domain {
			n.Cut(domain, other)
		}
	}
}

// Rejoin heals all cuts of a failure domain.
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

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[linkKey{a, b}] = cut
	n.cut[linkKey{b, a}] = cut
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

// receive carries the packets that other hosts send to p.
func (p *Port) receive() {
	buffer := make([]byte, maxPacketSize)
	for {
		size, from, err := p.public.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.network.carry(source, p, append([]byte(nil), buffer[:size]...))
	}
}

func (n *Network) carry(source netip.AddrPort, to *Port, data []byte) {
	n.mu.Lock()
	from := n.portOf(source)
	if from == nil || n.cut[linkKey{from.domain, to.domain}] {
		n.mu.Unlock()
		return
	}
	l := n.linkBetween(from, to)
	n.mu.Unlock()
	l.send(packet{data: data, due: time.Now().Add(n.delay(from.domain, to.domain)), from: from, to: to})
}

// portOf finds the port of the host that sends from source. The caller holds
// n.mu.
func (n *Network) portOf(source netip.AddrPort) *Port {
	for _, port := range n.ports {
		if port.private == source {
			return port
		}
	}
	return nil
}

// linkBetween returns the link, which it starts if need be. The caller holds
// n.mu.
func (n *Network) linkBetween(from, to *Port) *link {
	key := linkKey{from.private.String(), to.private.String()}
	l := n.links[key]
	if l == nil {
		l = &link{packets: make(chan packet, linkCapacity)}
		n.links[key] = l
		go l.run(n.done)
	}
	return l
}
