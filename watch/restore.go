package watch

import (
	"bytes"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

const (
	// deletedMemory is how long deleted rows are remembered. A platform that returns from an older
	// copy, some seconds old, shows them again.
	deletedMemory = 2 * time.Minute
	// maxDeleted bounds the deleted rows that are remembered.
	maxDeleted = 8192
)

// restored is what a Follower knows better than a platform that returned from an older copy.
type restored struct {
	era     uint64                // of the last whole table
	deleted map[string]deletedRow // rows that were deleted lately
	// held holds copied rows in place of which the known row, or its deletion, counts until the
	// row changes.
	held      map[string]Row
	heldUntil time.Duration // clock.Now from which held rows count; 0 for never
}

// deletedRow is the last state of a row that was deleted.
type deletedRow struct {
	row Row
	at  time.Duration // clock.Now
}

func newRestored() restored {
	return restored{deleted: map[string]deletedRow{}, held: map[string]Row{}}
}

// isRestored reports whether a page is the first one of a platform that returned from an older copy.
func (f *Follower) isRestored(p Page) bool {
	return f.rows != nil && p.Whole && table.Era(p.Revision) > f.restored.era
}

// mergeCopied returns a page in which the rows that are older than what this process knows are replaced
// or left out, and records what the page deletes.
func (f *Follower) mergeCopied(p Page, now time.Duration) Page {
	first := f.isRestored(p)
	if p.Whole {
		f.restored.era = table.Era(p.Revision)
	}
	if f.cfg.IsNewer == nil {
		return p
	}
	if first {
		f.restored.held, f.restored.heldUntil = map[string]Row{}, 0
		if f.cfg.CopyGrace > 0 {
			f.restored.heldUntil = now + f.cfg.CopyGrace
		}
	}
	out := p
	out.Rows = make([]Row, 0, len(p.Rows))
	listed := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		listed[r.Key] = true
		if r, ok := f.mergeRow(r, first, now); ok {
			out.Rows = append(out.Rows, r)
		}
	}
	kept := 0
	for key, known := range f.rows {
		switch {
		case !p.Whole || listed[key]:
		case !first:
			f.rememberDeleted(known, now)
		case f.cfg.KeepMissing:
			known.Revision = p.Revision
			out.Rows = append(out.Rows, known)
			kept++
		}
	}
	if first {
		f.cfg.Log.Warn().Str("table", f.cfg.Name).Uint64("revision", p.Revision).Int("rows", len(p.Rows)).Int("older", len(f.restored.held)).Int("missing", kept).
			Msg("table of an older copy; rows known in a newer state keep it")
	}
	return out
}

// mergeRow returns the row that counts in place of a row of a page, and false if none does.
func (f *Follower) mergeRow(r Row, first bool, now time.Duration) (Row, bool) {
	known, exists := f.rows[r.Key]
	if r.Deleted {
		delete(f.restored.held, r.Key)
		if exists {
			f.rememberDeleted(known, now)
		}
		return r, true
	}
	deleted, wasDeleted := f.restored.deleted[r.Key]
	copied, isHeld := f.restored.held[r.Key]
	isHeld = isHeld && copied.Revision == r.Revision
	delete(f.restored.held, r.Key)
	switch {
	case !first && !isHeld:
	case exists && !bytes.Equal(known.Value, r.Value) && f.cfg.IsNewer(known, r):
		f.restored.held[r.Key] = r
		known.Revision = r.Revision
		return known, true
	case !exists && wasDeleted && now-deleted.at < deletedMemory && (isHeld || f.cfg.IsNewer(deleted.row, r)):
		f.restored.held[r.Key] = r
		return r, false
	}
	delete(f.restored.deleted, r.Key)
	return r, true
}

// adoptOffered takes the rows of another process that are newer than the known ones. The rows of the
// platform do not count until they change.
func (f *Follower) adoptOffered(rows []Row) {
	if f.cfg.IsNewer == nil || !f.known {
		return
	}
	var newer []Row
	for _, r := range rows {
		known, ok := f.rows[r.Key]
		if r.Deleted || !ok || !f.cfg.IsNewer(r, known) {
			continue
		}
		f.cfg.Log.Info().Str("table", f.cfg.Name).Str("key", r.Key).Uint64("revision", known.Revision).Msg("row of another process is newer than that of the platform")
		newer = append(newer, Row{Key: r.Key, Value: r.Value, Revision: known.Revision})
	}
	if len(newer) == 0 {
		return
	}
	f.apply(Page{Rows: newer}, 0)
	for _, r := range newer {
		f.restored.held[r.Key] = r
	}
}

// rememberDeleted remembers the last state of a row that was deleted.
func (f *Follower) rememberDeleted(r Row, now time.Duration) {
	if len(f.restored.deleted) >= maxDeleted {
		for key, d := range f.restored.deleted {
			if now-d.at > deletedMemory {
				delete(f.restored.deleted, key)
			}
		}
	}
	if len(f.restored.deleted) < maxDeleted {
		f.restored.deleted[r.Key] = deletedRow{row: r, at: now}
	}
}

// releaseHeld makes the copied rows count that have not changed for CopyGrace: a writer that lives has
// confirmed them, and the rows of others have expired.
func (f *Follower) releaseHeld(now time.Duration) {
	if f.restored.heldUntil == 0 || now < f.restored.heldUntil {
		return
	}
	f.restored.heldUntil = 0
	if len(f.restored.held) == 0 {
		return
	}
	p := Page{Revision: f.revision, Clock: 0}
	for key, r := range f.restored.held {
		p.Rows = append(p.Rows, r)
		delete(f.restored.deleted, key)
	}
	clear(f.restored.held)
	f.cfg.Log.Info().Str("table", f.cfg.Name).Int("rows", len(p.Rows)).Msg("rows of the older copy count, they were not written again")
	f.apply(p, 0)
}
