// Package fleettest provides an in-memory network between hosts of one test
// process, with faults that tests inject, and QUIC transports on loopback. The
// in-memory network works in testing/synctest bubbles.
package fleettest

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

const defaultTimeout = 5 * time.Second

// Faults are the probabilities and delays of the random faults of a Network.
type Faults struct {
	Loss        float64       // probability that a request is lost, and that a reply is lost
	Duplication float64       // probability that a request is handled twice
	MinDelay    time.Duration // lower limit of the delay of each request and each reply
	MaxDelay    time.Duration // upper limit
}

// Network carries messages between Nodes. The random faults of a message depend
// only on the seed, the addresses of the two hosts, the kind and the number of
// earlier messages of that kind between them in this direction. It is safe for
// concurrent use.
type Network struct {
	seed uint64

	mu          sync.Mutex
	faults      Faults
	nodes       map[netip.AddrPort]*Node
	partitioned map[domainPair]bool
	isolated    map[netip.AddrPort]bool
	sequences   map[flow]uint64
}

type domainPair struct{ a, b string }

type flow struct {
	from, to netip.AddrPort
	kind     fleet.Kind
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{
		seed:        seed,
		nodes:       map[netip.AddrPort]*Node{},
		partitioned: map[domainPair]bool{},
		isolated:    map[netip.AddrPort]bool{},
		sequences:   map[flow]uint64{},
	}
}

// Join adds a process at its fleet address. It replaces an earlier process at the
// same address.
func (n *Network) Join(self host.Identity) *Node {
	node := &Node{network: n, self: self, handlers: map[fleet.Kind]fleet.Handler{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[self.Fleet] = node
	return node
}

// Leave removes the process at addr as if it had been killed.
func (n *Network) Leave(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, addr)
}

// SetFaults replaces the random faults.
func (n *Network) SetFaults(faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

// Partition drops all messages between failure domains a and b.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends the partition between failure domains a and b.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[domainPair{a, b}] = partitioned
	n.partitioned[domainPair{b, a}] = partitioned
}

// Isolate starts or stops dropping all messages from and to the process at addr.
func (n *Network) Isolate(addr netip.AddrPort, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[addr] = isolated
}

// connected returns the process at an address and whether packets currently pass
// between it and from. The process is nil if none has joined at the address.
func (n *Network) connected(from host.Identity, to netip.AddrPort) (*Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[to]
	if !ok {
		return nil, false
	}
	partitioned := n.partitioned[domainPair{from.FailureDomain, node.self.FailureDomain}]
	return node, !partitioned && !n.isolated[to] && !n.isolated[from.Fleet]
}

// drawnFaults are the random faults of one message.
type drawnFaults struct {
	requestLost              bool
	replyLost                bool
	duplicated               bool
	requestDelay, replyDelay time.Duration
}

func (n *Network) drawFaults(from, to netip.AddrPort, kind fleet.Kind) drawnFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := flow{from, to, kind}
	n.sequences[key]++
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(from.String() + ">" + to.String() + ":" + string(kind)))
	random := rand.New(rand.NewPCG(n.seed^hash.Sum64(), n.sequences[key]))
	delay := func() time.Duration {
		spread := n.faults.MaxDelay - n.faults.MinDelay
		return n.faults.MinDelay + time.Duration(random.Float64()*float64(max(spread, 0)))
	}
	return drawnFaults{
		requestLost:  random.Float64() < n.faults.Loss,
		replyLost:    random.Float64() < n.faults.Loss,
		duplicated:   random.Float64() < n.faults.Duplication,
		requestDelay: delay(),
		replyDelay:   delay(),
	}
}

// Node is one process on a Network. It implements fleet.Caller and
// fleet.Registry.
type Node struct {
	network *Network
	self    host.Identity

	mu       sync.Mutex
	handlers map[fleet.Kind]fleet.Handler
}

// Self returns the identity of the process.
func (n *Node) Self() host.Identity { return n.self }

// Handle implements fleet.Registry.
func (n *Node) Handle(kind fleet.Kind, handler fleet.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = handler
}

// Call implements fleet.Caller. A lost message fails with fleet.KindTimeout when
// ctx ends, or after 5 s if it has no deadline. An unknown address fails with
// fleet.KindUnreachable at once.
func (n *Node) Call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = bounded
	}
	failure := n.call(ctx, addr, kind, request, reply)
	if failure == nil {
		return nil
	}
	failure.Peer = addr
	failure.Message = kind
	return failure
}

func (n *Node) call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) *fleet.Error {
	body, err := fleet.Marshal(request)
	if err != nil {
		return &fleet.Error{Kind: fleet.KindInvalid, Err: err}
	}
	target, connected := n.network.connected(n.self, addr)
	if target == nil {
		return &fleet.Error{Kind: fleet.KindUnreachable}
	}
	faults := n.network.drawFaults(n.self.Fleet, addr, kind)
	if !connected || faults.requestLost {
		return waitLost(ctx)
	}
	if !sleep(ctx, faults.requestDelay) {
		return waitLost(ctx)
	}
	if faults.duplicated {
		go target.dispatch(context.WithoutCancel(ctx), n.self, kind, body)
	}
	results := make(chan callResult, 1)
	go func() { results <- target.dispatch(ctx, n.self, kind, body) }()
	select {
	case <-ctx.Done():
		return waitLost(ctx)
	case result := <-results:
		if _, connected = n.network.connected(n.self, addr); !connected || faults.replyLost || !sleep(ctx, faults.replyDelay) {
			return waitLost(ctx)
		}
		return result.decode(reply)
	}
}

type callResult struct {
	body    []byte
	failure *fleet.Error
}

func (r callResult) decode(reply any) *fleet.Error {
	if r.failure != nil || reply == nil {
		return r.failure
	}
	if err := fleet.Unmarshal(r.body, reply); err != nil {
		return &fleet.Error{Kind: fleet.KindInvalid, Err: err}
	}
	return nil
}

func (n *Node) dispatch(ctx context.Context, from host.Identity, kind fleet.Kind, body []byte) callResult {
	n.mu.Lock()
	handler, ok := n.handlers[kind]
	n.mu.Unlock()
	if !ok {
		return callResult{failure: &fleet.Error{Kind: fleet.KindRefused, Code: fleet.CodeUnknownKind}}
	}
	result, err := handler(ctx, from, func(into any) error { return fleet.Unmarshal(body, into) })
	if err != nil {
		failure := &fleet.Error{Kind: fleet.KindHandler, Detail: err.Error()}
		var coded fleet.CodedError
		if errors.As(err, &coded) {
			failure.Code = coded.FleetCode()
		}
		return callResult{failure: failure}
	}
	encoded, err := fleet.Marshal(result)
	if err != nil {
		return callResult{failure: &fleet.Error{Kind: fleet.KindHandler, Code: fleet.CodeReplyInvalid, Detail: err.Error()}}
	}
	return callResult{body: encoded}
}

// waitLost waits for the end of ctx, as the sender of a lost message does, and
// returns the resulting failure.
func waitLost(ctx context.Context) *fleet.Error {
	<-ctx.Done()
	kind := fleet.KindUnknownOutcome
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fleet.KindTimeout
	}
	return &fleet.Error{Kind: kind, Err: ctx.Err()}
}

// sleep waits for delay. It reports false if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
