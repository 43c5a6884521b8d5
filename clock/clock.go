// Package clock reads CLOCK_BOOTTIME, which continues to run while the VM is
// suspended. The monotonic clock of the Go runtime stops during a suspension, so
// code that bounds the age of received data uses this package.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// start is when the process started. Counting from there keeps the values in logs small.
var start = sinceBoot()

// origin is Now at the start of the process. What a process learns from others may be older than the
// process: its times are positive as well, and the zero time is longer ago than any age that matters.
const origin = 24 * time.Hour

// override is the clock that Now reads instead of CLOCK_BOOTTIME, set by tests.
var override atomic.Pointer[func() time.Duration]

// Now returns the time since a day before the process started, including suspensions.
func Now() time.Duration {
	if f := override.Load(); f != nil {
		return (*f)()
	}
	return sinceBoot() - start + origin
}

// recordOrigin keeps the times of records of other processes positive that are older than this process.
const recordOrigin = 24 * time.Hour

// RecordTime returns Now on the scale of records that processes tell each other: events of up to a day
// before the start of this process have positive times.
func RecordTime() time.Duration { return Now() + recordOrigin }

// Replace makes Now read another clock, for example the virtual clock of a test,
// until undo is called.
func Replace(f func() time.Duration) (undo func()) {
	old := override.Swap(&f)
	return func() { override.Store(old) }
}

// sinceBoot returns the time since the VM booted, including suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since version 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
