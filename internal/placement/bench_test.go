package placement

import (
	"fmt"
	"testing"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// largePool has 200 upstreams of one service in nine failure domains.
func largePool() *Pool {
	regions := map[string]string{}
	var entries []catalog.Upstream
	for i := range 200 {
		domain := fmt.Sprintf("d%d", i%9)
		regions[domain] = fmt.Sprintf("r%d", i%3)
		entries = append(entries, catalog.Upstream{ID: fmt.Sprintf("i-%04d", i), Service: "s", Address: "a", FailureDomain: domain, Slots: 6})
	}
	pool := newTestPool("d0", regions)
	pool.SetUpstreams(entries, nil, t0)
	return pool
}

func BenchmarkPlace200Upstreams(b *testing.B) {
	pool := largePool()
	objects := make([]string, 100)
	for i := range objects {
		objects[i] = fmt.Sprint(i)
	}
	now := boottime.Instant(time.Hour)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		placed, err := pool.Place(Request{
			Service: "s", Route: "r", Object: objects[i%len(objects)], Sticky: true, LatencyObjective: 600 * time.Millisecond,
			Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(4 * time.Second),
		}, now)
		if err != nil {
			b.Fatal(err)
		}
		placed.Done(Report{Outcome: OutcomeAnswered, Load: &Load{Running: 1, Slots: 6}, Kilobytes: 5}, now.Add(200*time.Millisecond))
	}
}
