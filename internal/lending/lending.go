// Package lending moves tokens of shared limits between hosts by datagrams.
//
// A host that needs tokens asks a few other hosts. A host that is asked deducts the
// tokens before it replies, so a lost reply loses tokens and never duplicates them.
package lending

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"peridotrail/internal/boottime"
	"peridotrail/internal/datagram"
)

// Lender holds the tokens of this host. It must be safe for concurrent use. Accounts
// are identified by the hash of their name.
type Lender interface {
	// Lend deducts up to want whole tokens for another host and returns how many it
	// deducted; zero if it has none to spare.
	Lend(account uint64, want float64) float64
	// Receive adds tokens that another host has deducted. It is also called with zero
	// if the other host had none.
	Receive(account uint64, granted float64)
}

// message is one datagram, encoded as an array: the order of the fields is part of
// the format.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	Account uint64 // hash of the account's name
	Number  uint32 // number of the request, repeated in its reply
	Tokens  uint32 // tokens wanted or granted
}

type kind uint8

const (
	kindRequest kind = iota + 1
	kindGrant
)

const (
	// replyTimeout is how long a request stays pending. It covers a round trip to the
	// farthest region and some queueing.
	replyTimeout = 100 * time.Millisecond
	// emptyPeerBackoff is how long a host that had no tokens of an account is not
	// asked again for that account.
	emptyPeerBackoff = 700 * time.Millisecond
	// maxFanout is how many hosts are asked at the same time.
	maxFanout = 2
)

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	peer    netip.AddrPort
	account uint64
	sentAt  boottime.Instant
}

type peerAccount struct {
	peer    netip.AddrPort
	account uint64
}

// Exchange requests tokens from other hosts and replies to their requests. It is safe
// for concurrent use.
type Exchange struct {
	socket *datagram.Socket
	lender Lender
	clock  boottime.Clock

	mu         sync.Mutex // guards the fields below
	lastNumber uint32
	pending    map[uint32]pendingRequest
	emptyAt    map[peerAccount]boottime.Instant // when a host last replied that it had no tokens
	rotation   int
}

// Listen opens an exchange on address, an IP:port. It receives messages only while
// Run is running.
func Listen(address string, lender Lender, logger log.Logger, clock boottime.Clock) (*Exchange, error) {
	socket, err := datagram.Listen(address, logger)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		socket: socket, lender: lender, clock: clock,
		pending: map[uint32]pendingRequest{},
		emptyAt: map[peerAccount]boottime.Instant{},
	}, nil
}

// Fanout returns how many of some hosts are asked at the same time for a number of tokens,
// each for its part. Two hosts asked for a single token would both lend one, and the second
// would expire unused.
func Fanout(want float64, hosts int) int {
	return min(maxFanout, int(math.Ceil(want)), hosts)
}

// RequestTokens asks a few hosts for tokens of an account, near ones first, unless a
// request for the account is pending already. It reports whether a reply is expected.
func (e *Exchange) RequestTokens(account uint64, want float64, near, far []netip.AddrPort) bool {
	now := e.clock()
	numbers, waiting := e.openRequests(account, Fanout(want, len(near)+len(far)), near, far, now)
	if len(numbers) > 0 {
		want = math.Ceil(want / float64(len(numbers)))
	}
	for _, number := range numbers {
		e.mu.Lock()
		peer := e.pending[number].peer
		e.mu.Unlock()
		e.socket.Send(message{Kind: kindRequest, Account: account, Number: number, Tokens: uint32(want)}, peer)
	}
	return waiting
}

// openRequests registers requests to up to most hosts that may have tokens, unless a request for
// the account is pending already, and forgets requests that have timed out. It
// returns the numbers of the new requests and whether any request for the account is
// pending.
func (e *Exchange) openRequests(account uint64, most int, near, far []netip.AddrPort, now boottime.Instant) (numbers []uint32, waiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number, request := range e.pending {
		if now.Sub(request.sentAt) > replyTimeout {
			delete(e.pending, number)
		} else if request.account == account {
			waiting = true
		}
	}
	if waiting {
		return nil, true
	}
	e.rotation++
	for i := range len(near) + len(far) {
		peer := peerInOrder(near, far, i, e.rotation)
		if repliedAt, ok := e.emptyAt[peerAccount{peer, account}]; ok && now.Sub(repliedAt) < emptyPeerBackoff {
			continue
		}
		e.lastNumber++
		e.pending[e.lastNumber] = pendingRequest{peer: peer, account: account, sentAt: now}
		numbers = append(numbers, e.lastNumber)
		if len(numbers) == most {
			break
		}
	}
	return numbers, len(numbers) > 0
}

// peerInOrder returns the i-th host to ask: first the near ones, then the far ones.
// rotation shifts the order within each group, so that requests are spread over the
// hosts.
func peerInOrder(near, far []netip.AddrPort, i, rotation int) netip.AddrPort {
	if i < len(near) {
		return near[(rotation+i)%len(near)]
	}
	return far[(rotation+i)%len(far)]
}

// Run handles requests and replies of other hosts until ctx ends, and then closes the
// socket.
func (e *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.Close() }) // ends Receive
	defer stop()
	datagram.Receive(e.socket, e.handle)
}

func (e *Exchange) handle(from netip.AddrPort, m message) {
	switch m.Kind {
	case kindRequest:
		granted := e.lender.Lend(m.Account, float64(m.Tokens))
		e.socket.Send(message{Kind: kindGrant, Account: m.Account, Number: m.Number, Tokens: uint32(granted)}, from)
	case kindGrant:
		if e.closeRequest(from, m) {
			e.lender.Receive(m.Account, float64(m.Tokens))
		}
	}
}

// closeRequest ends the pending request of a reply and reports whether the reply is
// valid. It rejects replies that were not requested, are duplicates, or arrive after
// replyTimeout.
func (e *Exchange) closeRequest(from netip.AddrPort, m message) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	request, ok := e.pending[m.Number]
	if !ok || request.peer != from || request.account != m.Account {
		return false
	}
	delete(e.pending, m.Number)
	now := e.clock()
	if m.Tokens == 0 {
		e.emptyAt[peerAccount{from, m.Account}] = now
	}
	return now.Sub(request.sentAt) <= replyTimeout
}
