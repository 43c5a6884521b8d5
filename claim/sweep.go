package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

const (
	// sweepPage bounds the rows of one scan and of one transaction of deletes.
	sweepPage = 500
	// sweepPeriod is the time between two pages of the whole fleet. At 100
	// claims/s kept for 24 h there are 17,280 pages, which take 9.6 h: 0.5
	// reads/s and about 0.2 writes/s of the table's budget.
	sweepPeriod = 2 * time.Second
)

func (b *Manager) sweepInterval() time.Duration {
	return time.Duration(max(1, b.cfg.ProcessCount())) * sweepPeriod
}

// SweepPage reads one page of claim rows and removes those whose deadline has
// passed. A row in state "claimed" stays: its holder may be paused for longer
// than any deadline and still start the work. Such rows are left only by
// holders that died with a claim, less than one a day at the target size.
// Pages follow each other from a random start, so that processes that share
// the work do not read the same pages.
func (b *Manager) SweepPage(ctx context.Context) error {
	rows, err := b.cfg.Table.Scan(ctx, prefix, b.cursor, sweepPage)
	if err != nil {
		return fmt.Errorf("scan claims: %w", err)
	}
	b.cursor = ""
	if len(rows) == sweepPage {
		b.cursor = rows[len(rows)-1].Key()
	}
	var batch table.Batch
	var objects []string
	for _, r := range rows {
		v, err := decode(r.Key(), r.Value())
		if err != nil || v.State == claimed || time.Now().Before(v.Until.Add(b.cfg.MaxClockSkew)) {
			continue
		}
		batch.Expect(r.Key(), r.Revision()).Delete(r.Key())
		if v.Outcome != nil && v.Outcome.ObjectKey != "" {
			objects = append(objects, v.Outcome.ObjectKey)
		}
	}
	if len(batch.Deletes) == 0 {
		return nil
	}
	// A conflict or a lost reply leaves the rows to the next pass.
	if _, err := b.cfg.Table.Commit(ctx, batch); err != nil {
		return fmt.Errorf("remove %d expired claims: %w", len(batch.Deletes), err)
	}
	// The object store has no delete; an empty object takes no space.
	for _, key := range objects {
		if err := b.cfg.Objects.Put(ctx, key, nil); err != nil {
			return fmt.Errorf("empty object of an expired claim: %w", err)
		}
	}
	return nil
}
