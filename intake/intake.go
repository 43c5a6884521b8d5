// Package intake keeps what backend servers say in their answers about taking requests. A server takes
// requests, leaves, or rests: one that leaves says so until it ends, one that is overloaded may refuse a
// request and ask for a pause. Servers are known by the hash of their incarnation, so that a server that
// started again begins anew.
//
// Leaving is final and is told to the other processes. A pause binds only the process that was asked for
// it; its deadlines are in memory. When it has ended, the server gets one request, and more with each one
// that it does not refuse.
//
// A Tracker has one lock. No function of Config is called while it is held.
package intake

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Now returns the time on the clock of statements and records, which includes suspensions of the VM.
func Now() time.Duration { return clock.RecordTime() }

// Said is what one answer says of whether its server takes requests. The zero value says nothing.
type Said struct {
	Leaving   bool          // the server is about to end
	RestUntil time.Duration // Now until which the server wants no request from this process; 0 for no pause
	// Unreadable is a value that has no meaning, with the name that the protocol gives it; "" if there is
	// none.
	Unreadable string
}

// IsZero reports whether the answer says nothing.
func (s Said) IsZero() bool { return s == Said{} }

// Statement is what an answer says, and whose it is.
type Statement struct {
	Said
	Server uint64 // hash of the incarnation
	ID     string // name of the server, for the log
	Source string // kind of the answer, for the log
	// SentAt is Now when the request was sent that the server took; 0 if it took none.
	SentAt time.Duration
}

// Record is a server that said that it leaves.
type Record struct {
	Server uint64        // hash of the incarnation
	At     time.Duration // Now when it was first heard to say so
}

const (
	// DefaultMaxPause is the longest pause that is heeded in full. A server that needs longer should leave.
	DefaultMaxPause = time.Hour
	// doubtfulPause is heeded of a longer one, which no server means: bursts, restarts and loads of weights
	// end within it, and a server that names a wrong unit or lies is asked again soon.
	doubtfulPause = time.Minute
	// returnStep is the time after which a server that was asked for nothing more since its pause, or has
	// not answered, gets one more request. returnAnswers is the number of answers after which it gets
	// requests without bound, and returnTime the time after which it does in any case.
	returnStep    = 100 * time.Millisecond
	returnAnswers = 8
	returnTime    = 2 * time.Second
	// returnGrowth is how many requests more a server gets for each one that it answered since its pause.
	returnGrowth = 2
	// pauseSpread and maxPauseSpread bound the random addition to a pause, so that processes that were
	// refused together do not return together.
	pauseSpread    = 0.1
	maxPauseSpread = 250 * time.Millisecond
	// recentAge is how long a record is repeated with each heartbeat.
	recentAge = 3 * time.Second
	// forgetAfter is how long a record is kept. Servers that leave end within seconds or minutes.
	forgetAfter = time.Hour
	// maxEntries bounds the servers that are known. It is twice the servers of the largest fleet.
	maxEntries = 8192
	// maxShared bounds the records in one message, 13 bytes each.
	maxShared = 400
)

// Config holds the settings and dependencies of a Tracker.
type Config struct {
	Log      zerolog.Logger
	MaxPause time.Duration // longest pause that is heeded in full; 0 for DefaultMaxPause
	// Announce tells the other processes at once; may be nil.
	Announce func(records []Record)
	// OnLeaving is called with the servers that are first heard to leave; may be nil.
	OnLeaving func(servers []uint64)
}

// Tracker knows which servers leave and which rest. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	resting atomic.Int32 // servers that rest or return from a pause

	mu      sync.Mutex
	entries map[uint64]*entry
}

// entry is what this process knows of one server. Times are those of Now.
type entry struct {
	id                 string
	seenAt             time.Duration // last statement
	unreadableIsLogged bool

	leavingAt time.Duration // first statement that it leaves; 0 if there is none
	changedAt time.Duration // when this process learned of that
	own       bool          // by an answer to this process

	restFrom   time.Duration // begin of the pause
	restUntil  time.Duration // its end; 0 if the server neither rests nor returns
	ended      bool          // the end was logged
	returnedAt time.Duration // first request after the pause; 0 if there was none
	sent       int           // requests since returnedAt
	answered   int           // of these that the server did not refuse with a pause
}

