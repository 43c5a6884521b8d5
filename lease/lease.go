// Package lease keeps leases on rows of the table service. A lease has a
// holder and a fencing number that only grows. Nobody compares clocks of two
// machines: a holder counts the term from before it sent its write, and a
// successor counts a whole term and one send timeout from when it saw the row
// last change. A successor that has the holder's word waits less: until the time
// that the holder said was left has passed since it heard so, or not at all when
// the holder said that it has sent its last.
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

// Config holds the parts of a Holder.
type Config struct {
	Rows        *table.Client
	Name        string        // name of the lease
	Holder      string        // incarnation of this process
	Term        time.Duration // how long a write keeps the lease
	SendTimeout time.Duration // send timeout: the longest that anything sent under the lease may be under way
	// PeerAnnouncement returns the newest word of a holder that this process has heard; nil
	// for none.
	PeerAnnouncement func() (Announcement, bool)
	// SendsInFlight tells whether something that was sent under the lease is under way; nil
	// when that is not known.
	SendsInFlight func() bool
	// OnViolation is called when an invariant does not hold; nil panics.
	OnViolation func(reason string)
}

// Announcement is what a holder says of its lease.
type Announcement struct {
	Fence    uint64
	Revision uint64    // of the row that the holder wrote last
	Until    time.Time // nothing is sent under that row after it, on the clock of the process that heard it
	Ended    bool      // nothing is or will be under way under this fencing number
}

// Holder takes part in one lease. It has one lock, which is not held during
// calls to the table service.
type Holder struct {
	cfg  Config
	turn chan struct{} // holds one entry while no Step or Release runs

	mu       sync.Mutex
	fence    uint64
	deadline time.Time // the lease is held before this time; zero when it is not
	ended    uint64    // last fencing number that was given up; never used again
	endedAt  time.Time // when it was
	highest  uint64    // highest fencing number that a row has shown
	revision uint64    // of the row when last seen
	written  uint64    // of the row when this process last wrote it as holder
	seen     time.Time // when this process first saw that revision
	last     row       // value of the row at that revision
	known    bool      // revision and seen are set
}

// row is the JSON value of a lease row. Until informs people.
type row struct {
	Holder string    `json:"holder"` // "" after a release
	Fence  uint64    `json:"fence"`
	Write  string    `json:"write"` // identifies the write, to find it after a lost reply
	Term   int64     `json:"term"`  // milliseconds
	Until  time.Time `json:"until"`
}

// New returns a Holder that does not hold the lease.
func New(cfg Config) *Holder {
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(reason string) { panic("lease " + cfg.Name + ": " + reason) }
	}
	h := &Holder{cfg: cfg, turn: make(chan struct{}, 1)}
	h.turn <- struct{}{}
	return h
}

