// Package watch follows one table of the platform through its feed of changes.
// It reads the whole table at the start and whenever the feed has a gap, tells
// how old its knowledge is, and reports when the platform is lost and regained.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// ErrGap reports that the feed no longer holds the changes after a revision.
var ErrGap = errors.New("feed does not reach back to the revision")

var errStale = errors.New("answer is older than what is known")

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

// Config holds the calls and the observers of a Follower.
type Config struct {
	Name string
	Read func(ctx context.Context) (Page, error) // the whole table
	// Poll returns the changes after a revision. It waits for up to wait when
	// there are none.
	Poll func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Apply takes a page. Outage is the time without an answer before it.
	Apply func(p Page, outage time.Duration)
	// Confirm is told that all changes up to a time of package clock are known.
	Confirm func(at time.Duration)
	// Relayed tells whether other processes poll the platform for this one; nil
	// for never.
	Relayed func() bool
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
	for ctx.Err() == nil {
		if f.known && f.follow(ctx) {
			continue
		}
		asked := clock.Now()
		page, err := f.call(ctx)
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

func (f *Follower) call(ctx context.Context) (Page, error) {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.cfg.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	wait := f.cfg.Wait
	if f.failing || f.relayed() {
		wait = 0 // the answer should confirm at once
	}
	return f.cfg.Poll(ctx, f.revision, wait)
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
	if f.cfg.Share != nil && !p.Whole && f.changed > after && !f.relayed() {
		f.cfg.Share(p, after, f.changed)
	}
	if p.Whole || len(p.Rows) > 0 || outage > 0 {
		f.cfg.Apply(p, outage)
	}
	f.cfg.Confirm(asked)
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
