package sleeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin ties the clock of Now to the time of day at the start of the process.
var origin = time.Now().Round(0).Add(-sinceBoot())

// Now returns a time that goes on while the machine is suspended, which the
// monotonic clock of package time does not, and that never jumps. Compare it only
// with other times that Now returned.
func Now() time.Time { return origin.Add(sinceBoot()) }

// sinceBoot reads a clock that every Linux has, so that it can't fail.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
