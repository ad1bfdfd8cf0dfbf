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

// purse is a lender that only counts.
type purse struct {
	mu             sync.Mutex
	tokens, gained float64
	answers        int
}

func (p *purse) Lend(_ uint64, want float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted := min(want, p.tokens)
	p.tokens -= granted
	return granted
}

func (p *purse) Receive(_ uint64, granted float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gained += granted
	p.answers++
}

func (p *purse) state() (tokens, gained float64, answers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens, p.gained, p.answers
}

func open(t *testing.T, tokens float64) (*Exchange, *purse, netip.AddrPort) {
	t.Helper()
	p := &purse{tokens: tokens}
	e, err := Listen("127.0.0.1:0", p, log.NewNopLogger(), boottime.Now)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e, p, e.socket.Address()
}

func TestTokensMoveOnce(t *testing.T) {
	_, lender, address := open(t, 10)
	borrower, purse, _ := open(t, 0)
	require.True(t, borrower.Ask(1, 7, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, gained, _ := purse.state(); return gained == 7 }, time.Second, time.Millisecond)
	left, _, _ := lender.state()
	require.InDelta(t, 3, left, 0)
}

func TestHostWithoutTokensIsNotAskedAgainAtOnce(t *testing.T) {
	_, _, address := open(t, 0)
	borrower, purse, _ := open(t, 0)
	require.True(t, borrower.Ask(1, 7, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, _, answers := purse.state(); return answers == 1 }, time.Second, time.Millisecond)
	require.False(t, borrower.Ask(1, 7, []netip.AddrPort{address}, nil))
	require.True(t, borrower.Ask(2, 7, []netip.AddrPort{address}, nil), "another account may have tokens")
}

func TestUnaskedAndRepeatedAnswersAddNothing(t *testing.T) {
	forger, _, forgerAddress := open(t, 0)
	borrower, purse, address := open(t, 0)
	grant := message{Kind: kindGrant, Account: 1, Number: 1, Tokens: 50}
	forger.socket.Send(grant, address)
	borrower.mu.Lock()
	borrower.open[1] = question{peer: forgerAddress, account: 1, sent: boottime.Now()}
	borrower.mu.Unlock()
	forger.socket.Send(message{Kind: kindGrant, Account: 2, Number: 1, Tokens: 50}, address)
	forger.socket.Send(grant, address)
	forger.socket.Send(grant, address)
	require.Eventually(t, func() bool { _, gained, _ := purse.state(); return gained == 50 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, gained, answers := purse.state()
	require.InDelta(t, 50, gained, 0)
	require.Equal(t, 1, answers)
}

func TestUnreadableDatagramsHarmNothing(t *testing.T) {
	_, lender, address := open(t, 10)
	borrower, purse, _ := open(t, 0)
	raw, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
	require.NoError(t, err)
	defer raw.Close()
	for _, data := range [][]byte{nil, {0xff}, make([]byte, 500)} {
		_, err := raw.Write(data)
		require.NoError(t, err)
	}
	strange, err := cbor.Marshal(message{Kind: 9})
	require.NoError(t, err)
	_, err = raw.Write(strange)
	require.NoError(t, err)
	require.True(t, borrower.Ask(1, 4, []netip.AddrPort{address}, nil))
	require.Eventually(t, func() bool { _, gained, _ := purse.state(); return gained == 4 }, time.Second, time.Millisecond)
	left, _, _ := lender.state()
	require.InDelta(t, 6, left, 0)
}

func TestNearHostsAreAskedFirst(t *testing.T) {
	host := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	near, far := []netip.AddrPort{host(1), host(2)}, []netip.AddrPort{host(3), host(4), host(5)}
	for turn := range 7 {
		var order []netip.AddrPort
		for i := range 5 {
			order = append(order, pick(near, far, i, turn))
		}
		require.ElementsMatch(t, near, order[:2], "turn %d", turn)
		require.ElementsMatch(t, far, order[2:], "turn %d", turn)
	}
}
