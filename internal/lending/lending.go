// Package lending moves tokens of shared limits between hosts by datagrams.
//
// A host that runs short asks a few others. Who is asked deducts before it
// answers, so a lost answer loses tokens and never doubles them.
package lending

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/boottime"
	"peridotrail/internal/datagram"
)

// Lender decides on the tokens of this host.
type Lender interface {
	// Lend deducts and returns tokens for another host.
	Lend(account uint64, want float64) float64
	// Receive adds tokens that another host has deducted; zero means that it had none.
	Receive(account uint64, granted float64)
}

// message is one datagram.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	Account uint64 // hash of the account's name
	Number  uint32 // of the question, repeated in its answer
	Tokens  uint32 // wanted or granted
}

type kind uint8

const (
	kindAsk kind = iota + 1
	kindGrant
)

const (
	// answerTimeout is how long a question counts as open: a round trip to the
	// farthest region and some queueing.
	answerTimeout = 100 * time.Millisecond
	// emptyPause is how long a host that had no tokens is not asked again.
	emptyPause = 700 * time.Millisecond
	// asked is the number of hosts asked at once.
	asked = 2
)

type question struct {
	peer    netip.AddrPort
	account uint64
	sent    boottime.Instant
}

type peerAccount struct {
	peer    netip.AddrPort
	account uint64
}

// Exchange asks and answers. It is safe for concurrent use.
type Exchange struct {
	socket *datagram.Socket
	lender Lender
	clock  boottime.Clock

	mu     sync.Mutex // guards the fields below
	number uint32
	open   map[uint32]question
	empty  map[peerAccount]boottime.Instant // when a host last had none
	next   int
}

// Listen opens the exchange on an IP:port.
func Listen(address string, lender Lender, logger log.Logger, clock boottime.Clock) (*Exchange, error) {
	socket, err := datagram.Listen(address, logger)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		socket: socket, lender: lender, clock: clock,
		open:  map[uint32]question{},
		empty: map[peerAccount]boottime.Instant{},
	}, nil
}

// Ask asks a few hosts for tokens, near ones first, and reports whether an answer
// may come.
func (e *Exchange) Ask(account uint64, want float64, near, far []netip.AddrPort) bool {
	now := e.clock()
	targets, waiting := e.choose(account, near, far, now)
	for _, number := range targets {
		e.mu.Lock()
		peer := e.open[number].peer
		e.mu.Unlock()
		e.socket.Send(message{Kind: kindAsk, Account: account, Number: number, Tokens: uint32(want)}, peer)
	}
	return waiting
}

// choose opens questions to hosts that may have tokens. It returns their numbers,
// and whether any question about the account is open.
func (e *Exchange) choose(account uint64, near, far []netip.AddrPort, now boottime.Instant) (numbers []uint32, waiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number, q := range e.open {
		if now.Sub(q.sent) > answerTimeout {
			delete(e.open, number)
		} else if q.account == account {
			waiting = true
		}
	}
	if waiting {
		return nil, true
	}
	e.next++
	for i := range len(near) + len(far) {
		peer := pick(near, far, i, e.next)
		if since, ok := e.empty[peerAccount{peer, account}]; ok && now.Sub(since) < emptyPause {
			continue
		}
		e.number++
		e.open[e.number] = question{peer: peer, account: account, sent: now}
		numbers = append(numbers, e.number)
		if len(numbers) == asked {
			break
		}
	}
	return numbers, len(numbers) > 0
}

// pick returns the i-th host to ask: the near ones in turn, then the far ones in
// turn, so that questions spread.
func pick(near, far []netip.AddrPort, i, turn int) netip.AddrPort {
	if i < len(near) {
		return near[(turn+i)%len(near)]
	}
	return far[(turn+i)%len(far)]
}

// Run answers and takes answers until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.Close() }) // ends Receive
	defer stop()
	datagram.Receive(e.socket, e.handle)
}

func (e *Exchange) handle(from netip.AddrPort, m message) {
	switch m.Kind {
	case kindAsk:
		granted := e.lender.Lend(m.Account, float64(m.Tokens))
		e.socket.Send(message{Kind: kindGrant, Account: m.Account, Number: m.Number, Tokens: uint32(granted)}, from)
	case kindGrant:
		if e.answered(from, m) {
			e.lender.Receive(m.Account, float64(m.Tokens))
		}
	}
}

// answered closes a question. It reports false for an answer that was not asked
// for, came twice or came too late.
func (e *Exchange) answered(from netip.AddrPort, m message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.open[m.Number]
	if !ok || q.peer != from || q.account != m.Account {
		return false
	}
	delete(e.open, m.Number)
	now := e.clock()
	if m.Tokens == 0 {
		e.empty[peerAccount{from, m.Account}] = now
	}
	return now.Sub(q.sent) <= answerTimeout
}
