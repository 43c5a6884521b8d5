// Package retry bounds repeated work to a share of all work, so that retries
// can't multiply the load of an overload.
package retry

import "sync"

// Config holds the sizes of a Budget.
type Config struct {
	RetriesPerRequest float64 // repeats for each request, such as 0.1
	Burst             float64 // repeats saved up at most
	Initial           float64 // repeats at the start; at most Burst
}

// Budget bounds repeats over all requests of a process: each request adds a
// share of a repeat, each repeat takes one. It has one lock, under which
// nothing else is called.
type Budget struct {
	mu   sync.Mutex
	cfg  Config
	left float64
}

// New returns a budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, left: min(cfg.Initial, cfg.Burst)} }

// AddRequest counts a request that arrived.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.cfg.Burst, b.left+b.cfg.RetriesPerRequest)
}

// tolerance covers the rounding of ten steps of 0.1.
const tolerance = 1e-9

// TryRetry takes one repeat and tells whether there was one.
func (b *Budget) TryRetry() bool { return b.TryRetryReserving(0) }

// TryRetryReserving takes one repeat unless that would leave less than a share of the
// repeats saved up at most, and tells whether it did.
func (b *Budget) TryRetryReserving(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left-share*b.cfg.Burst < 1-tolerance {
		return false
	}
	b.left = max(0, b.left-1)
	return true
}

// Available returns the repeats that are saved up now.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// SetBurst sets the number of repeats saved up at most.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.left = min(b.left, burst)
}
