// Package boottime reads the clock that goes on while a host is suspended.
//
// Leases, proofs of freshness and windows of rates are measured with it: the
// monotonic clock of package time stands still during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the boot-time clock of this host, in nanoseconds. It has
// no meaning on another host.
type Instant int64

// Clock returns the current instant.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME, or the monotonic clock of the process if the kernel
// does not offer it.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i lies before other.
func (i Instant) Before(other Instant) bool { return i < other }
