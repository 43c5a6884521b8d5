// Package poison finds requests, and parts of their prompts, that crash the backend servers which
// begin to answer them, and quarantines them: requests that come again, or have such a part, are
// refused instead of being sent to one server after the other.
//
// Evidence against a part is a crash of a server that had just been given a request with the part.
// Many requests are on a server when it crashes, so a part is quarantined only if no request with
// it has been answered since, if several servers crashed at different moments under different
// requests, and, where a server answered a request with it not long before, after more crashes. Any
// answer to a request with the part clears it.
//
// A request is suspended for some seconds after two crashes and quarantined after the third, if no
// other request was on the server that crashed last and on as many others. Crashes near in time count
// once, until the request has crashed a server that it was sent to alone.
//
// Each process decides by the evidence of all: a process announces what it sees, and records are
// merged in any order and number of times. The package knows no transport.
//
// A Tracker has one lock. No function outside the package is called while it is held.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// cutAge is how long a cut run waits for the confirmation that its server crashed. Without a
	// query the registry tells it, after three missed heartbeats or with the restart.
	cutAge = 6 * time.Second
	// maxCuts bounds the cut runs that wait.
	maxCuts = 1000
	// maxRecords bounds the parts of prompts with evidence, and maxRequests the requests. Beyond it
	// the weakest evidence is forgotten. A crash of an engine cuts about 20 requests without an event.
	maxRecords  = 256
	maxRequests = 1024
	// answeredAge is how long an answer shows that a part is sound, so that it is not blamed while
	// the request also has parts without such an answer.
	answeredAge = 5 * time.Minute
	// maxAnswered bounds the parts, and half of the requests, that are remembered as sound; beyond it
	// the older ones are forgotten.
	maxAnswered = 4096
	// recentAge is how long a change of a record is repeated with each heartbeat, since a datagram
	// or the process that passes it on may be lost.
	recentAge = 3 * time.Second
	// answeredRepeat is how long a record is kept after its part was answered, so that the other
	// processes hear of it.
	answeredRepeat = time.Minute
	// maxShared bounds the records in one message.
	maxShared = 32
)

// Config holds the dependencies of a Tracker.
type Config struct {
	// Announce sends records to the other processes at once; may be nil.
	Announce func(records []Record)
	// OnQuarantine is called when the set of quarantined parts changes; may be nil.
	OnQuarantine func()
	Log          zerolog.Logger
}

// Tracker collects evidence and starts and ends quarantines. It is safe for concurrent use.
type Tracker struct {
	cfg         Config
	quarantined atomic.Int32 // number of records with a quarantine, an upper bound
	requests    atomic.Int32 // number of records of requests
	waiting     atomic.Int32 // number of cuts that wait

	mu       sync.Mutex
	records  map[Part]*entry
	answered answers // parts of prompts
	sound    answers // requests
	cuts     []cut
	crashed  map[uint64]time.Duration // by server, Now of a confirmed crash
}

// entry is a record and when it last changed in this process.
type entry struct {
	Record
	changedAt time.Duration // Now
	ownAt     time.Duration // Now of the last change by what this process saw itself
	active    bool          // counted in quarantined
	ownTrial  uint64        // last trial that this process claimed; 0 for none
}

// cut is a run that was cut before its server had shown that it can answer the request.
type cut struct {
	server  uint64
	request uint64
	trial   uint64 // of the request; 0 if the run was no trial
	parts   []Part
	at      time.Duration // Now
}

// crash returns the crash of the server for the record of a part.
func (c cut) crash(p Part) Crash {
	out := Crash{Server: c.server, Request: c.request, At: c.at}
	if p.IsRequest() {
		out.Request = c.trial
	}
	return out
}

// sameRun reports whether two cuts are of the same request on the same server.
func (c cut) sameRun(o cut) bool {
	return c.server == o.server && c.request == o.request && slices.Equal(c.parts, o.parts)
}

// New returns a Tracker without evidence.
func New(cfg Config) *Tracker {
	if cfg.Announce == nil {
		cfg.Announce = func([]Record) {}
	}
	if cfg.OnQuarantine == nil {
		cfg.OnQuarantine = func() {}
	}
	return &Tracker{cfg: cfg, records: map[Part]*entry{}, crashed: map[uint64]time.Duration{}}
}

