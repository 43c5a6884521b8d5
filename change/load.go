package change

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/table"
)

// semaphore admits one goroutine at a time. Unlike the wait for a mutex, the
// wait for it ends with ctx.
type semaphore chan struct{}

func (sem semaphore) acquire(ctx context.Context) error {
	select {
	case sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (sem semaphore) release() { <-sem }

// Refresh reads the head row and loads the changes since the version in effect.
// It returns ErrStale when a read was stale: the head row is older than the
// newest version in this process, was not confirmed, or does not match the
// documents that were read.
func (s *Store) Refresh(ctx context.Context) error {
	_, _, err := s.refresh(ctx)
	return err
}

// refresh implements Refresh. It returns the state in effect and the revision of
// the head row of that state.
func (s *Store) refresh(ctx context.Context) (*state, uint64, error) {
	if err := s.tableLoads.acquire(ctx); err != nil {
		return nil, 0, err
	}
	defer s.tableLoads.release()
	readAt := time.Now()
	row, err := s.cfg.Table.GetOne(ctx, headKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read head: %w", err)
	}
	h, err := decodeHead(row)
	if err != nil {
		return nil, 0, err
	}
	if latest := s.latestState().version; h.Version < latest {
		s.countStaleRead()
		return nil, 0, fmt.Errorf("head row has version %d after %d: %w", h.Version, latest, ErrStale)
	}
	if s.Version() == 0 && h.Version > 0 {
		if err := s.confirmHead(ctx, row.Revision()); err != nil {
			return nil, 0, err
		}
	}
	if h.Version > s.Version() {
		s.noteKnownVersion(h.Version)
		if row, err = s.loadFromTable(ctx, row, h); err != nil {
			return nil, 0, err
		}
	}
	if !s.checkDigest(h.Version, h.Digest) {
		return nil, 0, fmt.Errorf("version %d: %w", h.Version, errDigest)
	}
	s.noteConfirmed(h.Version, readAt)
	return s.current.Load(), row.Revision(), nil
}

// confirmHead checks that a head row was not a stale read, with a transaction
// that writes nothing. This is needed while nothing is in effect in this
// process: it has no version to compare a stale row with, and may have served a
// newer version before it was restarted. It is also needed when an operator has
// seen a newer version than that of the head row.
func (s *Store) confirmHead(ctx context.Context, revision uint64) error {
	var b table.Batch
	b.Expect(headKey, revision)
	for {
		_, err := s.cfg.Table.Commit(ctx, b)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict):
			return fmt.Errorf("head row changed while the process started: %w", ErrStale)
		case !errors.Is(err, table.ErrUnknown) || !clock.Sleep(ctx, retryPause):
			return fmt.Errorf("confirm head: %w", err)
		}
	}
}

// countStaleRead counts a stale read of the table.
func (s *Store) countStaleRead() {
	staleReads.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.StaleReads++
}

// noteKnownVersion records that a version exists.
func (s *Store) noteKnownVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownVersion = max(s.knownVersion, version)
}

// latestState returns the newest state to which records can be applied: the
// unconfirmed state, or the one in effect.
func (s *Store) latestState() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmed != nil {
		return s.unconfirmed
	}
	return s.current.Load()
}

// Limits of an incremental load, in records.
const (
	maxIncrementalRecords = 1024
	recordsPerRead        = 128
)

// loadFromTable activates the version of the head row h. It applies change
// records when they go back far enough and give the right digest, and otherwise
// loads all documents. It returns the head row of the version in effect.
func (s *Store) loadFromTable(ctx context.Context, row table.Row, h head) (table.Row, error) {
	if from := s.latestState(); from.version > 0 && from.version <= h.Version && h.Version-from.version <= maxIncrementalRecords {
		records, err := s.readRecords(ctx, from.version+1, h.Version)
		if err == nil {
			err = s.applyRecords(ctx, from, records, false)
		}
		if err == nil || !errors.Is(err, errGap) && !errors.Is(err, errDigest) {
			return row, err
		}
	}
	r, row, err := s.readAllDocuments(ctx, h)
	if err != nil {
		return row, err
	}
	n, err := emptyState().apply(r)
	if errors.Is(err, errDigest) {
		// The documents come from several reads, and one of them may be stale.
		s.countStaleRead()
		return row, fmt.Errorf("documents of different versions were read: %w", ErrStale)
	}
	if err != nil || n.version <= s.Version() {
		return row, err
	}
	return row, s.activate(ctx, n, []Record{r}, false)
}

// readRecords reads the change records of the versions first to last. It
// returns errGap when one does not exist.
func (s *Store) readRecords(ctx context.Context, first, last uint64) ([]Record, error) {
	var out []Record
	for first <= last {
		var keys []string
		for ; first <= last && len(keys) < recordsPerRead; first++ {
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
			if err := decodeJSON(row.Key(), row.Value(), &r); err != nil {
				return nil, err
			}
			out = append(out, r)
		}
	}
	return out, nil
}

