package hostbudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
)

// Guards against callers that use up the descriptors of upstreams, and against settings so low
// that nobody is served.
func TestLimitsLeaveDescriptorsForUpstreams(t *testing.T) {
	for _, test := range []struct {
		memory            int64
		descriptors       int
		wantMemory        int64
		callers, internal int
	}{
		{96 << 20, 300, 24 << 20, 50, 15},
		{184 << 20, 4100, 46 << 20, 1950, 585},
		{1, 1, 8 << 20, 8, 8},
		{0, 0, 256 << 20, 32668, 9800},
	} {
		got := LimitsFor(test.memory, test.descriptors)
		require.Equal(t, Limits{Memory: test.wantMemory, Connections: [classes]int{test.callers, test.internal}}, got)
	}
}

// Guards against memory beyond the budget, and against a state that changes at each request.
func TestBudgetRunsShortAndRecovers(t *testing.T) {
	b := New(Limits{Memory: 1 << 20, Connections: [classes]int{2, 2}})
	require.True(t, b.Open(Callers))
	require.False(t, b.Pressed())
	require.True(t, b.Open(Callers))
	require.True(t, b.Pressed(), "all connections are open")
	require.False(t, b.Open(Callers))
	b.Closed(Callers)
	b.Closed(Callers)
	require.False(t, b.Pressed())

	require.True(t, b.Take(800<<10))
	require.True(t, b.Pressed())
	b.Give(150 << 10)
	require.True(t, b.Pressed(), "between the two thresholds the state is kept")
	b.Give(100 << 10)
	require.False(t, b.Pressed())
	require.False(t, b.Take(1<<20))
	require.Equal(t, int64((1<<20-550<<10)/8), b.TakePart(1<<20, 1<<10), "less is buffered")
	b.Charge(1 << 20)
	require.Equal(t, int64(1<<10), b.TakePart(1<<20, 1<<10), "a response is never without a buffer")
	require.False(t, b.Open(Callers), "no memory")
	require.True(t, b.Open(Internal), "the host stays visible")
}

// Guards against idle connections that are closed early and against callers that hold a
// connection without end, played in virtual time.
func TestVerdictsOnConnections(t *testing.T) {
	bounds := Bounds{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	const start = boottime.Instant(1000)
	for _, test := range []struct {
		name    string
		c       Connection
		pressed bool
		last    time.Duration // until which the connection is kept
		want    Verdict       // afterwards
	}{
		{"silent", Connection{Phase: Idle, Since: start}, true, 15 * time.Second, Close},
		{"one byte now and then", Connection{Phase: Head, Since: start}, false, 3 * time.Second, TooSlow},
		{"request in progress", Connection{Phase: Busy, Since: start}, true, time.Hour, Keep},
		{"body without end", Connection{Phase: Draining, Since: start}, false, 15 * time.Second, Cut},
		{"unread response", Connection{Phase: Busy, Since: start, BlockedSince: start}, false, time.Minute, Cut},
		{"unread response under pressure", Connection{Phase: Busy, Since: start, BlockedSince: start}, true, 4 * time.Second, Cut},
		{"unread end of a response", Connection{Phase: Draining, Since: start, BlockedSince: start}, false, time.Minute, Cut},
	} {
		require.Equal(t, Keep, Judge(test.c, bounds, test.pressed, start.Add(test.last)), test.name)
		require.Equal(t, test.want, Judge(test.c, bounds, test.pressed, start.Add(test.last+1)), test.name)
	}
	idle := Connection{Phase: Idle, Since: start}
	require.Equal(t, Keep, Evict(idle, start.Add(minEvictionAge-1)), "its request may be on its way")
	require.Equal(t, Close, Evict(idle, start.Add(minEvictionAge)))
	require.Equal(t, Keep, Evict(Connection{Phase: Head, Since: start}, start.Add(minHeadAge-1)))
	require.Equal(t, TooSlow, Evict(Connection{Phase: Head, Since: start}, start.Add(minHeadAge)))
	require.Equal(t, Keep, Evict(Connection{Phase: Busy, Since: start}, start.Add(time.Hour)), "a request is in progress")
	require.Zero(t, HeadCost(1000, 20), "an ordinary head")
	require.Greater(t, HeadCost(16384, 4096), int64(1<<20), "lines count, not only bytes")
}
