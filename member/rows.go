package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

const (
	joinTimeout        = 4 * time.Second
	rowTimeout         = 3 * time.Second  // one call to the table service
	minRefreshInterval = 2 * time.Second  // shortest time between writes, and between scans, by one process
	refreshRate        = 50               // row writes/s by all processes together
	scanRate           = 8                // scans/s by all processes together; a scan of 980 rows takes 245 KB
	forgetAfter        = time.Hour        // an unreachable member without a row is pinged for this long
	joinAttempts       = 10               // more conflicts at joining mean that two processes use one name
	rowPrefix          = "member/"        // key prefix of the rows
	maxListAge         = 30 * time.Second // how long a caller may cache an address list
)

func rowKey(name string) string { return rowPrefix + name }

// row is the JSON value of a member row. Until is for operators only: no process
// relies on it, since clocks differ.
type row struct {
	Member
	Until time.Time `json:"until"`
}

// maxSequence bounds the sequence in a row, which begins at the Unix time in milliseconds. A process must
// be able to state a greater one.
const maxSequence = 1 << 60

// decodeRow returns the member that a row describes. Another writer may have written it.
func decodeRow(r table.Row) (Member, error) {
	var v row
	if err := json.Unmarshal(r.Value(), &v); err != nil {
		return Member{}, fmt.Errorf("decode member row: %w", err)
	}
	if rowKey(v.Name) != r.Key() || v.Incarnation == "" || v.PeerAddress == "" || v.Sequence > maxSequence {
		return Member{}, fmt.Errorf("member row is that of %.100q, incarnation %.100q at %.100q with sequence %d", v.Name, v.Incarnation, v.PeerAddress, v.Sequence)
	}
	for _, text := range []string{v.Name, v.Incarnation, v.Domain, v.Region, v.CallerAddress, v.PeerAddress} {
		if !label.IsValid(text) {
			return Member{}, fmt.Errorf("text %.100q is too long or not printable", text)
		}
	}
	return v.Member, nil
}

// processCount returns the number of processes that are not unreachable, this one
// included. The caller holds ms.mu.
func (ms *Membership) processCount() int {
	n := 1
	for _, rec := range ms.peers {
		if rec.state != unreachable {
			n++
		}
	}
	return n
}

// refreshInterval returns the time between two writes of the own row.
func (ms *Membership) refreshInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.intervalPerProcess(refreshRate)
}

// scanInterval returns the time between two scans by this process.
func (ms *Membership) scanInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.intervalPerProcess(scanRate)
}

// intervalPerProcess returns the interval at which one process does something that
// all processes together do rate times a second. It is at least
// minRefreshInterval. The caller holds ms.mu.
func (ms *Membership) intervalPerProcess(rate int) time.Duration {
	return max(minRefreshInterval, time.Duration(ms.processCount())*time.Second/time.Duration(rate))
}

// rowExpiry returns how long this process must see a row unchanged to take it for
// abandoned: the time of three missing writes, plus two scans to notice them. The
// caller holds ms.mu.
func (ms *Membership) rowExpiry() time.Duration {
	return 3*ms.intervalPerProcess(refreshRate) + 2*ms.intervalPerProcess(scanRate)
}

// join reads all rows and writes the own row, which replaces that of an older
// incarnation.
func (ms *Membership) join(ctx context.Context) error {
	var err error
	for range joinAttempts {
		if err = ms.scan(ctx); err != nil {
			return err
		}
		if err = ms.writeOwnRow(ctx); err == nil {
			return nil
		}
		if !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return err
}

// refreshOwnRow writes the own row again. After a conflict or a lost reply it reads
// the row first.
func (ms *Membership) refreshOwnRow(ctx context.Context) {
	if ms.Superseded() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	err := ms.writeOwnRow(ctx)
	if errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnknown) {
		// Another process wrote the row, or the reply was lost. The row tells which.
		if err = ms.adoptOwnRow(ctx); err == nil && !ms.Superseded() {
			err = ms.writeOwnRow(ctx)
		}
	}
	if err != nil && ms.ctx.Err() == nil {
		ms.cfg.Log.Info().Err(err).Msg("own row was not refreshed")
	}
}