// Blocked returns the quarantined part among the given ones and how long its quarantine lasts.
func (t *Tracker) Blocked(parts []Part) (p Part, left time.Duration, ok bool) {
	if len(parts) == 0 || (t.quarantined.Load() == 0 && !t.TracksRequests()) {
		return Part{}, 0, false
	}
	p, left, ok, started := t.blocked(parts)
	t.logQuarantined(started, "evidence of all processes")
	t.announce(started)
	return p, left, ok
}

// blocked is Blocked. It also returns the records whose quarantine it started.
func (t *Tracker) blocked(parts []Part) (p Part, left time.Duration, ok bool, started []Record) {
	now := Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		e := t.records[p]
		if e == nil {
			continue
		}
		if p.IsRequest() && e.settlesIn(now) <= 0 && e.startQuarantine(now, t.leads(e)) {
			t.update(e, now)
			started = append(started, e.Record.clone())
		}
		if e.Quarantined(now) {
			return p, e.Until - now, true, started
		}
		if left := t.unconfirmed(e, now); left > 0 {
			return p, left, true, started
		}
	}
	return Part{}, 0, false, started
}

// unconfirmed returns how long it may take until it is known whether so many servers have crashed on a
// request that it is refused, or 0. The caller holds mu.
func (t *Tracker) unconfirmed(e *entry, now time.Duration) time.Duration {
	left := time.Duration(0)
	if !e.Part.IsRequest() || e.answeredBefore() {
		return 0
	}
	e.forgetUnconfirmed(now)
	if _, length := e.nextTerm(e.countCrashes(e.Crashes, now), true); length > 0 {
		left = e.unconfirmedFor(now)
	}
	if len(e.confirmed()) == 0 {
		return left
	}
	for _, c := range t.cuts {
		if slices.Contains(c.parts, e.Part) {
			left = max(left, c.at+cutAge-now)
		}
	}
	return left
}

// TracksRequests reports whether there is evidence against any request, or may be soon.
func (t *Tracker) TracksRequests() bool { return t.requests.Load() > 0 || t.waiting.Load() > 0 }

// RecordAnswered records that a server wrote an answer to a request with the parts.
func (t *Tracker) RecordAnswered(parts []Part) {
	if len(parts) == 0 {
		return
	}
	now := Now()
	var changed []Record
	lifted := false
	t.mu.Lock()
	for _, p := range parts {
		if p.IsRequest() {
			t.sound.set(p, now)
			t.clearCuts(p)
		} else {
			t.answered.set(p, now)
		}
		e := t.records[p]
		if e == nil || (len(e.Crashes) == 0 && e.Until == 0) {
			continue
		}
		lifted = lifted || e.Quarantined(now)
		e.recordAnswer(now)
		t.update(e, now)
		changed = append(changed, e.Record.clone())
	}
	t.mu.Unlock()
	for _, r := range changed {
		t.cfg.Log.Info().Str("service", r.Part.Service).Str("part", r.Part.ID).Msg(r.describe("part of prompts is sound: a server answered a request with it", "request is sound: a server answered it"))
	}
	if lifted {
		t.cfg.OnQuarantine()
	}
	t.announce(changed)
}

// RecordCut records that a server cut a run before it had answered the request. It counts once
// RecordCrash says that the server crashed. request identifies the request with all its repeats.
func (t *Tracker) RecordCut(server, request uint64, parts []Part) {
	t.recordCut(server, request, parts, false)
}

// RecordTrialCut is RecordCut of a run that was sent alone, after TryAlone returned 0.
func (t *Tracker) RecordTrialCut(server, request uint64, parts []Part) {
	t.recordCut(server, request, parts, true)
}

func (t *Tracker) recordCut(server, request uint64, parts []Part, alone bool) {
	if len(parts) == 0 {
		return
	}
	now := Now()
	t.mu.Lock()
	c := cut{server: server, request: request, parts: t.candidates(parts, now), at: now}
	if alone {
		c.trial = t.ownTrial(parts)
	}
	if at, ok := t.crashed[server]; ok && now-at <= cutAge {
		changed, started := t.attributeCrash(c, now)
		t.mu.Unlock()
		t.report(changed, started)
		return
	}
	// A request that waits for a server is recorded again and again.
	t.dropCuts(func(x cut) bool { return now-x.at > cutAge || x.sameRun(c) })
	if len(t.cuts) < maxCuts {
		t.cuts = append(t.cuts, c)
		t.waiting.Store(int32(len(t.cuts)))
	}
	t.mu.Unlock()
}

