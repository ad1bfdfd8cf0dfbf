package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/admission"
	"peridotrail/internal/configuration"
)

var oneAccount = []configuration.ClientAccount{{Name: "a", Rate: 60, Burst: 60}}

// runInNewFleet runs a test in a synctest bubble with a fleet that has just started.
func runInNewFleet(t *testing.T, domains []int, run func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, domains, oneAccount)
		run(f)
		cancel()
		time.Sleep(time.Second) // running attempts to borrow end
		f.tasks.Wait()
	})
}

// countAdmitted sends n requests one after the other and returns how many the host
// admits.
func (h *testHost) countAdmitted(n int) int {
	count := 0
	for range n {
		if h.admitter.Admit(h.fleet.ctx, "a") == nil {
			count++
		}
	}
	return count
}

func TestFirstLeaderGivesSharesSoon(t *testing.T) {
	runInNewFleet(t, []int{0, 1}, func(f *testFleet) {
		h := f.hosts[0]
		assert.Zero(t, h.holder.Slots("u-d0", time.Now()))
		time.Sleep(2 * time.Second)
		assert.Equal(t, 8, h.holder.Slots("u-d0", time.Now()))
		assert.Equal(t, 360, h.holder.Connections("u-d0", time.Now()))
		assert.NoError(t, h.admitter.Admit(f.ctx, "a"))
		assert.IsType(t, &admission.UnknownAccountError{}, h.admitter.Admit(f.ctx, "b"))
	})
}

func TestHostWithoutLeaderOrStoreRefuses(t *testing.T) {
	runInNewFleet(t, []int{0, 1}, func(f *testFleet) {
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		for _, h := range f.runningHosts() {
			assert.IsType(t, &admission.NotReadyError{}, h.admitter.Admit(f.ctx, "a"))
			assert.Zero(t, h.holder.Slots("u-"+h.id.FailureDomain, time.Now()))
		}
	})
}

func TestSharesLastThroughStoreOutage(t *testing.T) {
	runInNewFleet(t, []int{0, 1, 2, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetDown(true)
		time.Sleep(10 * time.Minute)
		g := newRequestCounts(oneAccount[0])
		f.sendLoad(g, 300, 20*time.Second, 1, randomHost)
		assert.Zero(t, g.admittedOverRate)
		assert.Greater(t, g.admitted, 60*20*95/100, "extra shares last while all domain leaders promise not to end them")
	})
}

func TestCutOffDomainKeepsItsFloor(t *testing.T) {
	runInNewFleet(t, []int{0, 1, 2}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetPartitioned("d2", true)
		f.network.Partition("d2", "d0")
		f.network.Partition("d2", "d1")
		time.Sleep(2 * time.Minute)
		g := newRequestCounts(oneAccount[0])
		f.sendLoad(g, 300, 20*time.Second, 1, randomHost)
		assert.Zero(t, g.admittedOverRate)
		time.Sleep(5 * time.Second)
		assert.Greater(t, f.runningHosts()[2].countAdmitted(60), 5, "the cut-off domain serves from its floor")
		assert.Greater(t, g.admitted, 60*20*90/100, "the others took over the extra share")
	})
}

func TestLeaderChangeKeepsShares(t *testing.T) {
	runInNewFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.kill(f.runningHosts()[0])
		time.Sleep(8 * time.Second) // the domain has no leader
		for _, h := range f.runningHosts() {
			assert.True(t, h.admitter.Ready(time.Now()))
		}
		f.elect("d0")
		g := newRequestCounts(oneAccount[0])
		f.sendLoad(g, 300, 25*time.Second, 1, randomHost)
		assert.Zero(t, g.admittedOverRate)
		g.resetCounts()
		f.sendLoad(g, 300, 20*time.Second, 2, randomHost)
		assert.Greater(t, g.admitted, 60*20*95/100, "the share of the dead host is given out again")
		total := 0
		for _, h := range f.runningHosts() {
			total += h.holder.Slots("u-d0", time.Now())
		}
		assert.LessOrEqual(t, total, 8)
	})
}

func TestGracefulStopReleasesShares(t *testing.T) {
	runInNewFleet(t, []int{0}, func(f *testFleet) {
		time.Sleep(3 * time.Second)
		h := f.runningHosts()[0]
		require.Equal(t, 8, h.holder.Slots("u-d0", time.Now()))
		f.stopGracefully(h)
		assert.Zero(t, h.holder.Slots("u-d0", time.Now()))
		next := f.start(0, 0)
		f.elect("d0")
		time.Sleep(2 * time.Second)
		assert.Equal(t, 8, next.holder.Slots("u-d0", time.Now()), "released shares are given out at once")
	})
}

