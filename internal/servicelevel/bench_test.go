package servicelevel

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/configuration"
)

// BenchmarkRecord measures recording a request that three objectives match, on all cores.
func BenchmarkRecord(b *testing.B) {
	r := newRecorder()
	var objectives []configuration.Objective
	for i := range 4 {
		service := fmt.Sprintf("s%d", i)
		objectives = append(objectives, configuration.Objective{Name: service, Service: service})
		for j := range 8 {
			account := fmt.Sprintf("a%d", j)
			objectives = append(objectives, configuration.Objective{Name: service + account, Service: service, Account: account})
			if i == 0 {
				objectives = append(objectives, configuration.Objective{Name: account, Account: account})
			}
		}
	}
	r.update(objectives)
	now := time.Unix(1_800_000_000, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		o := Outcome{Service: "s1", Account: "a1", Good: true}
		for pb.Next() {
			r.record(o, now)
		}
	})
}

// BenchmarkSeriesSize reports the encoded size of a full series.
func BenchmarkSeriesSize(b *testing.B) {
	const window = 672 * time.Hour
	s := NewSeries(window, 0)
	for minute := Minute(1); minute <= 672*60; minute++ {
		s.Add([]Bucket{{Start: minute, Counts: Counts{Good: 59_990, Total: 60_000}}}, minute)
	}
	var data []byte
	for b.Loop() {
		var err error
		if data, err = cbor.Marshal(s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "series-B")
}
