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
	orderKey = claim.Key{Account: "hotel", Service: "desk", Key: "order-1"}
	order    = claim.Outcome{Status: 201, Header: map[string][]string{"X-A": {"1"}}, Body: []byte("order 1")}
)

const digest = 7

// timeout returns a context that ends after d.
func timeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// wantError fails the test unless err has the given verdict and code.
func wantError(t *testing.T, err error, v fault.Verdict, c fault.Code) {
	t.Helper()
	var e *fault.Error
	assert.Assert(t, errors.As(err, &e), "%v has no verdict", err)
	assert.Equal(t, e.Verdict(), v, err.Error())
	assert.Equal(t, e.Code(), c, err.Error())
}

// begin begins a claim that must succeed.
func begin(t *testing.T, b *claim.Manager, k claim.Key) *claim.Claim {
	t.Helper()
	c, o, err := b.Begin(timeout(t, 5*time.Second), k, digest)
	assert.NilError(t, err)
	assert.Assert(t, o == nil)
	return c
}

// faultyTable is a table whose calls can fail or hang.
type faultyTable struct {
	*fakes.FlakyTable
	table *fakes.Table
}

// set makes all calls fail or hang, or ends that.
func (f *faultyTable) set(down, hang bool) {
	f.UpdateFaults(func(t *fakes.FlakyFaults) { *t = fakes.FlakyFaults{Down: down, Hang: hang} })
}

// runCase runs a subtest in virtual time. newManager adds a process that shares
// the table and answers queries of the other processes.
func runCase(t *testing.T, name string, f func(t *testing.T, w *faultyTable, newManager func(holder string) *claim.Manager)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			rows := fakes.NewTable()
			w := &faultyTable{fakes.NewFlakyTable(rows, 1), rows}
			managers := map[string]*claim.Manager{}
			// Queued writes must end before the test does.
			defer func() { w.set(false, false); time.Sleep(time.Minute) }()
			f(t, w, func(holder string) *claim.Manager {
				b := claim.New(claim.Config{
					Table: w.Client(func() error { return nil }), Objects: fakes.NewObjectStore().Client(), Holder: holder,
					QueryHolder: func(_ context.Context, h, id string) (claim.RunStatus, error) {
						if managers[h] == nil {
							return "", errors.New("not reached")
						}
						return managers[h].RunStatus(id), nil
					},
				})
				managers[holder] = b
				return b
			})
		})
	})
}

