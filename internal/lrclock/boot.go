// Package lrclock reads a clock that neither jumps with the time of day nor stands still while the machine is suspended.
package lrclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, as a time that is comparable with others of this function alone.
// It falls back to the time of day where the clock cannot be read.
func Boot() time.Time {
	var spec unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	if err != nil {
		return time.Now()
	}
	return time.Unix(spec.Unix())
}