// applyRecords applies records to a state and activates the result. Records
// from a peer are not offered to peers, since that peer has them.
func (s *Store) applyRecords(ctx context.Context, from *state, records []Record, fromPeer bool) error {
	n, applied, err := s.nextState(from, records)
	if err != nil || n == s.current.Load() {
		return err
	}
	return s.activate(ctx, n, applied, fromPeer)
}

// activate makes a state available to peers, offers it to them unless it came
// from a peer, and puts it into effect.
func (s *Store) activate(ctx context.Context, n *state, applied []Record, fromPeer bool) error {
	s.makeAvailable(n, applied)
	if !fromPeer {
		s.offerToPeers(ctx, n)
	}
	return s.setCurrent(n)
}

// nextState applies records to a state. It returns the new state and the
// records that were applied. Records that are not newer than the state are
// skipped.
func (s *Store) nextState(from *state, records []Record) (*state, []Record, error) {
	newer := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Version <= from.version })
	if len(newer) == 0 {
		return from, nil, nil
	}
	merged, err := mergeRecords(newer)
	if err != nil {
		return nil, nil, err
	}
	n, err := from.apply(merged)
	if errors.Is(err, errDigest) {
		s.reportDigestMismatch(err)
	}
	return n, newer, err
}

// mergeRecords merges consecutive records into one, so that the maps of the
// tree are copied only once when it is applied.
func mergeRecords(records []Record) (Record, error) {
	merged := records[0]
	if len(records) == 1 {
		return merged, nil
	}
	latest := map[string]StoredDocument{}
	for i, r := range records {
		if i > 0 && (r.Full || r.Version != records[i-1].Version+1) {
			return merged, fmt.Errorf("version %d after %d: %w", r.Version, records[i-1].Version, errGap)
		}
		for _, d := range r.Docs {
			latest[d.ID] = d
		}
	}
	last := records[len(records)-1]
	merged.Digest, merged.Docs = last.Digest, slices.Collect(maps.Values(latest))
	merged.Version, merged.mergedFrom = last.Version, records[0].Version
	return merged, nil
}

// readAllDocuments reads all documents, then reads the head row again, and
// returns the documents at the version of that second read. Documents that
// changed after the first read of the head row are taken from the change
// records, so that frequent publications do not force the read to start over.
func (s *Store) readAllDocuments(ctx context.Context, first head) (Record, table.Row, error) {
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
	later, err := s.readRecords(ctx, first.Version+1, h.Version)
	if err != nil {
		return Record{}, row, err
	}
	docs := make(map[string]StoredDocument, len(rows))
	for _, r := range rows {
		var d StoredDocument
		if err := decodeJSON(r.Key(), r.Value(), &d); err != nil {
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

// Start loads the newest version that it can reach, from a snapshot, from peers
// and from the table, in this order: peers answer faster than the table and
// leave less to read from it. A snapshot alone may be older than what this
// process served before it was restarted, so it takes effect only when the
// table or a peer answers.
func (s *Store) Start(ctx context.Context) error {
	if err := s.loadSnapshot(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("snapshot was not loaded")
	}
	peerErr := s.fetchFromAllPeers(ctx)
	tableCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := s.Refresh(tableCtx)
	for errors.Is(err, ErrStale) && clock.Sleep(tableCtx, retryPause) {
		err = s.Refresh(tableCtx) // the head row changes while other processes publish
	}
	if err == nil {
		return nil
	}
	if peerErr != nil || errors.Is(err, ErrStale) {
		return errors.Join(err, peerErr)
	}
	s.mu.Lock()
	unconfirmed, known := s.unconfirmed, s.knownVersion
	s.mu.Unlock()
	if unconfirmed == nil || unconfirmed.version < known {
		return fmt.Errorf("version %d exists but can't be loaded: %w", known, err)
	}
	return s.activate(ctx, unconfirmed, nil, true)
}

// loadSnapshot loads the newest snapshot if it is newer than latestState.
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
	if key <= snapshotKey(s.latestState().version) {
		return nil
	}
	text, err := s.cfg.Objects.Get(ctx, key)
	if err != nil {
		return err
	}
	var r Record
	if err := decodeJSON(key, text, &r); err != nil {
		return err
	}
	n, err := emptyState().apply(r)
	if err != nil {
		return err
	}
	s.keepUnconfirmed(n)
	return nil
}

// keepUnconfirmed keeps a state that takes effect once its version is
// confirmed.
func (s *Store) keepUnconfirmed(n *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.version > s.current.Load().version && (s.unconfirmed == nil || n.version > s.unconfirmed.version) {
		s.unconfirmed = n
	}
}

// snapshotInterval is the number of versions between two snapshots. A start
// applies at most this many records to a snapshot, and one object is written
// for every snapshotInterval versions.
const snapshotInterval = 64

// saveSnapshot writes a state as an object, with its version as the key.
// Processes that write the same version write the same documents.
func (s *Store) saveSnapshot(ctx context.Context, st *state) error {
	if s.cfg.Objects == nil {
		return nil
	}
	text, err := json.Marshal(st.fullRecord())
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return s.cfg.Objects.Put(ctx, snapshotKey(st.version), text)
}
