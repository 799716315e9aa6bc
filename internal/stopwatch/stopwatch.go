// Package stopwatch reads a monotonic clock that also advances while the machine
// is suspended, so that a lifetime which ends during a suspension has ended when
// the process resumes.
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

// processStart is the origin of the clock if CLOCK_BOOTTIME can't be read.
var processStart = time.Now()

// Now returns the time since the machine booted, including suspensions. If
// CLOCK_BOOTTIME can't be read, it returns the time since the process started,
// without suspensions. Only differences between readings are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
