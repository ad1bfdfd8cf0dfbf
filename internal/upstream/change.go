package upstream

import (
	"math"
	"time"
)

// Settings of the detection of a change in service time.
const (
	changeReference = 50    // observations that form the reference
	changeWeight    = 0.2   // weight of one observation in the moving average
	changeLimit     = 3.6   // standard deviations of the moving average
	changeDrift     = 0.002 // weight of one observation in the reference
	minLogDeviation = 0.05  // least standard deviation of the logarithm
	shortestSample  = 1e-6  // seconds; guards the logarithm
	changeRecent    = 5     // observations averaged after an alarm
	changeClip      = 4.0   // standard deviations at which one observation is cut off
)

// changeDetector reports a lasting increase of the service time of an upstream.
// It compares a fast moving average of the standardised logarithm of the service
// time with the reference that it learned.
type changeDetector struct {
	count    int
	mean, m2 float64 // of the logarithm; Welford's method while learning
	average  float64 // moving average of standardised observations
	recent   [changeRecent]float64
}

// observe takes over one service time. After an alarm it returns the mean of the
// latest observations and starts a new reference.
func (c *changeDetector) observe(d time.Duration) (recent time.Duration, changed bool) {
	seconds := max(d.Seconds(), shortestSample)
	c.recent[c.count%changeRecent] = seconds
	x := math.Log(seconds)
	c.count++
	if c.count <= changeReference {
		delta := x - c.mean
		c.mean += delta / float64(c.count)
		c.m2 += delta * (x - c.mean)
		return 0, false
	}
	if !c.exceeds(x) {
		c.mean += changeDrift * (x - c.mean)
		return 0, false
	}
	recent = c.recentMean()
	*c = changeDetector{}
	return recent, true
}

// exceeds adds a standardised observation and compares the average with its limit.
func (c *changeDetector) exceeds(x float64) bool {
	deviation := max(minLogDeviation, math.Sqrt(c.m2/float64(changeReference-1)))
	standard := min(changeClip, (x-c.mean)/deviation)
	c.average += changeWeight * (standard - c.average)
	return c.average > changeLimit*math.Sqrt(changeWeight/(2-changeWeight))
}

func (c *changeDetector) recentMean() time.Duration {
	total := 0.0
	for _, seconds := range c.recent {
		total += seconds
	}
	return time.Duration(total / changeRecent * float64(time.Second))
}
