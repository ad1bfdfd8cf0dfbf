package placement

import (
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/quota"
)

// sendCount counts the requests that this host sends to one upstream ID within one
// second. It outlives the state of the upstream, whose entry may vanish and return
// while its process continues.
type sendCount struct {
	sent   *quota.Window
	unsent int // requests placed while limited that may not have been sent yet
}

func newSendCount() *sendCount { return &sendCount{sent: quota.NewWindow(time.Second)} }

// recordPlacement counts a placed request. If requests to the upstream are limited, it
// counts from its placement until one second after it was sent.
func (c *sendCount) recordPlacement(limited bool, now boottime.Instant) {
	if limited {
		c.unsent++
	} else {
		c.sent.Add(1, now)
	}
}

// recordSend counts a request that was placed while limited as sent now.
func (c *sendCount) recordSend(now boottime.Instant) {
	c.unsent--
	c.sent.Add(1, now)
}

// recent returns the requests that this host has sent within the last second or may be
// about to send.
func (c *sendCount) recent(now boottime.Instant) int { return c.unsent + c.sent.Count(now) }
