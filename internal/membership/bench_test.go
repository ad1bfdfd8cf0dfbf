package membership

import (
	"fmt"
	"testing"
	"time"
)

// fleetTable returns the table of a leader in a fleet of 660 hosts in 11 domains.
func fleetTable() *Table {
	const domains, size = 11, 60
	table := leaderTable(size - 1)
	for d := 1; d < domains; d++ {
		domain := string(rune('a' + d))
		summary := Summary{Domain: domain, Stamp: Stamp{Epoch: 1, Sequence: 1}}
		for n := range size {
			summary.Hosts = append(summary.Hosts, HostSummary{Identity: identityOf(domain, n, 1)})
		}
		table.Apply(SyncReply{Summaries: []Summary{summary}}, start)
	}
	return table
}

// BenchmarkTick measures one tick of a leader in a fleet of 660 hosts. A tick runs
// every 250 ms.
func BenchmarkTick(b *testing.B) {
	table := fleetTable()
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		table.Tick(now)
		_ = table.Targets(now)
	}
}

// BenchmarkView measures the construction of a view of 660 hosts, which happens once a
// second while nothing changes.
func BenchmarkView(b *testing.B) {
	table := fleetTable()
	b.ReportAllocs()
	for b.Loop() {
		if view := table.View(start); len(view.Members) != 659 {
			b.Fatal(fmt.Sprint(len(view.Members)))
		}
	}
}
