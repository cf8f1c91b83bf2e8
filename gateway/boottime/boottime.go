// Package boottime reads CLOCK_BOOTTIME, a clock that also advances while the VM
// is suspended. Leases are measured on it because the monotonic clock stops
// during a suspend and the wall clock can be set.
//
// All functions are safe for concurrent use.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time in nanoseconds since the VM booted. Instants read
// on different VMs must not be compared.
type Instant int64

// Clock returns the current time. It is Now except in tests.
type Clock func() Instant

// Now returns the current time of this VM. It panics if the kernel doesn't
// provide CLOCK_BOOTTIME.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel provides the clock. Without it no lease can be
		// measured, so the daemon must not serve requests.
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
