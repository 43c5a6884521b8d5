// Package fakes provides in-memory stand-ins for the systems around an entry
// process: the platform, an engine and a plain service. Each has switches that
// inject the faults of the real system. Tests, the demo and the standin command
// use them; an entry process does not.
package fakes

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// PlatformFaults are the fault switches of the platform stand-in. The zero value is
// a healthy platform. The counters go down by one with each fault that is injected.
type PlatformFaults struct {
	Down        bool          `json:"down"`   // every call fails, nothing is applied
	Delay       time.Duration `json:"delay"`  // delay before each call, in nanoseconds
	LostReplies int           `json:"lose"`   // commits to apply and lose the reply of
	LostCommits int           `json:"drop"`   // commits to lose before they are applied; their outcome is reported as unknown
	LateCommits int           `json:"late"`   // commits to report as unknown and to apply after CommitDelay
	CommitDelay time.Duration `json:"lateby"` // delay of LateCommits, in nanoseconds
	StaleReads  int           `json:"stale"`  // reads that do not see the last commit
	FrozenVMs   bool          `json:"frozen"` // the VM list keeps the content that it has when this is set
}

// Counts are the numbers of calls that a Table has served.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Table is an in-memory stand-in for the transactional table service.
type Table struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	previous map[string]table.Row // rows that the last commit replaced, for stale reads
	revision uint64               // number within the era
	era      uint64               // 0 until the first Restore
	counts   Counts
	shared   TableLink // faults that apply to all callers
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: map[string]table.Row{}}
	t.shared.table = t
	return t
}

// TableLink is the connection of one caller to the table, with its own faults.
type TableLink struct {
	table  *Table
	mu     sync.Mutex
	faults PlatformFaults
}

// Link returns a new connection to the table. The faults of the table apply to it
// too.
func (t *Table) Link() *TableLink { return &TableLink{table: t} }

// Client returns a table client that calls the table over the link.
func (l *TableLink) Client() *table.Client {
	return l.GatedClient(func(context.Context) error { return nil })
}

// GatedClient returns a client that calls gate before each call. The gate may
// block, as in a paused process; if it fails, the call fails with its error.
func (l *TableLink) GatedClient(gate func(context.Context) error) *table.Client {
	enter := func(ctx context.Context) error {
		if err := gate(ctx); err != nil {
			return err
		}
		return l.beforeCall(ctx)
	}
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if err := enter(ctx); err != nil {
				return nil, err
			}
			return l.table.get(ctx, keys...)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			if err := enter(ctx); err != nil {
				return nil, err
			}
			return l.table.scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			if err := enter(ctx); err != nil {
				return 0, err
			}
			return l.commit(ctx, b, l.table.commit)
		},
	})
}

