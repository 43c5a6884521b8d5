package config

import (
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Tracker keeps the newest configuration of a process, and the last time at which it was
// known to be the newest one of the platform.
type Tracker struct {
	current     atomic.Pointer[Config]
	confirmedAt atomic.Int64 // clock.Now of the last confirmation; 0 for none
}

// Current returns the configuration in effect, or nil before the first one.
func (t *Tracker) Current() *Config { return t.current.Load() }

// Latest returns the configuration in effect, or nil before the first one, and how long ago it was last known to
// be the newest one. Current and Age, called one after the other, may speak of two configurations.
func (t *Tracker) Latest() (c *Config, age time.Duration) {
	// Each configuration is put into effect before it is confirmed.
	age = t.Age()
	return t.current.Load(), age
}

// Apply puts a configuration into effect unless the one in effect has the same version or
// a newer one. It reports whether it did so. It must not be called concurrently.
func (t *Tracker) Apply(c *Config) bool {
	if old := t.current.Load(); old != nil && c.version <= old.version {
		return false
	}
	t.current.Store(c)
	return true
}

// Confirm records that the configuration was the newest one at a time of package clock.
// It must not be called concurrently.
func (t *Tracker) Confirm(at time.Duration) {
	if int64(at) > t.confirmedAt.Load() {
		t.confirmedAt.Store(int64(at))
	}
}

// Age returns how long ago the configuration was last known to be the newest one. Without a confirmation
// it is a day or more.
func (t *Tracker) Age() time.Duration { return clock.Now() - time.Duration(t.confirmedAt.Load()) }
