package stream

import "sync"

// Share and burst of the retry budget: 10 % of requests. The burst covers the
// requests that one failed server has in flight, with a few attempts each.
const (
	defaultShare = 0.1
	defaultBurst = 200
)

// Budget bounds retries over all requests of a process: each request adds a
// share of an attempt, each further attempt takes one.
type Budget struct {
	mu    sync.Mutex
	share float64
	burst float64
	left  float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, left: burst}
}

// Deposit counts a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.burst, b.left+b.share)
}

// Withdraw takes one attempt and tells whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		countBudget.Inc()
		return false
	}
	b.left--
	return true
}
