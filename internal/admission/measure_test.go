package admission_test

import (
	"context"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"peridotrail/internal/configuration"
)

// lakeshoreDomains holds the failure domain of each of ten hosts, as in the
// deployment lakeshore of test/measure.
var lakeshoreDomains = []int{0, 1, 2, 3, 4, 5, 0, 1, 2, 3}

type hostPicker func(*rand.Rand, time.Duration, []*testHost) *testHost

var hostPickers = []struct {
	name string
	pick hostPicker
}{{"one host", firstHost}, {"spread", randomHost}, {"moving", rotatingHost}}

var accountSizes = []configuration.ClientAccount{
	{Name: "small", Rate: 2, Burst: 5},
	{Name: "middle", Rate: 50, Burst: 25},
	{Name: "large", Rate: 400, Burst: 200},
}

// runInWarmFleet runs a test in a synctest bubble with a fleet that has been running
// for 3 s.
func runInWarmFleet(t *testing.T, accounts []configuration.ClientAccount, run func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, lakeshoreDomains, accounts)
		time.Sleep(3 * time.Second)
		run(f)
		cancel()
		time.Sleep(time.Second) // running attempts to borrow end
		f.tasks.Wait()
	})
}

// fullMeasureVariable is the environment variable that selects the long measurement
// quoted in docs/operators/rates.md.
const fullMeasureVariable = "PERIDOTRAIL_MEASURE"

// TestMeasurePlacement measures refusals within the rate at a load of 80% of the
// rate, and the utilization of the rate at a load of five times the rate. Callers
// use one host, random hosts, or one host after the other. It requires that no
// admission exceeds the rate and burst.
func TestMeasurePlacement(t *testing.T) {
	accounts, period := accountSizes[1:2], 15*time.Second
	if os.Getenv(fullMeasureVariable) != "" {
		accounts, period = accountSizes, 3*time.Minute
	}
	for _, account := range accounts {
		for _, picker := range hostPickers {
			t.Run(account.Name+" "+picker.name, func(t *testing.T) { measureAccount(t, account, picker.pick, period) })
		}
	}
}

func measureAccount(t *testing.T, account configuration.ClientAccount, pick hostPicker, period time.Duration) {
	for _, load := range []float64{0.8, 5} {
		runInWarmFleet(t, []configuration.ClientAccount{account}, func(f *testFleet) {
			g := newRequestCounts(account)
			f.sendLoad(g, account.Rate*load, period, 1, pick)
			g.resetCounts()
			f.sendLoad(g, account.Rate*load, period, 2, pick)
			utilization := float64(g.admitted) / (account.Rate * period.Seconds())
			t.Logf("load %.1f: sent %d, refused inside the rate %.3f%%, use %.3f", load, g.sent, 100*g.refusedWithinRateShare(), utilization)
			assert.Zero(t, g.admittedOverRate, "admissions beyond the rate and burst")
			assert.NotZero(t, g.admitted)
		})
	}
}
