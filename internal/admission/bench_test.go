package admission_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"peridotrail/internal/admission"
	"peridotrail/internal/allotment"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
)

func newBenchAdmitter() *admission.Admitter {
	id := host.Identity{ID: "h0", Incarnation: 1, FailureDomain: "d0", Fleet: netip.MustParseAddrPort("127.0.0.1:7000")}
	node := fleettest.New(1).Join(id)
	f := &testFleet{leaderships: map[string]*testLeadership{}}
	a := admission.New(admission.Options{
		View: testView{fleet: f, self: id}, Caller: node, Registry: node, Leadership: hostLeadership{domain: &testLeadership{}, self: id},
	})
	now := time.Now()
	a.Configure(map[string]float64{"a": 1e9, "b": 1e9})
	for _, name := range a.Accounts() {
		a.Resize(now, name, allotment.Share{Rate: 1e9, Burst: 1e9})
	}
	a.Extend(now, now.Add(time.Hour))
	time.Sleep(10 * time.Millisecond)
	return a
}

// BenchmarkAdmit measures an admission from this host's own share.
func BenchmarkAdmit(b *testing.B) {
	a := newBenchAdmitter()
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if err := a.Admit(ctx, "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdmitParallel measures concurrent admissions of one account from this
// host's own share.
func BenchmarkAdmitParallel(b *testing.B) {
	a := newBenchAdmitter()
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := a.Admit(ctx, "a"); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
