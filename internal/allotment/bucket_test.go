package allotment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func liveBucket(now time.Time, share Share) *Bucket {
	b := NewBucket(100 * time.Millisecond)
	b.Resize(now, share)
	b.Extend(now, now.Add(time.Minute))
	return b
}

// Guards against tokens that accrue in place of those on loan: a bucket that is not
// used while a loan is outstanding accrues tokens only from the end of the loan.
func TestLentTokensAreNotRefilled(t *testing.T) {
	now := modelEpoch
	b := liveBucket(now, Share{Rate: 4, Burst: 3})
	now = now.Add(time.Second)
	loan, ok := b.Lend(now, 3, 0, 250*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, 3.0, loan.Tokens)
	assert.InDelta(t, 0, b.Tokens(now.Add(350*time.Millisecond)), 1e-9)
	untouched := liveBucket(modelEpoch, Share{Rate: 4, Burst: 3})
	_, ok = untouched.Lend(now, 3, 0, 250*time.Millisecond)
	require.True(t, ok)
	assert.InDelta(t, 2, untouched.Tokens(now.Add(850*time.Millisecond)), 1e-9)
}

func TestExpiredBucketStartsEmpty(t *testing.T) {
	now := modelEpoch
	b := liveBucket(now, Share{Rate: 1, Burst: 5})
	assert.Equal(t, 5.0, b.Tokens(now.Add(30*time.Second)))
	now = now.Add(2 * time.Minute)
	assert.False(t, b.Take(now))
	b.Extend(now, now.Add(time.Minute))
	assert.Zero(t, b.Tokens(now))
}

func TestEndedLoanReturnsTokensOnce(t *testing.T) {
	now := modelEpoch
	b := liveBucket(now, Share{Rate: 1, Burst: 5})
	now = now.Add(10 * time.Second)
	loan, ok := b.Lend(now, 4, 0, time.Second)
	require.True(t, ok)
	b.EndLoan(now, loan.ID, 2)
	b.EndLoan(now, loan.ID, 2)
	assert.InDelta(t, 3, b.Tokens(now), 1e-9)
}
