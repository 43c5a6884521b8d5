// Package clock reads the clock that goes on while a VM is suspended.
// Bounds on the age of knowledge use it, since the monotonic clock of the
// runtime stands still during a suspension.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// start is the zero of Now; it keeps the values small in logs.
var start = boot()

// source is the clock of Now; tests replace it.
var source atomic.Pointer[func() time.Duration]

// Now returns the time since the process started, suspensions included.
func Now() time.Duration {
	if f := source.Load(); f != nil {
		return (*f)()
	}
	return boot() - start
}

// Replace makes Now read another clock, as the virtual one of a test. The
// function that it returns undoes this.
func Replace(f func() time.Duration) (undo func()) {
	old := source.Swap(&f)
	return func() { source.Store(old) }
}

func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
