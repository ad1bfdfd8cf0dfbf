package upstream

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// controlChart accumulates standardised observations.
type controlChart interface {
	add(x float64) float64 // returns the value to compare with the limit
}

type ewmaChart struct{ weight, average float64 }

func (c *ewmaChart) add(x float64) float64 {
	c.average += c.weight * (min(changeMaxDeviation, x) - c.average)
	return c.average
}

// cusumChart is an upper CUSUM chart for the variance. Its reference value is that for
// an increase of the standard deviation to sigma.
type cusumChart struct{ reference, sum float64 }

func newCusumChart(sigma float64) *cusumChart {
	v := sigma * sigma
	return &cusumChart{reference: v * math.Log(v) / (v - 1)}
}

func (c *cusumChart) add(x float64) float64 {
	c.sum = max(0, c.sum+x*x-c.reference)
	return c.sum
}

// series describes a change of the standardised logarithms of service times.
type series struct {
	name          string
	shift, spread float64 // added to the mean and multiplied with the standard deviation
}

const (
	seriesSeed         = 20261203
	falseAlarmInterval = 1000 // mean number of observations between false alarms for which charts are calibrated
	replications       = 200
	maxRunLength       = 50_000
	// delayTolerance is the largest accepted difference of mean detection delays, in
	// observations.
	delayTolerance = 1.0
)

// runLength returns the mean number of observations until a chart exceeds limit.
func runLength(build func() controlChart, limit float64, s series, tail float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for range replications {
		chart := build()
		n := 1
		for ; n < maxRunLength && chart.add(draw(random, tail)*s.spread+s.shift) <= limit; n++ {
		}
		total += n
	}
	return float64(total) / replications
}

// draw returns a normal observation, or with probability tail one from a
// distribution three times as wide.
func draw(random *rand.Rand, tail float64) float64 {
	x := random.NormFloat64()
	if tail > 0 && random.Float64() < tail {
		return 3 * x
	}
	return x
}

// calibrate finds the limit between 0 and high at which the chart's false alarms are
// falseAlarmInterval apart.
func calibrate(build func() controlChart, high, tail float64) float64 {
	low := 0.0
	for range 14 {
		middle := (low + high) / 2
		if runLength(build, middle, series{spread: 1}, tail, seriesSeed) < falseAlarmInterval {
			low = middle
		} else {
			high = middle
		}
	}
	return (low + high) / 2
}

// TestChangeDetectionComparison prints the table of docs/design/change-detection.md
// and fails if the EWMA chart, which changeDetector uses, needs more than
// delayTolerance observations longer than CUSUM to detect a lasting increase of the
// mean service time.
func TestChangeDetectionComparison(t *testing.T) {
	if testing.Short() {
		t.Skip("long run")
	}
	changes := []series{
		{"mean +0.5 sd", 0.5, 1}, {"mean +1 sd", 1, 1}, {"mean +2 sd", 2, 1}, {"mean +4 sd", 4, 1},
		{"sd x1.5", 0, 1.5}, {"sd x2", 0, 2}, {"mean +1 sd, sd x1.5", 1, 1.5},
	}
	for _, tail := range []float64{0, 0.05} {
		ewma := func() controlChart { return &ewmaChart{weight: changeAverageWeight} }
		cusum := func() controlChart { return newCusumChart(1.5) }
		ewmaLimit, cusumLimit := calibrate(ewma, 3, tail), calibrate(cusum, 120, tail)
		scale := math.Sqrt(changeAverageWeight / (2 - changeAverageWeight))
		t.Logf("tail %.2f: limits ewma %.2f sd, cusum %.2f", tail, ewmaLimit/scale, cusumLimit)
		for _, change := range changes {
			ewmaDelay := runLength(ewma, ewmaLimit, change, tail, seriesSeed+1)
			cusumDelay := runLength(cusum, cusumLimit, change, tail, seriesSeed+1)
			t.Logf("tail %.2f %-20s delay ewma %7.1f cusum %7.1f", tail, change.name, ewmaDelay, cusumDelay)
			if change.shift >= 0.5 && change.spread == 1 {
				require.LessOrEqual(t, ewmaDelay, cusumDelay+delayTolerance, change.name)
			}
		}
	}
}

func TestChangeDetectorReportsASlowUpstreamAndResets(t *testing.T) {
	random := rand.New(rand.NewPCG(seriesSeed, 2))
	sample := func(mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * math.Exp(0.3*random.NormFloat64()))
	}
	var c changeDetector
	alarms := 0
	for range 500 {
		if _, changed := c.observe(sample(10 * time.Millisecond)); changed {
			alarms++
		}
	}
	require.Zero(t, alarms)
	for n := 1; ; n++ {
		require.Less(t, n, 20)
		if recent, changed := c.observe(sample(40 * time.Millisecond)); changed {
			require.Greater(t, recent, 15*time.Millisecond)
			break
		}
	}
	require.Zero(t, c.count)
}
