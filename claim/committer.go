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
	// errNotWritten reports that the row was not written and will not be.
	errNotWritten = errors.New("claim row was not written")
	// errChanged reports that the row has another revision than expected.
	errChanged = errors.New("claim row was changed")
	// errUnresolved reports that a reply was lost and that the row may have been
	// written or may still be.
	errUnresolved = errors.New("claim row may still be written")
)

// write is a queued write of one claim row.
type write struct {
	claim     *Claim
	state     state  // state in value
	expected  uint64 // revision that the row must have
	value     []byte
	deadline  time.Time   // the write fails when it is still queued then
	replyLost bool        // the reply of a transaction with this write was lost
	result    chan result // receives one result; has room for it
}

// result is the result of a write.
type result struct {
	revision uint64
	row      table.Row // the row as found, with errChanged
	err      error
}

const (
	commitTimeout  = 2 * time.Second // one transaction or probe
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxBatchBytes is the size at which a transaction takes no further row, so
	// that a batch of large outcomes does not delay the claims queued behind it.
	maxBatchBytes = 1 << 20
)

// committer writes claim rows by group commit: one transaction is in flight, and
// the writes that arrive meanwhile go into the next one. Its goroutine runs only
// while writes are queued.
type committer struct {
	table   *table.Client
	maxRows int // maximum number of writes in one transaction

	mu           sync.Mutex
	queue        []*write
	active       bool      // the goroutine of run exists
	failingSince time.Time // first failure since the table last answered a commit; zero when it answers
	stats        Stats
}

// Stats counts the writes of a Manager.
type Stats struct {
	Transactions uint64 // commits sent to the table
	Rows         uint64 // rows written by them
}

// submit queues a write. Its result arrives on w.result.
func (c *committer) submit(w *write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, w)
	if !c.active {
		c.active = true
		go c.run()
	}
}

// run commits batches until the queue is empty. It backs off while the table does
// not answer.
func (c *committer) run() {
	backoff := initialBackoff
	for {
		batch := c.nextBatch(time.Now())
		if batch == nil {
			return
		}
		if c.commit(batch) {
			backoff = initialBackoff
			continue
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextBatch removes the next batch from the queue and fails the writes whose
// deadline has passed. It returns nil when the queue is empty; the goroutine must
// then end. A batch holds at most one write for each key: in one transaction two
// writes that expect the same revision of a row would both succeed.
func (c *committer) nextBatch(now time.Time) []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*write
	size := 0
	keys := map[string]bool{}
	for _, w := range c.queue {
		switch {
		case now.After(w.deadline) && w.replyLost:
			w.result <- result{err: errUnresolved}
		case now.After(w.deadline):
			w.result <- result{err: errNotWritten}
		case len(batch) == c.maxRows || size > maxBatchBytes || keys[w.claim.key]:
			rest = append(rest, w)
		default:
			keys[w.claim.key] = true
			size += len(w.value)
			batch = append(batch, w)
		}
	}
	c.queue = rest
	if batch == nil {
		c.active = false
	}
	return batch
}

// requeue puts writes back at the front of the queue.
func (c *committer) requeue(batch []*write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(batch, c.queue...)
}

// commit writes one batch and reports whether the table answered.
func (c *committer) commit(batch []*write) bool {
	var b table.Batch
	for _, w := range batch {
		b.Expect(w.claim.key, w.expected).Put(w.claim.key, w.value)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, err := c.table.Commit(ctx, b)
	c.count(len(batch), err)
	switch {
	case err == nil:
		for _, w := range batch {
			w.result <- result{revision: revision}
		}
	case errors.Is(err, table.ErrConflict):
		return c.resolveConflict(ctx, batch)
	case errors.Is(err, table.ErrUnavailable):
		c.failUncommitted(batch)
		return false
	default:
		// The transaction may have been applied, may be applied later, or never.
		// Committing the same writes again resolves this: once the second commit
		// succeeds, the conditions of the first no longer hold.
		for _, w := range batch {
			w.replyLost = true
		}
		c.requeue(batch)
		return false
	}
	return true
}

// failUncommitted handles a transaction that was certainly not applied. It fails its
// writes, except those with an earlier lost reply, which it requeues.
func (c *committer) failUncommitted(batch []*write) {
	var keep []*write
	for _, w := range batch {
		if w.replyLost {
			keep = append(keep, w)
			continue
		}
		w.result <- result{err: errNotWritten}
	}
	c.requeue(keep)
}

// resolveConflict reads the rows of a batch after a conflict and ends the writes
// whose condition does not hold. It requeues the others.
func (c *committer) resolveConflict(ctx context.Context, batch []*write) bool {
	keys := make([]string, len(batch))
	for i, w := range batch {
		keys[i] = w.claim.key
	}
	rows, err := c.table.Get(ctx, keys...)
	if err != nil || len(rows) != len(batch) {
		c.requeue(batch)
		return false
	}
	var keep []*write
	for i, w := range batch {
		switch r := rows[i]; {
		case r.Revision() == w.expected:
			keep = append(keep, w)
		case w.isStoredIn(r):
			w.result <- result{revision: r.Revision()}
		default:
			w.result <- result{row: r, err: errChanged}
		}
	}
	c.requeue(keep)
	return true
}

// isStoredIn reports whether the row holds this write, committed by an earlier
// transaction whose reply was lost.
func (w *write) isStoredIn(r table.Row) bool {
	if !r.Exists() {
		return false
	}
	v, err := decode(r.Key(), r.Value())
	return err == nil && v.Claim == w.claim.id && v.State == w.state
}

// count updates the statistics and failingSince after a commit of a number of rows.
func (c *committer) count(rows int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Transactions++
	switch {
	case err == nil:
		c.stats.Rows += uint64(rows)
		c.failingSince = time.Time{}
	case errors.Is(err, table.ErrConflict):
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
	}
}

// probe sends a failing table a transaction whose condition never holds. A
// conflict shows that the table takes transactions again.
func (c *committer) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var b table.Batch
	b.Expect(prefix+"probe", math.MaxUint64).Delete(prefix + "probe")
	_, err := c.table.Commit(ctx, b)
	c.count(0, err)
}

// unavailableSince returns the time since which the table does not answer commits,
// or the zero time.
func (c *committer) unavailableSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingSince
}

// Stats returns the number of transactions and rows written since the start.
func (m *Manager) Stats() Stats {
	m.committer.mu.Lock()
	defer m.committer.mu.Unlock()
	return m.committer.stats
}
