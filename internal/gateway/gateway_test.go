package gateway

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/catalog"
	"peridotrail/internal/routing"
)

func TestSplitFollowsWeights(t *testing.T) {
	s := newSplitter()
	route := &routing.Route{Name: "r", Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "off", Weight: 0}}}
	counts := map[string]int{}
	for range 1000 {
		counts[s.chooseService(route)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	changed := &routing.Route{Name: "r", Targets: []routing.Target{{Service: "b", Weight: 1}, {Service: "c", Weight: 1}}}
	clear(counts)
	for range 1000 {
		counts[s.chooseService(changed)]++
	}
	require.InDelta(t, 500, counts["b"], 50)
	require.InDelta(t, 500, counts["c"], 50)
	require.Zero(t, counts["a"])
}

func TestNewestIncarnationOfHostIsKept(t *testing.T) {
	hosts := newestIncarnations([]catalog.Host{{Name: "h", EntryAddress: "old", Incarnation: 1}, {Name: "h", EntryAddress: "new", Incarnation: 2}, {Name: "g"}})
	require.Len(t, hosts, 2)
	require.Equal(t, "new", hosts[0].EntryAddress)
}

func TestLogLimitsOfFailuresAndOnTimeAnswersAreSeparate(t *testing.T) {
	l := &logLimiter{logger: log.NewNopLogger()}
	onTime, failures := 0, 0
	for range 10 * failureLinesPerSecond {
		if l.allow(true) {
			onTime++
		}
		if l.allow(false) {
			failures++
		}
	}
	require.Equal(t, onTimeLinesPerSecond, onTime)
	require.Equal(t, failureLinesPerSecond, failures)
	require.Equal(t, int64(20*failureLinesPerSecond-onTime-failures), l.omitted.Load())
}

func TestReloadKeepsHostIdentity(t *testing.T) {
	live := newLiveSettings(Settings{Host: "h", ListenCallers: "a", RetryRatio: 0.1})
	require.True(t, live.replace(Settings{Host: "other", ListenCallers: "a", RetryRatio: 0.2}))
	require.Equal(t, "h", live.get().Host)
	require.InDelta(t, 0.2, live.get().RetryRatio, 0)
	require.False(t, live.replace(Settings{Host: "h", ListenCallers: "a"}))
}
