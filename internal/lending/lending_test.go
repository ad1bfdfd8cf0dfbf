package lending

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

// fakeLender is a Lender that counts tokens and replies.
type fakeLender struct {
	mu               sync.Mutex
	tokens, received float64
	replies          int
}

func (l *fakeLender) Lend(_ uint64, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	granted := min(want, l.tokens)
	l.tokens -= granted
	return granted
}

func (l *fakeLender) Receive(_ uint64, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received += granted
	l.replies++
}

func (l *fakeLender) state() (tokens, received float64, replies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens, l.received, l.replies
}

func openExchange(t *testing.T, tokens float64) (*Exchange, *fakeLender, netip.AddrPort) {
	t.Helper()
	lender := &fakeLender{tokens: tokens}
	e, err := Listen("127.0.0.1:0", lender, log.NewNopLogger(), boottime.Now)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e, lender, e.socket.Address()
}

func TestTokensMoveOnce(t *testing.T) {
	_, lender, address := openExchange(t, 10)
	borrower, receiver, _ := openExchange(t, 0)
	require.True(t, borrower.RequestTokens(1, 7, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, received, _ := receiver.state(); return received == 7 }, time.Second, time.Millisecond)
	left, _, _ := lender.state()
	require.InDelta(t, 3, left, 0)
}

func TestEmptyHostIsNotAskedAgainAtOnce(t *testing.T) {
	_, _, address := openExchange(t, 0)
	borrower, receiver, _ := openExchange(t, 0)
	require.True(t, borrower.RequestTokens(1, 7, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, _, replies := receiver.state(); return replies == 1 }, time.Second, time.Millisecond)
	require.False(t, borrower.RequestTokens(1, 7, []netip.AddrPort{address}, nil))
	require.True(t, borrower.RequestTokens(2, 7, []netip.AddrPort{address}, nil), "another account may have tokens")
}

func TestUnsolicitedAndDuplicateGrantsAddNothing(t *testing.T) {
	forger, _, forgerAddress := openExchange(t, 0)
	borrower, receiver, address := openExchange(t, 0)
	grant := message{Kind: kindGrant, Account: 1, Number: 1, Tokens: 50}
	forger.socket.Send(grant, address)
	borrower.mu.Lock()
	borrower.pending[1] = pendingRequest{peer: forgerAddress, account: 1, sentAt: boottime.Now()}
	borrower.mu.Unlock()
	forger.socket.Send(message{Kind: kindGrant, Account: 2, Number: 1, Tokens: 50}, address)
	forger.socket.Send(grant, address)
	forger.socket.Send(grant, address)
	require.Eventually(t, func() bool { _, received, _ := receiver.state(); return received == 50 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, received, replies := receiver.state()
	require.InDelta(t, 50, received, 0)
	require.Equal(t, 1, replies)
}

func TestUndecodableDatagramsAreIgnored(t *testing.T) {
	_, lender, address := openExchange(t, 10)
	borrower, receiver, _ := openExchange(t, 0)
	raw, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
	require.NoError(t, err)
	defer raw.Close()
	for _, data := range [][]byte{nil, {0xff}, make([]byte, 500)} {
		_, err := raw.Write(data)
		require.NoError(t, err)
	}
	unknownKind, err := cbor.Marshal(message{Kind: 9})
	require.NoError(t, err)
	_, err = raw.Write(unknownKind)
	require.NoError(t, err)
	require.True(t, borrower.RequestTokens(1, 4, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, received, _ := receiver.state(); return received == 4 }, time.Second, time.Millisecond)
	left, _, _ := lender.state()
	require.InDelta(t, 6, left, 0)
}

func TestNearHostsAreAskedFirst(t *testing.T) {
	host := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	near, far := []netip.AddrPort{host(1), host(2)}, []netip.AddrPort{host(3), host(4), host(5)}
	for rotation := range 7 {
		var order []netip.AddrPort
		for i := range 5 {
			order = append(order, peerInOrder(near, far, i, rotation))
		}
		require.ElementsMatch(t, near, order[:2], "rotation %d", rotation)
		require.ElementsMatch(t, far, order[2:], "rotation %d", rotation)
	}
}
