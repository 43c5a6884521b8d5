package fakes

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// FlakyFaults are the fault switches of a FlakyTable.
type FlakyFaults struct {
	// LossRate is the share of commits whose reply is lost. One third each of them is
	// never applied, applied at once, and applied late.
	LossRate float64
	MaxDelay time.Duration // upper bound of the random delay of each call
	Down     bool          // every call fails, nothing is applied
	Hang     bool          // calls block until their context ends
}

// maxCommitDelay bounds the delay of a commit that is applied after its reply was lost.
const maxCommitDelay = 8 * time.Second

// FlakyTable injects random faults, drawn from a seed, into the calls of a table. It
// is for long randomised runs; PlatformFaults are for tests of single failures.
type FlakyTable struct {
	// RewriteBatch rewrites each batch before it is committed, to inject deliberate
	// faults. May be nil.
	RewriteBatch func(table.Batch) table.Batch

	inner  *table.Client
	mu     sync.Mutex
	rand   *rand.Rand
	faults FlakyFaults
}

// NewFlakyTable returns a FlakyTable in front of t without faults.
func NewFlakyTable(t *Table, seed int64) *FlakyTable {
	return &FlakyTable{inner: t.Client(), rand: rand.New(rand.NewSource(seed))}
}

// UpdateFaults calls change with the fault switches, under the lock.
func (f *FlakyTable) UpdateFaults(change func(*FlakyFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

// draw returns the current faults, a random number in [0,1) and a random delay
// below MaxDelay + 1 ms.
func (f *FlakyTable) draw() (FlakyFaults, float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.faults
	return t, f.rand.Float64(), time.Duration(f.rand.Int63n(int64(t.MaxDelay) + int64(time.Millisecond)))
}

// beforeCall applies the faults that precede a call. The returned number is below 1
// if the reply of a commit is to be lost, and then it selects the kind of loss.
func (f *FlakyTable) beforeCall(ctx context.Context, gate func() error) (float64, error) {
	if gate() != nil {
		return 0, table.ErrUnavailable
	}
	faults, n, delay := f.draw()
	if faults.Hang {
		<-ctx.Done()
		return 0, table.ErrUnknown
	}
	time.Sleep(delay)
	if faults.Down {
		return 0, table.ErrUnavailable
	}
	return n / max(faults.LossRate, 1e-9), nil
}

// Client returns the table client of one process. It calls gate before and after
// each call; gate blocks while the process is paused and fails if it was killed.
func (f *FlakyTable) Client(gate func() error) *table.Client {
	read := func(ctx context.Context, do func() ([]table.Row, error)) ([]table.Row, error) {
		if _, err := f.beforeCall(ctx, gate); err != nil {
			return nil, table.ErrUnavailable
		}
		rows, err := do()
		return rows, errors.Join(err, gate())
	}
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			return read(ctx, func() ([]table.Row, error) { return f.inner.Get(ctx, keys...) })
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			return read(ctx, func() ([]table.Row, error) { return f.inner.Scan(ctx, prefix, after, limit) })
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) { return f.commit(ctx, b, gate) },
	})
}

func (f *FlakyTable) commit(ctx context.Context, b table.Batch, gate func() error) (uint64, error) {
	loss, err := f.beforeCall(ctx, gate)
	if err != nil {
		return 0, err
	}
	if f.RewriteBatch != nil {
		b = f.RewriteBatch(b)
	}
	// A batch that has reached the table is applied even if its caller has gone.
	apply := func() (uint64, error) { return f.inner.Commit(context.WithoutCancel(ctx), b) }
	switch {
	case loss >= 1:
		revision, err := apply()
		if gate() != nil {
			return 0, table.ErrUnknown
		}
		return revision, err
	case loss < 1.0/3: // lost before it is applied
	case loss < 2.0/3:
		_, _ = apply()
	default: // applied late, after reads that did not find its rows
		go func() {
			time.Sleep(time.Duration(loss * float64(maxCommitDelay)))
			_, _ = apply()
		}()
	}
	return 0, table.ErrUnknown
}
