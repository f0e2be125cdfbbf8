// Package lrclock reads a clock that is not affected by changes of the wall clock and that also advances while the machine is suspended.
package lrclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted, encoded as a time.Time. It can be compared only with other results of BootTime.
// If the clock cannot be read, it returns the wall-clock time.
func BootTime() time.Time {
	var spec unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	if err != nil {
		return time.Now()
	}
	return time.Unix(spec.Unix())
}