func TestKilledHostsSharesAreNotGivenAgainEarly(t *testing.T) {
	runInNewFleet(t, []int{0}, func(f *testFleet) {
		time.Sleep(3 * time.Second)
		f.kill(f.runningHosts()[0])
		next := f.start(0, 0)
		f.elect("d0")
		time.Sleep(18 * time.Second)
		assert.Zero(t, next.holder.Slots("u-d0", time.Now()))
		assert.Zero(t, next.countAdmitted(1))
		time.Sleep(40 * time.Second)
		assert.Equal(t, 8, next.holder.Slots("u-d0", time.Now()))
		assert.Equal(t, 1, next.countAdmitted(1))
	})
}

func TestRateChange(t *testing.T) {
	runInNewFleet(t, []int{0, 1, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.configure(func(c *configuration.Configuration) { c.ClientAccounts[0].Rate, c.ClientAccounts[0].Burst = 20, 10 })
		time.Sleep(30 * time.Second)
		lower := newRequestCounts(configuration.ClientAccount{Name: "a", Rate: 20, Burst: 10})
		f.sendLoad(lower, 300, 20*time.Second, 1, randomHost)
		lower.resetCounts()
		f.sendLoad(lower, 300, 20*time.Second, 2, randomHost)
		assert.Zero(t, lower.admittedOverRate)
		assert.Greater(t, lower.admitted, 20*20*95/100)
		f.configure(func(c *configuration.Configuration) { c.ClientAccounts[0].Rate, c.ClientAccounts[0].Burst = 100, 50 })
		time.Sleep(30 * time.Second)
		higher := newRequestCounts(configuration.ClientAccount{Name: "a", Rate: 100, Burst: 50})
		f.sendLoad(higher, 500, 20*time.Second, 3, randomHost)
		higher.resetCounts()
		f.sendLoad(higher, 500, 20*time.Second, 4, randomHost)
		assert.Zero(t, higher.admittedOverRate)
		assert.Greater(t, higher.admitted, 100*20*95/100)
	})
}

func TestFloorOfDeadDomainIsReassigned(t *testing.T) {
	runInNewFleet(t, []int{0, 1}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.kill(f.runningHosts()[1])
		time.Sleep(2 * time.Minute)
		f.configure(func(c *configuration.Configuration) { c.FailureDomains[1].Dead = true })
		time.Sleep(30 * time.Second)
		g := newRequestCounts(oneAccount[0])
		f.sendLoad(g, 300, 20*time.Second, 1, randomHost)
		assert.Zero(t, g.admittedOverRate)
		assert.Greater(t, g.admitted, 60*20*95/100)
	})
}

func TestSharesLastWithoutLeaderDuringStoreOutage(t *testing.T) {
	runInNewFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetDown(true)
		f.kill(f.runningHosts()[0])
		time.Sleep(10 * time.Minute)
		slots := 0
		for _, h := range f.runningHosts() {
			slots += h.holder.Slots("u-d0", time.Now())
		}
		assert.Greater(t, slots, 0)
		assert.LessOrEqual(t, slots, 8)
		g := newRequestCounts(oneAccount[0])
		f.sendLoad(g, 300, 20*time.Second, 1, randomHost)
		assert.Zero(t, g.admittedOverRate)
		assert.Greater(t, g.admitted, 60*20/4, "the floors of the two live hosts")
		f.store.SetDown(false)
		f.elect("d0")
		time.Sleep(time.Minute)
		h := f.runningHosts()[0]
		assert.Equal(t, 8, h.holder.Slots("u-d0", time.Now())+f.runningHosts()[1].holder.Slots("u-d0", time.Now()))
	})
}

func TestSharesEndIfAnotherHostStillReachesTheLeader(t *testing.T) {
	runInNewFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.network.Isolate(f.runningHosts()[2].id.Fleet, true)
		time.Sleep(25 * time.Second)
		assert.Zero(t, f.runningHosts()[2].holder.Slots("u-d0", time.Now()))
		assert.False(t, f.runningHosts()[2].admitter.Ready(time.Now()))
	})
}
