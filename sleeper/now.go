package sleeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is the wall-clock time of the boot as seen at the start of the process.
var origin = time.Now().Round(0).Add(-sinceBoot())

// Now returns the time by a clock that never jumps and that, unlike the monotonic
// clock of package time, advances while the machine is suspended. Compare the result
// only with other results of Now.
func Now() time.Time { return origin.Add(sinceBoot()) }

// sinceBoot returns the time since boot, suspension included. It panics on an error,
// which does not occur as every Linux kernel has CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