// New returns a Tracker that knows no server.
func New(cfg Config) *Tracker {
	if cfg.MaxPause <= 0 {
		cfg.MaxPause = DefaultMaxPause
	}
	if cfg.Announce == nil {
		cfg.Announce = func([]Record) {}
	}
	if cfg.OnLeaving == nil {
		cfg.OnLeaving = func([]uint64) {}
	}
	return &Tracker{cfg: cfg, entries: map[uint64]*entry{}}
}

// Observe takes the statement of an answer.
func (t *Tracker) Observe(s Statement) {
	if s.IsZero() && t.resting.Load() == 0 {
		return
	}
	if t.observe(s, Now()) {
		t.cfg.OnLeaving([]uint64{s.Server})
		t.cfg.Announce([]Record{{Server: s.Server, At: Now()}})
	}
}

// observe is Observe without the callbacks. It reports whether the server is first heard to leave.
func (t *Tracker) observe(s Statement, now time.Duration) (leaves bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.Server]
	if e == nil && s.IsZero() {
		return false
	}
	if e == nil {
		if e = t.add(s.Server, now); e == nil {
			return false
		}
	}
	e.id, e.seenAt = s.ID, now
	if s.Unreadable != "" && !e.unreadableIsLogged {
		e.unreadableIsLogged = true
		t.cfg.Log.Warn().Str("server", s.ID).Str("value", s.Unreadable).Str("source", s.Source).Msg("backend server says something without a meaning")
	}
	switch {
	case s.RestUntil > now:
		t.rest(e, s, now)
	case e.returnedAt > 0 && s.SentAt >= e.returnedAt:
		e.answered++
		t.finishReturn(e, now)
	}
	if !s.Leaving || e.leavingAt > 0 {
		return false
	}
	e.leavingAt, e.changedAt, e.own = now, now, true
	t.cfg.Log.Info().Str("server", s.ID).Uint64("run", s.Server).Str("source", s.Source).Dur("age", 0).Msg("backend server says that it leaves")
	return true
}

// add adds an entry for a server, or returns nil if there are too many. The caller holds mu.
func (t *Tracker) add(server uint64, now time.Duration) *entry {
	if len(t.entries) >= maxEntries {
		t.forget(now)
	}
	if len(t.entries) >= maxEntries {
		return nil
	}
	e := &entry{seenAt: now}
	t.entries[server] = e
	return e
}

// forget removes the entries of servers that do not rest and said nothing for long. The caller holds mu.
func (t *Tracker) forget(now time.Duration) {
	for server, e := range t.entries {
		if e.restUntil == 0 && now-e.seenAt > forgetAfter {
			delete(t.entries, server)
		}
	}
}

// rest begins or prolongs a pause. A later statement never shortens it, as each binds on its own. The
// caller holds mu.
func (t *Tracker) rest(e *entry, s Statement, now time.Duration) {
	named := s.RestUntil - now
	pause := named
	if named > t.cfg.MaxPause {
		pause = min(t.cfg.MaxPause, doubtfulPause)
	}
	pause += rand.N(min(time.Duration(pauseSpread*float64(pause)), maxPauseSpread) + 1)
	if e.restUntil == 0 {
		t.resting.Add(1)
	}
	if now >= e.restUntil {
		e.restFrom = now
		t.cfg.Log.Info().Str("server", s.ID).Uint64("run", s.Server).Str("source", s.Source).Dur("named", named).Dur("left", pause).Msg("backend server asks for a pause")
	}
	e.restUntil = max(e.restUntil, now+pause)
	e.ended, e.returnedAt, e.sent, e.answered = false, 0, 0, 0
}

// finishReturn ends the return of a server that has answered enough requests since its pause, or was
// back for long enough. The caller holds mu.
func (t *Tracker) finishReturn(e *entry, now time.Duration) {
	if e.answered < returnAnswers && now-e.returnedAt < returnTime {
		return
	}
	t.logEnd(e, now)
	e.restUntil, e.returnedAt = 0, 0
	t.resting.Add(-1)
}

