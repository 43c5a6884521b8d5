package change

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Announcement tells a peer which version is in effect here.
type Announcement struct {
	Peer    string // name of the sender; the transport fills it in
	Version uint64
	Digest  uint64
	// Age is the time since the version was last known to be the newest. It is
	// a duration because clocks of two machines can't be compared.
	Age time.Duration
}

// Announcement returns what this process can tell its peers, for pings too.
func (s *Store) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.force.Load()
	return Announcement{Version: f.version, Digest: f.tree.Digest(), Age: time.Since(s.checked)}
}

// HandleAnnouncement takes an announcement of a peer. When the peer is ahead, it fetches
// the records from it, or from the table when the peer does not give them.
func (s *Store) HandleAnnouncement(ctx context.Context, a Announcement) error {
	now := s.Version()
	switch {
	case now == 0:
		// This peer may be behind what this process served before a restart.
		// Start asks all peers and the table.
		s.heard(a.Version)
		return fmt.Errorf("version %d was not taken: %w", a.Version, errStarting)
	case a.Version == now:
		s.compare(a.Version, a.Digest)
		s.confirm(a.Version, time.Now().Add(-a.Age))
		return nil
	case a.Version <= s.holds():
		return nil // the peer is behind, or the version takes effect already
	}
	s.heard(a.Version)
	err := errors.New("no transport to peers")
	if s.cfg.Fetch != nil {
		err = s.fetch(ctx, a.Peer)
	}
	if err != nil || s.Version() < a.Version {
		if rerr := bounded(ctx, s.Refresh); rerr != nil && s.Version() < a.Version {
			return fmt.Errorf("version %d of peer %q was not loaded: %w", a.Version, a.Peer, errors.Join(err, rerr))
		}
	}
	s.confirm(a.Version, time.Now().Add(-a.Age))
	return nil
}

// fetchTimeout bounds one fetch from a peer; peers are a few ms apart.
const fetchTimeout = time.Second

// fetch brings the version of a peer in effect when it is newer.
func (s *Store) fetch(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := s.fetching.enter(ctx); err != nil {
		return err
	}
	defer s.fetching.leave()
	from := s.from()
	records, err := s.cfg.Fetch(ctx, peer, from.version)
	if err != nil {
		return fmt.Errorf("fetch from peer %q: %w", peer, err)
	}
	if err := s.advance(ctx, from, records, true); err != nil && !errors.Is(err, ErrStale) {
		return fmt.Errorf("apply changes of peer %q: %w", peer, err)
	}
	return nil
}

// fetchAny asks all peers and prepares the highest version, since any of them
// may be behind. It returns an error when none of them answered.
func (s *Store) fetchAny(ctx context.Context) error {
	if s.cfg.Peers == nil || s.cfg.Fetch == nil {
		return errors.New("no transport to peers")
	}
	peers := s.cfg.Peers()
	errs := make([]error, len(peers))
	records := make([][]Record, len(peers))
	from := s.from()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { records[i], errs[i] = s.cfg.Fetch(ctx, p, from.version) })
	}
	wg.Wait()
	best := -1
	for i := range peers {
		if errs[i] == nil && (best < 0 || last(records[i]) > last(records[best])) {
			best = i
		}
	}
	if best < 0 {
		return fmt.Errorf("none of %d peers answered: %w", len(peers), errors.Join(errs...))
	}
	n, _, err := s.follow(from, records[best])
	if err == nil {
		s.prepare(n)
	}
	return err
}

// last returns the version that records lead to; 0 without records.
func last(records []Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Version
}

// apply puts records into effect that a peer gave or that were accepted here.
func (s *Store) apply(ctx context.Context, records []Record, peer bool) error {
	err := s.advance(ctx, s.from(), records, peer)
	if errors.Is(err, ErrStale) {
		return nil
	}
	return err
}

// errStarting reports that this process has nothing in effect yet.
var errStarting = errors.New("no version is in effect yet")

// holds returns the version that peers may fetch.
func (s *Store) holds() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.version
}

// Records returns what leads from a version to the one held: the changes in
// order when they are at hand, else all documents, or nothing when the version
// is not older. It fails while nothing is in effect here: an empty answer of
// such a process would confirm an old snapshot of the peer. It serves
// StoreConfig.Fetch of a peer.
func (s *Store) Records(after uint64) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.version == 0 {
		return nil, errStarting
	}
	if after >= s.held.version {
		return nil, nil
	}
	for i, r := range s.recent {
		if r.Version == after+1 && !r.Full {
			return append([]Record(nil), s.recent[i:]...), nil
		}
	}
	return []Record{s.held.full()}, nil
}
