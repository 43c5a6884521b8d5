package claim_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/table"
)

var (
	work  = claim.Key{Account: "hotel", Service: "desk", Key: "order-1"}
	whole = claim.Outcome{Status: 201, Header: map[string][]string{"X-A": {"1"}}, Body: []byte("order 1")}
)

const digest = 7

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func wantError(t *testing.T, err error, v fault.Verdict, c fault.Code) {
	t.Helper()
	var e *fault.Error
	assert.Assert(t, errors.As(err, &e), "%v has no verdict", err)
	assert.Equal(t, e.Verdict(), v, err.Error())
	assert.Equal(t, e.Code(), c, err.Error())
}

func begin(t *testing.T, b *claim.Manager, k claim.Key) *claim.Claim {
	t.Helper()
	c, o, err := b.Begin(within(t, 5*time.Second), k, digest)
	assert.NilError(t, err)
	assert.Assert(t, o == nil)
	return c
}

type flaky struct {
	*fakes.Flaky
	table *fakes.Table
}

func (f *flaky) set(down, hang bool) {
	f.Set(func(t *fakes.Trouble) { *t = fakes.Trouble{Down: down, Hang: hang} })
}

func bubble(t *testing.T, name string, f func(t *testing.T, w *flaky, open func(holder string) *claim.Manager)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			rows := fakes.NewTable()
			w := &flaky{fakes.NewFlaky(rows, 1), rows}
			books := map[string]*claim.Manager{}
			// Writes that wait for the table end before the test does.
			defer func() { w.set(false, false); time.Sleep(time.Minute) }()
			f(t, w, func(holder string) *claim.Manager {
				b := claim.New(claim.Config{
					Table: w.Client(func() error { return nil }), Objects: fakes.NewObjects().Client(), Holder: holder,
					QueryHolder: func(_ context.Context, h, id string) (claim.RunStatus, error) {
						if books[h] == nil {
							return "", errors.New("not reached")
						}
						return books[h].RunStatus(id), nil
					},
				})
				books[holder] = b
				return b
			})
		})
	})
}

// TestClaims guards against work that runs twice, a lost outcome, and keys that
// are confused with each other.
func TestClaims(t *testing.T) {
	bubble(t, "outcome is replayed elsewhere", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		_, _, err := b.Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
		_, o, err := b.Begin(within(t, time.Second), work, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, whole)
		_, _, err = b.Begin(within(t, time.Second), work, digest+1)
		wantError(t, err, fault.NotRun, fault.KeyReused)
	})
	bubble(t, "keys are separate", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		b := open("a")
		for _, k := range []claim.Key{work, {"hotel", "other", "order-1"}, {"shop", "desk", "order-1"}, {"hotel", "desk/x", "y"}, {"hotel", "desk", "x/y"}, {"hotel/desk", "x", "y"}} {
			begin(t, b, k)
		}
	})
	bubble(t, "same key at once", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		w.Set(func(t *fakes.Trouble) { t.Slow = 20 * time.Millisecond })
		books := []*claim.Manager{open("a"), open("b"), open("c")}
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for i := range 30 {
			wg.Go(func() {
				c, _, err := books[i%3].Begin(within(t, 3*time.Second), work, digest)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && c != nil {
					won++
				}
			})
		}
		wg.Wait()
		assert.Equal(t, won, 1)
	})
	bubble(t, "released work may run elsewhere", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		c := begin(t, a, work)
		assert.NilError(t, a.Release(within(t, time.Second), c))
		assert.Assert(t, a.Start(within(t, time.Second), c) != nil, "a refused claim was started")
		begin(t, b, work)
	})
	bubble(t, "abandoned work never runs again", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		assert.NilError(t, a.Abandon(within(t, time.Second), c))
		for _, p := range []*claim.Manager{a, b} {
			_, _, err := p.Begin(within(t, time.Second), work, digest)
			wantError(t, err, fault.MayHaveRun, fault.Conflict)
		}
	})
	bubble(t, "holder is gone", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		begin(t, claim.New(claim.Config{Table: w.table.Client(), Holder: "dead"}), work)
		_, _, err := open("b").Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	bubble(t, "a claim ends once", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a := open("a")
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
		wantError(t, a.Release(within(t, time.Second), c), fault.MayHaveRun, fault.Internal)
	})
	bubble(t, "two writes of one row", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		w.set(false, true)
		_, _, err := a.Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.NotRun, fault.Unavailable) // its row is still to be settled
		time.Sleep(commitTimeout)
		w.set(false, false)
		_, _, _ = a.Begin(within(t, time.Second), claim.Key{Key: "probe"}, digest) // the table is found to work again
		time.Sleep(time.Second)
		w.table.SetFaults(fakes.Faults{Delay: 100 * time.Millisecond})
		go func() { begin(t, a, claim.Key{Key: "first"}) }()
		time.Sleep(50 * time.Millisecond) // what follows goes into one batch
		go func() { assert.Check(t, a.Start(within(t, time.Second), begin(t, a, work))) }()
		time.Sleep(time.Millisecond)
		a.RetryPendingWrites(context.Background())
		time.Sleep(time.Second)
		_, _, err = b.Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	bubble(t, "the holder does not know", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		assert.Equal(t, a.RunStatus("forgotten"), claim.StatusUnknown)
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		w.set(true, false)
		assert.Assert(t, a.Abandon(within(t, time.Second), c) != nil)
		w.set(false, false)
		_, _, err := b.Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	bubble(t, "start after the deadline", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a := open("a")
		ctx := within(t, time.Second)
		c, _, err := a.Begin(ctx, work, digest)
		assert.NilError(t, err)
		time.Sleep(48 * time.Hour) // paused longer than every deadline
		wantError(t, a.Start(ctx, c), fault.NotRun, fault.Timeout)
	})
}

