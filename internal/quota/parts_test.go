package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"peridotrail/internal/boottime"
)

func TestParts(t *testing.T) {
	for _, c := range []struct {
		rate          float64
		regions, most int
		want          int
	}{
		{0.5, 3, 96, 3}, {6, 1, 16, 1}, {40, 3, 96, 5}, {200, 3, 96, 25}, {5000, 3, 96, 96}, {5000, 0, 0, 1},
	} {
		require.Equal(t, c.want, Parts(c.rate, c.regions, c.most), "%+v", c)
	}
}

// The bursts of all parts must not exceed what the platform tolerates beyond an account's
// rate and burst.
func TestBurstsOfAllPartsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 2000).Draw(t, "rate")
		burst := rapid.Float64Range(0, 2000).Draw(t, "burst")
		parts := Parts(rate, 3, 96)
		all := PartsOf(rate, burst, parts, parts)
		require.InDelta(t, rate, all.Rate, 1e-9*rate)
		require.LessOrEqual(t, all.Burst, burst+max(rate/4, 3*minPartBurst))
	})
}

// A lender's reserve must not keep back its only token.
func TestLastTokenIsLent(t *testing.T) {
	b := &Bucket{}
	now := boottime.Instant(time.Hour)
	b.SetLimit(0.5, 1, now)
	b.RecordDemand(now)
	require.InDelta(t, 1, b.Lend(1, now.Add(4*time.Second)), 0)
}

// A host that gave up a part and got it back kept tokens that another host had spent.
func TestTokensOfAShareThatWasLostAreDropped(t *testing.T) {
	b, now := &Bucket{}, boottime.Instant(time.Hour)
	whole := Share{Rate: 20, Burst: 20}
	b.SetShare(Share{}, whole, now)
	now = now.Add(10 * time.Second)
	b.SetShare(Share{Rate: 5, Burst: 5}, whole, now)
	require.LessOrEqual(t, b.Tokens(), 5.0)
	b.SetShare(Share{}, whole, now)
	require.Zero(t, b.Tokens())
}

// A host whose lease may have ended must spend and lend nothing of its own, and loses nothing
// if the lease turns out to exist.
func TestSuspendedBucketSpendsOnlyBorrowedTokens(t *testing.T) {
	b, now := &Bucket{}, boottime.Instant(time.Hour)
	b.SetLimit(10, 10, now)
	now = now.Add(time.Second)
	b.Suspend(true)
	ok := b.Take(now)
	require.False(t, ok)
	require.Zero(t, b.Lend(5, now))
	require.Positive(t, b.TokensToBorrow(true, now))
	b.Borrow(1, now)
	ok = b.Take(now)
	require.True(t, ok)
	b.Suspend(false)
	require.InDelta(t, 10, b.Tokens(), 1e-9)
}
