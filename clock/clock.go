// Package clock reads the clock that goes on while a machine is suspended.
// Bounds on the age of knowledge use it, since the monotonic clock of the
// runtime stands still during a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the zero of Now; it keeps the values small in logs.
var start = boot()

// Now returns the time since the process started, suspensions included.
func Now() time.Duration { return boot() - start }

func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
