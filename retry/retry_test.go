package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/retry"
)

// TestBudget guards against a retry storm: repeats stay within their share of
// requests, and what is saved up in quiet times within the burst.
func TestBudget(t *testing.T) {
	t.Run("share", func(t *testing.T) {
		b := retry.New(retry.Config{RetriesPerRequest: 0.1, Burst: 10, Initial: 1})
		n := 0
		for range 1000 {
			b.AddRequest()
			if b.TryRetry() {
				n++
			}
		}
		assert.Assert(t, n >= 99 && n <= 101, "%d repeats of 1000 requests", n)
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

// Guards against planned work that uses up what is saved for failures.
func TestRepeatBeyond(t *testing.T) {
	b := retry.New(retry.Config{RetriesPerRequest: 0.1, Burst: 10, Initial: 10})
	n := 0
	for b.TryRetryReserving(0.4) {
		n++
	}
	assert.Equal(t, n, 6)
	assert.Assert(t, b.TryRetry())
}
