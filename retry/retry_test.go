package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/retry"
)

// TestBudget guards against retry storms: retries stay within their share of requests, and
// retries saved up in quiet times stay within the burst.
func TestBudget(t *testing.T) {
	t.Run("share", func(t *testing.T) {
		b := retry.New(retry.Config{RetriesPerRequest: 0.1, Burst: 10, Initial: 1})
		retries := 0
		for range 1000 {
			b.AddRequest()
			if b.TryRetry() {
				retries++
			}
		}
		assert.Assert(t, retries >= 99 && retries <= 101, "%d retries for 1000 requests", retries)
	})
	t.Run("burst", func(t *testing.T) {
		b := retry.New(retry.Config{RetriesPerRequest: 0.1, Burst: 3, Initial: 3})
		for range 100 {
			b.AddRequest()
		}
		for range 3 {
			assert.Assert(t, b.TryRetry())
		}
		assert.Assert(t, !b.TryRetry())
		for range 10 {
			b.AddRequest()
		}
		assert.Assert(t, b.TryRetry())
		assert.Assert(t, !b.TryRetry())
	})
}

// Guards against planned work that uses up the retries reserved for failures.
func TestReserve(t *testing.T) {
	b := retry.New(retry.Config{RetriesPerRequest: 0.1, Burst: 10, Initial: 10})
	retries := 0
	for b.TryRetryReserving(0.4) {
		retries++
	}
	assert.Equal(t, retries, 6)
	assert.Assert(t, b.TryRetry())
}
