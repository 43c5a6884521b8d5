package change

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Announcement tells a peer which version is in effect in the sender.
type Announcement struct {
	Peer    string // name of the sender, set by the receiver from the connection
	Version uint64
	Digest  uint64
	// Age is the time since the version was last confirmed to be the newest. It
	// is a duration because the clocks of two machines may differ.
	Age time.Duration
}

// Announcement returns the announcement of the version in effect. Pings carry
// its version and digest too.
func (s *Store) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	return Announcement{Version: current.version, Digest: current.tree.Digest(), Age: time.Since(s.confirmedAt)}
}

// HandleAnnouncement handles an announcement from a peer. When the peer has a
// newer version, it fetches the records from the peer, or from the table if the
// peer does not return them.
func (s *Store) HandleAnnouncement(ctx context.Context, a Announcement) error {
	confirmedAt := time.Now().Add(-a.Age) // before the fetch, which may take seconds
	current := s.Version()
	switch {
	case current == 0:
		// The version of this peer may be older than the one that this process
		// served before a restart. Start asks all peers and the table.
		s.noteKnownVersion(a.Version)
		return fmt.Errorf("version %d was not loaded: %w", a.Version, errStarting)
	case a.Version == current:
		s.checkDigest(a.Version, a.Digest)
		s.noteConfirmed(a.Version, confirmedAt)
		return nil
	case a.Version <= s.availableVersion():
		return nil // the version is older, or is being activated already
	}
	s.noteKnownVersion(a.Version)
	err := errors.New("no transport to peers")
	if s.cfg.Fetch != nil {
		err = s.fetchFromPeer(ctx, a.Peer)
	}
	if err != nil || s.Version() < a.Version {
		if refreshErr := withCallTimeout(ctx, s.Refresh); refreshErr != nil && s.Version() < a.Version {
			return fmt.Errorf("version %d of peer %q was not loaded: %w", a.Version, a.Peer, errors.Join(err, refreshErr))
		}
	}
	s.noteConfirmed(a.Version, confirmedAt)
	return nil
}

// fetchTimeout is the timeout of one fetch from a peer. The latency to a peer
// is a few ms.
const fetchTimeout = time.Second

// fetchFromPeer fetches the records of a peer and activates its version when it
// is newer.
func (s *Store) fetchFromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := s.peerFetches.acquire(ctx); err != nil {
		return err
	}
	defer s.peerFetches.release()
	from := s.latestState()
	records, err := s.cfg.Fetch(ctx, peer, from.version)
	if err != nil {
		return fmt.Errorf("fetch from peer %q: %w", peer, err)
	}
	if err := s.applyRecords(ctx, from, records, true); err != nil && !errors.Is(err, ErrStale) {
		return fmt.Errorf("apply changes of peer %q: %w", peer, err)
	}
	return nil
}

// fetchFromAllPeers fetches the records of all peers and keeps the newest
// version as the unconfirmed state. It asks all of them, since any one may have
// an older version. It returns an error when none of them answered.
func (s *Store) fetchFromAllPeers(ctx context.Context) error {
	if s.cfg.Peers == nil || s.cfg.Fetch == nil {
		return errors.New("no transport to peers")
	}
	peers := s.cfg.Peers()
	errs := make([]error, len(peers))
	records := make([][]Record, len(peers))
	from := s.latestState()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { records[i], errs[i] = s.cfg.Fetch(ctx, p, from.version) })
	}
	wg.Wait()
	newest := -1
	for i := range peers {
		if errs[i] == nil && (newest < 0 || lastVersion(records[i]) > lastVersion(records[newest])) {
			newest = i
		}
	}
	if newest < 0 {
		return fmt.Errorf("none of %d peers answered: %w", len(peers), errors.Join(errs...))
	}
	n, _, err := s.nextState(from, records[newest])
	if err == nil {
		s.keepUnconfirmed(n)
	}
	return err
}

// lastVersion returns the version of the last record, or 0 without records.
func lastVersion(records []Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Version
}

// applyNewer applies records to the latest state and activates the result.
// Records that are not newer are not an error.
func (s *Store) applyNewer(ctx context.Context, records []Record, fromPeer bool) error {
	err := s.applyRecords(ctx, s.latestState(), records, fromPeer)
	if errors.Is(err, ErrStale) {
		return nil
	}
	return err
}

// errStarting reports that nothing is in effect in this process yet.
var errStarting = errors.New("no version is in effect yet")

// availableVersion returns the version that peers may fetch.
func (s *Store) availableVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available.version
}

// Records returns the records that lead from a version to the one available to
// peers: the changes in order if they are still in memory, and otherwise one
// record with all documents. It returns nothing when the version is not older
// than the available one. It fails while nothing is in effect: a peer would
// take an empty reply as the confirmation of its old snapshot.
// StoreConfig.Fetch of a peer calls it.
func (s *Store) Records(after uint64) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.available.version == 0 {
		return nil, errStarting
	}
	if after >= s.available.version {
		return nil, nil
	}
	for i, r := range s.recentRecords {
		if r.Version == after+1 && !r.Full {
			return append([]Record(nil), s.recentRecords[i:]...), nil
		}
	}
	return []Record{s.available.fullRecord()}, nil
}
