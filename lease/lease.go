// Package lease implements leases on rows of the table service. A lease has a holder and
// a fencing number that only grows. Clocks of different machines are never compared: a
// holder counts the term from before it sent its write, and a successor counts a whole
// term and one send timeout from when it first saw the row in its current state. A
// successor that has received the holder's announcement waits less: until the announced
// remaining time has passed since it was received, or not at all when the holder announced
// that nothing sent under the lease is in flight any more.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/table"
)

// Config holds the settings and callbacks of a Holder.
type Config struct {
	Table       *table.Client
	Name        string        // name of the lease
	Holder      string        // incarnation of this process
	Term        time.Duration // how long a write keeps the lease
	SendTimeout time.Duration // the longest that anything sent under the lease may be in flight
	// PeerAnnouncement returns the newest announcement received from another holder;
	// nil means none.
	PeerAnnouncement func() (Announcement, bool)
	// SendsInFlight reports whether anything sent under the lease is in flight; nil
	// when that is unknown.
	SendsInFlight func() bool
	// Era returns the era of the table service, which rises when the service returns from an older copy;
	// nil for a service that never does.
	Era func() uint64
	// OnViolation is called when an invariant does not hold; nil panics.
	OnViolation func(reason string)
	// OnUnreadable is called once for each revision of the row that no holder can have written; may be nil.
	OnUnreadable func(revision uint64, err error)
}

// Announcement is what a holder tells other processes about its lease.
type Announcement struct {
	Fence    uint64
	Revision uint64    // of the row that the holder wrote last
	Until    time.Time // the holder sends nothing on the strength of that row after it; on the receiver's clock
	Ended    bool      // nothing is or will be in flight under this fencing number
}

// Holder acquires and renews one lease for a process. It has one lock, which is not held
// during calls to the table service.
type Holder struct {
	cfg       Config
	stepToken chan struct{} // holds one token while no Step or Release runs

	mu              sync.Mutex
	fence           uint64
	deadline        time.Time // the lease is held before this time; zero when it is not
	endedFence      uint64    // last fencing number that was given up; never used again
	endedAt         time.Time // when it was given up
	highestFence    uint64    // highest fencing number seen in the row
	revision        uint64    // of the row when last seen
	seenAt          uint64    // revision as of which the row was last seen, also without a row
	writtenRevision uint64    // of the row when this process last wrote it as holder
	firstSeen       time.Time // when this process first saw that revision
	lastRow         row       // value of the row at that revision
	copied          bool      // the row stems from an older copy of the table, or another writer, and says nothing of later holders
	known           bool      // revision and firstSeen are set
}

// row is the JSON value of a lease row. Until is for human readers only.
type row struct {
	Holder string    `json:"holder"` // "" after a release
	Fence  uint64    `json:"fence"`
	Write  string    `json:"write"` // unique for each write; recognizes it after a lost reply
	Term   int64     `json:"term"`  // milliseconds
	Until  time.Time `json:"until"`
	Era    uint64    `json:"era,omitempty"` // of the table when the row was written

	unreadable error // why no holder can have written the row; the other fields are zero then
}

// fencesPerEra is the number of fencing numbers of an era of the table. Those of a later era are
// greater than all before, as the row may return from an older copy.
const fencesPerEra = 1_000_000

// maxTerm bounds the term in a row. Terms are seconds; a row with a longer one was not written by a
// holder, and a successor would never take the lease.
const maxTerm = 10 * time.Minute

// decodeRow returns the value of a row. Another writer may have written it.
func decodeRow(raw []byte) row {
	var v row
	if err := json.Unmarshal(raw, &v); err != nil {
		return row{unreadable: fmt.Errorf("decode lease row: %w", err)}
	}
	if v.Fence == 0 || v.Fence > table.MaxEra*fencesPerEra || v.Write == "" || v.Term <= 0 || v.Term > maxTerm.Milliseconds() || v.Era > table.MaxEra {
		return row{unreadable: fmt.Errorf("lease row has fencing number %d, term %d ms and era %d", v.Fence, v.Term, v.Era)}
	}
	return v
}

