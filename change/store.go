package change

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

var (
	// ErrStale reports a version that is not newer than the one in effect.
	ErrStale = errors.New("version is not newer than the one in effect")
	errGap   = errors.New("records are missing before the version")
)

var (
	digestMismatches = metrics.NewCounter("cranberrybay_config_digest_violations_total")
	staleReads       = metrics.NewCounter("cranberrybay_config_stale_reads_total")
)

// StoreConfig configures a Store. Only Table is required.
type StoreConfig struct {
	Table   *table.Client
	Objects *object.Client // snapshots; nil for none
	Rand    *rand.Rand     // for StepDelay; nil means a random seed
	Log     zerolog.Logger

	// Live returns the number of entry processes, including this one. The poll
	// interval grows with it, which limits the total reads of the head row. Nil
	// means one process.
	Live func() int
	// Announce announces a version that took effect in this process to the
	// peers. It must not block. It is nil when there are no peers.
	Announce func(Announcement)
	// Offer announces a version to some peers before it takes effect in this
	// process. It returns when one of them has loaded the version, that is, when
	// its Store.HandleAnnouncement has returned nil. It is called for versions
	// that were read from the table or accepted in this process. Without it, a
	// process could serve a version, restart while it can't reach the table, and
	// find only peers that do not know the version.
	Offer func(context.Context, Announcement) error
	// Peers returns the names of the peers from which Start fetches records.
	Peers func() []string
	// Fetch returns the records of a peer after a version, as returned by its
	// Store.Records.
	Fetch func(ctx context.Context, peer string, after uint64) ([]Record, error)
}

// Store holds the configuration in effect in this process.
type Store struct {
	cfg     StoreConfig
	current atomic.Pointer[state] // atomic, since every request reads it
	// These admit one load from the table and one fetch from a peer at a time.
	// They are separate, so that a slow table does not delay fetches from peers.
	tableLoads, peerFetches semaphore

	mu            sync.Mutex
	unconfirmed   *state    // from a snapshot or a peer, not in effect until it is confirmed; may be nil
	available     *state    // in effect or about to take effect; peers may fetch it
	recentRecords []Record  // the last records in order, up to available
	knownVersion  uint64    // highest version known to exist
	confirmedAt   time.Time // when the version was last confirmed to be the newest
	changed       chan struct{}
	counters      VersionStatus

	isNewer func(next, current uint64) bool // replaced in tests
}

// NewStore returns a Store with an empty tree at version 0.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Store{cfg: cfg, tableLoads: make(semaphore, 1), peerFetches: make(semaphore, 1), changed: make(chan struct{})}
	s.isNewer = func(next, current uint64) bool { return next > current }
	s.available = emptyState()
	s.current.Store(s.available)
	return s
}

// Tree returns the configuration in effect.
func (s *Store) Tree() *spec.Tree { return s.current.Load().tree }

// Version returns the version in effect, or 0 while none has been loaded.
func (s *Store) Version() uint64 { return s.current.Load().version }

// LastChange returns the last change of a document, without its text, and
// whether the document was ever published.
func (s *Store) LastChange(id string) (StoredDocument, bool) {
	d, ok := s.current.Load().lastChanges[id]
	return d, ok
}

// ConfirmedAt returns the last time at which the version was confirmed to be
// the newest, by the table or by a peer that had it from the table.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// Changed returns a channel that is closed when a newer version takes effect.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// VersionStatus is what a process knows about its version.
type VersionStatus struct {
	Version     uint64    `json:"version"`
	Digest      uint64    `json:"digest,string"`
	Known       uint64    `json:"known"`      // highest version known to exist
	ConfirmedAt time.Time `json:"checked"`    // when the version was last confirmed to be the newest
	Behind      bool      `json:"behind"`     // a newer version exists or may exist
	Violations  uint64    `json:"violations"` // mismatches of digests at the same version
	StaleReads  uint64    `json:"stale"`      // stale reads of the table
}

// VersionStatus returns what the process knows about its version. The process
// may be behind when it knows that a newer version exists, or when its version
// was not confirmed for maxTimeToEffect plus two poll intervals.
func (s *Store) VersionStatus() VersionStatus {
	maxUnconfirmed := maxTimeToEffect + 2*s.pollInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	h := s.counters
	h.Version, h.Digest, h.Known, h.ConfirmedAt = current.version, current.tree.Digest(), max(s.knownVersion, current.version), s.confirmedAt
	h.Behind = h.Known > h.Version || time.Since(s.confirmedAt) > maxUnconfirmed
	return h
}

// maxTimeToEffect is the time within which an accepted change must be in effect
// in all processes.
const maxTimeToEffect = 5 * time.Second

// Apply puts a tree into effect that was not loaded from the table. It returns
// ErrStale unless the version is newer than the one in effect.
func (s *Store) Apply(version uint64, t *spec.Tree) error {
	n := &state{version: version, tree: t, lastChanges: map[string]StoredDocument{}}
	for _, d := range t.Documents() {
		n.lastChanges[d.ID()] = StoredDocument{ID: d.ID(), Path: d.Path(), Version: version}
	}
	s.makeAvailable(n, nil)
	return s.setCurrent(n)
}

