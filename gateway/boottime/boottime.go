// Package boottime reads a clock that also runs while the VM is suspended.
// Leases are measured on it: the monotonic clock stops during a suspend, and
// the time of day may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, in nanoseconds since the VM started.
// Instants of different VMs can't be compared.
type Instant int64

// Clock reads the time.
type Clock func() Instant

// Now reads the clock of this VM.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no lease can
		// be measured, so nothing may be served.
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Sub returns i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
