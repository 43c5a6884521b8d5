package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

const (
	// sweepPage is the maximum number of rows in one scan and in the transaction
	// that deletes the expired ones.
	sweepPage = 500
	// sweepPeriod is the time between two pages over all processes together. At
	// 100 claims/s and a retention of 24 h there are 17,280 pages. A full pass
	// takes 9.6 h, at 0.5 reads/s and about 0.2 writes/s on the table.
	sweepPeriod = 2 * time.Second
)

// sweepInterval returns the time between two pages swept by this process.
func (m *Manager) sweepInterval() time.Duration {
	return time.Duration(max(1, m.cfg.ProcessCount())) * sweepPeriod
}

// SweepPage reads one page of claim rows and deletes those whose retention is
// over. It keeps rows in state "claimed": the holder may be paused for longer
// than any deadline and still start the work. Only holders that die with a claim
// leave such rows behind, less than one a day at the target size. Each process
// starts at a random key and continues from page to page, so that processes do
// not read the same pages.
func (m *Manager) SweepPage(ctx context.Context) error {
	rows, err := m.cfg.Table.Scan(ctx, prefix, m.cursor, sweepPage)
	if err != nil {
		return fmt.Errorf("scan claims: %w", err)
	}
	m.cursor = ""
	if len(rows) == sweepPage {
		m.cursor = rows[len(rows)-1].Key()
	}
	var batch table.Batch
	var objects []string
	for _, r := range rows {
		v, err := decode(r.Key(), r.Value())
		if err != nil || v.State == claimed || time.Now().Before(v.Until.Add(m.cfg.MaxClockSkew)) {
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
	// After a conflict or a lost reply the next pass handles the rows.
	if _, err := m.cfg.Table.Commit(ctx, batch); err != nil {
		return fmt.Errorf("remove %d expired claims: %w", len(batch.Deletes), err)
	}
	// The object store has no delete operation; an empty object takes no space.
	for _, key := range objects {
		if err := m.cfg.Objects.Put(ctx, key, nil); err != nil {
			return fmt.Errorf("empty object of an expired claim: %w", err)
		}
	}
	return nil
}
