package upstream

import (
	"fmt"
	"testing"
	"time"

	"peridotrail/internal/configuration"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newWaiter(account string, weight int, priority configuration.Priority) *waiter {
	return &waiter{work: Work{Account: account, Weight: weight, Priority: priority}, decided: make(chan decision, 1)}
}

func anyWaiter(*waiter) bool { return true }

func TestQueueServesBackloggedAccountsByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue()
		q.limit = 1 << 20
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 8).Draw(t, "weights")
		total := 0
		for i, weight := range weights {
			total += weight
			for range 50 * weight {
				require.Nil(t, q.push(newWaiter(fmt.Sprint(i), weight, "")))
			}
		}
		served := map[string]int{}
		rounds := rapid.IntRange(total, 20*total).Draw(t, "served")
		for range rounds {
			served[q.pop(0.01, anyWaiter).work.Account]++
		}
		for i, weight := range weights {
			fair := float64(rounds) * float64(weight) / float64(total)
			require.InDelta(t, fair, float64(served[fmt.Sprint(i)]), float64(len(weights))+float64(weight))
		}
	})
}

func TestQueueAccountWithBacklogDoesNotDelayAnother(t *testing.T) {
	q := newFairQueue()
	for range 30 {
		q.push(newWaiter("noisy", 1, ""))
	}
	for range 10 {
		q.pop(0.01, anyWaiter)
	}
	q.push(newWaiter("small", 1, ""))
	next := []string{q.pop(0.01, anyWaiter).work.Account, q.pop(0.01, anyWaiter).work.Account}
	require.Contains(t, next, "small")
}

func TestQueueIdleAccountGathersNoCredit(t *testing.T) {
	q := newFairQueue()
	busy := Work{Account: "busy"}
	for range 100 {
		q.charge(&busy, 0.01)
	}
	served := map[string]int{}
	for range 20 {
		q.push(newWaiter("busy", 1, ""))
		q.push(newWaiter("idle", 1, ""))
	}
	for range 20 {
		served[q.pop(0.01, anyWaiter).work.Account]++
	}
	require.InDelta(t, 10, served["idle"], 1)
}

func TestQueueFullQueueDisplacesTheLargestBacklog(t *testing.T) {
	q := newFairQueue()
	for i := range q.limit / 2 {
		require.Nil(t, q.push(newWaiter("noisy", 1, "")), i)
	}
	own := newWaiter("noisy", 1, "")
	require.Same(t, own, q.push(own), "an account is limited to its share of the queue")
	for i := range q.limit / 2 {
		require.Nil(t, q.push(newWaiter(fmt.Sprint("small", i), 1, "")))
	}
	displaced := q.push(newWaiter("late", 1, ""))
	require.Equal(t, "noisy", displaced.work.Account)
	require.Equal(t, q.limit, q.len())
}

func TestQueueAlertsGoFirstAndNormalWorkDoesNotStarve(t *testing.T) {
	q := newFairQueue()
	for range 20 {
		q.push(newWaiter("a", 1, configuration.PriorityAlert))
		q.push(newWaiter("b", 1, configuration.PriorityNormal))
	}
	order := ""
	for range 8 {
		order += q.pop(0.01, anyWaiter).work.Account
	}
	require.Equal(t, "aaabaaab", order)
}

func TestQueueReturnsNoExpiredOrRemovedWaiters(t *testing.T) {
	q := newFairQueue()
	now := time.Unix(100, 0)
	late, gone, stays := newWaiter("a", 1, ""), newWaiter("a", 1, ""), newWaiter("b", 1, "")
	late.latestStart = now.Add(-time.Millisecond)
	for _, w := range []*waiter{late, gone, stays} {
		require.Nil(t, q.push(w))
	}
	require.Equal(t, []*waiter{late}, q.removeExpired(now))
	require.True(t, q.remove(gone))
	require.False(t, q.remove(gone))
	require.Same(t, stays, q.pop(0.01, anyWaiter))
	require.Zero(t, q.len())
}

func TestQueueChargesTheRealSlotTime(t *testing.T) {
	q := newFairQueue()
	slow := newWaiter("slow", 1, "")
	for range 50 {
		q.push(newWaiter("slow", 1, ""))
		q.push(newWaiter("fast", 1, ""))
	}
	served := map[string]int{}
	for range 40 {
		w := q.pop(0.01, anyWaiter)
		served[w.work.Account]++
		if w.work.Account == "slow" {
			q.correctCharge(&slow.work, 0.03) // ran four times as long as expected
		}
	}
	require.InDelta(t, 4, float64(served["fast"])/float64(served["slow"]), 1)
}
