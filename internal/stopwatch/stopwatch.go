// Package stopwatch measures time that also passes while the machine is
// suspended, so that what is bounded by it ends for a process that wakes up.
//
// # Usage
//
//	began := stopwatch.Now()
//	if stopwatch.Now()-began > lifetime { ... }
package stopwatch

import (
	"time"

	"golang.org/x/sys/unix"
)

// start stands in for the clock's own where that can't be read.
var start = time.Now()

// Now returns the time since the machine started, suspensions included. Only
// differences between two readings mean anything.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