// enter waits until no other Step or Release runs.
func (h *Holder) enter(ctx context.Context) error {
	select {
	case <-h.turn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) leave() { h.turn <- struct{}{} }

func (h *Holder) key() string { return "lease/" + h.cfg.Name }

// Held returns the fencing number and the deadline, and whether the lease is
// held now.
func (h *Holder) Held() (fence uint64, deadline time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.deadline, before(time.Now(), h.deadline)
}

// MaySend returns the fencing number and whether something sent now ends
// before the lease does. It must be called right before each send.
func (h *Holder) MaySend() (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, !h.deadline.IsZero() && before(time.Now(), h.deadline.Add(-h.cfg.SendTimeout))
}

// before tells whether now is before the deadline on the monotonic and on the
// wall clock. The monotonic clock stops while a machine is suspended, and the
// wall clock may be set back, so that either alone could prolong a lease.
func before(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// Drop gives the lease up in memory, as after a pause. The row stays until a
// successor or this process takes it again under a new fencing number.
func (h *Holder) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end()
}

// end gives the fencing number up. The caller holds mu.
func (h *Holder) end() {
	h.deadline = time.Time{}
	if h.fence > h.ended {
		h.ended, h.endedAt = h.fence, time.Now()
	}
}

// Announcement returns what other processes may know of this one's lease, and false when it
// has none to tell of.
func (h *Holder) Announcement() (Announcement, bool) {
	h.mu.Lock()
	w := Announcement{Fence: h.fence, Revision: h.written, Until: h.deadline}
	ended, since := h.ended == h.fence, time.Since(h.endedAt)
	h.mu.Unlock()
	if w.Fence == 0 {
		return Announcement{}, false
	}
	// Without knowing what is under way, everything has ended a send timeout after
	// the last send was allowed.
	w.Ended = ended && (since > h.cfg.SendTimeout || (h.cfg.SendsInFlight != nil && !h.cfg.SendsInFlight()))
	return w, w.Ended || !ended
}

// Vacant tells whether, by what its holder said, this process may take the lease
// now. It makes no call.
func (h *Holder) Vacant() bool {
	w, ok := h.heard()
	h.mu.Lock()
	defer h.mu.Unlock()
	return ok && w.Fence >= h.highest && w.Fence > 0 && (w.Ended || !time.Now().Before(w.Until))
}

func (h *Holder) heard() (Announcement, bool) {
	if h.cfg.PeerAnnouncement == nil {
		return Announcement{}, false
	}
	return h.cfg.PeerAnnouncement()
}

// Step renews the lease when it is held, or takes it when it is free. It is
// called several times in a term. Errors are those of the table service; the
// deadline that was confirmed before them stays as it is.
func (h *Holder) Step(ctx context.Context) error {
	if err := h.enter(ctx); err != nil {
		return err
	}
	defer h.leave()
	if _, _, held := h.Held(); held {
		return h.renew(ctx)
	}
	return h.acquire(ctx)
}

// Release hands the lease on: the next process may take it without a wait. It
// allows no further sends and writes the row one send timeout later, when
// everything that was sent under the lease has ended.
func (h *Holder) Release(ctx context.Context) error {
	if err := h.enter(ctx); err != nil {
		return err
	}
	defer h.leave()
	fence, _, held := h.Held()
	h.mu.Lock()
	h.end()
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

// write commits a row value on condition of a revision and returns the new
// revision. A lost reply is resolved by reading the row back.
func (h *Holder) write(ctx context.Context, revision uint64, r row) (uint64, error) {
	r.Write, r.Term = uuid.NewString(), h.cfg.Term.Milliseconds()
	r.Until = time.Now().Add(h.cfg.Term).UTC()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode lease row: %w", err)
	}
	b := table.Batch{}
	b.Expect(h.key(), revision).Put(h.key(), value)
	got, err := h.cfg.Rows.Commit(ctx, b)
	if !errors.Is(err, table.ErrUnknown) {
		return got, err
	}
	back, now, rerr := h.read(ctx)
	if rerr != nil {
		return 0, fmt.Errorf("%w; reading back: %w", err, rerr)
	}
	if now.Write != r.Write {
		// It was not applied, and can't be any more when the revision moved.
		// If it is applied later, the row names this process, which then
		// takes a new number.
		return 0, err
	}
	return back.Revision(), nil
}

func (h *Holder) read(ctx context.Context) (table.Row, row, error) {
	var v row
	r, err := h.cfg.Rows.GetOne(ctx, h.key())
	if err != nil {
		return r, v, fmt.Errorf("read lease row: %w", err)
	}
	if r.Exists() {
		if err := json.Unmarshal(r.Value(), &v); err != nil {
			return r, v, fmt.Errorf("decode lease row: %w", err)
		}
	}
	return r, v, nil
}

func (h *Holder) renew(ctx context.Context) error {
	h.mu.Lock()
	revision, fence := h.revision, h.fence
	h.mu.Unlock()
	start := time.Now()
	got, err := h.write(ctx, revision, row{Holder: h.cfg.Holder, Fence: fence})
	if errors.Is(err, table.ErrConflict) {
		// Another process took the lease, or the reply of an earlier renewal
		// was lost and it was applied late.
		return h.resolve(ctx)
	}
	if err != nil {
		return fmt.Errorf("renew lease %s: %w", h.cfg.Name, err)
	}
	h.extend(got, fence, start)
	return nil
}

// resolve finds out after a conflict whose the row is. A row of this process
// with the same number was written by an earlier renewal: the revision is
// taken over, the deadline stays until the next renewal.
func (h *Holder) resolve(ctx context.Context) error {
	r, v, err := h.read(ctx)
	if err != nil {
		return err
	}
	h.observe(r, v)
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Holder != h.cfg.Holder || v.Fence != h.fence {
		h.end()
	}
	return nil
}

// extend records a write that was confirmed. The term counts from before the
// write was sent.
func (h *Holder) extend(revision, fence uint64, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence < h.highest {
		h.cfg.OnViolation(fmt.Sprintf("fencing number %d after %d", fence, h.highest))
	}
	h.highest = fence
	h.revision, h.known = revision, true
	h.last = row{Holder: h.cfg.Holder, Fence: fence}
	h.seen = start
	if fence <= h.ended {
		return // given up while the write was under way
	}
	h.fence, h.written = fence, revision
	h.deadline = start.Add(h.cfg.Term)
}

// observe records what the row shows and returns since when this process has
// seen it unchanged. A revision lower than one seen before comes from a stale
// read and is ignored.
func (h *Holder) observe(r table.Row, v row) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && r.Revision() <= h.revision {
		return h.seen
	}
	if v.Fence < h.highest {
		h.cfg.OnViolation(fmt.Sprintf("row shows fencing number %d after %d", v.Fence, h.highest))
	}
	h.highest = v.Fence
	h.revision, h.seen, h.last, h.known = r.Revision(), time.Now(), v, true
	return h.seen
}

// acquire takes the lease when it is free for this process.
func (h *Holder) acquire(ctx context.Context) error {
	r, v, err := h.read(ctx)
	if err != nil {
		return err
	}
	since := h.observe(r, v)
	h.mu.Lock()
	revision, last := h.revision, h.last
	h.mu.Unlock()
	if !h.free(last, revision, since) {
		return nil
	}
	fence := last.Fence + 1
	start := time.Now()
	got, err := h.write(ctx, revision, row{Holder: h.cfg.Holder, Fence: fence})
	if errors.Is(err, table.ErrConflict) {
		return nil // somebody else was first; the next step observes it
	}
	if err != nil {
		return fmt.Errorf("acquire lease %s: %w", h.cfg.Name, err)
	}
	h.extend(got, fence, start)
	return nil
}

// free tells whether a lease may be taken. The holder's own term counts, which
// may differ from this process's while settings are changed.
func (h *Holder) free(last row, revision uint64, since time.Time) bool {
	if last.Holder == "" || last.Holder == h.cfg.Holder {
		// Never held, released, or this process's own: nothing of another
		// process can be under way.
		return true
	}
	if w, ok := h.heard(); ok && w.Fence == last.Fence && (w.Ended || (w.Revision == revision && !time.Now().Before(w.Until))) {
		return true
	}
	term := max(time.Duration(last.Term)*time.Millisecond, h.cfg.Term)
	return !time.Now().Before(since.Add(term + h.cfg.SendTimeout))
}
