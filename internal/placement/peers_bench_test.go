package placement

import (
	"fmt"
	"testing"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
)

// One report of one of 32 hosts about 20 of 812 upstreams.
func BenchmarkPeerReport(b *testing.B) {
	pool, now := NewPool(Settings{Host: "h", FailureDomain: "w1", Region: "west", Regions: regionsFrom(map[string]string{"w1": "west"})}), boottime.Instant(time.Second)
	var entries []catalog.Upstream
	for i := range 812 {
		entries = append(entries, catalog.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: "127.0.0.1:1", FailureDomain: "w1", Slots: 9})
	}
	pool.SetUpstreams(entries, nil, now)
	var reports []map[string]int
	for i := range 32 {
		report := map[string]int{}
		for j := range 20 {
			report[fmt.Sprintf("i-%d", (i*25+j*7)%812)] = 1 + j%3
		}
		reports = append(reports, report)
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(3 * time.Millisecond)
		pool.SetPeerInflightCounts(fmt.Sprintf("h-%d", i%32), reports[i%32], 500*time.Millisecond, now)
	}
}
