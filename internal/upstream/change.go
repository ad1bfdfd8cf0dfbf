package upstream

import (
	"math"
	"time"
)

// Settings of the change detector, which is an EWMA control chart of the logarithm
// of the service time.
const (
	changeReferenceSamples = 50    // observations from which the reference is learned
	changeAverageWeight    = 0.2   // weight of one observation in the moving average
	changeLimit            = 3.6   // alarm limit, in standard deviations of the moving average
	changeReferenceWeight  = 0.002 // weight of one observation in the reference mean after learning
	minLogDeviation        = 0.05  // smallest standard deviation assumed for the logarithm
	minServiceSeconds      = 1e-6  // shorter service times are raised to this value, as log(0) is infinite
	changeRecentSamples    = 5     // latest observations whose mean is reported with an alarm
	changeMaxDeviation     = 4.0   // an observation is clipped at this many standard deviations
)

// changeDetector reports a lasting increase of the service time of an upstream.
// It standardises the logarithm of each service time with the mean and deviation
// of a reference period, and raises an alarm when the moving average of the
// result exceeds a limit.
type changeDetector struct {
	count    int
	mean, m2 float64 // mean and sum of squared differences of the logarithm, by Welford's method
	average  float64 // moving average of standardised observations
	recent   [changeRecentSamples]float64
}

// observe adds one service time. On an alarm it returns the mean of the latest
// observations and true, and starts to learn a new reference.
func (c *changeDetector) observe(d time.Duration) (recent time.Duration, changed bool) {
	seconds := max(d.Seconds(), minServiceSeconds)
	c.recent[c.count%changeRecentSamples] = seconds
	logSeconds := math.Log(seconds)
	c.count++
	if c.count <= changeReferenceSamples {
		delta := logSeconds - c.mean
		c.mean += delta / float64(c.count)
		c.m2 += delta * (logSeconds - c.mean)
		return 0, false
	}
	if !c.exceeds(logSeconds) {
		c.mean += changeReferenceWeight * (logSeconds - c.mean)
		return 0, false
	}
	recent = c.recentMean()
	*c = changeDetector{}
	return recent, true
}

// exceeds adds an observation to the moving average and reports whether the average
// exceeds its limit.
func (c *changeDetector) exceeds(logSeconds float64) bool {
	deviation := max(minLogDeviation, math.Sqrt(c.m2/float64(changeReferenceSamples-1)))
	standardised := min(changeMaxDeviation, (logSeconds-c.mean)/deviation)
	c.average += changeAverageWeight * (standardised - c.average)
	return c.average > changeLimit*math.Sqrt(changeAverageWeight/(2-changeAverageWeight))
}

func (c *changeDetector) recentMean() time.Duration {
	total := 0.0
	for _, seconds := range c.recent {
		total += seconds
	}
	return time.Duration(total / changeRecentSamples * float64(time.Second))
}