// RecordUnconfirmed records that a server that cut runs still accepts connections, so that it is not known
// whether it crashed. All processes hold back a request that would be refused if it did, until RecordCrash
// or cutAge after the cut.
func (t *Tracker) RecordUnconfirmed(server uint64) {
	now := Now()
	var changed []Record
	t.mu.Lock()
	for _, c := range t.cuts {
		if c.server != server || now-c.at > cutAge {
			continue
		}
		for _, p := range c.parts {
			if !p.IsRequest() {
				continue
			}
			x := c.crash(p)
			x.Request |= unconfirmed
			if e := t.entry(p, now); e != nil && e.add(x) {
				t.update(e, now)
				changed = append(changed, e.Record.clone())
			}
		}
	}
	t.mu.Unlock()
	t.announce(changed)
}

// confirm makes the unconfirmed crashes of a server count, also those that other processes saw. It returns
// the records that changed. The caller holds mu.
func (t *Tracker) confirm(server uint64, now time.Duration) (changed []Record) {
	for p, e := range t.records {
		if !p.IsRequest() {
			continue
		}
		for i, c := range e.Crashes {
			if c.Server == server && !e.isConfirmed(c) && now-c.At <= cutAge {
				e.Crashes[i].Request = c.trialOf()
				t.update(e, now)
				changed = append(changed, e.Record.clone())
			}
		}
	}
	return changed
}

// dropCuts removes the cuts for which match returns true. The caller holds mu.
func (t *Tracker) dropCuts(match func(c cut) bool) {
	t.cuts = slices.DeleteFunc(t.cuts, match)
	t.waiting.Store(int32(len(t.cuts)))
}

// clearCuts removes a request that was answered from the cuts that wait. The caller holds mu.
func (t *Tracker) clearCuts(request Part) {
	for i := range t.cuts {
		t.cuts[i].parts = slices.DeleteFunc(t.cuts[i].parts, func(p Part) bool { return p == request })
	}
	t.dropCuts(func(c cut) bool { return len(c.parts) == 0 })
}

// candidates returns the parts that a crash may be blamed on: the quarantined one if there is one,
// else the request, and those parts of its prompt without a recent answer, or all if there are none.
// The caller holds mu.
func (t *Tracker) candidates(parts []Part, now time.Duration) []Part {
	var unanswered, requests []Part
	for _, p := range parts {
		if e := t.records[p]; e != nil && e.Quarantined(now) {
			return []Part{p}
		}
		if p.IsRequest() {
			requests = append(requests, p)
			continue
		}
		if at := t.answered.at(p); at == 0 || now-at > answeredAge {
			unanswered = append(unanswered, p)
		}
	}
	if len(unanswered) == 0 {
		return parts
	}
	return append(unanswered, requests...)
}

// RecordCrash records that a server crashed, which confirms the runs that it cut.
func (t *Tracker) RecordCrash(server uint64) {
	now := Now()
	var changed, started []Record
	t.mu.Lock()
	for s, at := range t.crashed {
		if now-at > cutAge {
			delete(t.crashed, s)
		}
	}
	t.crashed[server] = now
	changed = t.confirm(server, now)
	t.dropCuts(func(c cut) bool {
		if c.server != server {
			return false
		}
		if now-c.at <= cutAge {
			a, b := t.attributeCrash(c, now)
			changed, started = append(changed, a...), append(started, b...)
		}
		return true
	})
	t.mu.Unlock()
	t.report(changed, started)
}

// attributeCrash adds a confirmed crash to the records of its parts. It returns the records that changed
// and those whose parts are quarantined now. The caller holds mu.
func (t *Tracker) attributeCrash(c cut, now time.Duration) (changed, started []Record) {
	// The last of several parts is the most specific one. If its quarantine explains the crash, the
	// parts before it, which more requests share, are not blamed. Whether the request is blamed is
	// decided when it comes again.
	for _, p := range slices.Backward(c.parts) {
		e := t.entry(p, now)
		if e == nil {
			continue
		}
		e.add(c.crash(p))
		quarantined := e.startQuarantine(now, false)
		t.update(e, now)
		changed = append(changed, e.Record.clone())
		if quarantined {
			started = append(started, e.Record.clone())
			break
		}
	}
	return changed, started
}