// logEnd logs the end of a pause, once. The caller holds mu.
func (t *Tracker) logEnd(e *entry, now time.Duration) {
	if !e.ended {
		e.ended = true
		t.cfg.Log.Info().Str("server", e.id).Dur("lasted", e.restUntil-e.restFrom).Dur("since", now-e.restUntil).Msg("pause of the backend server has ended")
	}
}

// waitFor returns the time until a server takes a request. The caller holds mu.
func (t *Tracker) waitFor(e *entry, now time.Duration) time.Duration {
	switch {
	case e == nil || e.restUntil == 0:
		return 0
	case now < e.restUntil:
		return e.restUntil - now
	case e.returnedAt == 0:
		return 0
	}
	back := now - e.returnedAt
	if back >= returnTime || e.sent < 1+returnGrowth*e.answered+int(back/returnStep) {
		return 0
	}
	return returnStep - back%returnStep
}

// Wait returns the time until a server takes a request of this process; 0 if it does now.
func (t *Tracker) Wait(server uint64) time.Duration {
	if t.resting.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitFor(t.entries[server], Now())
}

// Reserve takes the right to send a request to a server, and reports whether it takes one now.
func (t *Tracker) Reserve(server uint64) bool {
	if t.resting.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.entries[server], Now()
	if t.waitFor(e, now) > 0 {
		return false
	}
	if e == nil || e.restUntil == 0 {
		return true
	}
	t.logEnd(e, now)
	if e.returnedAt == 0 {
		e.returnedAt = now
	}
	e.sent++
	t.finishReturn(e, now)
	return true
}

// Rests reports whether a server is within its pause.
func (t *Tracker) Rests(server uint64) bool {
	if t.resting.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	return e != nil && Now() < e.restUntil
}

// Leaves reports whether a server said that it leaves.
func (t *Tracker) Leaves(server uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	return e != nil && e.leavingAt > 0
}

// Resting returns the number of servers that rest, or that have not got requests without bound since
// their pause.
func (t *Tracker) Resting() int { return int(t.resting.Load()) }

// Expire logs the end of pauses after which no request came. It is called a few times a second.
func (t *Tracker) Expire() {
	if t.resting.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := Now()
	for _, e := range t.entries {
		if e.restUntil > 0 && now >= e.restUntil {
			t.logEnd(e, now)
		}
	}
}

// Merge takes what other processes heard.
func (t *Tracker) Merge(records []Record) {
	if len(records) == 0 {
		return
	}
	if leaves := t.merge(records, Now()); len(leaves) > 0 {
		t.cfg.OnLeaving(leaves)
	}
}

// merge is Merge without the callback. It returns the servers that are first heard to leave.
func (t *Tracker) merge(records []Record, now time.Duration) (leaves []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		at := min(r.At, now)
		if now-at > forgetAfter {
			continue
		}
		e := t.entries[r.Server]
		if e == nil {
			if e = t.add(r.Server, at); e == nil {
				break
			}
		}
		if e.leavingAt > 0 {
			continue
		}
		e.leavingAt, e.changedAt = at, now
		leaves = append(leaves, r.Server)
		t.cfg.Log.Info().Str("server", e.id).Uint64("run", r.Server).Str("source", "peer").Dur("age", now-at).Msg("backend server says that it leaves")
	}
	return leaves
}

// Recent returns the records that this process learned of lately, to be repeated with the next
// heartbeat: with own only those of answers to this process.
func (t *Tracker) Recent(own bool) []Record {
	now := Now()
	return t.list(now, func(e *entry) bool { return now-e.changedAt < recentAge && (e.own || !own) })
}

// Records returns the records that other processes should know.
func (t *Tracker) Records() []Record { return t.list(Now(), func(*entry) bool { return true }) }

// list returns at most maxShared records for which match returns true. The order of a map is random, so
// that each record is among them after some calls.
func (t *Tracker) list(now time.Duration, match func(e *entry) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var out []Record
	for server, e := range t.entries {
		if e.leavingAt > 0 && match(e) {
			out = append(out, Record{Server: server, At: e.leavingAt})
		}
		if len(out) == maxShared {
			break
		}
	}
	return out
}
