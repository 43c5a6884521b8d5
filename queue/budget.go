package queue

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget bounds retries to a part of the requests, so that retries can't
// multiply the load of an overload. It has one lock.
type Budget struct {
	mu     sync.Mutex
	part   float64
	most   float64
	tokens float64
}

// NewBudget returns a budget of the given part of requests, such as 0.1, that
// saves up to burst retries for quiet times. It starts with one retry.
func NewBudget(part float64, burst int) *Budget {
	return &Budget{part: part, most: float64(burst), tokens: min(1, float64(burst))}
}

// Request counts a request that arrived.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+b.part)
}

// Retry takes one retry and tells whether it was there.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance covers the rounding of ten steps of 0.1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Jitter lengthens d by up to a quarter, so that callers that were rejected
// together do not come back together.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(r.Float64()*0.25*float64(d))
}