// New returns a Holder that does not hold the lease.
func New(cfg Config) *Holder {
	if cfg.Era == nil {
		cfg.Era = func() uint64 { return 0 }
	}
	if cfg.OnUnreadable == nil {
		cfg.OnUnreadable = func(uint64, error) {}
	}
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(reason string) { panic("lease " + cfg.Name + ": " + reason) }
	}
	h := &Holder{cfg: cfg, stepToken: make(chan struct{}, 1)}
	h.stepToken <- struct{}{}
	return h
}

// lockStep waits until no other Step or Release runs.
func (h *Holder) lockStep(ctx context.Context) error {
	select {
	case <-h.stepToken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unlockStep lets the next Step or Release run.
func (h *Holder) unlockStep() { h.stepToken <- struct{}{} }

func (h *Holder) key() string { return "lease/" + h.cfg.Name }

// Held returns the fencing number and the deadline, and whether the lease is held now.
func (h *Holder) Held() (fence uint64, deadline time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.deadline, isBefore(time.Now(), h.deadline)
}

// MaySend returns the fencing number and whether something sent now ends before the lease
// does. It must be called immediately before each send.
func (h *Holder) MaySend() (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, !h.deadline.IsZero() && isBefore(time.Now(), h.deadline.Add(-h.cfg.SendTimeout))
}

// isBefore reports whether now is before the deadline on both the monotonic and the wall
// clock. The monotonic clock stops while a machine is suspended, and the wall clock may be
// set back, so either alone could prolong a lease.
func isBefore(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// Drop gives up the lease in memory, such as after a pause of the process. Unlike Release
// it does not write the row, which stays until a successor or this process acquires it under a new fencing number.
func (h *Holder) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandon()
}

// abandon gives up the current fencing number. The caller holds mu.
func (h *Holder) abandon() {
	h.deadline = time.Time{}
	if h.fence > h.endedFence {
		h.endedFence, h.endedAt = h.fence, time.Now()
	}
}

// Announcement returns what other processes may know of this process's lease, and false
// when there is nothing to announce.
func (h *Holder) Announcement() (Announcement, bool) {
	h.mu.Lock()
	ann := Announcement{Fence: h.fence, Revision: h.writtenRevision, Until: h.deadline}
	ended, since := h.endedFence == h.fence, time.Since(h.endedAt)
	h.mu.Unlock()
	if ann.Fence == 0 {
		return Announcement{}, false
	}
	// When SendsInFlight is unknown, everything has ended one send timeout after the
	// last permitted send.
	ann.Ended = ended && (since > h.cfg.SendTimeout || (h.cfg.SendsInFlight != nil && !h.cfg.SendsInFlight()))
	return ann, ann.Ended || !ended
}

// Vacant reports whether this process may acquire the lease now according to the
// announcement of its holder. It makes no call.
func (h *Holder) Vacant() bool {
	ann, ok := h.peerAnnouncement()
	h.mu.Lock()
	defer h.mu.Unlock()
	return ok && ann.Fence >= h.highestFence && ann.Fence > 0 && (ann.Ended || !time.Now().Before(ann.Until))
}

// peerAnnouncement returns the newest announcement received from another holder, and false
// when there is none.
func (h *Holder) peerAnnouncement() (Announcement, bool) {
	if h.cfg.PeerAnnouncement == nil {
		return Announcement{}, false
	}
	return h.cfg.PeerAnnouncement()
}

// Step renews the lease when it is held, or acquires it when it is free. It is called
// several times in a term. Errors come from the table service and leave the last confirmed
// deadline unchanged.
func (h *Holder) Step(ctx context.Context) error {
	if err := h.lockStep(ctx); err != nil {
		return err
	}
	defer h.unlockStep()
	if _, _, held := h.Held(); held {
		return h.renew(ctx)
	}
	return h.acquire(ctx)
}

// Release gives up the lease so that the next process can acquire it without waiting. It
// stops sends at once and writes the row one send timeout later, when everything sent
// under the lease has ended.
func (h *Holder) Release(ctx context.Context) error {
	if err := h.lockStep(ctx); err != nil {
		return err
	}
	defer h.unlockStep()
	fence, _, held := h.Held()
	h.mu.Lock()
	h.abandon()
	revision := h.revision
	h.mu.Unlock()
	if !held {
		return nil
	}
	select {
	case <-time.After(h.cfg.SendTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	if _, err := h.write(ctx, revision, row{Fence: fence}); err != nil {
		return fmt.Errorf("release lease %s: %w", h.cfg.Name, err)
	}
	return nil
}

// write commits a row value if the row has the given revision, and returns the new
// revision. After a lost reply it reads the row back to find out whether it was applied.
func (h *Holder) write(ctx context.Context, revision uint64, r row) (uint64, error) {
	h.mu.Lock()
	seenAt := h.seenAt
	h.mu.Unlock()
	r.Write, r.Term, r.Era = uuid.NewString(), h.cfg.Term.Milliseconds(), table.Era(revision)
	if revision == table.Absent {
		r.Era = table.Era(seenAt)
	}
	r.Until = time.Now().Add(h.cfg.Term).UTC()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode lease row: %w", err)
	}
	b := table.Batch{}
	b.Expect(h.key(), revision).Put(h.key(), value)
	got, err := h.cfg.Table.Commit(ctx, b)
	if err == nil && table.Era(got) > r.Era {
		return 0, errCrossedEras
	}
	if !errors.Is(err, table.ErrUnknown) {
		return got, err
	}
	back, now, rerr := h.read(ctx)
	if rerr != nil {
		return 0, fmt.Errorf("%w; reading back: %w", err, rerr)
	}
	if now.Write != r.Write {
		// The write was not applied, and can't be once the revision has changed.
		// If it is applied later, the row names this process, which then
		// acquires a new fencing number.
		return 0, err
	}
	if table.Era(back.Revision()) > r.Era {
		return 0, errCrossedEras
	}
	return back.Revision(), nil
}

// errCrossedEras reports that the row was written after the table had returned from an older copy: the
// condition says nothing of the row that the write replaced.
var errCrossedEras = errors.New("the table returned from an older copy before the lease row was written")

// read returns the row and its decoded value.
func (h *Holder) read(ctx context.Context) (table.Row, row, error) {
	var v row
	r, err := h.cfg.Table.GetOne(ctx, h.key())
	if err != nil {
		return r, v, fmt.Errorf("read lease row: %w", err)
	}
	if r.Exists() {
		v = decodeRow(r.Value())
	}
	return r, v, nil
}

// renew extends the lease that this process holds. If the table has returned from an older copy, it
// writes the row again, once.
func (h *Holder) renew(ctx context.Context) error {
	for range 2 {
		h.mu.Lock()
		revision, fence := h.revision, h.fence
		h.mu.Unlock()
		start := time.Now()
		got, err := h.write(ctx, revision, row{Holder: h.cfg.Holder, Fence: fence})
		if err == nil {
			h.recordWrite(got, fence, start)
			return nil
		}
		if errors.Is(err, errCrossedEras) {
			h.Drop()
		}
		if !errors.Is(err, table.ErrConflict) {
			return fmt.Errorf("renew lease %s: %w", h.cfg.Name, err)
		}
		// Another process acquired the lease, an earlier renewal with a lost reply was applied
		// late, or the row is the one of an older copy.
		again, err := h.resolveConflict(ctx)
		if err != nil || !again {
			return err
		}
	}
	return nil
}

// resolveConflict determines the owner of the row after a conflict, and reports whether the row must be
// written again. A row of this process with the same fencing number stems from an earlier renewal: its
// revision is taken over, and the deadline stays as it is until the next renewal. So does the lease
// when the row stems from an older copy, from before this process acquired it: a successor waits a
// whole term from when it first saw that row. The same holds for a row that another writer has overwritten.
func (h *Holder) resolveConflict(ctx context.Context) (again bool, err error) {
	r, v, err := h.read(ctx)
	if err != nil {
		return false, err
	}
	h.observe(r, v)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.copied && v.Fence <= h.fence:
		return isBefore(time.Now(), h.deadline), nil
	case v.Holder != h.cfg.Holder || v.Fence != h.fence:
		h.abandon()
	}
	return false, nil
}

// recordWrite records a confirmed write. The term counts from before the write was sent.
func (h *Holder) recordWrite(revision, fence uint64, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence < h.highestFence {
		h.cfg.OnViolation(fmt.Sprintf("fencing number %d after %d", fence, h.highestFence))
	}
	h.highestFence = fence
	h.revision, h.seenAt, h.known, h.copied = revision, revision, true, false
	h.lastRow = row{Holder: h.cfg.Holder, Fence: fence, Era: table.Era(revision)}
	h.firstSeen = start
	if fence <= h.endedFence {
		return // given up while the write was in flight
	}
	h.fence, h.writtenRevision = fence, revision
	h.deadline = start.Add(h.cfg.Term)
}

// observe records the state of the row and returns since when this process has seen it
// unchanged. A revision lower than a known one comes from a stale read and is ignored.
func (h *Holder) observe(r table.Row, v row) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	seenAt := r.Revision()
	if !r.Exists() {
		seenAt = table.NewRevision(h.cfg.Era(), 0)
	}
	if h.known && seenAt <= h.seenAt {
		return h.firstSeen
	}
	copied := table.Era(seenAt) > v.Era
	if !r.Exists() {
		copied = table.Era(seenAt) > 1 // in its first era the table has lost nothing
	}
	if v.unreadable != nil {
		copied = true
		h.cfg.OnUnreadable(r.Revision(), v.unreadable)
	}
	if v.Fence < h.highestFence && !copied {
		h.cfg.OnViolation(fmt.Sprintf("row shows fencing number %d after %d", v.Fence, h.highestFence))
	}
	h.highestFence = max(h.highestFence, v.Fence)
	h.revision, h.seenAt, h.firstSeen, h.lastRow, h.known, h.copied = r.Revision(), seenAt, time.Now(), v, true, copied
	return h.firstSeen
}

// nextFence returns the fencing number for a new holder. The caller holds mu.
func (h *Holder) nextFence() uint64 {
	floor := uint64(0)
	if era := table.Era(h.seenAt); era > 1 {
		floor = (era - 1) * fencesPerEra
	}
	if h.lastRow.unreadable != nil {
		// Each fencing number was given out in a transaction of its own.
		floor += min(table.Number(h.seenAt), fencesPerEra/2)
	}
	return max(h.lastRow.Fence, h.highestFence, floor) + 1
}

// acquire takes the lease when it is free for this process.
func (h *Holder) acquire(ctx context.Context) error {
	r, v, err := h.read(ctx)
	if err != nil {
		return err
	}
	unchangedSince := h.observe(r, v)
	h.mu.Lock()
	revision, last, copied, fence := h.revision, h.lastRow, h.copied, h.nextFence()
	h.mu.Unlock()
	if !h.mayAcquire(last, revision, unchangedSince, copied) {
		return nil
	}
	start := time.Now()
	got, err := h.write(ctx, revision, row{Holder: h.cfg.Holder, Fence: fence})
	if errors.Is(err, table.ErrConflict) {
		return nil // another process was first; the next step observes it
	}
	if err != nil {
		return fmt.Errorf("acquire lease %s: %w", h.cfg.Name, err)
	}
	h.recordWrite(got, fence, start)
	return nil
}

// mayAcquire reports whether this process may acquire the lease. last is the value of the
// row, which this process has seen unchanged since unchangedSince. If no announcement of
// the holder shows that the lease has ended, it is free after the longer of the terms in the
// row and in the settings, plus SendTimeout: the terms differ while settings are changed.
// A copied row does not name holders that came after the copy, so only the time counts.
func (h *Holder) mayAcquire(last row, revision uint64, since time.Time, copied bool) bool {
	term := max(time.Duration(last.Term)*time.Millisecond, h.cfg.Term)
	if copied {
		return !time.Now().Before(since.Add(term + h.cfg.SendTimeout))
	}
	if last.Holder == "" || last.Holder == h.cfg.Holder {
		// Never held, released, or held by this process: nothing sent by another
		// process can be in flight.
		return true
	}
	if ann, ok := h.peerAnnouncement(); ok && ann.Fence == last.Fence && (ann.Ended || (ann.Revision == revision && !time.Now().Before(ann.Until))) {
		return true
	}
	return !time.Now().Before(since.Add(term + h.cfg.SendTimeout))
}
