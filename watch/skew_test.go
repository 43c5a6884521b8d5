package watch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// clockedTable is a table of a platform with a clock of its own.
type clockedTable struct {
	follower    *watch.Follower
	base        time.Time
	polls       atomic.Int64
	confirmedAt atomic.Int64
}

// clockedConfig describes a clockedTable.
type clockedConfig struct {
	poller        bool
	before, after time.Duration // of the first call: until the platform answers, and until the answer arrives
	drift         time.Duration // that the platform's clock gains in a second
}

func (d *clockedTable) age() time.Duration { return clock.Now() - time.Duration(d.confirmedAt.Load()) }

// withClockedTable runs a test with a follower that has received its first answer. clockOf returns the
// reading of the platform's clock.
func withClockedTable(t *testing.T, cfg clockedConfig, f func(t *testing.T, d *clockedTable, clockOf func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &clockedTable{base: time.Now()}
		defer clock.Replace(func() time.Duration { return time.Since(d.base) + time.Hour })()
		clockOf := func() time.Duration {
			elapsed := time.Since(d.base)
			return platformAhead + elapsed + time.Duration(elapsed.Seconds()*float64(cfg.drift))
		}
		d.follower = watch.New(watch.Config{
			Name: "op", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(),
			PolledByPeers: func() bool { return !cfg.poller },
			Read: func(context.Context) (watch.Page, error) {
				time.Sleep(cfg.before)
				p := watch.Page{Whole: true, Rows: []watch.Row{{Key: "k", Revision: 5}}, Revision: 5, Clock: clockOf()}
				time.Sleep(cfg.after)
				return p, nil
			},
			Poll: func(_ context.Context, after uint64, wait time.Duration) (watch.Page, error) {
				d.polls.Add(1)
				time.Sleep(wait + 10*time.Millisecond)
				return watch.Page{Revision: after, Clock: clockOf()}, nil
			},
			Apply:   func(watch.Page, time.Duration) {},
			Confirm: func(at time.Duration) { d.confirmedAt.Store(max(d.confirmedAt.Load(), int64(at))) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { d.follower.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(cfg.before + cfg.after + time.Millisecond)
		synctest.Wait()
		f(t, d, clockOf)
	})
}

// checkAges checks the age at each moment of a time.
func checkAges(t *testing.T, d *clockedTable, during, most time.Duration) {
	t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(70 * time.Millisecond) {
		assert.Assert(t, d.age() >= 0 && d.age() < most, "%v", d.age())
	}
}

// Guards against data that counts as younger than it is because the first answer was held up, for example
// while the process was frozen.
func TestFirstAnswerHeldUp(t *testing.T) {
	withClockedTable(t, clockedConfig{before: 10 * time.Millisecond, after: 3 * time.Second}, func(t *testing.T, d *clockedTable, clockOf func() time.Duration) {
		assert.Assert(t, d.age() >= 3*time.Second, "%v", d.age())
		sent := clockOf()
		time.Sleep(time.Second)
		d.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: sent})
		synctest.Wait()
		assert.Assert(t, d.age() >= 990*time.Millisecond, "%v", d.age())
		off := d.follower.Clock() - clockOf()
		assert.Assert(t, off >= 0 && off <= 20*time.Millisecond, "%v", off)
	})
}

// Guards against a hub whose members go on by what it hands on too young.
func TestStateAfterFirstAnswerHeldUp(t *testing.T) {
	withClockedTable(t, clockedConfig{before: 10 * time.Millisecond, after: 1200 * time.Millisecond}, func(t *testing.T, d *clockedTable, _ func() time.Duration) {
		s, ok := d.follower.State()
		assert.Assert(t, ok)
		assert.Assert(t, clock.Now()-s.At >= 1200*time.Millisecond, "%v", clock.Now()-s.At)
	})
}

// Guards against data that counts as older than it is for good, and against polls by which the process makes
// up for it, because the first call waited in a queue.
func TestFirstCallQueued(t *testing.T) {
	t.Run("process", func(t *testing.T) {
		withClockedTable(t, clockedConfig{before: 3 * time.Second}, func(t *testing.T, d *clockedTable, clockOf func() time.Duration) {
			for range 40 {
				time.Sleep(250 * time.Millisecond)
				d.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: clockOf()})
			}
			synctest.Wait()
			assert.Assert(t, d.age() < 100*time.Millisecond, "%v", d.age())
			assert.Assert(t, d.polls.Load() <= 1, "%d polls", d.polls.Load())
		})
	})
	t.Run("poller", func(t *testing.T) {
		withClockedTable(t, clockedConfig{poller: true, before: 3 * time.Second}, func(t *testing.T, d *clockedTable, _ func() time.Duration) {
			time.Sleep(500 * time.Millisecond)
			checkAges(t, d, 10*time.Second, 1100*time.Millisecond)
		})
	})
}

// Guards against an age that drifts away over days when the clocks do not run at the same speed.
func TestClocksOfDifferentSpeeds(t *testing.T) {
	for name, drift := range map[string]time.Duration{"platform fast": 100 * time.Microsecond, "platform slow": -100 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			withClockedTable(t, clockedConfig{poller: true, drift: drift}, func(t *testing.T, d *clockedTable, _ func() time.Duration) {
				time.Sleep(6 * time.Hour)
				checkAges(t, d, 10*time.Second, 1100*time.Millisecond)
			})
		})
	}
}
