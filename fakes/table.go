// Package fakes holds stand-ins for the systems around an entry process: the
// platform, an engine and a plain service. Each has switches for the faults
// that the real system shows. They serve tests, the demo and the standin
// command, and are no part of an entry process.
package fakes

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// PlatformFaults are the switches of the platform stand-in. The zero value is healthy.
type PlatformFaults struct {
	Down        bool          `json:"down"`   // every call fails, nothing is applied
	Delay       time.Duration `json:"delay"`  // added before each call, nanoseconds
	LostReplies int           `json:"lose"`   // so many commits are applied and their replies lost
	LostCommits int           `json:"drop"`   // so many commits are lost before they are applied, reply unknown
	LateCommits int           `json:"late"`   // so many commits are answered unknown and applied after LateBy
	CommitDelay time.Duration `json:"lateby"` // nanoseconds
	StaleReads  int           `json:"stale"`  // so many reads do not see the last commit
	FrozenVMs   bool          `json:"frozen"` // the VM list keeps the content that it had when this was set
}

// Counts are the calls that a Table has served.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Table is an in-memory transactional table.
type Table struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	before   map[string]table.Row // rows that the last commit replaced
	revision uint64
	counts   Counts
	all      TableLink // faults that every caller sees
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: map[string]table.Row{}}
	t.all.table = t
	return t
}

// TableLink is the way of one caller to the table, with faults of its own.
type TableLink struct {
	table  *Table
	mu     sync.Mutex
	faults PlatformFaults
}

// Link returns a new way to the table. The faults of the table apply too.
func (t *Table) Link() *TableLink { return &TableLink{table: t} }

// Client returns a table client that calls the table over the link.
func (l *TableLink) Client() *table.Client {
	return l.GatedClient(func(context.Context) error { return nil })
}

// GatedClient returns a client whose calls pass a gate first. The gate may wait, as
// in a paused process, and its error ends the call.
func (l *TableLink) GatedClient(gate func(context.Context) error) *table.Client {
	pass := func(ctx context.Context) error {
		if err := gate(ctx); err != nil {
			return err
		}
		return l.pause(ctx)
	}
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if err := pass(ctx); err != nil {
				return nil, err
			}
			return l.table.get(ctx, keys...)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			if err := pass(ctx); err != nil {
				return nil, err
			}
			return l.table.scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			if err := pass(ctx); err != nil {
				return 0, err
			}
			return l.commit(ctx, b, l.table.commit)
		},
	})
}

// SetFaults replaces the fault switches of the link.
func (l *TableLink) SetFaults(f PlatformFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// UpdateFaults changes some of the fault switches of the link.
func (l *TableLink) UpdateFaults(change func(*PlatformFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Faults returns the fault switches of the link.
func (l *TableLink) Faults() PlatformFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// take uses up one of a counted fault.
func (l *TableLink) take(count func(*PlatformFaults) *int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := count(&l.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// pause waits for the configured delay and reports an outage.
func (l *TableLink) pause(ctx context.Context) error {
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

// commit passes a transaction on with the faults of the link.
func (l *TableLink) commit(ctx context.Context, b table.Batch, next func(context.Context, table.Batch) (uint64, error)) (uint64, error) {
	f := l.Faults()
	switch {
	case l.take(func(f *PlatformFaults) *int { return &f.LostCommits }):
		return 0, table.ErrUnknown
	case l.take(func(f *PlatformFaults) *int { return &f.LateCommits }):
		time.AfterFunc(f.CommitDelay, func() { _, _ = next(context.WithoutCancel(ctx), b) })
		return 0, table.ErrUnknown
	}
	revision, err := next(ctx, b)
	if err == nil && l.take(func(f *PlatformFaults) *int { return &f.LostReplies }) {
		return 0, table.ErrUnknown
	}
	return revision, err
}

// Client returns a table client that calls the table directly.
func (t *Table) Client() *table.Client { return t.Link().Client() }

// SetFaults replaces the fault switches that every caller sees.
func (t *Table) SetFaults(f PlatformFaults) { t.all.SetFaults(f) }

// UpdateFaults changes some of the fault switches that every caller sees.
func (t *Table) UpdateFaults(change func(*PlatformFaults)) { t.all.UpdateFaults(change) }

// Faults returns the fault switches that every caller sees.
func (t *Table) Faults() PlatformFaults { return t.all.Faults() }

// Counts returns the number of calls served.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Row returns the row of a key past all faults, for checks.
func (t *Table) Row(key string) table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key, false)
}

// row returns the row of a key, or the one before the last commit.
func (t *Table) row(key string, stale bool) table.Row {
	if r, ok := t.before[key]; ok && stale {
		return r
	}
	if r, ok := t.rows[key]; ok {
		return r
	}
	return table.NewRow(key, nil, table.Absent)
}

func (t *Table) stale() bool {
	return t.all.take(func(f *PlatformFaults) *int { return &f.StaleReads })
}

func (t *Table) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := t.all.pause(ctx); err != nil {
		return nil, err
	}
	stale := t.stale()
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
	if err := t.all.pause(ctx); err != nil {
		return nil, err
	}
	stale := t.stale()
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
	if err := t.all.pause(ctx); err != nil {
		return 0, err
	}
	return t.all.commit(ctx, b, t.apply)
}

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
	t.before = map[string]table.Row{}
	for _, w := range b.Writes {
		t.before[w.Key] = t.row(w.Key, false)
		v := append([]byte(nil), w.Value...)
		t.rows[w.Key] = table.NewRow(w.Key, v, t.revision)
	}
	for _, k := range b.Deletes {
		delete(t.rows, k)
	}
	return t.revision, nil
}
