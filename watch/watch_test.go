package watch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// scriptedTable is a table whose calls are answered by functions of a test.
type scriptedTable struct {
	reads, polls int
	read         func() (watch.Page, error)
	poll         func(after uint64, wait time.Duration) (watch.Page, error)
	pages        []watch.Page
	outages      []time.Duration
}

func (f *scriptedTable) run(t *testing.T, during time.Duration) {
	t.Helper()
	base := time.Now()
	defer clock.Replace(func() time.Duration { return time.Since(base) })()
	ctx, cancel := context.WithCancel(t.Context())
	w := watch.New(watch.Config{
		Name: "servers", Wait: 2 * time.Second, Slack: 500 * time.Millisecond, BatchDelay: 100 * time.Millisecond, Log: zerolog.Nop(),
		Read: func(ctx context.Context) (watch.Page, error) {
			f.reads++
			p, err := f.read()
			return p, errors.Join(err, ctx.Err())
		},
		Poll: func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
			f.polls++
			return f.poll(after, wait)
		},
		Apply: func(p watch.Page, outage time.Duration) {
			f.pages, f.outages = append(f.pages, p), append(f.outages, outage)
		},
		Confirm: func(time.Duration) {},
	})
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	time.Sleep(during)
	cancel()
	<-done
}

func whole(revision uint64, keys ...string) watch.Page {
	p := watch.Page{Whole: true, Revision: revision}
	for _, k := range keys {
		p.Rows = append(p.Rows, watch.Row{Key: k, Revision: revision})
	}
	return p
}

// Guards against losing changes when the platform drops its history.
func TestGapReadsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedTable{}
		f.read = func() (watch.Page, error) { return whole(uint64(10*f.reads), "a"), nil }
		f.poll = func(after uint64, wait time.Duration) (watch.Page, error) {
			if f.polls == 1 {
				return watch.Page{}, watch.ErrGap
			}
			time.Sleep(wait)
			return watch.Page{Revision: after}, nil
		}
		f.run(t, 3*time.Second)
		assert.Equal(t, f.reads, 2)
		assert.Equal(t, f.pages[1].Revision, uint64(20))
	})
}

// Guards against applying an answer older than the known revision, which would restore an
// entry that has been removed.
func TestStaleAnswerIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedTable{read: func() (watch.Page, error) { return whole(50, "a"), nil }}
		f.poll = func(uint64, time.Duration) (watch.Page, error) {
			return watch.Page{Revision: 40, Rows: []watch.Row{{Key: "gone", Revision: 40}}}, nil
		}
		f.run(t, time.Second)
		assert.Equal(t, len(f.pages), 1)
	})
}

// Guards against a busy loop when the platform refuses every call, and against an outage
// that is not reported to Apply.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := errors.New("down")
		start := time.Now()
		f := &scriptedTable{read: func() (watch.Page, error) { return whole(1, "a"), nil }}
		f.poll = func(after uint64, wait time.Duration) (watch.Page, error) {
			if time.Since(start) < 4*time.Second {
				return watch.Page{}, down
			}
			time.Sleep(wait)
			return watch.Page{Revision: after}, nil
		}
		f.run(t, 6*time.Second)
		assert.Assert(t, f.polls < 40, "%d polls in 4 s", f.polls)
		assert.Equal(t, len(f.outages), 2)
	})
}

// Guards against one call for each change in a sequence of single changes.
func TestChangesShareAPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedTable{read: func() (watch.Page, error) { return whole(1), nil }}
		f.poll = func(after uint64, _ time.Duration) (watch.Page, error) {
			return watch.Page{Revision: after + 1, Rows: []watch.Row{{Key: "a", Revision: after + 1}}}, nil
		}
		f.run(t, time.Second)
		assert.Assert(t, f.polls <= 11, "%d polls in 1 s", f.polls)
	})
}

// Guards against timing out the read of a large table and starting it over while all
// processes start at once (it took 30 s until 300 processes served again).
func TestSlowReadOfWholeTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedTable{}
		f.read = func() (watch.Page, error) { time.Sleep(5 * time.Second); return whole(1, "a"), nil }
		f.poll = func(after uint64, wait time.Duration) (watch.Page, error) {
			time.Sleep(wait)
			return watch.Page{Revision: after}, nil
		}
		f.run(t, 6*time.Second)
		assert.Equal(t, f.reads, 1)
		assert.Equal(t, len(f.pages), 1)
	})
}
