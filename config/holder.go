package config

import (
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Tracker keeps the newest configuration of a process and the time up to which
// it is known to be the newest.
type Tracker struct {
	current atomic.Pointer[Config]
	fresh   atomic.Int64 // clock.Now of the last confirmation
}

// Current returns the configuration in effect, or nil before the first one.
func (h *Tracker) Current() *Config { return h.current.Load() }

// Apply puts a configuration into effect unless a newer or equal one is. It is
// called by one goroutine.
func (h *Tracker) Apply(c *Config) bool {
	if old := h.current.Load(); old != nil && c.version <= old.version {
		return false
	}
	h.current.Store(c)
	return true
}

// Confirm records that the configuration was the newest at a time of package
// clock.
func (h *Tracker) Confirm(at time.Duration) {
	if int64(at) > h.fresh.Load() {
		h.fresh.Store(int64(at))
	}
}

// Age returns how long ago the configuration was known to be the newest.
func (h *Tracker) Age() time.Duration { return clock.Now() - time.Duration(h.fresh.Load()) }
