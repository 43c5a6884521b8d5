// Package watch follows one table of the platform through its change feed. It reads the
// whole table at the start and after a gap in the feed, reports how current its data is,
// and reports when the connection to the platform is lost and regained.
package watch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// ErrGap reports that the feed no longer holds the changes after the requested revision.
var ErrGap = errors.New("feed does not reach back to the revision")

var (
	errStale      = errors.New("answer is older than the known revision")
	errSuperseded = errors.New("other processes supplied the changes during the call")
)

// Row is a row of the table, or the record of its deletion.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Page is the answer to one call.
type Page struct {
	Rows     []Row
	Revision uint64 // of the platform when it answered
	Whole    bool   // the page holds all rows of the table
	// Clock is the platform's steady clock when it answered; 0 when unknown.
	Clock time.Duration
}

// State is a whole table as a process knows it.
type State struct {
	Page            // all rows; Clock is the platform's clock up to which they are complete
	Complete uint64 // all changes up to this revision are in the rows
	Changed  uint64 // revision of the table's last change
	// At is the time of package clock that corresponds to Clock.
	At time.Duration
}

// Config holds the calls and callbacks of a Follower.
type Config struct {
	Name string
	// FetchInitial returns the table as another process knows it. It is called before
	// the first call to the platform and returns false when the platform has to be
	// read. May be nil.
	FetchInitial func(ctx context.Context) (State, bool)
	Read         func(ctx context.Context) (Page, error) // reads the whole table
	// Poll returns the changes after a revision. Without changes it waits for up to
	// wait.
	Poll func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Apply is called with each page. outage is the time without an answer before it.
	Apply func(p Page, outage time.Duration)
	// IsNewer reports whether a row that this process knew is newer than the row with the same key in
	// a platform that returned from an older copy. It is called with a row that this process saw
	// deleted too. nil means never.
	IsNewer func(known, copied Row) bool
	// KeepMissing keeps the rows that a platform lacks when it returns from an older copy.
	KeepMissing bool
	// CopyGrace is the time after the return of the platform from which a copied row counts although
	// this process knew a newer one, because its writer has not written it again; 0 for never.
	CopyGrace time.Duration
	// Confirm is called when all changes up to a time of package clock are known.
	Confirm func(at time.Duration)
	// PolledByPeers reports whether other processes poll the platform for this one;
	// nil means never.
	PolledByPeers func() bool
	// Rank returns how many processes nearby poll the platform before this one, and
	// share the answer, when relayed data is old or an announced change has not
	// arrived; nil means none.
	Rank func() int
	// Share is called with the changes that this process polled, to relay them to
	// others; may be nil. after and changed are the revisions of the table's last
	// change before the page and with it. A process of a higher rank than 0 shares only
	// what is much newer than anything that the others told.
	Share func(p Page, after, changed uint64)
	// ShareWatermark is called when an answer without changes is much newer than
	// anything that the others told, so that they need not poll as well; may be nil.
	ShareWatermark func(w Watermark)
	Wait           time.Duration // longest wait of one poll
	// BatchDelay is the pause after a page with changes, so that a sequence of single
	// changes shares a poll.
	BatchDelay time.Duration
	Slack      time.Duration // added to Wait for the timeout of a poll
	Log        zerolog.Logger
}

const (
	firstRetryDelay = 50 * time.Millisecond  // before the first retry of a failed call
	maxRetryDelay   = 400 * time.Millisecond // between retries; well below the time in which a revoked key must stop working
	// readTimeout bounds the read of a whole table. When all processes start at once
	// they share the platform's network link, and a read that times out early has to
	// start over.
	readTimeout = 15 * time.Second
	// skewCalls is the number of calls without a wait from which the difference of the clocks is
	// estimated. The first one reads the whole table while others start, and may wait in a queue.
	skewCalls = 2
	// skewInterval is the longest time between two such calls of a process that polls with a wait. Clocks
	// that differ by 0.01 % move apart by 60 ms meanwhile.
	skewInterval = 10 * time.Minute
	lostAfter    = time.Second // time without an answer after which the platform counts as lost
)

// Follower follows one table.
type Follower struct {
	cfg        Config
	revision   uint64 // of the platform; the next poll asks for changes after it
	changed    uint64 // of the last change of this table; the platform's revision also counts other tables
	complete   uint64 // all changes of this table up to this revision are known
	known      bool
	lastAnswer time.Duration // clock.Now of the last answer to this process, or to one that relayed it
	lost       bool
	failing    bool          // the last call failed
	failures   int           // failed calls since the last answer to this process
	retryDelay time.Duration // before the next retry of a failed call
	retryAt    time.Duration // clock.Now of that retry while others poll for this process
	clockSkew  clockSkew

	relay    relay
	restored restored // only used by the goroutine of Run

	mu    sync.Mutex
	rows  map[string]Row
	state State // without rows; a copy of the fields above after the last answer
}

