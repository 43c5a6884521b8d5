package claim

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

var (
	// errNotWritten: the row was not written and will not be.
	errNotWritten = errors.New("claim row was not written")
	// errOther: the row has another revision than expected.
	errOther = errors.New("claim row was changed")
	// errUnresolved: a reply was lost, the row may still be written.
	errUnresolved = errors.New("claim row may still be written")
)

// write is one row to be written by a group.
type write struct {
	claim  *Claim
	state  state
	expect uint64 // revision that the row must have
	value  []byte
	by     time.Time // given up at this time
	lost   bool      // a transaction with this write had its reply lost
	result chan result
}

// result of a write. The row is set with errOther.
type result struct {
	revision uint64
	row      table.Row
	err      error
}

const (
	commitTimeout = 2 * time.Second
	firstPause    = 20 * time.Millisecond
	maxPause      = 500 * time.Millisecond
	// maxBatch bounds the bytes of one transaction, up to the last row, so that
	// a batch of outcomes does not hold up the claims behind it.
	maxBatch = 1 << 20
)

// group commits writes. It has one outstanding transaction, and the writes
// that arrive meanwhile go into the next one. It runs a goroutine only while
// writes wait.
type group struct {
	table *table.Client
	max   int // writes in one transaction

	mu      sync.Mutex
	queue   []*write
	busy    bool
	failing time.Time // since when the table has not taken a write; zero when it does
	stats   Stats
}

// Stats counts what a book wrote.
type Stats struct {
	Transactions uint64 // commits sent to the table
	Rows         uint64 // rows written by them
}

// submit queues a write. Its result arrives on its channel.
func (g *group) submit(w *write) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = append(g.queue, w)
	if !g.busy {
		g.busy = true
		go g.run()
	}
}

func (g *group) run() {
	pause := firstPause
	for {
		batch := g.take(time.Now())
		if batch == nil {
			return
		}
		if g.commit(batch) {
			pause = firstPause
			continue
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
}

// take removes the next batch from the queue, or ends the goroutine by
// returning nil. A batch holds one write for each key: in one transaction two
// writes that expect the same revision of a row would both succeed.
func (g *group) take(now time.Time) []*write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*write
	size := 0
	keys := map[string]bool{}
	for _, w := range g.queue {
		switch {
		case now.After(w.by) && w.lost:
			w.result <- result{err: errUnresolved}
		case now.After(w.by):
			w.result <- result{err: errNotWritten}
		case len(batch) == g.max || size > maxBatch || keys[w.claim.key]:
			rest = append(rest, w)
		default:
			keys[w.claim.key] = true
			size += len(w.value)
			batch = append(batch, w)
		}
	}
	g.queue = rest
	if batch == nil {
		g.busy = false
	}
	return batch
}

// again puts writes back in front of the queue.
func (g *group) again(batch []*write) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = append(batch, g.queue...)
}

// commit writes one batch and reports whether the table answered.
func (g *group) commit(batch []*write) bool {
	var b table.Batch
	for _, w := range batch {
		b.Expect(w.claim.key, w.expect).Put(w.claim.key, w.value)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, err := g.table.Commit(ctx, b)
	g.count(len(batch), err)
	switch {
	case err == nil:
		for _, w := range batch {
			w.result <- result{revision: revision}
		}
	case errors.Is(err, table.ErrConflict):
		return g.split(ctx, batch)
	case errors.Is(err, table.ErrUnavailable):
		g.drop(batch)
		return false
	default:
		// The transaction may be applied now, later or never. Committing the
		// same writes again resolves that: when the second succeeds, the
		// conditions of the first no longer hold.
		for _, w := range batch {
			w.lost = true
		}
		g.again(batch)
		return false
	}
	return true
}

// drop ends the writes that are certainly not written and keeps the others.
func (g *group) drop(batch []*write) {
	var keep []*write
	for _, w := range batch {
		if w.lost {
			keep = append(keep, w)
			continue
		}
		w.result <- result{err: errNotWritten}
	}
	g.again(keep)
}

// split finds the writes whose condition does not hold after a conflict. The
// others are committed again.
func (g *group) split(ctx context.Context, batch []*write) bool {
	keys := make([]string, len(batch))
	for i, w := range batch {
		keys[i] = w.claim.key
	}
	rows, err := g.table.Get(ctx, keys...)
	if err != nil || len(rows) != len(batch) {
		g.again(batch)
		return false
	}
	var keep []*write
	for i, w := range batch {
		switch r := rows[i]; {
		case r.Revision() == w.expect:
			keep = append(keep, w)
		case w.wrote(r):
			w.result <- result{revision: r.Revision()}
		default:
			w.result <- result{row: r, err: errOther}
		}
	}
	g.again(keep)
	return true
}

// wrote tells whether a row holds what the write wrote in an earlier
// transaction whose reply was lost.
func (w *write) wrote(r table.Row) bool {
	if !r.Exists() {
		return false
	}
	v, err := decode(r.Key(), r.Value())
	return err == nil && v.Claim == w.claim.id && v.State == w.state
}

func (g *group) count(rows int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Transactions++
	switch {
	case err == nil:
		g.stats.Rows += uint64(rows)
		g.failing = time.Time{}
	case errors.Is(err, table.ErrConflict):
		g.failing = time.Time{}
	case g.failing.IsZero():
		g.failing = time.Now()
	}
}

// check probes a failing table with a transaction whose condition never holds:
// a conflict shows that the table takes transactions again.
func (g *group) check() {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var b table.Batch
	b.Expect(prefix+"probe", math.MaxUint64).Delete(prefix + "probe")
	_, err := g.table.Commit(ctx, b)
	g.count(0, err)
}

// down tells since when the table has not taken a write, or the zero time.
func (g *group) down() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failing
}

// Stats returns the counts since the start.
func (b *Manager) Stats() Stats {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.group.stats
}
