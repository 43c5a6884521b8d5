package fakes

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// FlakyFaults is the state of a flaky way to the table.
type FlakyFaults struct {
	LossRate float64       // share of commits whose reply is lost: a third each before, after and long before they are applied
	MaxDelay time.Duration // calls take a random time up to this
	Down     bool          // every call fails, nothing is applied
	Hang     bool          // calls end with their context
}

// maxLate bounds how late a commit is applied whose reply was lost.
const maxLate = 8 * time.Second

// FlakyTable is a way to a table with faults drawn from a seed. It serves long
// randomised runs, where Faults serve tests of single failures.
type FlakyTable struct {
	// RewriteBatch is applied to each transaction, for deliberate faults. Nil for none.
	RewriteBatch func(table.Batch) table.Batch

	inner   *table.Client
	mu      sync.Mutex
	rand    *rand.Rand
	trouble FlakyFaults
}

// NewFlakyTable returns a way to the table without trouble.
func NewFlakyTable(t *Table, seed int64) *FlakyTable {
	return &FlakyTable{inner: t.Client(), rand: rand.New(rand.NewSource(seed))}
}

// UpdateFaults changes the trouble.
func (f *FlakyTable) UpdateFaults(change func(*FlakyFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.trouble)
}

// draw returns the present trouble, a random number and a random delay.
func (f *FlakyTable) draw() (FlakyFaults, float64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.trouble
	return t, f.rand.Float64(), time.Duration(f.rand.Int63n(int64(t.MaxDelay) + int64(time.Millisecond)))
}

// enter shows the faults before a call. It returns a number below 1 when the
// reply of a commit is to be lost.
func (f *FlakyTable) enter(ctx context.Context, gate func() error) (float64, error) {
	if gate() != nil {
		return 0, table.ErrUnavailable
	}
	t, n, slow := f.draw()
	if t.Hang {
		<-ctx.Done()
		return 0, table.ErrUnknown
	}
	time.Sleep(slow)
	if t.Down {
		return 0, table.ErrUnavailable
	}
	return n / max(t.LossRate, 1e-9), nil
}

// Client returns the client of one process. Each call passes through gate on
// its way there and back: it blocks while the process is paused and fails when
// the process is dead.
func (f *FlakyTable) Client(gate func() error) *table.Client {
	read := func(ctx context.Context, do func() ([]table.Row, error)) ([]table.Row, error) {
		if _, err := f.enter(ctx, gate); err != nil {
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
	n, err := f.enter(ctx, gate)
	if err != nil {
		return 0, err
	}
	if f.RewriteBatch != nil {
		b = f.RewriteBatch(b)
	}
	// A transaction that has arrived is applied, whatever becomes of its caller.
	apply := func() (uint64, error) { return f.inner.Commit(context.WithoutCancel(ctx), b) }
	switch {
	case n >= 1:
		revision, err := apply()
		if gate() != nil {
			return 0, table.ErrUnknown
		}
		return revision, err
	case n < 1.0/3: // lost before it was applied
	case n < 2.0/3:
		_, _ = apply()
	default: // applied after reads that found nothing
		go func() {
			time.Sleep(time.Duration(n * float64(maxLate)))
			_, _ = apply()
		}()
	}
	return 0, table.ErrUnknown
}
