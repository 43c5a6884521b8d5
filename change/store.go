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
	violations = metrics.NewCounter("cranberrybay_config_digest_violations_total")
	staleReads = metrics.NewCounter("cranberrybay_config_stale_reads_total")
)

// StoreConfig holds the parts of a Store. Only Table is required.
type StoreConfig struct {
	Table   *table.Client
	Objects *object.Client // snapshots; nil for none
	Rand    *rand.Rand     // spreads the reads of processes; nil for a random seed
	Log     zerolog.Logger

	// Live returns the number of entry processes, this one included, by which
	// they share the reads of the head row. Nil counts one.
	Live func() int
	// Announce tells peers the version that took effect here. It must not
	// block. Nil when there are no peers.
	Announce func(Announcement)
	// Offer tells some peers a version before it takes effect here, and
	// returns when one of them has taken it: its Store.Announced returned nil.
	// It is called for versions that were read from the table or accepted here.
	// Without it a process could serve a version, restart while the table is
	// out of its reach, and find only peers that never heard of the version.
	Offer func(context.Context, Announcement) error
	// Peers names the peers to ask at start when the table does not answer.
	Peers func() []string
	// Fetch returns the records of a peer after a version, as its
	// Store.Records gives them.
	Fetch func(ctx context.Context, peer string, after uint64) ([]Record, error)
}

// Store holds the configuration in effect in this process.
type Store struct {
	cfg   StoreConfig
	force atomic.Pointer[state] // read on every request, so without a lock
	// One load at a time from the table and one from peers. They are apart, so
	// that a slow table does not delay what peers give.
	loading, fetching gate

	mu      sync.Mutex
	base    *state    // from a snapshot, not in effect before it is confirmed
	held    *state    // in effect, or about to be: peers may fetch it
	recent  []Record  // the last records in order up to held, for peers
	known   uint64    // highest version heard of
	checked time.Time // when the version was last known to be the newest
	changed chan struct{}
	counts  VersionStatus

	newer func(next, now uint64) bool // replaced by tests
}

// NewStore returns a store with an empty tree at version 0.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Store{cfg: cfg, loading: make(gate, 1), fetching: make(gate, 1), changed: make(chan struct{})}
	s.newer = func(next, now uint64) bool { return next > now }
	s.held = emptyState()
	s.force.Store(s.held)
	return s
}

// Tree returns the configuration in effect.
func (s *Store) Tree() *spec.Tree { return s.force.Load().tree }

// Version returns the version in effect; 0 means that none was loaded yet.
func (s *Store) Version() uint64 { return s.force.Load().version }

// LastChange returns who changed a document last, without its text, and whether
// the document was ever published.
func (s *Store) LastChange(id string) (StoredDocument, bool) {
	d, ok := s.force.Load().origins[id]
	return d, ok
}

// ConfirmedAt returns the last time at which the version was known to be the
// newest: the table said so, or a peer to which the table had said so.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checked
}

// Changed returns a channel that is closed when a newer version is in effect.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// VersionStatus is what a process knows about its version.
type VersionStatus struct {
	Version     uint64    `json:"version"`
	Digest      uint64    `json:"digest,string"`
	Known       uint64    `json:"known"`      // highest version heard of
	ConfirmedAt time.Time `json:"checked"`    // last time the version was known to be the newest
	Behind      bool      `json:"behind"`     // a newer version is known or possible
	Violations  uint64    `json:"violations"` // equal versions with different digests
	StaleReads  uint64    `json:"stale"`      // reads that were older than the version in effect
}

// VersionStatus returns what the process knows about its version. The process may be
// behind when it heard of a newer version, or when nothing has confirmed its
// version for 5 s and two of its own reading intervals.
func (s *Store) VersionStatus() VersionStatus {
	limit := maxAge + 2*s.interval()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.force.Load()
	h := s.counts
	h.Version, h.Digest, h.Known, h.ConfirmedAt = f.version, f.tree.Digest(), max(s.known, f.version), s.checked
	h.Behind = h.Known > h.Version || time.Since(s.checked) > limit
	return h
}

// maxAge is the time within which an accepted change must be in effect.
const maxAge = 5 * time.Second

