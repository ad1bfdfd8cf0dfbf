package task

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRingPolicies(t *testing.T) {
	cases := []struct {
		name  string
		full  FullPolicy
		key   func(int) string
		push  []int
		want  []int
		drops int64
	}{
		{name: "block refuses the newest", full: Block, push: []int{1, 2, 3, 4}, want: []int{1, 2, 3}, drops: 1},
		{name: "drop oldest", full: DropOldest, push: []int{1, 2, 3, 4, 5}, want: []int{3, 4, 5}, drops: 2},
		{name: "coalesce keeps the place", full: Block, key: func(n int) string { return string(rune('a' + n%10)) },
			push: []int{1, 2, 11, 3, 13}, want: []int{11, 2, 13}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ring := NewRing(RingOptions[int]{Name: "test", Capacity: 3, Full: test.full, Key: test.key})
			for _, n := range test.push {
				ring.TryPush(n)
			}
			var got []int
			for {
				n, ok := ring.TryPop()
				if !ok {
					break
				}
				got = append(got, n)
			}
			require.Equal(t, test.want, got)
			require.Equal(t, test.drops, ring.Drops())
		})
	}
}

func TestRingBlocksAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := NewRing(RingOptions[int]{Name: "test", Capacity: 1})
		require.NoError(t, ring.Push(t.Context(), 1))
		pushed := make(chan error, 1)
		go func() { pushed <- ring.Push(context.Background(), 2) }()
		synctest.Wait()
		require.Empty(t, pushed)
		first, err := ring.Pop(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, first)
		require.NoError(t, <-pushed)
		ring.Close()
		second, err := ring.Pop(t.Context())
		require.NoError(t, err)
		require.Equal(t, 2, second)
		var closed *ClosedError
		_, err = ring.Pop(t.Context())
		require.ErrorAs(t, err, &closed)
		require.ErrorAs(t, ring.Push(t.Context(), 3), &closed)
	})
}

func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		ring := NewRing(RingOptions[int]{Name: "test", Capacity: capacity, Full: DropOldest})
		var model []int
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				ring.TryPush(i)
				model = append(model, i)
				model = model[max(len(model)-capacity, 0):]
				continue
			}
			n, ok := ring.TryPop()
			require.Equal(t, len(model) > 0, ok)
			if ok {
				require.Equal(t, model[0], n)
				model = model[1:]
			}
			require.Equal(t, len(model), ring.Len())
		}
	})
}

func TestGroupEnds(t *testing.T) {
	cases := []struct {
		name string
		body Func
		want any
	}{
		{name: "panic", body: func(context.Context, ProgressFunc) error { panic("boom") }, want: new(*PanicError)},
		{name: "error", body: func(context.Context, ProgressFunc) error { return context.DeadlineExceeded }, want: new(*EndedError)},
		{name: "return", body: func(context.Context, ProgressFunc) error { return nil }, want: new(*EndedError)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			group := NewGroup(t.Context(), GroupOptions{})
			group.GoUnwatched("other", func(ctx context.Context) error {
				<-ctx.Done()
				return nil
			})
			group.Go("failing", test.body)
			require.ErrorAs(t, group.Wait(), test.want)
		})
	}
}

func TestGroupStops(t *testing.T) {
	group := NewGroup(t.Context(), GroupOptions{})
	group.GoUnwatched("task", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	group.Stop()
	require.NoError(t, group.Wait())
}

func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalls []error
		registry := metrics.NewRegistry()
		group := NewGroup(t.Context(), GroupOptions{
			StallTimeout: time.Second,
			OnStall:      func(err error) { stalls = append(stalls, err) },
			Metrics:      registry,
		})
		group.Go("silent", func(ctx context.Context, reportProgress ProgressFunc) error {
			time.Sleep(3 * time.Second)
			reportProgress()
			<-ctx.Done()
			return nil
		})
		group.GoUnwatched("server", func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		})
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		require.Len(t, stalls, 1)
		require.Equal(t, int64(1), registry.Get("duty.stalled").(metrics.Gauge).Value())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, int64(0), registry.Get("duty.stalled").(metrics.Gauge).Value())
		group.Stop()
		require.NoError(t, group.Wait())
	})
}
