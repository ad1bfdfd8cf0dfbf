package steering

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/invariant"
)

// Settings of the steps of a shift.
const (
	propagationTime   = 5 * time.Second // until every host applies a document
	coldShare         = 0.5             // of the target's free slots that one step may use
	measurementMaxAge = 15 * time.Second
	shareTolerance    = 1e-9 // rounding of sums of shares
)

// Reasons why a shift waits, for operators.
const (
	WaitingForInterval    = "the last step is too recent"
	WaitingForMeasurement = "measurements do not yet cover the last step"
	WaitingForCapacity    = "the target has too little free capacity"
	WaitingForRange       = "another shift from the same failure domain still holds the callers"
	RollingBack           = "the target has no live host; callers move back"
)

// Measure is what is known about a failure domain.
type Measure struct {
	LiveHosts int
	FreeSlots map[string]int // by service
	Slots     map[string]int // configured, by service
	At        time.Time      // age of the oldest part, on this host's clock

	mean map[string]float64 // free slots by service, averaged; FreeSlots counts if nil
}

// free returns the free slots of a service.
func (m *Measure) free(service string) float64 {
	if m.mean != nil {
		return m.mean[service]
	}
	return float64(m.FreeSlots[service])
}

// used returns the slots in use of a service.
func (m *Measure) used(service string) float64 {
	return math.Max(0, float64(m.Slots[service])-m.free(service))
}

// Observed is a progress document with the time from which this host has known
// its current step. A leader that takes over has known no step for long.
type Observed struct {
	Progress
	Since time.Time
	// History holds the steps that this host has seen.
	History []StepSeen
}

// StepSeen is one change of the share moved, as this host observed it.
type StepSeen struct {
	At     time.Time
	Change float64
}

// Planner decides the steps of the shifts out of one failure domain. It has no
// state; the time and all observations are arguments.
type Planner struct {
	MaxAge time.Duration // for which callers cache answers
}

// Plan returns the next progress of the shift, and whether it differs from the
// present one. wanted is the configured shift, or nil if it is configured no more.
// others are the other shifts from the same failure domain.
func (p Planner) Plan(o Observed, wanted *configuration.Shift, others []Progress, from, to Measure, now time.Time) (Progress, bool) {
	next := o.Progress
	next.Goal = 0
	if wanted != nil {
		next.Goal = wanted.Share
		next.Cap = wanted.Cap
		next.Interval = wanted.Interval
	}
	if o.Moved == 0 && wanted != nil {
		next.From, next.To = wanted.From, wanted.To
	}
	if wanted != nil && (wanted.From != next.From || wanted.To != next.To) {
		next.Goal = 0 // the shift was redefined: move back first
	}
	next.Waiting = ""
	change := p.change(&next, o, others, from, to, now)
	if change != 0 {
		next.Moved = clampShare(next.Moved + change)
		next.Step++
		checkCap(o, next.Moved-o.Moved, next.Cap, next.Interval.Std(), now)
	}
	return next, next != o.Progress
}

// change returns how much of the callers to move now, and sets next.Waiting.
func (p Planner) change(next *Progress, o Observed, others []Progress, from, to Measure, now time.Time) float64 {
	target := next.Goal
	if to.LiveHosts == 0 && now.Sub(to.At) <= measurementMaxAge {
		next.Waiting = RollingBack
		target = 0
	}
	missing := target - next.Moved
	if math.Abs(missing) <= shareTolerance {
		return 0
	}
	if now.Sub(o.Since) < p.spacing(o, next) && !(o.Step == 0 && len(o.History) == 0 && o.Moved == 0) {
		next.Waiting = cmp.Or(next.Waiting, WaitingForInterval)
		return 0
	}
	stepCap := math.Min(next.Cap, capOf(o, next.Cap))
	if missing < 0 {
		return math.Max(missing, -stepCap)
	}
	change := math.Min(missing, stepCap)
	if !claim(next, next.Moved+change, others) {
		next.Waiting = WaitingForRange
		return 0
	}
	covered := o.Since.Add(p.MaxAge + propagationTime)
	if o.Step > 0 && (to.At.Before(covered) || from.At.Before(covered)) || now.Sub(to.At) > measurementMaxAge {
		next.Waiting = WaitingForMeasurement
		return 0
	}
	if !fits(change, next.Moved, from, to) {
		next.Waiting = WaitingForCapacity
		return 0
	}
	return change
}

// capOf returns the smaller of the present cap and that of the last step, so that
// a raised cap does not join two intervals.
func capOf(o Observed, wanted float64) float64 {
	if o.Cap > 0 && o.Step > 0 {
		return math.Min(o.Cap, wanted)
	}
	return wanted
}

// spacing returns the least time between two steps. Callers follow a step until
// their answers have expired, so the interval begins only then.
func (p Planner) spacing(o Observed, next *Progress) time.Duration {
	interval := max(o.Interval.Std(), next.Interval.Std())
	return interval + p.MaxAge + propagationTime
}

// claim finds the range of callers for a shift that has moved none yet, and
// checks that the range up to moved is free.
func claim(next *Progress, moved float64, others []Progress) bool {
	if next.Moved == 0 {
		length := max(moved, next.Goal)
		next.Base = freeBase(length, others)
		if next.Base+length > 1+shareTolerance {
			return false
		}
	}
	if next.Base+moved > 1+shareTolerance {
		return false
	}
	return !slices.ContainsFunc(others, func(other Progress) bool {
		end := other.Base + max(other.Moved, other.Goal)
		return other.From == next.From && other.Base < next.Base+moved-shareTolerance && next.Base < end-shareTolerance
	})
}

// freeBase returns the beginning of the first range of the given length that no
// other shift holds; above 1-length if there is none.
func freeBase(length float64, others []Progress) float64 {
	held := slices.Clone(others)
	slices.SortFunc(held, func(a, b Progress) int { return cmp.Compare(a.Base, b.Base) })
	base := 0.0
	for _, other := range held {
		if other.Base-base >= length-shareTolerance {
			return base
		}
		base = max(base, other.Base+max(other.Moved, other.Goal))
	}
	return base
}

// fits reports whether the target can take the callers of one step with its
// caches cold.
func fits(change, moved float64, from, to Measure) bool {
	remaining := max(1-moved, change)
	for service := range from.Slots {
		need := change / remaining * from.used(service)
		if need > coldShare*to.free(service) {
			return false
		}
	}
	return true
}

func clampShare(share float64) float64 {
	if share < shareTolerance {
		return 0
	}
	return math.Min(1, share)
}

// checkCap verifies a step against the history of steps alone.
func checkCap(o Observed, change, limit float64, interval time.Duration, now time.Time) {
	total := math.Abs(change)
	for _, step := range o.History {
		if now.Sub(step.At) < interval {
			total += math.Abs(step.Change)
		}
	}
	invariant.Check(total <= limit+shareTolerance, invariant.ShiftUnderCap,
		"shift %s moves %s of the callers in %s, cap %s", o.Name, fmt.Sprint(total), interval, fmt.Sprint(limit))
}
