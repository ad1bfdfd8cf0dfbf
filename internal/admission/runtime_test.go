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

// runFleet runs a test in a bubble with a fleet that starts at once.
func runFleet(t *testing.T, domains []int, run func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, domains, oneAccount)
		run(f)
		cancel()
		time.Sleep(time.Second) // borrowing under way ends
		f.work.Wait()
	})
}

// admitted returns how many of n requests in a row a host admits.
func (h *testHost) admitted(n int) int {
	count := 0
	for range n {
		if h.admitter.Admit(h.fleet.ctx, "a") == nil {
			count++
		}
	}
	return count
}

func TestFirstLeaderGivesSharesSoon(t *testing.T) {
	runFleet(t, []int{0, 1}, func(f *testFleet) {
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
	runFleet(t, []int{0, 1}, func(f *testFleet) {
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		for _, h := range f.live() {
			assert.IsType(t, &admission.NotReadyError{}, h.admitter.Admit(f.ctx, "a"))
			assert.Zero(t, h.holder.Slots("u-"+h.id.FailureDomain, time.Now()))
		}
	})
}

func TestSharesLastThroughStoreOutage(t *testing.T) {
	runFleet(t, []int{0, 1, 2, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetDown(true)
		time.Sleep(10 * time.Minute)
		g := newFigures(oneAccount[0])
		f.load(g, 300, 20*time.Second, 1, spread)
		assert.Zero(t, g.broken)
		assert.Greater(t, g.admitted, 60*20*95/100, "extra shares last while all domains agree")
	})
}

func TestCutOffDomainKeepsItsFloor(t *testing.T) {
	runFleet(t, []int{0, 1, 2}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetPartitioned("d2", true)
		f.network.Partition("d2", "d0")
		f.network.Partition("d2", "d1")
		time.Sleep(2 * time.Minute)
		g := newFigures(oneAccount[0])
		f.load(g, 300, 20*time.Second, 1, spread)
		assert.Zero(t, g.broken)
		time.Sleep(5 * time.Second)
		assert.Greater(t, f.live()[2].admitted(60), 5, "the cut-off domain serves from its floor")
		assert.Greater(t, g.admitted, 60*20*90/100, "the others took over the extra share")
	})
}

func TestLeaderChangeKeepsShares(t *testing.T) {
	runFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.kill(f.live()[0])
		time.Sleep(8 * time.Second) // no leader
		for _, h := range f.live() {
			assert.True(t, h.admitter.Ready(time.Now()))
		}
		f.elect("d0")
		g := newFigures(oneAccount[0])
		f.load(g, 300, 25*time.Second, 1, spread)
		assert.Zero(t, g.broken)
		g.start()
		f.load(g, 300, 20*time.Second, 2, spread)
		assert.Greater(t, g.admitted, 60*20*95/100, "the share of the dead host is given again")
		total := 0
		for _, h := range f.live() {
			total += h.holder.Slots("u-d0", time.Now())
		}
		assert.LessOrEqual(t, total, 8)
	})
}

func TestGracefulStopHandsSharesOver(t *testing.T) {
	runFleet(t, []int{0}, func(f *testFleet) {
		time.Sleep(3 * time.Second)
		h := f.live()[0]
		require.Equal(t, 8, h.holder.Slots("u-d0", time.Now()))
		f.leave(h)
		assert.Zero(t, h.holder.Slots("u-d0", time.Now()))
		next := f.start(0, 0)
		f.elect("d0")
		time.Sleep(2 * time.Second)
		assert.Equal(t, 8, next.holder.Slots("u-d0", time.Now()), "nothing is left to wait for")
	})
}

func TestKilledHostsSharesAreNotGivenAgainEarly(t *testing.T) {
	runFleet(t, []int{0}, func(f *testFleet) {
		time.Sleep(3 * time.Second)
		f.kill(f.live()[0])
		next := f.start(0, 0)
		f.elect("d0")
		time.Sleep(18 * time.Second)
		assert.Zero(t, next.holder.Slots("u-d0", time.Now()))
		assert.Zero(t, next.admitted(1))
		time.Sleep(40 * time.Second)
		assert.Equal(t, 8, next.holder.Slots("u-d0", time.Now()))
		assert.Equal(t, 1, next.admitted(1))
	})
}

func TestRateChange(t *testing.T) {
	runFleet(t, []int{0, 1, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.configure(func(c *configuration.Configuration) { c.ClientAccounts[0].Rate, c.ClientAccounts[0].Burst = 20, 10 })
		time.Sleep(30 * time.Second)
		lower := newFigures(configuration.ClientAccount{Name: "a", Rate: 20, Burst: 10})
		f.load(lower, 300, 20*time.Second, 1, spread)
		lower.start()
		f.load(lower, 300, 20*time.Second, 2, spread)
		assert.Zero(t, lower.broken)
		assert.Greater(t, lower.admitted, 20*20*95/100)
		f.configure(func(c *configuration.Configuration) { c.ClientAccounts[0].Rate, c.ClientAccounts[0].Burst = 100, 50 })
		time.Sleep(30 * time.Second)
		higher := newFigures(configuration.ClientAccount{Name: "a", Rate: 100, Burst: 50})
		f.load(higher, 500, 20*time.Second, 3, spread)
		higher.start()
		f.load(higher, 500, 20*time.Second, 4, spread)
		assert.Zero(t, higher.broken)
		assert.Greater(t, higher.admitted, 100*20*95/100)
	})
}

func TestDeadDomainsFloorIsGivenToOthers(t *testing.T) {
	runFleet(t, []int{0, 1}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.kill(f.live()[1])
		time.Sleep(2 * time.Minute)
		f.configure(func(c *configuration.Configuration) { c.FailureDomains[1].Dead = true })
		time.Sleep(30 * time.Second)
		g := newFigures(oneAccount[0])
		f.load(g, 300, 20*time.Second, 1, spread)
		assert.Zero(t, g.broken)
		assert.Greater(t, g.admitted, 60*20*95/100)
	})
}

func TestSharesLastWithoutLeaderWhileStoreIsAway(t *testing.T) {
	runFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.SetDown(true)
		f.kill(f.live()[0])
		time.Sleep(10 * time.Minute)
		slots := 0
		for _, h := range f.live() {
			slots += h.holder.Slots("u-d0", time.Now())
		}
		assert.Greater(t, slots, 0)
		assert.LessOrEqual(t, slots, 8)
		g := newFigures(oneAccount[0])
		f.load(g, 300, 20*time.Second, 1, spread)
		assert.Zero(t, g.broken)
		assert.Greater(t, g.admitted, 60*20/4, "the floors of the two live hosts")
		f.store.SetDown(false)
		f.elect("d0")
		time.Sleep(time.Minute)
		h := f.live()[0]
		assert.Equal(t, 8, h.holder.Slots("u-d0", time.Now())+f.live()[1].holder.Slots("u-d0", time.Now()))
	})
}

func TestSharesEndIfOneHostStillHearsTheLeader(t *testing.T) {
	runFleet(t, []int{0, 0, 0}, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.network.Isolate(f.live()[2].id.Fleet, true)
		time.Sleep(25 * time.Second)
		assert.Zero(t, f.live()[2].holder.Slots("u-d0", time.Now()))
		assert.False(t, f.live()[2].admitter.Ready(time.Now()))
	})
}
