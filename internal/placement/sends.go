package placement

import (
	"slices"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/quota"
)

// sendCount counts the requests that this host sends to one upstream ID within the
// times over which limits are counted. It outlives the state of the upstream, whose
// entry may vanish and return while its process continues.
type sendCount struct {
	sent   [len(sendWindows)]*quota.Window
	unsent int // requests placed while limited that may not have been sent yet
}

// coldWindow is the time over which the requests to a cold upstream are counted.
const coldWindow = time.Second

// sendWindows are the times over which requests are counted, shortest first.
var sendWindows = [...]time.Duration{coldWindow, shortLimitWindow, longLimitWindow}

func newSendCount() *sendCount {
	c := &sendCount{}
	for i, span := range sendWindows {
		c.sent[i] = quota.NewWindow(span)
	}
	return c
}

func (c *sendCount) add(now boottime.Instant) {
	for _, window := range c.sent {
		window.Add(1, now)
	}
}

// recordPlacement counts a placed request. If requests to the upstream are limited, it
// counts from its placement until the span of a window after it was sent.
func (c *sendCount) recordPlacement(limited bool, now boottime.Instant) {
	if limited {
		c.unsent++
	} else {
		c.add(now)
	}
}

// recordSend counts a request that was placed while limited as sent now.
func (c *sendCount) recordSend(now boottime.Instant) {
	c.unsent--
	c.add(now)
}

// recent returns the requests that this host has sent within span, which is one of
// sendWindows, or may be about to send.
func (c *sendCount) recent(span time.Duration, now boottime.Instant) int {
	return c.unsent + c.sent[slices.Index(sendWindows[:], span)].Count(now)
}

// untilBelow returns the time until recent will be less than n, if no more requests are
// sent.
func (c *sendCount) untilBelow(span time.Duration, n int, now boottime.Instant) time.Duration {
	return c.sent[slices.Index(sendWindows[:], span)].UntilBelow(n-c.unsent, now)
}

// idle reports whether no window contains a request.
func (c *sendCount) idle(now boottime.Instant) bool {
	return c.recent(sendWindows[len(sendWindows)-1], now) == 0
}
