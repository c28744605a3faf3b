package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, as an offset from the Unix epoch and without a monotonic reading. Unlike the monotonic clock of package
// time it includes suspended time, and unlike the wall clock it never jumps.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("read the boot-time clock: " + err.Error())
	}
	return time.Unix(spec.Unix())
}
