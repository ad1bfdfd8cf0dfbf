package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"peridotrail/internal/host"
)

// TestTimesToInForce measures the time from a commit until the revision is in force on
// every host, on a virtual clock with a network delay of 1 to 12 ms one way.
func TestTimesToInForce(t *testing.T) {
	if testing.Short() {
		t.Skip("many commits")
	}
	const commits = 40
	tests := []struct {
		name   string
		before func(c *cluster, i int) // before each commit
		after  func(c *cluster)        // after each commit
	}{
		{name: "healthy"},
		{name: "store slow by 500 ms", before: func(c *cluster, _ int) { c.store.SetSlow(500 * time.Millisecond) }},
		{name: "watches dropped", before: func(c *cluster, _ int) { c.store.SetDropWatches(true) }},
		{name: "one domain without the store", before: func(c *cluster, _ int) { c.store.SetPartitioned("a", true) }},
		{
			name: "one domain rejoins",
			before: func(c *cluster, _ int) {
				c.store.SetPartitioned("a", true)
				c.network.Partition("a", "b")
				c.network.Partition("a", "c")
			},
			after: func(c *cluster) {
				time.Sleep(15 * time.Second)
				c.store.SetPartitioned("a", false)
				c.network.Heal("a", "b")
				c.network.Heal("a", "c")
			},
		},
		{name: "leader of each domain changes", before: func(c *cluster, i int) {
			for _, domain := range []string{"a", "b", "c"} {
				c.setLeader(domain, host.ID(fmt.Sprintf("%s-%d", domain, i%4)), uint64(i+2))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithVirtualClock(t, func(t *testing.T) {
				c := newCluster(t, 4, "a", "b", "c")
				c.requireInForce(c.commit(nil, "one"), inForceLimit)
				var times []time.Duration
				for i := range commits {
					if test.before != nil {
						test.before(c, i)
					}
					time.Sleep(time.Duration(i*37%500) * time.Millisecond)
					revision := c.commit(nil, fmt.Sprintf("r%d", i))
					if test.after != nil {
						test.after(c)
					}
					times = append(times, c.eventually(inForceLimit, func() bool { return len(c.hostsWithout(revision)) == 0 }, "not in force everywhere"))
				}
				slices.Sort(times)
				t.Logf("%d commits, 12 hosts: p50 %v, p90 %v, max %v", commits, times[commits/2], times[commits*9/10], times[commits-1])
			})
		})
	}
}