// SetFaults replaces the fault switches of the connection.
func (l *TableLink) SetFaults(f PlatformFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// UpdateFaults calls change with the fault switches of the connection, under its lock.
func (l *TableLink) UpdateFaults(change func(*PlatformFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Faults returns the fault switches of the connection.
func (l *TableLink) Faults() PlatformFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// takeFault decrements a fault counter and reports whether it was positive.
func (l *TableLink) takeFault(count func(*PlatformFaults) *int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := count(&l.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// beforeCall waits for the configured delay and fails during an outage.
func (l *TableLink) beforeCall(ctx context.Context) error {
	f := l.Faults()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return table.ErrUnavailable
		}
	}
	if f.Down {
		return table.ErrUnavailable
	}
	return nil
}

// commit passes a batch to next and applies the commit faults of the connection.
func (l *TableLink) commit(ctx context.Context, b table.Batch, next func(context.Context, table.Batch) (uint64, error)) (uint64, error) {
	f := l.Faults()
	switch {
	case l.takeFault(func(f *PlatformFaults) *int { return &f.LostCommits }):
		return 0, table.ErrUnknown
	case l.takeFault(func(f *PlatformFaults) *int { return &f.LateCommits }):
		time.AfterFunc(f.CommitDelay, func() { _, _ = next(context.WithoutCancel(ctx), b) })
		return 0, table.ErrUnknown
	}
	revision, err := next(ctx, b)
	if err == nil && l.takeFault(func(f *PlatformFaults) *int { return &f.LostReplies }) {
		return 0, table.ErrUnknown
	}
	return revision, err
}

// Client returns a table client on a new connection.
func (t *Table) Client() *table.Client { return t.Link().Client() }

// SetFaults replaces the fault switches that apply to all callers.
func (t *Table) SetFaults(f PlatformFaults) { t.shared.SetFaults(f) }

// UpdateFaults calls change with the fault switches that apply to all callers, under a
// lock.
func (t *Table) UpdateFaults(change func(*PlatformFaults)) { t.shared.UpdateFaults(change) }

// Faults returns the fault switches that apply to all callers.
func (t *Table) Faults() PlatformFaults { return t.shared.Faults() }

// Counts returns the number of calls served.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Row returns the row of a key regardless of faults, for the checks of tests.
func (t *Table) Row(key string) table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key, false)
}

// row returns the row of a key. If stale is set, it returns the row from before the
// last commit. The caller holds t.mu.
func (t *Table) row(key string, stale bool) table.Row {
	if r, ok := t.previous[key]; ok && stale {
		return r
	}
	if r, ok := t.rows[key]; ok {
		return r
	}
	return table.NewRow(key, nil, table.Absent)
}

// takeStaleRead reports whether the next read is to be stale.
func (t *Table) takeStaleRead() bool {
	return t.shared.takeFault(func(f *PlatformFaults) *int { return &f.StaleReads })
}

func (t *Table) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := t.shared.beforeCall(ctx); err != nil {
		return nil, err
	}
	stale := t.takeStaleRead()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = t.row(k, stale)
	}
	return out, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.shared.beforeCall(ctx); err != nil {
		return nil, err
	}
	stale := t.takeStaleRead()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var keys []string
	for k := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after && t.row(k, stale).Exists() {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = t.row(k, stale)
	}
	return out, nil
}

func (t *Table) commit(ctx context.Context, b table.Batch) (uint64, error) {
	if err := t.shared.beforeCall(ctx); err != nil {
		return 0, err
	}
	return t.shared.commit(ctx, b, t.apply)
}

// apply commits a batch if all of its conditions hold.
func (t *Table) apply(_ context.Context, b table.Batch) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	for _, c := range b.Conditions {
		if t.rows[c.Key].Revision() != c.Revision {
			return 0, table.ErrConflict
		}
	}
	t.revision++
	t.previous = map[string]table.Row{}
	for _, w := range b.Writes {
		t.previous[w.Key] = t.row(w.Key, false)
		v := append([]byte(nil), w.Value...)
		t.rows[w.Key] = table.NewRow(w.Key, v, table.NewRevision(t.era, t.revision))
	}
	for _, k := range b.Deletes {
		delete(t.rows, k)
	}
	return table.NewRevision(t.era, t.revision), nil
}

// TableCopy is the content of a table at one moment.
type TableCopy struct {
	rows     map[string]table.Row
	revision uint64
}

// Copy returns the content of the table.
func (t *Table) Copy() TableCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCopy{rows: maps.Clone(t.rows), revision: t.revision}
}

// Restore replaces the content by that of a copy. What was committed since is lost, and its revisions
// are given out again in a new era.
func (t *Table) Restore(c TableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era = max(t.era, 1) + 1
	t.rows, t.previous, t.revision = map[string]table.Row{}, nil, c.revision
	for key, r := range c.rows {
		t.rows[key] = table.NewRow(key, r.Value(), table.NewRevision(t.era, table.Number(r.Revision())))
	}
}

// Era returns the era of the table, which rises with each Restore.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}