// TestLostReplies guards against a claim that is dispatched while it is not
// known whether its row was written, and against a late write that brings a
// refused claim back.
func TestLostReplies(t *testing.T) {
	bubble(t, "applied", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a := open("a")
		w.table.SetFaults(fakes.Faults{Lose: 1})
		c := begin(t, a, work)
		w.table.SetFaults(fakes.Faults{Lose: 1})
		assert.NilError(t, a.Start(within(t, time.Second), c))
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
	})
	bubble(t, "not applied", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		w.table.SetFaults(fakes.Faults{Drop: 1})
		begin(t, open("a"), work)
	})
	bubble(t, "unresolved and applied late", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		late := make(chan table.Batch, 1)
		w.Change = func(bt table.Batch) table.Batch {
			late <- bt
			w.set(false, true) // from here on the table hangs
			return table.Batch{}
		}
		w.Set(func(t *fakes.Trouble) { t.Lose = 1 })
		_, _, err := a.Begin(within(t, time.Second), work, digest)
		wantError(t, err, fault.NotRun, fault.Unavailable)
		synctest.Wait()
		w.Change = nil
		w.set(false, false)
		time.Sleep(commitTimeout)
		_, err = w.table.Client().Commit(context.Background(), <-late)
		assert.NilError(t, err)
		c := begin(t, b, work) // a says that its claim was not run
		assert.NilError(t, b.Start(within(t, time.Second), c))
		a.RetryPendingWrites(context.Background())
		a.RetryPendingWrites(context.Background())
		assert.Equal(t, a.PendingWrites(), 0)
		assert.NilError(t, b.Finish(within(t, time.Second), c, whole))
	})
}

// commitTimeout is longer than a book waits for one transaction.
const commitTimeout = 3 * time.Second