// entry returns the record of a part, which it creates unless quarantines leave no room. The caller holds
// mu.
func (t *Tracker) entry(p Part, now time.Duration) *entry {
	e := t.records[p]
	if e != nil {
		return e
	}
	if !t.hasRoom(p) {
		t.expire(now)
		if !t.hasRoom(p) && !t.evict(p, now) {
			return nil
		}
	}
	e = &entry{Record: Record{Part: p, AnsweredAt: t.answeredAt(p)}}
	t.records[p] = e
	if p.IsRequest() {
		t.requests.Add(1)
	}
	return e
}

// hasRoom reports whether another record of the kind of a part may be created. The caller holds mu.
func (t *Tracker) hasRoom(p Part) bool {
	requests := int(t.requests.Load())
	if p.IsRequest() {
		return requests < maxRequests
	}
	return len(t.records)-requests < maxRecords
}

// expire removes idle records and old cuts. The caller holds mu.
func (t *Tracker) expire(now time.Duration) {
	t.dropCuts(func(c cut) bool { return now-c.at > cutAge })
	for _, e := range t.records {
		e.forgetUnconfirmed(now)
		if e.idle(now) {
			t.remove(e)
		}
	}
}

// evict removes the weakest record of the kind of a part: that with the fewest crashes, of these the one
// whose last crash is oldest. Records that were in quarantine stay. It returns false if there is none. The
// caller holds mu.
func (t *Tracker) evict(p Part, now time.Duration) bool {
	var weakest *entry
	for _, e := range t.records {
		if e.Part.IsRequest() != p.IsRequest() || e.Quarantined(now) || e.Terms > 0 {
			continue
		}
		if weakest == nil || cmp.Or(cmp.Compare(len(e.confirmed()), len(weakest.confirmed())), cmp.Compare(e.settlesIn(now), weakest.settlesIn(now))) < 0 {
			weakest = e
		}
	}
	if weakest != nil {
		t.remove(weakest)
	}
	return weakest != nil
}

// remove removes a record. The caller holds mu.
func (t *Tracker) remove(e *entry) {
	t.setActive(e, false)
	delete(t.records, e.Part)
	if e.Part.IsRequest() {
		t.requests.Add(-1)
	}
}

// update notes a change of a record by what this process saw. The caller holds mu.
func (t *Tracker) update(e *entry, now time.Duration) {
	e.changedAt, e.ownAt = now, now
	t.setActive(e, e.Quarantined(now))
}

// setActive maintains the number of quarantined parts. The caller holds mu.
func (t *Tracker) setActive(e *entry, active bool) {
	if e.active != active {
		e.active = active
		if active {
			t.quarantined.Add(1)
		} else {
			t.quarantined.Add(-1)
		}
	}
}

// report logs and announces the results of a confirmed crash.
func (t *Tracker) report(changed, started []Record) {
	for _, r := range changed {
		t.cfg.Log.Info().Str("service", r.Part.Service).Str("part", r.Part.ID).Int("crashes", len(r.Crashes)).Dur("answered", r.sinceAnswered()).
			Msg(r.describe("backend server crashed on a request with this part of a prompt", "backend server crashed on this request"))
	}
	t.logQuarantined(started, "evidence of this process")
	t.announce(changed)
}

// logQuarantined logs parts that are quarantined now.
func (t *Tracker) logQuarantined(started []Record, reason string) {
	now := Now()
	for _, r := range started {
		t.cfg.Log.Warn().Str("service", r.Part.Service).Str("part", r.Part.ID).Int("crashes", len(r.Crashes)).Int("term", r.Terms).
			Dur("left", r.Until-now).Str("reason", reason).Msg(r.describe("part of prompts quarantined", "request quarantined"))
	}
	if len(started) > 0 {
		t.cfg.OnQuarantine()
	}
}

// describe returns the message for a part of prompts or for a request.
func (r *Record) describe(part, request string) string {
	if r.Part.IsRequest() {
		return request
	}
	return part
}

// clone returns a copy that shares no memory.
func (r *Record) clone() Record {
	out := *r
	out.Crashes = slices.Clone(r.Crashes)
	return out
}

// sinceAnswered returns the time since the part was last answered, or 0 if it never was.
func (r *Record) sinceAnswered() time.Duration {
	if r.AnsweredAt == 0 {
		return 0
	}
	return Now() - r.AnsweredAt
}
