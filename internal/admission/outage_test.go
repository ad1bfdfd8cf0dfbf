package admission_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"peridotrail/internal/configuration"
	"peridotrail/internal/knownfailure"
)

// TestMeasureFaults measures refusals within the rate at a load of 80% of the rate,
// and the utilization of the rate at a load of five times the rate, during lasting
// faults. It requires that no admission exceeds the rate and burst.
func TestMeasureFaults(t *testing.T) {
	knownfailure.SkipIfListed(t)
	account := accountSizes[1]
	if os.Getenv(fullMeasureVariable) != "" {
		account = accountSizes[2]
	}
	faults := []struct {
		name  string
		apply func(f *testFleet)
		pick  hostPicker
	}{
		{"healthy", func(*testFleet) {}, randomHost},
		{"store unreachable for 10 minutes", func(f *testFleet) {
			f.store.SetDown(true)
			time.Sleep(10 * time.Minute)
		}, randomHost},
		{"one domain cut off, its own callers", cutOffDomain, firstHostOfDomain("d5")},
		{"one domain cut off, the others' callers", cutOffDomain, randomHostOutsideDomain("d5")},
		{"a host killed each 10 s", func(f *testFleet) { go f.restartHosts(10*time.Second, f.kill) }, randomHost},
		{"a host replaced gracefully each 10 s", func(f *testFleet) { go f.restartHosts(10*time.Second, f.stopGracefully) }, randomHost},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			for _, load := range []float64{0.8, 5} {
				runInWarmFleet(t, []configuration.ClientAccount{account}, func(f *testFleet) {
					g := newRequestCounts(account)
					f.sendLoad(g, account.Rate*load, 20*time.Second, 1, fault.pick)
					fault.apply(f)
					f.sendLoad(g, account.Rate*load, 20*time.Second, 2, fault.pick)
					g.resetCounts()
					f.sendLoad(g, account.Rate*load, 30*time.Second, 3, fault.pick)
					utilization := float64(g.admitted) / (account.Rate * 30)
					t.Logf("load %.1f: sent %d, refused inside the rate %.3f%%, not ready %d, use %.3f",
						load, g.sent, 100*g.refusedWithinRateShare(), g.notReady, utilization)
					assert.Zero(t, g.admittedOverRate, "admissions beyond the rate and burst")
				})
			}
		})
	}
}

// cutOffDomain partitions d5 from the store and from all other domains and waits
// two minutes.
func cutOffDomain(f *testFleet) {
	f.store.SetPartitioned("d5", true)
	for _, d := range []string{"d0", "d1", "d2", "d3", "d4"} {
		f.network.Partition("d5", d)
	}
	time.Sleep(2 * time.Minute)
}

func firstHostOfDomain(name string) hostPicker {
	return func(r *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
		for _, h := range hosts {
			if h.id.FailureDomain == name {
				return h
			}
		}
		return hosts[0]
	}
}

func randomHostOutsideDomain(name string) hostPicker {
	return func(r *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
		for {
			if h := randomHost(r, t, hosts); h.id.FailureDomain != name {
				return h
			}
		}
	}
}

// restartHosts stops one host after the other and starts each again after a second.
// A domain that loses its leader gets another one at once, as after a handover.
func (f *testFleet) restartHosts(period time.Duration, stop func(*testHost)) {
	for i := 0; ; i++ {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(period - time.Second):
		}
		h := f.runningHosts()[0] // the host that has been running longest
		index, domain := h.numbers()
		stop(h)
		f.elect(domainName(domain))
		time.Sleep(time.Second)
		f.start(index, domain)
		f.elect(domainName(domain))
	}
}

// numbers returns the number of a host and of its failure domain.
func (h *testHost) numbers() (index, domain int) {
	return int(h.id.Fleet.Addr().As4()[3]), int(h.id.FailureDomain[1] - '0')
}
