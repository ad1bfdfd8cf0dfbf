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

// Parameters of the steps of a shift.
const (
	propagationTime      = 5 * time.Second // time until every host has applied a document
	maxFreeSlotsFraction = 0.5             // largest fraction of the target's free slots that one step may use
	measurementMaxAge    = 15 * time.Second
	shareTolerance       = 1e-9 // rounding error of sums of shares
)

// Values of Progress.Waiting.
const (
	WaitingForInterval    = "the last step is too recent"
	WaitingForMeasurement = "measurements do not yet cover the last step"
	WaitingForCapacity    = "the target has too little free capacity"
	WaitingForRange       = "another shift from the same failure domain still holds the callers"
	RollingBack           = "the target has no live host; callers move back"
)

// Measurement describes the hosts and slots of a failure domain.
type Measurement struct {
	LiveHosts int
	FreeSlots map[string]int // by service
	Slots     map[string]int // configured, by service
	At        time.Time      // time of the oldest value included, on this host's clock

	averageFree map[string]float64 // moving average of FreeSlots; nil: use FreeSlots
}

// freeSlots returns the number of free slots of a service, averaged if possible.
func (m *Measurement) freeSlots(service string) float64 {
	if m.averageFree != nil {
		return m.averageFree[service]
	}
	return float64(m.FreeSlots[service])
}

// usedSlots returns the number of slots of a service that are in use.
func (m *Measurement) usedSlots(service string) float64 {
	return math.Max(0, float64(m.Slots[service])-m.freeSlots(service))
}

// ObservedShift is a progress document with the time at which this host first saw
// its current step. For a new leader that is the time of its first reading, which
// may be much later than the step.
type ObservedShift struct {
	Progress
	StepSince time.Time
	// History holds the latest steps that this host has seen, oldest first.
	History []ObservedStep
}

// ObservedStep is one change of the moved share, with the time this host saw it.
type ObservedStep struct {
	At     time.Time
	Change float64
}

// Planner decides the steps of the shifts out of one failure domain. It keeps no
// state: the time and all observations are arguments.
type Planner struct {
	MaxAge time.Duration // time for which callers cache responses
}

// Plan returns the next progress of the shift, and whether it differs from the
// current one. configured is nil if the shift is no longer configured. others are
// the other shifts from the same failure domain.
func (p Planner) Plan(o ObservedShift, configured *configuration.Shift, others []Progress, source, target Measurement, now time.Time) (Progress, bool) {
	next := o.Progress
	next.Goal = 0
	if configured != nil {
		next.Goal = configured.Share
		next.Cap = configured.Cap
		next.Interval = configured.Interval
	}
	if o.Moved == 0 && configured != nil {
		next.From, next.To = configured.From, configured.To
	}
	if configured != nil && (configured.From != next.From || configured.To != next.To) {
		next.Goal = 0 // the shift was redefined: move back first
	}
	next.Waiting = ""
	change := p.stepChange(&next, o, others, source, target, now)
	if change != 0 {
		next.Moved = clampShare(next.Moved + change)
		next.Step++
		checkCap(o, next.Moved-o.Moved, next.Cap, next.Interval.Std(), now)
	}
	return next, next != o.Progress
}

// stepChange returns the share of the callers to move now, negative to move callers
// back. It sets next.Waiting if the shift has to wait or is rolled back.
func (p Planner) stepChange(next *Progress, o ObservedShift, others []Progress, source, target Measurement, now time.Time) float64 {
	goal := next.Goal
	if target.LiveHosts == 0 && now.Sub(target.At) <= measurementMaxAge {
		next.Waiting = RollingBack
		goal = 0
	}
	missing := goal - next.Moved
	if math.Abs(missing) <= shareTolerance {
		return 0
	}
	if now.Sub(o.StepSince) < p.minStepSpacing(o, next) && !(o.Step == 0 && len(o.History) == 0 && o.Moved == 0) {
		next.Waiting = cmp.Or(next.Waiting, WaitingForInterval)
		return 0
	}
	stepCap := math.Min(next.Cap, effectiveCap(o, next.Cap))
	if missing < 0 {
		return math.Max(missing, -stepCap)
	}
	change := math.Min(missing, stepCap)
	if !reserveRange(next, next.Moved+change, others) {
		next.Waiting = WaitingForRange
		return 0
	}
	stepInEffect := o.StepSince.Add(p.MaxAge + propagationTime)
	if o.Step > 0 && (target.At.Before(stepInEffect) || source.At.Before(stepInEffect)) || now.Sub(target.At) > measurementMaxAge {
		next.Waiting = WaitingForMeasurement
		return 0
	}
	if !targetHasCapacity(change, next.Moved, source, target) {
		next.Waiting = WaitingForCapacity
		return 0
	}
	return change
}

// effectiveCap returns the smaller of the configured cap and that of the observed
// document, so that raising the cap does not allow a larger step within the interval
// of the previous one.
func effectiveCap(o ObservedShift, configuredCap float64) float64 {
	if o.Cap > 0 && o.Step > 0 {
		return math.Min(o.Cap, configuredCap)
	}
	return configuredCap
}

// minStepSpacing returns the least time between two steps. Callers with a cached
// response act on a step only after it has expired, so the interval begins then.
func (p Planner) minStepSpacing(o ObservedShift, next *Progress) time.Duration {
	interval := max(o.Interval.Std(), next.Interval.Std())
	return interval + p.MaxAge + propagationTime
}

// reserveRange chooses the range of callers for a shift that has moved none yet. It
// reports whether the range up to moved is free.
func reserveRange(next *Progress, moved float64, others []Progress) bool {
	if next.Moved == 0 {
		length := max(moved, next.Goal)
		next.Base = firstFreeBase(length, others)
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

// firstFreeBase returns the beginning of the first range of the given length that
// no other shift holds. The result is above 1-length if there is none.
func firstFreeBase(length float64, others []Progress) float64 {
	sorted := slices.Clone(others)
	slices.SortFunc(sorted, func(a, b Progress) int { return cmp.Compare(a.Base, b.Base) })
	base := 0.0
	for _, other := range sorted {
		if other.Base-base >= length-shareTolerance {
			return base
		}
		base = max(base, other.Base+max(other.Moved, other.Goal))
	}
	return base
}

// targetHasCapacity reports whether the target has enough free slots for the
// callers of one step while its caches are cold.
func targetHasCapacity(change, moved float64, source, target Measurement) bool {
	remaining := max(1-moved, change)
	for service := range source.Slots {
		neededSlots := change / remaining * source.usedSlots(service)
		if neededSlots > maxFreeSlotsFraction*target.freeSlots(service) {
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

// checkCap checks the invariant that a step together with the observed steps of the
// last interval stays within the cap. It uses only the history, so that it does not
// depend on the rules by which the step was planned.
func checkCap(o ObservedShift, change, limit float64, interval time.Duration, now time.Time) {
	total := math.Abs(change)
	for _, step := range o.History {
		if now.Sub(step.At) < interval {
			total += math.Abs(step.Change)
		}
	}
	invariant.Check(total <= limit+shareTolerance, invariant.ShiftUnderCap,
		"shift %s moves %s of the callers in %s, cap %s", o.Name, fmt.Sprint(total), interval, fmt.Sprint(limit))
}
