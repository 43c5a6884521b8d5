// Package watch follows one table of the platform through its feed of changes.
// It reads the whole table at the start and whenever the feed has a gap, tells
// how old its knowledge is, and reports when the platform is lost and regained.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// ErrGap reports that the feed no longer holds the changes after a revision.
var ErrGap = errors.New("feed does not reach back to the revision")

var (
	errStale     = errors.New("answer is older than what is known")
	errOvertaken = errors.New("other processes told what the call asked for")
)

// Row is a row of the table, or the record that it was deleted.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Page is the answer to one call.
type Page struct {
	Rows     []Row
	Revision uint64 // of the table when the page was made
	Whole    bool   // the page holds all rows of the table
	// Clock is the platform's steady clock when the page was made; 0 when it was
	// not told.
	Clock time.Duration
}

// State is a whole table as a process knows it.
type State struct {
	Page            // all rows; Clock is the platform's when they were all that there were
	Complete uint64 // all changes up to this revision are in the rows
	Changed  uint64 // revision of the table's last change
	// At is the time of package clock that Clock stands for.
	At time.Duration
}

// Config holds the calls and the observers of a Follower.
type Config struct {
	Name string
	// FetchInitial returns the table as another process knows it, before the first call to
	// the platform; nil for never. It returns false when the platform has to be read.
	FetchInitial func(ctx context.Context) (State, bool)
	Read         func(ctx context.Context) (Page, error) // the whole table
	// Poll returns the changes after a revision. It waits for up to wait when
	// there are none.
	Poll func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Apply takes a page. Outage is the time without an answer before it.
	Apply func(p Page, outage time.Duration)
	// Confirm is told that all changes up to a time of package clock are known.
	Confirm func(at time.Duration)
	// PolledByPeers tells whether other processes poll the platform for this one; nil
	// for never.
	PolledByPeers func() bool
	// DefersToPeer tells whether another process nearby asks the platform before this one when
	// what others tell is old or a change has not arrived, and shares the answer; nil
	// for never.
	DefersToPeer func() bool
	// Share is told the changes that this process polled, for the others; nil
	// for nobody. After and changed are the table's last changes before and
	// with them.
	Share func(p Page, after, changed uint64)
	Wait  time.Duration // of one poll
	// Settle is the pause after changes, so that changes that come one by one
	// share a poll.
	Settle time.Duration
	Slack  time.Duration // added to Wait until a poll counts as lost
	Log    zerolog.Logger
}

const (
	firstPause  = 50 * time.Millisecond  // before the first repeat of a failed call
	longestWait = 400 * time.Millisecond // between repeats: well below the bound on the age of a revoked key
	// readTimeout bounds the read of a whole table. When all processes start at
	// once they share the platform's link, and a read that is given up early is
	// begun again.
	readTimeout = 15 * time.Second
	lostAfter   = time.Second // without an answer the platform counts as lost
)

// Follower follows one table.
type Follower struct {
	cfg      Config
	revision uint64 // of the platform, from which the next poll goes on
	changed  uint64 // of the last change of this table, as told to others; other tables move the platform's revision
	complete uint64 // all changes of this table up to it are known
	known    bool
	answered time.Duration // clock.Now of the last answer
	lost     bool
	failing  bool          // the last call failed
	pause    time.Duration // before the next repeat of a failed call
	due      time.Duration // clock.Now of that repeat while others poll for this process
	skew     skew

	relay relay

	mu    sync.Mutex
	rows  map[string]Row
	state State // without rows; its fields are those of this Follower after the last answer
}

// skew relates the platform's clock to package clock. The least difference seen
// belongs to the answer that was fastest under way, so that times derived from
// it are too late by no more than that answer's way.
type skew struct {
	known  bool
	last   time.Duration // of the platform's clock
	offset time.Duration
}

// local returns the time of package clock at which a page was made.
func (k *skew) local(page, received time.Duration) time.Duration {
	if d := received - page; !k.known || d < k.offset || page < k.last {
		k.known, k.offset = true, d
	}
	k.last = page
	return page + k.offset
}

// New returns a Follower.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, relay: relay{wake: make(chan struct{}, 1)}}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.answered = clock.Now()
	f.pause = firstPause
	if f.cfg.FetchInitial != nil {
		if s, ok := f.cfg.FetchInitial(ctx); ok {
			f.adopt(s)
		}
	}
	for ctx.Err() == nil {
		if f.known && f.follow(ctx) {
			continue
		}
		asked, revision := clock.Now(), f.revision
		page, err := f.call(ctx)
		if errors.Is(err, errOvertaken) || (err == nil && f.revision > max(revision, page.Revision)) {
			continue // others told what this call asked for
		}
		if err == nil && !f.stale(page) {
			f.accept(page, asked)
			f.pause, f.due = firstPause, 0
			if len(page.Rows) > 0 {
				sleep(ctx, f.cfg.Settle)
			}
			continue
		}
		if err == nil {
			err = errStale
		}
		if errors.Is(err, ErrGap) {
			f.cfg.Log.Warn().Str("table", f.cfg.Name).Uint64("revision", f.revision).Msg("feed has a gap; reading the whole table")
			f.known = false
			continue
		}
		f.failed(err)
		f.backoff(ctx)
	}
}

