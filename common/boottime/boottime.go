package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, as a time without a monotonic reading; unlike the monotonic clock of
// package time it counts suspended time, and unlike the time of day it never jumps.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("the boot-time clock can't be read: " + err.Error())
	}
	return time.Unix(spec.Unix())
}
