package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// Limit on the growth of the fraction of requests that leave the region.
const (
	shiftWindow = 2 * time.Second
	shiftStep   = 250 * time.Millisecond
	shiftSteps  = int(2 * shiftWindow / shiftStep)
	// shiftMinRequests is the number of requests in a window below which the fraction is
	// not meaningful.
	shiftMinRequests = 8
)

// shiftLimiter counts the requests that leave the region, in time steps that cover
// the last two windows.
type shiftLimiter struct {
	maxGrowth     float64             // allowed growth of the fraction from one window to the next
	total, remote [shiftSteps + 1]int // ring buffers by step
	currentStep   int64               // time divided by shiftStep
}

// advance clears the steps that have begun since the last call.
func (s *shiftLimiter) advance(now boottime.Instant) {
	index := int64(now) / int64(shiftStep)
	for ; s.currentStep < index; s.currentStep++ {
		if index-s.currentStep > int64(len(s.total)) {
			s.currentStep = index - int64(len(s.total))
		}
		slot := (s.currentStep + 1) % int64(len(s.total))
		s.total[slot], s.remote[slot] = 0, 0
	}
}

// count adds a placed request.
func (s *shiftLimiter) count(remote bool, now boottime.Instant) {
	s.advance(now)
	slot := s.currentStep % int64(len(s.total))
	s.total[slot]++
	if remote {
		s.remote[slot]++
	}
}

// sums returns the counts of the steps that are at least from and less than to
// steps old.
func (s *shiftLimiter) sums(from, to int) (total, remote int) {
	n := int64(len(s.total))
	for i := from; i < to; i++ {
		slot := ((s.currentStep-int64(i))%n + n) % n
		total += s.total[slot]
		remote += s.remote[slot]
	}
	return total, remote
}

// allows reports whether one more request may leave the region.
func (s *shiftLimiter) allows(now boottime.Instant) bool {
	s.advance(now)
	half := shiftSteps / 2
	total, remote := s.sums(0, half)
	previousTotal, previousRemote := s.sums(half, 2*half)
	if total < shiftMinRequests {
		return remote == 0 || remote <= previousRemote
	}
	fraction := float64(remote+1) / float64(total+1)
	if previousTotal == 0 {
		return fraction <= s.maxGrowth
	}
	return fraction <= float64(previousRemote)/float64(previousTotal)+s.maxGrowth
}