// TestClaims guards against work that runs twice, a lost outcome, and keys of
// different accounts or services that are taken for one another.
func TestClaims(t *testing.T) {
	runCase(t, "outcome is replayed elsewhere", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		_, _, err := b.Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
		_, o, err := b.Begin(timeout(t, time.Second), orderKey, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, order)
		_, _, err = b.Begin(timeout(t, time.Second), orderKey, digest+1)
		wantError(t, err, fault.NotRun, fault.KeyReused)
	})
	runCase(t, "keys are separate", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		b := newManager("a")
		for _, k := range []claim.Key{orderKey, {"hotel", "other", "order-1"}, {"shop", "desk", "order-1"}, {"hotel", "desk/x", "y"}, {"hotel", "desk", "x/y"}, {"hotel/desk", "x", "y"}} {
			begin(t, b, k)
		}
	})
	runCase(t, "concurrent claims of one key", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		w.UpdateFaults(func(t *fakes.FlakyFaults) { t.MaxDelay = 20 * time.Millisecond })
		managers := []*claim.Manager{newManager("a"), newManager("b"), newManager("c")}
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for i := range 30 {
			wg.Go(func() {
				c, _, err := managers[i%3].Begin(timeout(t, 3*time.Second), orderKey, digest)
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
	runCase(t, "released work may run elsewhere", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Release(timeout(t, time.Second), c))
		assert.Assert(t, a.Start(timeout(t, time.Second), c) != nil, "a refused claim was started")
		begin(t, b, orderKey)
	})
	runCase(t, "abandoned work never runs again", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		assert.NilError(t, a.Abandon(timeout(t, time.Second), c))
		for _, p := range []*claim.Manager{a, b} {
			_, _, err := p.Begin(timeout(t, time.Second), orderKey, digest)
			wantError(t, err, fault.MayHaveRun, fault.Conflict)
		}
	})
	runCase(t, "holder does not answer", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		begin(t, claim.New(claim.Config{Table: w.table.Client(), Holder: "dead"}), orderKey)
		_, _, err := newManager("b").Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	runCase(t, "holder is silent for a while", func(t *testing.T, w *faultyTable, _ func(string) *claim.Manager) {
		begin(t, claim.New(claim.Config{Table: w.table.Client(), Holder: "a"}), orderKey)
		b := claim.New(claim.Config{Table: w.table.Client(), Holder: "b", QueryHolder: func(ctx context.Context, _, _ string) (claim.RunStatus, error) {
			select {
			case <-time.After(1200 * time.Millisecond):
				return claim.StatusNotRun, nil
			case <-ctx.Done():
				return claim.StatusUnknown, ctx.Err()
			}
		}})
		c, _, err := b.Begin(timeout(t, 5*time.Second), orderKey, digest)
		assert.NilError(t, err)
		assert.Assert(t, c != nil)
	})
	runCase(t, "a claim ends only once", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
		wantError(t, a.Release(timeout(t, time.Second), c), fault.MayHaveRun, fault.Internal)
	})
	runCase(t, "two writes of one row in one batch", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		w.set(false, true)
		_, _, err := a.Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.NotRun, fault.Unavailable) // the write of its row is still pending
		time.Sleep(commitTimeout)
		w.set(false, false)
		_, _, _ = a.Begin(timeout(t, time.Second), claim.Key{Key: "probe"}, digest) // probes the table, which works again
		time.Sleep(time.Second)
		w.table.SetFaults(fakes.PlatformFaults{Delay: 100 * time.Millisecond})
		go func() { begin(t, a, claim.Key{Key: "first"}) }()
		time.Sleep(50 * time.Millisecond) // the next writes go into one batch
		go func() { assert.Check(t, a.Start(timeout(t, time.Second), begin(t, a, orderKey))) }()
		time.Sleep(time.Millisecond)
		a.RetryPendingWrites(context.Background())
		time.Sleep(time.Second)
		_, _, err = b.Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	runCase(t, "holder does not know the outcome", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		assert.Equal(t, a.RunStatus("forgotten"), claim.StatusUnknown)
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		w.set(true, false)
		assert.Assert(t, a.Abandon(timeout(t, time.Second), c) != nil)
		w.set(false, false)
		_, _, err := b.Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
	runCase(t, "start after the deadline", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		ctx := timeout(t, time.Second)
		c, _, err := a.Begin(ctx, orderKey, digest)
		assert.NilError(t, err)
		time.Sleep(48 * time.Hour) // a pause longer than every deadline
		wantError(t, a.Start(ctx, c), fault.NotRun, fault.Timeout)
	})
}

// TestLostReplies guards against work that is sent while it is not known whether
// its claim row was written, and against a late write that makes a refused claim
// valid again.
func TestLostReplies(t *testing.T) {
	runCase(t, "applied", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		w.table.SetFaults(fakes.PlatformFaults{LostReplies: 1})
		c := begin(t, a, orderKey)
		w.table.SetFaults(fakes.PlatformFaults{LostReplies: 1})
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
	})
	runCase(t, "not applied", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		w.table.SetFaults(fakes.PlatformFaults{LostCommits: 1})
		begin(t, newManager("a"), orderKey)
	})
	runCase(t, "unresolved and applied late", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		late := make(chan table.Batch, 1)
		w.RewriteBatch = func(bt table.Batch) table.Batch {
			late <- bt
			w.set(false, true) // every later call hangs
			return table.Batch{}
		}
		w.UpdateFaults(func(t *fakes.FlakyFaults) { t.LossRate = 1 })
		_, _, err := a.Begin(timeout(t, time.Second), orderKey, digest)
		wantError(t, err, fault.NotRun, fault.Unavailable)
		synctest.Wait()
		w.RewriteBatch = nil
		w.set(false, false)
		time.Sleep(commitTimeout)
		_, err = w.table.Client().Commit(context.Background(), <-late)
		assert.NilError(t, err)
		c := begin(t, b, orderKey) // manager a answers that its claim was not run
		assert.NilError(t, b.Start(timeout(t, time.Second), c))
		a.RetryPendingWrites(context.Background())
		a.RetryPendingWrites(context.Background())
		assert.Equal(t, a.PendingWrites(), 0)
		assert.NilError(t, b.Finish(timeout(t, time.Second), c, order))
	})
}

