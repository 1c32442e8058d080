// Package boottime reads the boot-time clock. Unlike Go's monotonic clock, it advances
// while the VM is suspended, so leases are measured with it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