// clockSkew maps the platform's clock to package clock. A call bounds the difference of the two clocks: the
// platform answered after the call began and before its answer was received, which may be much later if
// this process was paused. The estimate starts at the lower bound and moves only as far as later calls
// require, so that what is derived from it does not look newer than it is.
type clockSkew struct {
	calls     int // that the estimate is based on
	known     bool
	offset    time.Duration // of package clock to the platform's clock
	boundedAt time.Duration // clock.Now of the last call without a wait
}

// observe takes an answer to a call that began at asked, and returns the time of package clock, not later
// than it was, at which the platform answered.
func (k *clockSkew) observe(page, asked, received time.Duration) time.Duration {
	least, most := asked-page, received-page
	if !k.known {
		k.known, k.offset = true, least
	}
	k.calls++
	k.offset = min(max(k.offset, least), most)
	return page + k.offset
}

// needsCall reports whether the next call has to be answered without a wait, to bound the estimate.
func (k *clockSkew) needsCall(now time.Duration) bool {
	return k.known && (k.calls < skewCalls || now-k.boundedAt > skewInterval)
}

// toLocal returns the time of package clock that corresponds to a reading of the platform's clock that
// this process has learned by now.
func (k *clockSkew) toLocal(page, now time.Duration) time.Duration {
	k.offset = min(k.offset, now-page)
	return page + k.offset
}

// New returns a Follower.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, relay: relay{wake: make(chan struct{}, 1)}, restored: newRestored()}
}

// Run follows the table until the context is done.
func (f *Follower) Run(ctx context.Context) {
	f.lastAnswer = clock.Now()
	f.retryDelay = firstRetryDelay
	if f.cfg.FetchInitial != nil {
		if s, ok := f.cfg.FetchInitial(ctx); ok {
			f.adoptState(s)
		}
	}
	for ctx.Err() == nil {
		f.releaseHeld(clock.Now())
		if f.known && f.followPeers(ctx) {
			continue
		}
		asked, revision := clock.Now(), f.revision
		page, err := f.call(ctx)
		if errors.Is(err, errSuperseded) || (err == nil && f.revision > max(revision, page.Revision)) {
			continue // other processes supplied the changes meanwhile
		}
		if err == nil && !f.stale(page) {
			f.applyAnswer(page, asked)
			f.retryDelay, f.retryAt = firstRetryDelay, 0
			if len(page.Rows) > 0 {
				clock.Sleep(ctx, f.cfg.BatchDelay)
			}
			continue
		}
		if err == nil {
			err = errStale
		}
		if errors.Is(err, ErrGap) {
			f.cfg.Log.Warn().Str("table", f.cfg.Name).Uint64("revision", f.revision).Msg("change feed has a gap, reading the whole table")
			f.known = false
			continue
		}
		f.recordFailure(err)
		f.backoff(ctx)
	}
}

// adoptState takes over the table as another process knows it.
func (f *Follower) adoptState(s State) {
	f.known, f.revision, f.complete, f.changed = true, s.Revision, s.Complete, s.Changed
	f.clockSkew = clockSkew{known: true, offset: s.At - s.Clock}
	f.lastAnswer = s.At
	f.apply(s.Page, 0)
	f.confirm(s.At)
}

// apply stores the rows of a page and passes it to the callback.
func (f *Follower) apply(p Page, outage time.Duration) {
	p = f.mergeCopied(p, clock.Now())
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
	at = max(at, f.state.At) // relayed data may be older
	f.state = State{
		Page:     Page{Revision: f.revision, Whole: true, Clock: max(at-f.clockSkew.offset, 0)},
		Complete: f.complete, Changed: f.changed, At: at,
	}
	if !f.clockSkew.known {
		f.state.Clock = 0
	}
	f.mu.Unlock()
	f.cfg.Confirm(at)
}

// State returns the table, and false while the table or the platform's clock is unknown.
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

// Clock returns the platform's current clock; 0 when it is unknown.
func (f *Follower) Clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Clock == 0 {
		return 0
	}
	return f.state.Clock + clock.Now() - f.state.At
}