// maxRecentRecords is the number of records kept in memory for peers that are
// slightly behind.
const maxRecentRecords = 128

// makeAvailable lets peers fetch a state. The records lead to that state.
func (s *Store) makeAvailable(n *state, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isNewer(n.version, s.available.version) {
		return
	}
	if len(records) == 0 || records[0].Full || records[0].Version != s.available.version+1 {
		s.recentRecords = nil
	}
	s.recentRecords = append(s.recentRecords, records...)
	s.recentRecords = s.recentRecords[max(0, len(s.recentRecords)-maxRecentRecords):]
	s.available = n
}

// offerTimeout is how long an offer waits for a peer. Two round trips take
// about 2 ms.
const offerTimeout = 200 * time.Millisecond

// offerToPeers waits until a peer has loaded a state, before it takes effect in
// this process. It gives up with a warning when no peer could load it or after
// offerTimeout.
func (s *Store) offerToPeers(ctx context.Context, n *state) {
	if s.cfg.Offer == nil || n.version <= s.Version() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if err := s.cfg.Offer(ctx, Announcement{Version: n.version, Digest: n.tree.Digest()}); err != nil {
		s.cfg.Log.Warn().Err(err).Uint64("version", n.version).Msg("no peer has taken the version before it takes effect")
	}
}

// setCurrent puts a state into effect and announces it.
func (s *Store) setCurrent(n *state) error {
	s.mu.Lock()
	current := s.current.Load()
	if !s.isNewer(n.version, current.version) {
		s.mu.Unlock()
		if n.version == current.version {
			s.checkDigest(n.version, n.tree.Digest())
		}
		return fmt.Errorf("version %d after %d: %w", n.version, current.version, ErrStale)
	}
	s.current.Store(n)
	s.knownVersion = max(s.knownVersion, n.version)
	s.unconfirmed = nil
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if s.cfg.Announce != nil {
		s.cfg.Announce(s.Announcement())
	}
	return nil
}

// checkDigest reports whether a digest matches the state in effect. A different
// version matches. It reports a mismatch.
func (s *Store) checkDigest(version, digest uint64) bool {
	current := s.current.Load()
	match := version != current.version || digest == current.tree.Digest()
	if !match {
		s.reportDigestMismatch(fmt.Errorf("version %d: %w", version, errDigest))
	}
	return match
}

// reportDigestMismatch counts and logs that the documents of this process differ
// from those of the table or of a peer at the same version.
func (s *Store) reportDigestMismatch(err error) {
	digestMismatches.Inc()
	s.mu.Lock()
	s.counters.Violations++
	s.mu.Unlock()
	s.cfg.Log.Error().Err(err).Msg("documents differ from those of the table or a peer at the same version")
}

// noteConfirmed records that a version was the newest at a time.
func (s *Store) noteConfirmed(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownVersion = max(s.knownVersion, version)
	if version >= s.current.Load().version && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// The interval at which a process reads the head row is pollIntervalPerProcess
// times the number of processes, at least minPollInterval. All processes together
// read it about 20 times a second, and one process at most twice a second.
const (
	minPollInterval        = 500 * time.Millisecond
	pollIntervalPerProcess = 50 * time.Millisecond
)

// pollInterval returns the interval at which this process reads the head row.
func (s *Store) pollInterval() time.Duration {
	n := 1
	if s.cfg.Live != nil {
		n = max(1, s.cfg.Live())
	}
	return max(minPollInterval, time.Duration(n)*pollIntervalPerProcess)
}

// callTimeout is the timeout of one load. A second load fits within
// maxTimeToEffect. The first load of a process makes up to five calls to the
// table instead of two, so startTimeout is longer: when a call takes 0.5 s, the
// first load never finishes within 2 s.
const (
	callTimeout  = 2 * time.Second
	startTimeout = 4 * time.Second
)

// Step starts the store or, once it has started, checks for a newer version.
func (s *Store) Step(ctx context.Context) error {
	if s.Version() == 0 {
		return s.Start(ctx)
	}
	return withCallTimeout(ctx, s.Refresh)
}

// StepDelay returns the time to wait before the next Step. It is a random time
// from 3/4 to 5/4 of the poll interval, so that the processes do not all read
// at the same time.
func (s *Store) StepDelay() time.Duration {
	interval := s.pollInterval()
	return interval*3/4 + time.Duration(s.cfg.Rand.Int64N(int64(interval/2)))
}

// Run starts the store and keeps it up to date until ctx ends. It calls report
// with each error.
func (s *Store) Run(ctx context.Context, report func(error)) {
	for {
		if err := s.Step(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.StepDelay()):
		}
	}
}

// withCallTimeout calls f with a context that ends after callTimeout.
func withCallTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}
