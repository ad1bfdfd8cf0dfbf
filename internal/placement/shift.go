package placement

import (
	"time"

	"peridotrail/internal/boottime"
)

// Bound on how fast the share of requests that leave the region may grow.
const (
	shiftWindow = 2 * time.Second
	shiftStep   = 250 * time.Millisecond
	shiftSteps  = int(2 * shiftWindow / shiftStep)
	// shiftFree is the number of requests in a window below which shares say little.
	shiftFree = 8
)

// shiftBound counts what leaves the region, in steps of the last two windows.
type shiftBound struct {
	most         float64 // growth of the share from one window to the next
	total, moved [shiftSteps + 1]int
	at           int64
}

func (s *shiftBound) advance(now boottime.Instant) {
	index := int64(now) / int64(shiftStep)
	for ; s.at < index; s.at++ {
		if index-s.at > int64(len(s.total)) {
			s.at = index - int64(len(s.total))
		}
		slot := (s.at + 1) % int64(len(s.total))
		s.total[slot], s.moved[slot] = 0, 0
	}
}

func (s *shiftBound) count(moved bool, now boottime.Instant) {
	s.advance(now)
	slot := s.at % int64(len(s.total))
	s.total[slot]++
	if moved {
		s.moved[slot]++
	}
}

// sums returns the counts of the steps from newest-from back to newest-to.
func (s *shiftBound) sums(from, to int) (total, moved int) {
	n := int64(len(s.total))
	for i := from; i < to; i++ {
		slot := ((s.at-int64(i))%n + n) % n
		total += s.total[slot]
		moved += s.moved[slot]
	}
	return total, moved
}

// allows reports whether one more request may leave the region.
func (s *shiftBound) allows(now boottime.Instant) bool {
	s.advance(now)
	half := shiftSteps / 2
	total, moved := s.sums(0, half)
	before, movedBefore := s.sums(half, 2*half)
	if total < shiftFree {
		return moved == 0 || moved <= movedBefore
	}
	share := float64(moved+1) / float64(total+1)
	if before == 0 {
		return share <= s.most
	}
	return share <= float64(movedBefore)/float64(before)+s.most
}