// backoff delays the next retry of a failed call. While others poll for this process it
// only sets the time of the retry, so that relayed data is still processed.
func (f *Follower) backoff(ctx context.Context) {
	others := f.known && f.polledByPeers()
	if others {
		f.retryDelay = min(max(f.retryDelay, maxRetryDelay), maxRelayedRetryDelay)
	} else {
		f.retryDelay = min(f.retryDelay, maxRetryDelay)
	}
	wait := f.retryDelay/2 + rand.N(f.retryDelay)
	f.retryDelay *= 2
	if others {
		f.retryAt = clock.Now() + wait
		return
	}
	clock.Sleep(ctx, wait)
}

// stale reports whether a page is older than the known revision.
func (f *Follower) stale(p Page) bool { return p.Revision < f.revision }

// call makes one call to the platform. Since the call may wait long for an answer that
// never comes, it applies relayed data meanwhile, and returns errSuperseded when that
// makes the call unnecessary.
func (f *Follower) call(ctx context.Context) (Page, error) {
	timeout, ask := readTimeout, f.cfg.Read
	if f.known {
		revision, wait := f.revision, f.cfg.Wait
		if now := clock.Now(); f.failing || f.failures > 0 || f.polledByPeers() || f.clockSkew.needsCall(now) {
			wait = 0 // an immediate answer confirms the current state and bounds the clock
			f.clockSkew.boundedAt = now
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
			if f.known && f.clockSkew.known && f.superseded(clock.Now()) {
				cancel()
				<-done
				return Page{}, errSuperseded
			}
		}
	}
}

// applyAnswer applies the answer to a call that began at startedAt. Without the platform's
// clock, that is the latest time for which the answer certainly holds all changes.
func (f *Follower) applyAnswer(p Page, startedAt time.Duration) {
	now := clock.Now()
	if p.Clock > 0 {
		startedAt = max(startedAt, f.clockSkew.observe(p.Clock, startedAt, now))
	}
	outage := f.endOutage(now)
	if f.isRestored(p) {
		// What others wrote since the copy is missing until they write it again.
		outage = max(outage, now-f.lastAnswer, time.Nanosecond)
	}
	f.failing, f.lastAnswer = false, now
	f.endCutOff()
	after, changes := f.changed, p
	if p.Whole {
		changes = f.changesTo(p)
	}
	f.known, f.revision, f.complete = true, p.Revision, p.Revision
	f.changed = max(f.changed, lastChange(p))
	lead := f.relay.recordPoll(p, f.changed)
	f.share(changes, after, lead)
	if p.Whole || len(p.Rows) > 0 || outage > 0 {
		f.apply(p, outage)
	}
	f.confirm(startedAt)
}

// changesTo returns the changes that lead from the known rows to a whole table, which the platform's feed no longer
// holds. It returns the page itself if they can't be told: no rows were known, or the platform returned from an older copy.
func (f *Follower) changesTo(p Page) Page {
	if f.rows == nil || f.isRestored(p) {
		return p
	}
	out := Page{Revision: p.Revision, Clock: p.Clock}
	missing := maps.Clone(f.rows)
	for _, r := range p.Rows {
		if known, ok := f.rows[r.Key]; !ok || r.Revision == 0 || r.Revision != known.Revision {
			out.Rows = append(out.Rows, r)
		}
		delete(missing, r.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(missing)) {
		out.Rows = append(out.Rows, Row{Key: key, Revision: p.Revision, Deleted: true})
	}
	return out
}

// share relays an answer to the others. lead is how much newer it is than anything that they told.
func (f *Follower) share(p Page, after uint64, lead time.Duration) {
	switch leads := lead > minSharedLead; {
	case p.Whole:
	case f.changed > after:
		if f.cfg.Share != nil && (leads || f.rank() == 0) {
			f.cfg.Share(p, after, f.changed)
		}
	case leads && f.cfg.ShareWatermark != nil && f.polledByPeers():
		f.cfg.ShareWatermark(Watermark{Changed: f.changed, Clock: p.Clock})
	}
}

// endOutage ends an outage and returns its length; 0 when there was none.
func (f *Follower) endOutage(now time.Duration) time.Duration {
	if !f.lost {
		return 0
	}
	f.lost = false
	outage := now - f.lastAnswer
	f.cfg.Log.Info().Str("table", f.cfg.Name).Dur("outage", outage).Msg("platform table regained")
	return outage
}

// lastChange returns the revision of the last change in a page. A whole table does not
// show when rows were deleted, so it counts as changed at its own revision.
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

// recordFailure records a failed call and logs the start of an outage.
func (f *Follower) recordFailure(err error) {
	f.failing = true
	f.recordCutOff()
	if f.lost || clock.Now()-f.lastAnswer < lostAfter {
		return
	}
	f.lost = true
	f.cfg.Log.Warn().Err(err).Str("table", f.cfg.Name).Dur("silent", clock.Now()-f.lastAnswer).Msg("platform table lost")
}
