package watch

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// oddRowInterval is the least time between two log lines about the same row, which its
	// writer may change many times a second.
	oddRowInterval = 10 * time.Second
	// oddRowLines bounds the log lines in that time, all rows of a table together.
	oddRowLines = 20
	// maxOddRows bounds the rows that are remembered. Beyond it they are logged within
	// oddRowLines but not counted.
	maxOddRows = 4096
)

// OddRows keeps the rows of a table that this process can't use, since another writer made them, and
// logs them at a bounded rate. A nil OddRows does neither.
type OddRows struct {
	table string
	log   zerolog.Logger

	mu   sync.Mutex
	rows map[string]oddRow
}

// oddRow is a row that could not be used.
type oddRow struct {
	revision uint64
	loggedAt time.Time
	unlogged int  // revisions since then that were not logged
	usable   bool // the row has become usable or was deleted
}

// NewOddRows returns an OddRows for a table.
func NewOddRows(table string, log zerolog.Logger) *OddRows {
	return &OddRows{table: table, log: log.Sample(&zerolog.BurstSampler{Burst: oddRowLines, Period: oddRowInterval}), rows: map[string]oddRow{}}
}

// Reject records that a row can't be used. It logs each revision of a row once, and each row at most
// once in oddRowInterval.
func (o *OddRows) Reject(r Row, err error) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	x, known := o.rows[r.Key]
	if known && x.revision == r.Revision && !x.usable {
		return
	}
	x.revision, x.usable = r.Revision, false
	if now := time.Now(); !known || now.Sub(x.loggedAt) >= oddRowInterval {
		o.log.Warn().Err(err).Str("table", o.table).Str("key", r.Key).Uint64("revision", r.Revision).Int("bytes", len(r.Value)).Int("unlogged", x.unlogged).Msg("row can't be used")
		x.loggedAt, x.unlogged = now, 0
	} else {
		x.unlogged++
	}
	if known || o.makeRoom() {
		o.rows[r.Key] = x
	}
}

// makeRoom reports whether another row can be remembered. It forgets rows that have been usable for a
// while. The caller holds mu.
func (o *OddRows) makeRoom() bool {
	if len(o.rows) < maxOddRows {
		return true
	}
	for key, x := range o.rows {
		if x.usable && time.Since(x.loggedAt) >= oddRowInterval {
			delete(o.rows, key)
		}
	}
	return len(o.rows) < maxOddRows
}

// Accept records that a row can be used or was deleted.
func (o *OddRows) Accept(key string) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if x, ok := o.rows[key]; ok {
		x.usable = true
		o.rows[key] = x
	}
}

// Retain records which rows the table has.
func (o *OddRows) Retain(has func(key string) bool) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.rows {
		if !has(key) {
			delete(o.rows, key)
		}
	}
}

// Count returns the number of rows that can't be used.
func (o *OddRows) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, x := range o.rows {
		if !x.usable {
			n++
		}
	}
	return n
}
