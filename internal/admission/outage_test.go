package admission_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"peridotrail/internal/configuration"
)

// TestMeasureFaults measures wrongful refusals at 80% of the rate and the use of
// the rate at five times of it under lasting faults. It requires that no admission
// exceeds the rate and burst.
func TestMeasureFaults(t *testing.T) {
	account := sizes[1]
	if os.Getenv(fullMeasure) != "" {
		account = sizes[2]
	}
	faults := []struct {
		name  string
		apply func(f *testFleet)
		pick  picker
	}{
		{"healthy", func(*testFleet) {}, spread},
		{"store away for 10 minutes", func(f *testFleet) {
			f.store.SetDown(true)
			time.Sleep(10 * time.Minute)
		}, spread},
		{"one domain cut off, its own callers", cutOff, onlyDomain("d5")},
		{"one domain cut off, the others' callers", cutOff, withoutDomain("d5")},
		{"a host killed each 10 s", func(f *testFleet) { go f.restartEach(10*time.Second, f.kill) }, spread},
		{"a host replaced gracefully each 10 s", func(f *testFleet) { go f.restartEach(10*time.Second, f.leave) }, spread},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			for _, load := range []float64{0.8, 5} {
				inFleet(t, []configuration.ClientAccount{account}, func(f *testFleet) {
					g := newFigures(account)
					f.load(g, account.Rate*load, 20*time.Second, 1, fault.pick)
					fault.apply(f)
					f.load(g, account.Rate*load, 20*time.Second, 2, fault.pick)
					g.start()
					f.load(g, account.Rate*load, 30*time.Second, 3, fault.pick)
					use := float64(g.admitted) / (account.Rate * 30)
					t.Logf("load %.1f: sent %d, refused inside the rate %.3f%%, not ready %d, use %.3f",
						load, g.sent, 100*g.wrongfulShare(), g.notReady, use)
					assert.Zero(t, g.broken, "admissions beyond the rate and burst")
				})
			}
		})
	}
}

// cutOff separates d5 from the store and from all other domains for two minutes.
func cutOff(f *testFleet) {
	f.store.SetPartitioned("d5", true)
	for _, d := range []string{"d0", "d1", "d2", "d3", "d4"} {
		f.network.Partition("d5", d)
	}
	time.Sleep(2 * time.Minute)
}

func onlyDomain(name string) picker {
	return func(r *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
		for _, h := range hosts {
			if h.id.FailureDomain == name {
				return h
			}
		}
		return hosts[0]
	}
}

func withoutDomain(name string) picker {
	return func(r *rand.Rand, t time.Duration, hosts []*testHost) *testHost {
		for {
			if h := spread(r, t, hosts); h.id.FailureDomain != name {
				return h
			}
		}
	}
}

// restartEach ends a host and starts it again after a second, one after the other.
// A domain that loses its leader gets another at once, as after a handover.
func (f *testFleet) restartEach(period time.Duration, stop func(*testHost)) {
	for i := 0; ; i++ {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(period - time.Second):
		}
		h := f.live()[0] // the one that runs for the longest time
		index, domain := h.index()
		stop(h)
		f.elect(domainName(domain))
		time.Sleep(time.Second)
		f.start(index, domain)
		f.elect(domainName(domain))
	}
}

// index returns the numbers of a host and of its domain.
func (h *testHost) index() (index, domain int) {
	return int(h.id.Fleet.Addr().As4()[3]), int(h.id.FailureDomain[1] - '0')
}
