package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/leasedshare"
	"peridotrail/internal/routing"
)

// singleHostLimits returns the limits of the only host of a deployment, with one
// client account.
func singleHostLimits(t *testing.T, rate float64) *limits {
	t.Helper()
	table := routing.NewTable(routing.Policy{Version: 1, Accounts: []routing.Account{{Name: "clinic", Rate: rate, Burst: rate}}})
	l := newLimits(newLiveSettings(Settings{Host: "h", FailureDomain: "w1", Region: "west"}), log.NewNopLogger(), boottime.Now)
	hosts := []catalog.Host{{Name: "h", FailureDomain: "w1", Region: "west"}}
	l.update(table, hosts)
	started := boottime.Now().Add(-time.Minute)
	l.shares.Reset(nil, 0, started)
	l.shares.SetHosts(hosts, started)
	l.shares.SetLease(kvstore.LeaseID{Number: 1}, boottime.Now().Add(time.Hour), started)
	claim, due := l.shares.Next(boottime.Now())
	require.True(t, due)
	l.shares.Finish(claim, nil, boottime.Now())
	require.Equal(t, leasedshare.SharesPerGroup, l.shares.HeldShares())
	return l
}

// A host that has just started has an empty bucket. It must not reject a request
// whose token accrues within maxTokenWait, even if no other host can lend one.
func TestRequestWaitsForTokenDueSoon(t *testing.T) {
	l := singleHostLimits(t, 50)
	began := time.Now()
	for range 10 {
		ok, _ := l.takeToken(t.Context(), "clinic", time.Second)
		require.True(t, ok)
	}
	require.GreaterOrEqual(t, time.Since(began), 180*time.Millisecond, "ten tokens at 50 a second")
}

func TestRequestWithDistantTokenIsRejectedAtOnce(t *testing.T) {
	l := singleHostLimits(t, 2)
	began := time.Now()
	ok, wait := l.takeToken(t.Context(), "clinic", time.Second)
	require.False(t, ok)
	require.Greater(t, wait, maxTokenWait)
	require.Less(t, time.Since(began), maxTokenWait/2)
}

// Requests beyond the rate must be rejected, and waiting for tokens must not admit
// more of them.
func TestExcessRequestsAreLimitedToTheRate(t *testing.T) {
	l := singleHostLimits(t, 100)
	const span = 500 * time.Millisecond
	admitted := 0
	for began := time.Now(); time.Since(began) < span; {
		if ok, _ := l.takeToken(t.Context(), "clinic", time.Second); ok {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 52)
	require.Greater(t, admitted, 35)
}

func TestCancelledRequestStopsWaitingForToken(t *testing.T) {
	l := singleHostLimits(t, 20)
	l.requestTokens = func(uint64, float64, []netip.AddrPort, []netip.AddrPort) bool { return true }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	ok, _ := l.takeToken(ctx, "clinic", time.Second)
	require.False(t, ok)
	require.Less(t, time.Since(began), maxTokenWait/2)
}
