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

func benchAdmitter() *admission.Admitter {
	id := host.Identity{ID: "h0", Incarnation: 1, FailureDomain: "d0", Fleet: netip.MustParseAddrPort("127.0.0.1:7000")}
	node := fleettest.New(1).Join(id)
	f := &testFleet{leads: map[string]*testLead{}}
	a := admission.New(admission.Options{
		View: view{fleet: f, self: id}, Caller: node, Registry: node, Leadership: leadership{lead: &testLead{}, self: id},
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
	a := benchAdmitter()
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if err := a.Admit(ctx, "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdmitParallel measures it with all callers at one account.
func BenchmarkAdmitParallel(b *testing.B) {
	a := benchAdmitter()
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