// adopt takes the table as another process knows it.
func (f *Follower) adopt(s State) {
	f.known, f.revision, f.complete, f.changed = true, s.Revision, s.Complete, s.Changed
	f.skew = skew{known: true, last: s.Clock, offset: s.At - s.Clock}
	f.answered = s.At
	f.apply(s.Page, 0)
	f.confirm(s.At)
}

// apply hands a page on and keeps its rows.
func (f *Follower) apply(p Page, outage time.Duration) {
	f.mu.Lock()
	if p.Whole || f.rows == nil {
		f.rows = make(map[string]Row, len(p.Rows))
	}
	for _, r := range p.Rows {
		if r.Deleted {
			delete(f.rows, r.Key)
		} else {
			f.rows[r.Key] = r
		}
	}
	f.mu.Unlock()
	f.cfg.Apply(p, outage)
}

// confirm records that all changes up to a time of package clock are known.
func (f *Follower) confirm(at time.Duration) {
	f.mu.Lock()
	at = max(at, f.state.At) // what others told may be older
	f.state = State{
		Page:     Page{Revision: f.revision, Whole: true, Clock: max(at-f.skew.offset, 0)},
		Complete: f.complete, Changed: f.changed, At: at,
	}
	if !f.skew.known {
		f.state.Clock = 0
	}
	f.mu.Unlock()
	f.cfg.Confirm(at)
}

// State returns the table, and false before it is known or while the platform's clock
// is not.
func (f *Follower) State() (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	if s.Clock == 0 {
		return s, false
	}
	s.Rows = make([]Row, 0, len(f.rows))
	for _, r := range f.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, true
}

// Clock returns the platform's clock as far as it is known; 0 when it is not.
func (f *Follower) Clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Clock == 0 {
		return 0
	}
	return f.state.Clock + clock.Now() - f.state.At
}

// backoff waits until the next repeat of a failed call. While others poll for
// this process it only sets the time, so that it goes on to hear them.
func (f *Follower) backoff(ctx context.Context) {
	others := f.known && f.relayed()
	if others {
		f.pause = min(max(f.pause, longestWait), relayedPause)
	} else {
		f.pause = min(f.pause, longestWait)
	}
	wait := f.pause/2 + rand.N(f.pause)
	f.pause *= 2
	if others {
		f.due = clock.Now() + wait
		return
	}
	sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stale tells whether a page is older than what is known.
func (f *Follower) stale(p Page) bool { return p.Revision < f.revision }

// call makes one call to the platform. Meanwhile it takes what other processes tell: a
// call may wait long for an answer that never comes. It ends with errOvertaken when
// that makes the call needless.
func (f *Follower) call(ctx context.Context) (Page, error) {
	timeout, ask := readTimeout, f.cfg.Read
	if f.known {
		revision, wait := f.revision, f.cfg.Wait
		if f.failing || f.relayed() {
			wait = 0 // the answer should confirm at once
		}
		timeout = wait + f.cfg.Slack
		ask = func(ctx context.Context) (Page, error) { return f.cfg.Poll(ctx, revision, wait) }
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var page Page
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		page, err = ask(ctx)
	}()
	for {
		select {
		case <-done:
			return page, err
		case <-f.relay.wake:
			if f.known && f.skew.known && f.overtaken(clock.Now()) {
				cancel()
				<-done
				return Page{}, errOvertaken
			}
		}
	}
}

// accept applies a page. Without the platform's clock, the call's start is the
// latest time for which the answer is certain to hold all changes.
func (f *Follower) accept(p Page, asked time.Duration) {
	now := clock.Now()
	if p.Clock > 0 {
		asked = max(asked, f.skew.local(p.Clock, now))
	}
	outage := f.regained(now)
	f.failing, f.answered = false, now
	after := f.changed
	f.known, f.revision, f.complete = true, p.Revision, p.Revision
	f.changed = max(f.changed, lastChange(p))
	f.relay.polled(p, f.changed)
	if f.cfg.Share != nil && !p.Whole && f.changed > after {
		f.cfg.Share(p, after, f.changed)
	}
	if p.Whole || len(p.Rows) > 0 || outage > 0 {
		f.apply(p, outage)
	}
	f.confirm(asked)
}

// regained ends an outage and returns its length; 0 when there was none.
func (f *Follower) regained(now time.Duration) time.Duration {
	if !f.lost {
		return 0
	}
	f.lost = false
	outage := now - f.answered
	f.cfg.Log.Info().Str("table", f.cfg.Name).Dur("outage", outage).Msg("platform table regained")
	return outage
}

// lastChange returns the revision of the last change that a page shows. A whole
// table does not show which rows were deleted, so that it counts as changed.
func lastChange(p Page) uint64 {
	if p.Whole {
		return p.Revision
	}
	last := uint64(0)
	for _, r := range p.Rows {
		if r.Revision == 0 {
			return p.Revision
		}
		last = max(last, r.Revision)
	}
	return last
}

func (f *Follower) failed(err error) {
	f.failing = true
	if f.lost || clock.Now()-f.answered < lostAfter {
		return
	}
	f.lost = true
	f.cfg.Log.Warn().Err(err).Str("table", f.cfg.Name).Dur("silent", clock.Now()-f.answered).Msg("platform table lost")
}
