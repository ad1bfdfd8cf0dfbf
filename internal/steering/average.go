package steering

import (
	"math"
	"time"
)

// averageTimeConstant is the time constant of the moving average of free slots.
// Averaging keeps a step from depending on a momentary value.
const averageTimeConstant = 5 * time.Second

// movingAverage smooths the measurements of one failure domain.
type movingAverage struct {
	mean       map[string]float64
	updatedAt  time.Time
	measuredAt time.Time // time of the latest measurement included
}

// add includes a measurement and returns it with the averages set. It starts over
// if the previous call was longer than measurementMaxAge ago.
func (a *movingAverage) add(m Measurement, now time.Time) Measurement {
	if a.mean == nil || now.Sub(a.updatedAt) > measurementMaxAge {
		a.mean = map[string]float64{}
		for service, free := range m.FreeSlots {
			a.mean[service] = float64(free)
		}
	}
	if m.At.After(a.measuredAt) {
		weight := 1 - math.Exp(-now.Sub(a.updatedAt).Seconds()/averageTimeConstant.Seconds())
		for service := range m.Slots {
			a.mean[service] += weight * (float64(m.FreeSlots[service]) - a.mean[service])
		}
		a.measuredAt = m.At
	}
	a.updatedAt = now
	m.averageFree = a.mean
	return m
}
