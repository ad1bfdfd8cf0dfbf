package steering

import (
	"math"
	"time"
)

// averageTau is the time constant of the average of free slots. A step must not
// depend on the few requests of one moment.
const averageTau = 5 * time.Second

// average smooths the measures of one failure domain.
type average struct {
	mean map[string]float64
	last time.Time
	read time.Time // of the latest measure taken in
}

// add takes in a measure and returns it with the averages.
func (a *average) add(m Measure, now time.Time) Measure {
	if a.mean == nil || now.Sub(a.last) > measurementMaxAge {
		a.mean = map[string]float64{}
		for service, free := range m.FreeSlots {
			a.mean[service] = float64(free)
		}
	}
	if m.At.After(a.read) {
		weight := 1 - math.Exp(-now.Sub(a.last).Seconds()/averageTau.Seconds())
		for service := range m.Slots {
			a.mean[service] += weight * (float64(m.FreeSlots[service]) - a.mean[service])
		}
		a.read = m.At
	}
	a.last = now
	m.mean = a.mean
	return m
}
