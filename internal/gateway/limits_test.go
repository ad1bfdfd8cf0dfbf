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
	"peridotrail/internal/routing"
)

// limitsOf returns the limits of the only host for one account.
func limitsOf(t *testing.T, rate float64) *limits {
	t.Helper()
	table, err := routing.NewTable(routing.Policy{Version: 1, Accounts: []routing.Account{{Name: "clinic", Rate: rate, Burst: rate}}})
	require.NoError(t, err)
	l := newLimits(newLiveSettings(Settings{Host: "h", FailureDomain: "w1", Region: "west"}), log.NewNopLogger())
	l.update(table, []catalog.Host{{Name: "h", FailureDomain: "w1", Region: "west"}}, boottime.Now())
	return l
}

// A host that has just started holds no tokens. A request whose token comes within
// the wait for other hosts is not refused, although no other host can be asked.
func TestRequestWaitsForATokenThatIsDueSoon(t *testing.T) {
	l := limitsOf(t, 50)
	began := time.Now()
	for range 10 {
		ok, _ := l.takeRate(t.Context(), "clinic")
		require.True(t, ok)
	}
	require.GreaterOrEqual(t, time.Since(began), 180*time.Millisecond, "ten tokens at 50 a second")
}

func TestRequestWhoseTokenIsFarIsRefusedAtOnce(t *testing.T) {
	l := limitsOf(t, 2)
	began := time.Now()
	ok, wait := l.takeRate(t.Context(), "clinic")
	require.False(t, ok)
	require.Greater(t, wait, borrowWait)
	require.Less(t, time.Since(began), borrowWait/2)
}

// A crowd over the rate is refused but for what the rate allows.
func TestCrowdIsHeldToTheRate(t *testing.T) {
	l := limitsOf(t, 100)
	const span = 500 * time.Millisecond
	admitted := 0
	for began := time.Now(); time.Since(began) < span; {
		if ok, _ := l.takeRate(t.Context(), "clinic"); ok {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 52)
	require.Greater(t, admitted, 35)
}

func TestCallerThatLeavesWaitsForNoToken(t *testing.T) {
	l := limitsOf(t, 20)
	l.ask = func(uint64, float64, []netip.AddrPort, []netip.AddrPort) bool { return true }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	ok, _ := l.takeRate(ctx, "clinic")
	require.False(t, ok)
	require.Less(t, time.Since(began), borrowWait/2)
}
