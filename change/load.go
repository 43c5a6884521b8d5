package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/table"
)

// gate lets one goroutine through at a time. It is a channel in place of a
// mutex because the wait must end with ctx.
type gate chan struct{}

func (g gate) enter(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g gate) leave() { <-g }

// Refresh reads the head row and loads what changed since the version in
// force. A head row that is older than that is a stale read and gives ErrStale.
func (s *Store) Refresh(ctx context.Context) error {
	_, _, err := s.refresh(ctx)
	return err
}

// refresh returns the state in effect and the revision of the head row that
// belongs to it.
func (s *Store) refresh(ctx context.Context) (*state, uint64, error) {
	if err := s.loading.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer s.loading.leave()
	at := time.Now()
	row, err := s.cfg.Table.GetOne(ctx, headKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read head: %w", err)
	}
	h, err := decodeHead(row)
	if err != nil {
		return nil, 0, err
	}
	if now := s.from().version; h.Version < now {
		s.stale()
		return nil, 0, fmt.Errorf("head row has version %d after %d: %w", h.Version, now, ErrStale)
	}
	if s.Version() == 0 && h.Version > 0 {
		if err := s.confirmHead(ctx, row.Revision()); err != nil {
			return nil, 0, err
		}
	}
	if h.Version > s.Version() {
		s.heard(h.Version)
		if row, err = s.loadTable(ctx, row, h); err != nil {
			return nil, 0, err
		}
	}
	if !s.compare(h.Version, h.Digest) {
		return nil, 0, fmt.Errorf("version %d: %w", h.Version, errDigest)
	}
	s.confirm(h.Version, at)
	return s.force.Load(), row.Revision(), nil
}

// confirmHead makes sure that a head row is not a stale read, by a transaction
// that writes nothing. A process in which nothing is in effect needs that: it
// can't tell a stale row from the newest one, and before it was restarted it
// may have served a newer version.
func (s *Store) confirmHead(ctx context.Context, revision uint64) error {
	var b table.Batch
	b.Expect(headKey, revision)
	for {
		_, err := s.cfg.Table.Commit(ctx, b)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict):
			return fmt.Errorf("head row moved while the process started: %w", ErrStale)
		case !errors.Is(err, table.ErrUnknown) || !sleep(ctx, retryPause):
			return fmt.Errorf("confirm head: %w", err)
		}
	}
}

func (s *Store) stale() {
	staleReads.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.StaleReads++
}

func (s *Store) heard(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = max(s.known, version)
}

// from returns the newest state that records can be applied to.
func (s *Store) from() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base != nil {
		return s.base
	}
	return s.force.Load()
}

// Bounds of an incremental load, in records.
const (
	maxGap     = 1024
	recordPage = 128
)

// loadTable brings the version of the head row in effect, from records when
// they reach back far enough, else from all documents. It returns the head row
// of the version in effect.
func (s *Store) loadTable(ctx context.Context, row table.Row, h head) (table.Row, error) {
	if from := s.from(); from.version > 0 && from.version <= h.Version && h.Version-from.version <= maxGap {
		records, err := s.readRecords(ctx, from.version+1, h.Version)
		if err == nil {
			err = s.advance(ctx, from, records, false)
		}
		if err == nil || !errors.Is(err, errGap) && !errors.Is(err, errDigest) {
			return row, err
		}
	}
	r, row, err := s.readAll(ctx, h)
	if err != nil {
		return row, err
	}
	n, err := emptyState().next(r)
	if errors.Is(err, errDigest) {
		// The documents come from several reads, one of which may be stale.
		s.stale()
		return row, fmt.Errorf("documents of different versions were read: %w", ErrStale)
	}
	if err != nil || n.version <= s.Version() {
		return row, err
	}
	return row, s.enter(ctx, n, []Record{r}, false)
}

func (s *Store) readRecords(ctx context.Context, first, last uint64) ([]Record, error) {
	var out []Record
	for first <= last {
		var keys []string
		for ; first <= last && len(keys) < recordPage; first++ {
			keys = append(keys, recordKey(first))
		}
		rows, err := s.cfg.Table.Get(ctx, keys...)
		if err != nil {
			return nil, fmt.Errorf("read changes: %w", err)
		}
		for _, row := range rows {
			if !row.Exists() {
				return nil, fmt.Errorf("row %q does not exist: %w", row.Key(), errGap)
			}
			var r Record
			if err := decode(row.Key(), row.Value(), &r); err != nil {
				return nil, err
			}
			out = append(out, r)
		}
	}
	return out, nil
}

// advance applies records to a state and puts the result into effect. Records of
// a peer are not offered to peers, since that peer has them.
func (s *Store) advance(ctx context.Context, from *state, records []Record, peer bool) error {
	n, used, err := s.follow(from, records)
	if err != nil || n == s.force.Load() {
		return err
	}
	return s.enter(ctx, n, used, peer)
}

// enter puts a state into effect after peers can have it.
func (s *Store) enter(ctx context.Context, n *state, used []Record, peer bool) error {
	s.hold(n, used)
	if !peer {
		s.offer(ctx, n)
	}
	return s.install(n)
}

