package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// Times of the table rows.
const (
	joinTimeout  = 4 * time.Second
	rowTimeout   = 3 * time.Second  // one call to the table service
	refreshFloor = 2 * time.Second  // least time between writes of a row
	refreshRate  = 50               // row writes a second of all processes together
	scanRate     = 8                // scans a second of all processes together; a scan of 980 rows takes 245 KB
	forgetAfter  = time.Hour        // a lost member without a row is tried for so long
	joinAttempts = 10               // conflicts at joining mean that two processes have one name
	rowPrefix    = "member/"        // prefix of the rows
	listTimeout  = 30 * time.Second // an address list may be cached for so long at most
)

func rowKey(name string) string { return rowPrefix + name }

// row is the JSON value of a member row. Until informs people; no process
// decides by it, since clocks differ.
type row struct {
	Member
	Until time.Time `json:"until"`
}

// count returns the number of processes. It needs the lock.
func (t *Membership) count() int {
	n := 1
	for _, e := range t.entries {
		if e.state != lost {
			n++
		}
	}
	return n
}

func (t *Membership) refreshInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.each(refreshRate)
}

func (t *Membership) scanInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.each(scanRate)
}

// each returns the interval of one process when all together do something
// rate times a second. It needs the lock.
func (t *Membership) each(rate int) time.Duration {
	return max(refreshFloor, time.Duration(t.count())*time.Second/time.Duration(rate))
}

// expiry returns how long this process must see a row unchanged to take it
// for abandoned: three writes that are missing, seen through its own scans. It
// needs the lock.
func (t *Membership) expiry() time.Duration { return 3*t.each(refreshRate) + 2*t.each(scanRate) }

// join reads all rows and writes the own one over that of an older
// incarnation.
func (t *Membership) join(ctx context.Context) error {
	var err error
	for range joinAttempts {
		if err = t.scan(ctx); err != nil {
			return err
		}
		if err = t.write(ctx); err == nil {
			return nil
		}
		if !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return err
}

// refresh writes the own row.
func (t *Membership) refresh(ctx context.Context) {
	if t.Superseded() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	err := t.write(ctx)
	if errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnknown) {
		// Somebody else wrote, or the reply was lost: the row says which.
		if err = t.adopt(ctx); err == nil && !t.Superseded() {
			err = t.write(ctx)
		}
	}
	if err != nil && t.ctx.Err() == nil {
		t.cfg.Log.Info().Err(err).Msg("own row was not refreshed")
	}
}

// write commits the own row on the condition that it is as last seen.
func (t *Membership) write(ctx context.Context) error {
	until := time.Now().Add(3 * t.refreshInterval())
	t.mu.Lock()
	self, revision := t.self, t.revision
	t.mu.Unlock()
	value, err := json.Marshal(row{Member: self, Until: until.UTC()})
	if err != nil {
		return fmt.Errorf("encode member row: %w", err)
	}
	b := table.Batch{}
	b.Expect(rowKey(self.Name), revision).Put(rowKey(self.Name), value)
	got, err := t.cfg.Table.Commit(ctx, b)
	if err != nil {
		return fmt.Errorf("write member row: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = max(t.revision, got)
	return nil
}

// adopt reads the own row and takes over its revision, unless a newer
// incarnation wrote it.
func (t *Membership) adopt(ctx context.Context) error {
	r, err := t.cfg.Table.GetOne(ctx, rowKey(t.cfg.Self.Name))
	if err != nil {
		return fmt.Errorf("read own row: %w", err)
	}
	return t.own(r)
}

func (t *Membership) own(r table.Row) error {
	var v row
	if r.Exists() {
		if err := json.Unmarshal(r.Value(), &v); err != nil {
			return fmt.Errorf("decode own row: %w", err)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.Exists() {
		t.revision = table.Absent
		return nil
	}
	if v.Incarnation != t.self.Incarnation && t.revision == table.Absent {
		// Joining: the row is that of an older incarnation.
		t.self.Sequence = max(t.self.Sequence, v.Sequence+1)
	}
	t.merge(v.Member)
	t.revision = r.Revision()
	return nil
}

// scanLoop reads all rows now and then.
func (t *Membership) scanLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		case <-time.After(t.scanInterval()):
		}
		t.cfg.BeforeStep()
		t.pulse.Check()
		ctx, cancel := context.WithTimeout(t.ctx, rowTimeout)
		if err := t.scan(ctx); err != nil && t.ctx.Err() == nil {
			t.cfg.Log.Info().Err(err).Msg("member rows were not read")
		}
		cancel()
		t.clean()
		t.sync(t.ctx)
	}
}

// scan reads all rows and merges them.
func (t *Membership) scan(ctx context.Context) error {
	rows, err := t.cfg.Table.ScanAll(ctx, rowPrefix)
	if err != nil {
		return fmt.Errorf("scan member rows: %w", err)
	}
	seen := map[string]bool{}
	for _, r := range rows {
		var v row
		if err := json.Unmarshal(r.Value(), &v); err != nil || rowKey(v.Name) != r.Key() {
			t.cfg.Log.Error().Str("key", r.Key()).Msg("member row can't be decoded")
			continue
		}
		seen[v.Name] = true
		if v.Name == t.cfg.Self.Name {
			t.scanOwn(r)
			continue
		}
		t.mu.Lock()
		if e := t.merge(v.Member); e != nil && e.member.Incarnation == v.Incarnation && r.Revision() > e.revision {
			// A stale read shows an old revision, which says nothing.
			e.revision, e.moved = r.Revision(), time.Now()
		}
		t.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scanned = time.Now()
	for name, e := range t.entries {
		if !seen[name] {
			e.revision = 0
		}
	}
	return nil
}

// scanOwn takes the revision of the own row only while joining: a scan may be
// stale, and refresh reads the row itself when its condition fails.
func (t *Membership) scanOwn(r table.Row) {
	t.mu.Lock()
	joined := t.revision != table.Absent
	t.mu.Unlock()
	if joined {
		return
	}
	if err := t.own(r); err != nil {
		t.cfg.Log.Error().Err(err).Msg("own row can't be decoded")
	}
}

// clean forgets lost members and deletes rows that nobody refreshes. Only the
// first live predecessor of a member on the ring deletes its row, and only if
// the row has not moved for its expiry on the own clock.
func (t *Membership) clean() {
	epoch := t.pulse.Check()
	now := time.Now()
	b := []table.Batch{}
	t.mu.Lock()
	expiry := t.expiry()
	for name, e := range t.entries {
		switch {
		case e.state != lost:
		case e.revision == 0 && now.Sub(e.lostAt) > forgetAfter:
			delete(t.entries, name)
		case e.revision != 0 && now.Sub(e.moved) > expiry && now.Sub(e.lostAt) > expiry && t.before(name) == t.self.Name:
			one := table.Batch{}
			one.Expect(rowKey(name), e.revision).Delete(rowKey(name))
			b = append(b, one)
		}
	}
	t.mu.Unlock()
	for _, one := range b {
		if t.pulse.Check() != epoch {
			return
		}
		ctx, cancel := context.WithTimeout(t.ctx, rowTimeout)
		if _, err := t.cfg.Table.Commit(ctx, one); err != nil {
			t.cfg.Log.Info().Err(err).Str("row", one.Deletes[0]).Msg("row of a dead member was not deleted")
		}
		cancel()
	}
}
