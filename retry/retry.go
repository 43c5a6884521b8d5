// Package retry limits retries to a share of all requests, so that retries cannot multiply the
// load of an overloaded service.
package retry

import "sync"

// Config holds the parameters of a Budget.
type Config struct {
	RetriesPerRequest float64 // retries earned per request, such as 0.1
	Burst             float64 // largest number of retries that can be saved up
	Initial           float64 // retries available at the start; capped at Burst
}

// Budget is a token bucket of retries that all requests of a process share: each request adds
// RetriesPerRequest, and each retry takes one. It is safe for concurrent use; nothing else
// is called while its lock is held.
type Budget struct {
	mu        sync.Mutex
	cfg       Config
	available float64
}

// New returns a budget that holds cfg.Initial retries.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, available: min(cfg.Initial, cfg.Burst)} }

// AddRequest credits the budget for one request that arrived.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.cfg.Burst, b.available+b.cfg.RetriesPerRequest)
}

// roundingTolerance absorbs rounding errors: ten additions of 0.1 must give one retry.
const roundingTolerance = 1e-9

// TryRetry takes one retry if available and reports whether it did.
func (b *Budget) TryRetry() bool { return b.TryRetryReserving(0) }

// TryRetryReserving takes one retry if at least the fraction reserve of Burst is available after
// it, and reports whether it did.
func (b *Budget) TryRetryReserving(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available-reserve*b.cfg.Burst < 1-roundingTolerance {
		return false
	}
	b.available = max(0, b.available-1)
	return true
}

// Available returns the number of retries that are saved up.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// SetBurst sets the largest number of retries that can be saved up, and drops those beyond it.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.available = min(b.available, burst)
}