// Apply puts a tree into effect that did not come from the table. It returns
// ErrStale unless the version is newer.
func (s *Store) Apply(version uint64, t *spec.Tree) error {
	n := &state{version: version, tree: t, origins: map[string]StoredDocument{}}
	for _, d := range t.Documents() {
		n.origins[d.ID()] = StoredDocument{ID: d.ID(), Path: d.Path(), Version: version}
	}
	s.hold(n, nil)
	return s.install(n)
}

// keptRecent is the number of records kept for peers that are a little behind.
const keptRecent = 128

// hold makes a state available to peers. Records lead to it.
func (s *Store) hold(n *state, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.newer(n.version, s.held.version) {
		return
	}
	if len(records) == 0 || records[0].Full || records[0].Version != s.held.version+1 {
		s.recent = nil
	}
	s.recent = append(s.recent, records...)
	s.recent = s.recent[max(0, len(s.recent)-keptRecent):]
	s.held = n
}

// offerTimeout bounds the wait for a peer; two round trips take about 2 ms.
const offerTimeout = 200 * time.Millisecond

// offer makes sure that a peer holds a state before it takes effect here.
func (s *Store) offer(ctx context.Context, n *state) {
	if s.cfg.Offer == nil || n.version <= s.Version() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if err := s.cfg.Offer(ctx, Announcement{Version: n.version, Digest: n.tree.Digest()}); err != nil {
		s.cfg.Log.Warn().Err(err).Uint64("version", n.version).Msg("no peer has taken the version before it takes effect")
	}
}

// install puts a state into effect.
func (s *Store) install(n *state) error {
	s.mu.Lock()
	now := s.force.Load()
	if !s.newer(n.version, now.version) {
		s.mu.Unlock()
		if n.version == now.version {
			s.compare(n.version, n.tree.Digest())
		}
		return fmt.Errorf("version %d after %d: %w", n.version, now.version, ErrStale)
	}
	s.force.Store(n)
	s.known = max(s.known, n.version)
	s.base = nil
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if s.cfg.Announce != nil {
		s.cfg.Announce(s.Announcement())
	}
	return nil
}

// compare asserts that an equal version has an equal digest.
func (s *Store) compare(version, digest uint64) bool {
	f := s.force.Load()
	same := version != f.version || digest == f.tree.Digest()
	if !same {
		s.violated(fmt.Errorf("version %d: %w", version, errDigest))
	}
	return same
}

func (s *Store) violated(err error) {
	violations.Inc()
	s.mu.Lock()
	s.counts.Violations++
	s.mu.Unlock()
	s.cfg.Log.Error().Err(err).Msg("equal versions have different documents")
}

// confirm notes that at a time the version was the newest.
func (s *Store) confirm(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = max(s.known, version)
	if version >= s.force.Load().version && at.After(s.checked) {
		s.checked = at
	}
}

// Intervals at which a process reads the head row. All processes together read
// it about 20 times a second, and one process at most twice a second.
const (
	minInterval = 500 * time.Millisecond
	perProcess  = 50 * time.Millisecond
)

func (s *Store) interval() time.Duration {
	n := 1
	if s.cfg.Live != nil {
		n = max(1, s.cfg.Live())
	}
	return max(minInterval, time.Duration(n)*perProcess)
}

// callTimeout bounds one load; it leaves room for a second one within maxAge.
// The first load makes up to five calls to the table, where a later one makes
// two, so startTimeout is longer: with calls of 0.5 s, 2 s were never enough.
const (
	callTimeout  = 2 * time.Second
	startTimeout = 4 * time.Second
)

// Step starts the store, or looks for a newer version.
func (s *Store) Step(ctx context.Context) error {
	if s.Version() == 0 {
		return s.Start(ctx)
	}
	return bounded(ctx, s.Refresh)
}

// StepDelay returns the time to wait before the next step. A random half of the
// interval keeps processes from reading in step.
func (s *Store) StepDelay() time.Duration {
	d := s.interval()
	return d*3/4 + time.Duration(s.cfg.Rand.Int64N(int64(d/2)))
}

// Run starts the store and keeps it fresh until ctx ends.
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

func bounded(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}
