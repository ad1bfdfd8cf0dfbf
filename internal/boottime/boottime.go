// Package boottime reads CLOCK_BOOTTIME, which advances while a host is suspended.
//
// Leases, the age of replicated data and rate windows are measured with it, because
// the monotonic clock of package time stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot-time clock of this host, in nanoseconds. It must
// not be compared with readings of another host.
type Instant int64

// Clock returns the current instant.
type Clock func() Instant

// Now reads CLOCK_BOOTTIME. If the kernel does not provide it, Now returns the
// monotonic time since the start of the process.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Add returns i plus d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }
