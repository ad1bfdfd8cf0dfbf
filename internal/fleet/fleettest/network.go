// Package fleettest carries messages between hosts of one process in memory,
// with faults that tests switch on. It works in testing/synctest bubbles.
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

// Faults are the random faults of a network.
type Faults struct {
	Loss        float64       // probability that a request is lost, and again that its answer is
	Duplication float64       // probability that a request is handled twice
	MinDelay    time.Duration // of each direction
	MaxDelay    time.Duration
}

// Network joins Nodes. Faults that a message meets depend only on the seed, the
// two hosts, the kind and the number of earlier messages among these. It is safe
// for concurrent use.
type Network struct {
	seed uint64

	mu        sync.Mutex
	faults    Faults
	nodes     map[netip.AddrPort]*Node
	cut       map[domainPair]bool
	silent    map[netip.AddrPort]bool
	sequences map[flow]uint64
}

type domainPair struct{ a, b string }

type flow struct {
	from, to netip.AddrPort
	kind     fleet.Kind
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{
		seed:      seed,
		nodes:     map[netip.AddrPort]*Node{},
		cut:       map[domainPair]bool{},
		silent:    map[netip.AddrPort]bool{},
		sequences: map[flow]uint64{},
	}
}

// Join adds a process under its fleet address. A later process at the same
// address takes the place of the earlier one.
func (n *Network) Join(self host.Identity) *Node {
	node := &Node{network: n, self: self, handlers: map[fleet.Kind]fleet.Handler{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[self.Fleet] = node
	return node
}

// Leave removes the process at addr, as if it had been killed.
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

// Partition cuts failure domains a and b from each other.
func (n *Network) Partition(a, b string) { n.setCut(a, b, true) }

// Heal joins failure domains a and b again.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domainPair{a, b}] = cut
	n.cut[domainPair{b, a}] = cut
}

// Silence drops all messages from and to the process at addr until it is
// called again with false.
func (n *Network) Silence(addr netip.AddrPort, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[addr] = silent
}

// connected reports whether packets pass between two processes at this moment.
func (n *Network) connected(from host.Identity, to netip.AddrPort) (*Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[to]
	if !ok {
		return nil, false
	}
	separated := n.cut[domainPair{from.FailureDomain, node.self.FailureDomain}]
	return node, !separated && !n.silent[to] && !n.silent[from.Fleet]
}

// fate is what happens to one message.
type fate struct {
	requestLost bool
	answerLost  bool
	doubled     bool
	there, back time.Duration // delays
}

func (n *Network) draw(from, to netip.AddrPort, kind fleet.Kind) fate {
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
	return fate{
		requestLost: random.Float64() < n.faults.Loss,
		answerLost:  random.Float64() < n.faults.Loss,
		doubled:     random.Float64() < n.faults.Duplication,
		there:       delay(),
		back:        delay(),
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
func (d *Node) Self() host.Identity { return d.self }

// Handle implements fleet.Registry.
func (d *Node) Handle(kind fleet.Kind, handler fleet.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[kind] = handler
}

// Call implements fleet.Caller. A lost message fails with fleet.KindTimeout when
// ctx ends, or after 5 s if it has no deadline. An unknown address fails with
// fleet.KindUnreachable at once.
func (d *Node) Call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = bounded
	}
	failure := d.call(ctx, addr, kind, request, reply)
	if failure == nil {
		return nil
	}
	failure.Peer = addr
	failure.Message = kind
	return failure
}

func (d *Node) call(ctx context.Context, addr netip.AddrPort, kind fleet.Kind, request, reply any) *fleet.Error {
	body, err := fleet.Marshal(request)
	if err != nil {
		return &fleet.Error{Kind: fleet.KindInvalid, Err: err}
	}
	target, passes := d.network.connected(d.self, addr)
	if target == nil {
		return &fleet.Error{Kind: fleet.KindUnreachable}
	}
	fate := d.network.draw(d.self.Fleet, addr, kind)
	if !passes || fate.requestLost {
		return lost(ctx)
	}
	if !sleep(ctx, fate.there) {
		return lost(ctx)
	}
	if fate.doubled {
		go target.dispatch(context.WithoutCancel(ctx), d.self, kind, body)
	}
	answers := make(chan answer, 1)
	go func() { answers <- target.dispatch(ctx, d.self, kind, body) }()
	select {
	case <-ctx.Done():
		return lost(ctx)
	case result := <-answers:
		if _, passes = d.network.connected(d.self, addr); !passes || fate.answerLost || !sleep(ctx, fate.back) {
			return lost(ctx)
		}
		return result.decode(reply)
	}
}

type answer struct {
	body    []byte
	failure *fleet.Error
}

func (a answer) decode(reply any) *fleet.Error {
	if a.failure != nil || reply == nil {
		return a.failure
	}
	if err := fleet.Unmarshal(a.body, reply); err != nil {
		return &fleet.Error{Kind: fleet.KindInvalid, Err: err}
	}
	return nil
}

func (d *Node) dispatch(ctx context.Context, from host.Identity, kind fleet.Kind, body []byte) answer {
	d.mu.Lock()
	handler, ok := d.handlers[kind]
	d.mu.Unlock()
	if !ok {
		return answer{failure: &fleet.Error{Kind: fleet.KindRefused, Code: fleet.CodeUnknownKind}}
	}
	result, err := handler(ctx, from, func(into any) error { return fleet.Unmarshal(body, into) })
	if err != nil {
		failure := &fleet.Error{Kind: fleet.KindHandler, Detail: err.Error()}
		var coded fleet.Coded
		if errors.As(err, &coded) {
			failure.Code = coded.FleetCode()
		}
		return answer{failure: failure}
	}
	encoded, err := fleet.Marshal(result)
	if err != nil {
		return answer{failure: &fleet.Error{Kind: fleet.KindHandler, Code: fleet.CodeReplyInvalid, Detail: err.Error()}}
	}
	return answer{body: encoded}
}

// lost waits for the end of ctx, as a sender does whose packets are dropped.
func lost(ctx context.Context) *fleet.Error {
	<-ctx.Done()
	kind := fleet.KindUnknownOutcome
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fleet.KindTimeout
	}
	return &fleet.Error{Kind: kind, Err: ctx.Err()}
}

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