// TestOutage guards against claims that wait for their deadline during an
// outage, and against an outcome that is lost because of one.
func TestOutage(t *testing.T) {
	bubble(t, "long", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		w.set(true, false)
		assert.Assert(t, a.Finish(within(t, time.Second), c, whole) != nil)
		_, o, err := a.Begin(within(t, time.Second), work, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, whole) // replayed from memory
		for i := range 100 {
			time.Sleep(36 * time.Second)
			a.RetryPendingWrites(context.Background())
			start := time.Now()
			_, _, err := b.Begin(within(t, 5*time.Second), claim.Key{Account: "hotel", Key: fmt.Sprint(i)}, digest)
			wantError(t, err, fault.NotRun, fault.Unavailable)
			_, hasRetry := fault.RetryAt(err)
			assert.Assert(t, hasRetry && time.Since(start) < 100*time.Millisecond)
		}
		w.set(false, false)
		a.RetryPendingWrites(context.Background())
		time.Sleep(time.Second)
		_, _, _ = b.Begin(within(t, time.Second), work, digest) // at most one more refusal, which probes the table
		time.Sleep(time.Second)
		_, o, err = b.Begin(within(t, time.Second), work, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, whole)
	})
	bubble(t, "longer than outcomes are kept", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a, b := open("a"), open("b")
		c := begin(t, a, work)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		w.table.SetFaults(fakes.Faults{Lose: 1})
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the record is written, and a does not see it
		assert.Assert(t, a.Finish(ctx, c, whole) != nil)
		time.Sleep(26 * time.Hour)
		assert.NilError(t, b.SweepPage(context.Background()))
		assert.NilError(t, b.SweepPage(context.Background()))
		c = begin(t, b, work) // the key names new work
		assert.NilError(t, b.Start(within(t, time.Second), c))
		assert.NilError(t, b.Finish(within(t, time.Second), c, claim.Outcome{Status: 202}))
		_, o, err := a.Begin(within(t, time.Second), work, digest)
		assert.NilError(t, err)
		assert.Equal(t, o.Status, 202, "an outcome past its time was replayed")
	})
	bubble(t, "hanging table", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a := open("a")
		w.set(false, true)
		at := 0
		for i := range 200 {
			start := time.Now()
			_, _, err := a.Begin(within(t, 5*time.Second), claim.Key{Key: fmt.Sprint(i)}, digest)
			wantError(t, err, fault.NotRun, fault.Unavailable)
			if time.Since(start) == 0 {
				at++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, at > 180, "only %d of 200 claims were refused at once", at)
	})
}

// TestKeeping guards against outcomes removed early, rows of paused holders
// removed at all, and large bodies kept in rows.
func TestKeeping(t *testing.T) {
	bubble(t, "sweep", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		a := open("a")
		c := begin(t, a, work)
		begin(t, a, claim.Key{Key: "paused"})
		assert.NilError(t, a.Start(within(t, time.Second), c))
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
		rows := func() int {
			assert.NilError(t, a.SweepPage(context.Background()))
			assert.NilError(t, a.SweepPage(context.Background()))
			all, err := w.table.Client().ScanAll(context.Background(), "claim/")
			assert.NilError(t, err)
			return len(all)
		}
		time.Sleep(24 * time.Hour)
		assert.Equal(t, rows(), 2)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, rows(), 1)
	})
	bubble(t, "large body", func(t *testing.T, w *flaky, _ func(string) *claim.Manager) {
		objects := fakes.NewObjects()
		open := func(h string) *claim.Manager {
			return claim.New(claim.Config{Table: w.table.Client(), Objects: objects.Client(), Holder: h})
		}
		a := open("a")
		large := claim.Outcome{Status: 200, Body: bytes.Repeat([]byte("x"), 100<<10)}
		for _, down := range []bool{false, true} {
			k := claim.Key{Key: fmt.Sprint(down)}
			c := begin(t, a, k)
			assert.NilError(t, a.Start(within(t, time.Second), c))
			objects.SetDown(down)
			assert.NilError(t, a.Finish(within(t, time.Second), c, large))
			objects.SetDown(false)
			_, o, err := open("b").Begin(within(t, time.Second), k, digest)
			if down {
				wantError(t, err, fault.Ran, fault.Conflict)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, string(o.Body), string(large.Body))
		}
	})
}
