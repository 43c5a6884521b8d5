package pool_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/pool"
)

// fixedInterval returns an interval function with a constant result.
func fixedInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// withPool calls body with a started pool in virtual time.
func withPool(t *testing.T, workers int, body func(p *pool.Pool)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := pool.New(pool.Config{Workers: workers})
		p.Start()
		defer p.Stop()
		body(p)
	})
}

// TestPeriodicTaskDoesNotOverlap guards against a periodic task that runs at wrong
// times or concurrently with itself.
func TestPeriodicTaskDoesNotOverlap(t *testing.T) {
	withPool(t, 4, func(p *pool.Pool) {
		var runs, active, maxActive atomic.Int32
		p.Every("count", fixedInterval(time.Second), func(context.Context) {
			maxActive.Store(max(maxActive.Load(), active.Add(1)))
			runs.Add(1)
			time.Sleep(500 * time.Millisecond)
			active.Add(-1)
		})
		time.Sleep(14900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, runs.Load(), int32(10), "a run of 0.5 s each 1.5 s")
		assert.Equal(t, maxActive.Load(), int32(1))
	})
}

// TestRunNowDuringRun guards against a call of RunNow that is lost because the task
// is running.
func TestRunNowDuringRun(t *testing.T) {
	withPool(t, 1, func(p *pool.Pool) {
		var runs atomic.Int32
		task := p.Every("count", fixedInterval(time.Hour), func(context.Context) {
			runs.Add(1)
			time.Sleep(time.Second)
		})
		time.Sleep(500 * time.Millisecond)
		p.RunNow(task)
		time.Sleep(3 * time.Second)
		assert.Equal(t, runs.Load(), int32(2))
		p.RunNow(task)
		time.Sleep(3 * time.Second)
		assert.Equal(t, runs.Load(), int32(3))
		p.Remove(task)
		p.RunNow(task)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, runs.Load(), int32(3), "a removed task ran")
	})
}

// TestSlowTaskDoesNotBlockOthers guards against a slow task that delays the others.
func TestSlowTaskDoesNotBlockOthers(t *testing.T) {
	withPool(t, 2, func(p *pool.Pool) {
		var runs atomic.Int32
		p.At("slow", time.Now(), func(ctx context.Context) { <-ctx.Done() })
		p.Every("quick", fixedInterval(time.Second), func(context.Context) { runs.Add(1) })
		time.Sleep(10500 * time.Millisecond)
		assert.Equal(t, runs.Load(), int32(11))
	})
}

// TestPanicKeepsTask guards against a panic of a task that ends the process or keeps
// the task from running again.
func TestPanicKeepsTask(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var caught atomic.Int32
		p := pool.New(pool.Config{Workers: 1, OnPanic: func(any) { caught.Add(1) }})
		p.Start()
		defer p.Stop()
		p.Every("fails", fixedInterval(time.Second), func(context.Context) { panic("failure") })
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, caught.Load(), int32(3))
	})
}