// writeOwnRow commits the own row on the condition that its revision is the last one
// seen.
func (ms *Membership) writeOwnRow(ctx context.Context) error {
	until := time.Now().Add(3 * ms.refreshInterval())
	ms.mu.Lock()
	self, revision := ms.self, ms.revision
	ms.mu.Unlock()
	value, err := json.Marshal(row{Member: self, Until: until.UTC()})
	if err != nil {
		return fmt.Errorf("encode member row: %w", err)
	}
	b := table.Batch{}
	b.Expect(rowKey(self.Name), revision).Put(rowKey(self.Name), value)
	got, err := ms.cfg.Table.Commit(ctx, b)
	if err != nil {
		return fmt.Errorf("write member row: %w", err)
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.revision = max(ms.revision, got)
	return nil
}

// adoptOwnRow reads the own row and takes over its revision. A row of a newer
// incarnation makes this process superseded.
func (ms *Membership) adoptOwnRow(ctx context.Context) error {
	r, err := ms.cfg.Table.GetOne(ctx, rowKey(ms.cfg.Self.Name))
	if err != nil {
		return fmt.Errorf("read own row: %w", err)
	}
	ms.adoptRow(r)
	return nil
}

// adoptRow takes over the revision of a row with the own name. A row that another writer has overwritten
// says nothing else.
func (ms *Membership) adoptRow(r table.Row) {
	var v Member
	var err error
	if r.Exists() {
		if v, err = decodeRow(r); err != nil {
			ms.odd.Reject(watch.Row{Key: r.Key(), Value: r.Value(), Revision: r.Revision()}, err)
		}
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if !r.Exists() || err != nil {
		ms.revision = r.Revision()
		return
	}
	if v.Incarnation != ms.self.Incarnation && ms.revision == table.Absent {
		// While joining, the row is that of an older incarnation.
		ms.self.Sequence = max(ms.self.Sequence, v.Sequence+1)
	}
	ms.merge(v)
	ms.revision = r.Revision()
}

// scanLoop reads all rows periodically and on request.
func (ms *Membership) scanLoop() {
	for {
		select {
		case <-ms.ctx.Done():
			return
		case <-ms.scanNow:
		case <-time.After(ms.scanInterval()):
		}
		ms.cfg.BeforeStep()
		ms.pauses.Check()
		ctx, cancel := context.WithTimeout(ms.ctx, rowTimeout)
		if err := ms.scan(ctx); err != nil && ms.ctx.Err() == nil {
			ms.cfg.Log.Info().Err(err).Msg("member rows were not read")
		}
		cancel()
		ms.removeAbandoned()
		ms.syncLists(ms.ctx)
	}
}

// scan reads all member rows and merges them.
func (ms *Membership) scan(ctx context.Context) error {
	rows, err := ms.cfg.Table.ScanAll(ctx, rowPrefix)
	if err != nil {
		return fmt.Errorf("scan member rows: %w", err)
	}
	seen := map[string]bool{}
	for _, r := range rows {
		if r.Key() == rowKey(ms.cfg.Self.Name) {
			ms.mergeOwnRow(r)
			continue
		}
		v, err := decodeRow(r)
		if err != nil {
			ms.odd.Reject(watch.Row{Key: r.Key(), Value: r.Value(), Revision: r.Revision()}, err)
			continue
		}
		ms.odd.Accept(r.Key())
		seen[v.Name] = true
		ms.mu.Lock()
		if rec := ms.merge(v); rec != nil && rec.member.Incarnation == v.Incarnation && r.Revision() > rec.revision {
			// A stale read may show an older revision, which is ignored.
			rec.revision, rec.revisionSeen = r.Revision(), time.Now()
		}
		ms.mu.Unlock()
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.scanned = time.Now()
	for name, rec := range ms.peers {
		if !seen[name] {
			rec.revision = 0
		}
	}
	return nil
}

// mergeOwnRow takes over the revision of the own row from a scan, but only while
// joining: a scan may be stale, and refreshOwnRow reads the row itself when its
// condition fails.
func (ms *Membership) mergeOwnRow(r table.Row) {
	ms.mu.Lock()
	joined := ms.revision != table.Absent
	ms.mu.Unlock()
	if joined {
		return
	}
	ms.adoptRow(r)
}

// removeAbandoned forgets unreachable members without a row and deletes the rows of
// unreachable members. Only the live predecessor of a member on the ring deletes
// its row, and only when the row has not changed for rowExpiry on the own clock.
func (ms *Membership) removeAbandoned() {
	pauses := ms.pauses.Check()
	now := time.Now()
	batches := []table.Batch{}
	ms.mu.Lock()
	expiry := ms.rowExpiry()
	for name, rec := range ms.peers {
		switch {
		case rec.state != unreachable:
		case rec.revision == 0 && now.Sub(rec.unreachableSince) > forgetAfter:
			delete(ms.peers, name)
		case rec.revision != 0 && now.Sub(rec.revisionSeen) > expiry && now.Sub(rec.unreachableSince) > expiry && ms.predecessor(name) == ms.self.Name:
			batch := table.Batch{}
			batch.Expect(rowKey(name), rec.revision).Delete(rowKey(name))
			batches = append(batches, batch)
		}
	}
	ms.mu.Unlock()
	for _, batch := range batches {
		if ms.pauses.Check() != pauses {
			return
		}
		ctx, cancel := context.WithTimeout(ms.ctx, rowTimeout)
		if _, err := ms.cfg.Table.Commit(ctx, batch); err != nil {
			ms.cfg.Log.Info().Err(err).Str("row", batch.Deletes[0]).Msg("row of a dead member was not deleted")
		}
		cancel()
	}
}
