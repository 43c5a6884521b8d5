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

func every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// start runs body against a started pool on virtual time.
func start(t *testing.T, workers int, body func(p *pool.Pool)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := pool.New(pool.Config{Workers: workers})
		p.Start()
		defer p.Stop()
		body(p)
	})
}

// TestEvery guards against a periodic task that drifts or runs twice at once.
func TestEvery(t *testing.T) {
	start(t, 4, func(p *pool.Pool) {
		var runs, now, most atomic.Int32
		p.Every("count", every(time.Second), func(context.Context) {
			most.Store(max(most.Load(), now.Add(1)))
			runs.Add(1)
			time.Sleep(500 * time.Millisecond)
			now.Add(-1)
		})
		time.Sleep(14900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, runs.Load(), int32(10), "a run of 0.5 s each 1.5 s")
		assert.Equal(t, most.Load(), int32(1))
	})
}

// TestNow guards against a wake-up that is lost while the task runs.
func TestNow(t *testing.T) {
	start(t, 1, func(p *pool.Pool) {
		var runs atomic.Int32
		task := p.Every("count", every(time.Hour), func(context.Context) {
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

// TestWorkers guards against a slow task that holds up the others.
func TestWorkers(t *testing.T) {
	start(t, 2, func(p *pool.Pool) {
		var runs atomic.Int32
		p.At("slow", time.Now(), func(ctx context.Context) { <-ctx.Done() })
		p.Every("quick", every(time.Second), func(context.Context) { runs.Add(1) })
		time.Sleep(10500 * time.Millisecond)
		assert.Equal(t, runs.Load(), int32(11))
	})
}

// TestPanic guards against a task whose panic ends the process or the task.
func TestPanic(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var caught atomic.Int32
		p := pool.New(pool.Config{Workers: 1, OnPanic: func(any) { caught.Add(1) }})
		p.Start()
		defer p.Stop()
		p.Every("fails", every(time.Second), func(context.Context) { panic("failure") })
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, caught.Load(), int32(3))
	})
}