// follow applies records to a state, and returns the result and the records
// that were used. Records that are not newer are skipped.
func (s *Store) follow(from *state, records []Record) (*state, []Record, error) {
	used := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Version <= from.version })
	if len(used) == 0 {
		return from, nil, nil
	}
	all, err := merge(used)
	if err != nil {
		return nil, nil, err
	}
	n, err := from.next(all)
	if errors.Is(err, errDigest) {
		s.violated(err)
	}
	return n, used, err
}

// merge returns one record for several that follow each other: applying one
// copies the maps of the tree once.
func merge(records []Record) (Record, error) {
	all := records[0]
	if len(records) == 1 {
		return all, nil
	}
	last := map[string]StoredDocument{}
	for i, r := range records {
		if i > 0 && (r.Full || r.Version != records[i-1].Version+1) {
			return all, fmt.Errorf("version %d after %d: %w", r.Version, records[i-1].Version, errGap)
		}
		for _, d := range r.Docs {
			last[d.ID] = d
		}
	}
	end := records[len(records)-1]
	all.Digest, all.Docs = end.Digest, slices.Collect(maps.Values(last))
	all.Version, all.first = end.Version, records[0].Version
	return all, nil
}

// readAll reads all documents after the head row and returns them at the
// version of a second read of the head row. Documents that changed between the
// two are taken from the records, so that frequent publications can't make the
// read start again and again.
func (s *Store) readAll(ctx context.Context, before head) (Record, table.Row, error) {
	rows, err := s.cfg.Table.ScanAll(ctx, docPrefix)
	if err != nil {
		return Record{}, table.Row{}, fmt.Errorf("read documents: %w", err)
	}
	row, err := s.cfg.Table.GetOne(ctx, headKey)
	if err != nil {
		return Record{}, row, fmt.Errorf("read head: %w", err)
	}
	h, err := decodeHead(row)
	if err != nil {
		return Record{}, row, err
	}
	later, err := s.readRecords(ctx, before.Version+1, h.Version)
	if err != nil {
		return Record{}, row, err
	}
	docs := make(map[string]StoredDocument, len(rows))
	for _, r := range rows {
		var d StoredDocument
		if err := decode(r.Key(), r.Value(), &d); err != nil {
			return Record{}, row, err
		}
		docs[d.ID] = d
	}
	for _, r := range later {
		for _, d := range r.Docs {
			docs[d.ID] = d
		}
	}
	return Record{Version: h.Version, Digest: h.Digest, Publication: h.Publication, Full: true, Docs: slices.Collect(maps.Values(docs))}, row, nil
}

// Start loads the newest version that can be reached: from a snapshot, peers
// and the table. Peers come before the table since they answer faster and leave
// less to read there. A snapshot alone may be older than what this process
// served before it was restarted, so something takes effect only when the
// table or a peer answers.
func (s *Store) Start(ctx context.Context) error {
	if err := s.loadSnapshot(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("snapshot was not loaded")
	}
	peerErr := s.fetchAny(ctx)
	tctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := s.Refresh(tctx)
	for errors.Is(err, ErrStale) && sleep(tctx, retryPause) {
		err = s.Refresh(tctx) // the head moves while other processes publish
	}
	if err == nil {
		return nil
	}
	if peerErr != nil || errors.Is(err, ErrStale) {
		return errors.Join(err, peerErr)
	}
	s.mu.Lock()
	base, known := s.base, s.known
	s.mu.Unlock()
	if base == nil || base.version < known {
		return fmt.Errorf("version %d is known and out of reach: %w", known, err)
	}
	return s.enter(ctx, base, nil, true)
}

// loadSnapshot reads the newest snapshot that is newer than the version held.
func (s *Store) loadSnapshot(ctx context.Context) error {
	if s.cfg.Objects == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	keys, err := s.cfg.Objects.List(ctx, snapshotPrefix)
	if err != nil || len(keys) == 0 {
		return err
	}
	key := keys[len(keys)-1]
	if key <= snapshotKey(s.from().version) {
		return nil
	}
	text, err := s.cfg.Objects.Get(ctx, key)
	if err != nil {
		return err
	}
	var r Record
	if err := decode(key, text, &r); err != nil {
		return err
	}
	n, err := emptyState().next(r)
	if err != nil {
		return err
	}
	s.prepare(n)
	return nil
}

// prepare keeps a state that takes effect once it is confirmed.
func (s *Store) prepare(n *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.version > s.force.Load().version && (s.base == nil || n.version > s.base.version) {
		s.base = n
	}
}

// snapshotEvery is the number of versions between two snapshots: a start
// applies at most so many records, and one object is written for each.
const snapshotEvery = 64

// saveSnapshot writes the state as an object under its version. Two processes
// that write the same version write the same documents.
func (s *Store) saveSnapshot(ctx context.Context, st *state) error {
	if s.cfg.Objects == nil {
		return nil
	}
	text, err := json.Marshal(st.full())
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return s.cfg.Objects.Put(ctx, snapshotKey(st.version), text)
}
