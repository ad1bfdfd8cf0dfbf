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

// lakeshore places ten hosts in six failure domains.
var lakeshore = []int{0, 1, 2, 3, 4, 5, 0, 1, 2, 3}

type picker func(*rand.Rand, time.Duration, []*testHost) *testHost

var pickers = []struct {
	name string
	pick picker
}{{"one host", oneHost}, {"spread", spread}, {"moving", moving}}

var sizes = []configuration.ClientAccount{
	{Name: "small", Rate: 2, Burst: 5},
	{Name: "middle", Rate: 50, Burst: 25},
	{Name: "large", Rate: 400, Burst: 200},
}

// inFleet runs a test with a fleet that has been up for a while.
func inFleet(t *testing.T, accounts []configuration.ClientAccount, run func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, lakeshore, accounts)
		time.Sleep(3 * time.Second)
		run(f)
		cancel()
		time.Sleep(time.Second) // borrowing under way ends
		f.work.Wait()
	})
}

// fullMeasure selects the long measurement that docs/operators/rates.md quotes.
const fullMeasure = "PERIDOTRAIL_MEASURE"

// TestMeasurePlacement measures wrongful refusals at 80% of the rate and the use
// of the rate at five times of it, for callers at one host, spread and moving. It
// requires that no admission exceeds the rate and burst.
func TestMeasurePlacement(t *testing.T) {
	accounts, period := sizes[1:2], 15*time.Second
	if os.Getenv(fullMeasure) != "" {
		accounts, period = sizes, 3*time.Minute
	}
	for _, account := range accounts {
		for _, p := range pickers {
			t.Run(account.Name+" "+p.name, func(t *testing.T) { measure(t, account, p.pick, period) })
		}
	}
}

func measure(t *testing.T, account configuration.ClientAccount, pick picker, period time.Duration) {
	for _, load := range []float64{0.8, 5} {
		inFleet(t, []configuration.ClientAccount{account}, func(f *testFleet) {
			g := newFigures(account)
			f.load(g, account.Rate*load, period, 1, pick)
			g.start()
			f.load(g, account.Rate*load, period, 2, pick)
			use := float64(g.admitted) / (account.Rate * period.Seconds())
			t.Logf("load %.1f: sent %d, refused inside the rate %.3f%%, use %.3f", load, g.sent, 100*g.wrongfulShare(), use)
			assert.Zero(t, g.broken, "admissions beyond the rate and burst")
			assert.NotZero(t, g.admitted)
		})
	}
}
