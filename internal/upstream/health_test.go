package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1_000_000, 0)

func TestHealthEjectsAfterConsecutiveFailuresAndRecoversSlowly(t *testing.T) {
	h := newHealth(time.Time{})
	now := testStart
	for range ejectAfterFailures - 1 {
		h.observe(ResultFailed, true, now)
	}
	h.observe(ResultOK, true, now)
	require.Equal(t, 8, h.limit(8, now), "a success ends the run of failures")
	for range ejectAfterFailures {
		h.observe(ResultFailed, true, now)
	}
	require.Zero(t, h.limit(8, now))
	now = now.Add(baseEjectionTime)
	require.Equal(t, 1, h.limit(8, now), "half open: one real request at a time")
	h.observe(ResultFailed, true, now)
	require.Zero(t, h.limit(8, now.Add(baseEjectionTime)), "the second ejection is longer")
	now = now.Add(2 * baseEjectionTime)
	require.Equal(t, 1, h.limit(8, now))
	h.observe(ResultOK, true, now)
	require.Equal(t, 2, h.limit(8, now))
	require.Equal(t, 5, h.limit(8, now.Add(slowStartDuration/2)))
	require.Equal(t, 8, h.limit(8, now.Add(slowStartDuration)))
}

func TestHealthKeepsAnUpstreamThatMayNotBeEjected(t *testing.T) {
	h := newHealth(time.Time{})
	for range 50 {
		h.observe(ResultFailed, false, testStart)
	}
	require.Equal(t, 4, h.limit(4, testStart))
	h.observe(ResultConnect, false, testStart)
	h.observe(ResultConnect, false, testStart)
	require.Zero(t, h.limit(4, testStart), "requests that cannot connect would not run anyway")
}

func TestHealthOwnOutcomesPrecedeProbes(t *testing.T) {
	h := newHealth(time.Time{})
	h.observe(ResultOK, true, testStart)
	for range 2 * ejectAfterProbeFailures {
		h.observeProbe(false, true, testStart.Add(time.Second))
	}
	require.Equal(t, 4, h.limit(4, testStart.Add(time.Second)), "failed probes do not eject an upstream that serves requests")
	h.observeProbe(false, true, testStart.Add(ownSuccessPrecedence))
	require.Zero(t, h.limit(4, testStart.Add(ownSuccessPrecedence)))
}

func TestHealthSheddingLowersTheLimitForAWhile(t *testing.T) {
	h := newHealth(time.Time{})
	h.observe(ResultShed, true, testStart)
	require.Equal(t, 7, h.limit(10, testStart))
	require.Equal(t, 10, h.limit(10, testStart.Add(shedRecoveryTime)))
}

func TestUpstreamShortDeadlinesDoNotEject(t *testing.T) {
	u := &upstreamState{health: newHealth(time.Time{})}
	u.observe(Outcome{Result: ResultOK, Latency: 20 * time.Millisecond}, true, testStart)
	for range 100 {
		u.observe(Outcome{Result: ResultTimeout, Latency: time.Millisecond}, true, testStart)
	}
	require.Equal(t, 4, u.health.limit(4, testStart))
	for range ejectAfterFailures {
		u.observe(Outcome{Result: ResultTimeout, Latency: time.Second}, true, testStart)
	}
	require.Zero(t, u.health.limit(4, testStart))
}

func TestUpstreamLoadLosesWeightWithAgeAndAtMostDoublesTheExpectedTime(t *testing.T) {
	u := &upstreamState{health: newHealth(time.Time{})}
	u.config.Slots = 4
	plain := u.expectedTime(4, 0.01, testStart)
	u.lastProbe = ProbeResult{InUse: 1 << 30, At: testStart}
	require.InDelta(t, 2*plain, u.expectedTime(4, 0.01, testStart), 1e-9)
	require.InDelta(t, 1.5*plain, u.expectedTime(4, 0.01, testStart.Add(maxUpstreamLoadAge/2)), 1e-9)
	require.InDelta(t, plain, u.expectedTime(4, 0.01, testStart.Add(maxUpstreamLoadAge)), 1e-9)
}