// commitTimeout is longer than a manager waits for one transaction.
const commitTimeout = 3 * time.Second

// TestOutage guards against claims that wait for their deadline during an outage
// of the table, and against an outage that loses an outcome.
func TestOutage(t *testing.T) {
	runCase(t, "long", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		w.set(true, false)
		assert.Assert(t, a.Finish(timeout(t, time.Second), c, order) != nil)
		_, o, err := a.Begin(timeout(t, time.Second), orderKey, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, order) // replayed from memory
		for i := range 100 {
			time.Sleep(36 * time.Second)
			a.RetryPendingWrites(context.Background())
			start := time.Now()
			_, _, err := b.Begin(timeout(t, 5*time.Second), claim.Key{Account: "hotel", Key: fmt.Sprint(i)}, digest)
			wantError(t, err, fault.NotRun, fault.Unavailable)
			_, hasRetry := fault.RetryAt(err)
			assert.Assert(t, hasRetry && time.Since(start) < 100*time.Millisecond)
		}
		w.set(false, false)
		a.RetryPendingWrites(context.Background())
		time.Sleep(time.Second)
		_, _, _ = b.Begin(timeout(t, time.Second), orderKey, digest) // may be refused once more, and probes the table
		time.Sleep(time.Second)
		_, o, err = b.Begin(timeout(t, time.Second), orderKey, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, order)
	})
	runCase(t, "longer than the retention", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a, b := newManager("a"), newManager("b")
		c := begin(t, a, orderKey)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		w.table.SetFaults(fakes.PlatformFaults{LostReplies: 1})
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the row is written, but manager a does not get the reply
		assert.Assert(t, a.Finish(ctx, c, order) != nil)
		time.Sleep(26 * time.Hour)
		assert.NilError(t, b.SweepPage(context.Background()))
		assert.NilError(t, b.SweepPage(context.Background()))
		c = begin(t, b, orderKey) // the retention is over, so the key names new work
		assert.NilError(t, b.Start(timeout(t, time.Second), c))
		assert.NilError(t, b.Finish(timeout(t, time.Second), c, claim.Outcome{Status: 202}))
		_, o, err := a.Begin(timeout(t, time.Second), orderKey, digest)
		assert.NilError(t, err)
		assert.Equal(t, o.Status, 202, "an outcome was replayed after its retention")
	})
	runCase(t, "hanging table", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		w.set(false, true)
		immediate := 0
		for i := range 200 {
			start := time.Now()
			_, _, err := a.Begin(timeout(t, 5*time.Second), claim.Key{Key: fmt.Sprint(i)}, digest)
			wantError(t, err, fault.NotRun, fault.Unavailable)
			if time.Since(start) == 0 {
				immediate++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, immediate > 180, "only %d of 200 claims were refused without waiting", immediate)
	})
}

// TestRetention guards against outcomes deleted too early, rows of paused holders
// deleted at all, and large bodies stored in rows.
func TestRetention(t *testing.T) {
	runCase(t, "sweep", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		c := begin(t, a, orderKey)
		begin(t, a, claim.Key{Key: "paused"})
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
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
	runCase(t, "large body", func(t *testing.T, w *faultyTable, _ func(string) *claim.Manager) {
		objects := fakes.NewObjectStore()
		newManager := func(h string) *claim.Manager {
			return claim.New(claim.Config{Table: w.table.Client(), Objects: objects.Client(), Holder: h})
		}
		a := newManager("a")
		large := claim.Outcome{Status: 200, Body: bytes.Repeat([]byte("x"), 100<<10)}
		for _, down := range []bool{false, true} {
			k := claim.Key{Key: fmt.Sprint(down)}
			c := begin(t, a, k)
			assert.NilError(t, a.Start(timeout(t, time.Second), c))
			objects.SetDown(down)
			assert.NilError(t, a.Finish(timeout(t, time.Second), c, large))
			objects.SetDown(false)
			_, o, err := newManager("b").Begin(timeout(t, time.Second), k, digest)
			if down {
				wantError(t, err, fault.Ran, fault.Conflict)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, string(o.Body), string(large.Body))
		}
	})
}
