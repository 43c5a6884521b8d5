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

// Faults are the switches of the platform stand-in. The zero value is healthy.
type Faults struct {
	Down  bool          `json:"down"`  // every call fails, nothing is applied
	Delay time.Duration `json:"delay"` // added before each call, nanoseconds
	Lose  int           `json:"lose"`  // so many commits are applied and their replies lost
	Drop  int           `json:"drop"`  // so many commits are lost before they are applied, reply unknown
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
	revision uint64
	faults   Faults
	counts   Counts
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]table.Row{}} }

// Client returns a table client that calls the table directly.
func (t *Table) Client() *table.Client {
	return table.New(table.Config{Get: t.get, Scan: t.scan, Commit: t.commit})
}

// SetFaults replaces the fault switches.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the fault switches.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the number of calls served.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// pause waits for the configured delay and reports an outage.
func (t *Table) pause(ctx context.Context) error {
	f := t.Faults()
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

func (t *Table) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := t.pause(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		r, ok := t.rows[k]
		if !ok {
			r = table.NewRow(k, nil, table.Absent)
		}
		out[i] = r
	}
	return out, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.pause(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var keys []string
	for k := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
	}
	return out, nil
}

func (t *Table) commit(ctx context.Context, b table.Batch) (uint64, error) {
	if err := t.pause(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	if t.faults.Drop > 0 {
		t.faults.Drop--
		return 0, table.ErrUnknown
	}
	for _, c := range b.Conditions {
		if t.rows[c.Key].Revision() != c.Revision {
			return 0, table.ErrConflict
		}
	}
	t.revision++
	for _, w := range b.Writes {
		v := append([]byte(nil), w.Value...)
		t.rows[w.Key] = table.NewRow(w.Key, v, t.revision)
	}
	for _, k := range b.Deletes {
		delete(t.rows, k)
	}
	if t.faults.Lose > 0 {
		t.faults.Lose--
		return 0, table.ErrUnknown
	}
	return t.revision, nil
}
