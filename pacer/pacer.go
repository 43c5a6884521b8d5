// Package pacer keeps the requests to backend servers within the rates that these name. An
// overloaded server names in each of its answers how many requests per second it takes from all
// entry processes together; the limit holds for as long as its answers name it. Processes tell each
// other the rates and share them.
//
// A Pacer has one lock. Config.Fleet is called while it is held; nothing else is.
package pacer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Now returns the time on the clock of records, which includes suspensions of the VM.
func Now() time.Duration { return clock.RecordTime() }

// Never is the wait for a server to which this process may send nothing.
const Never = time.Duration(math.MaxInt64)

// Statement is what an answer says of the rate of its server.
type Statement struct {
	Server uint64 // hash of the incarnation
	ID     string // name of the server, for the log
	Named  bool   // the answer names a rate
	Rate   float64
	// Unreadable is a value in place of a rate that is no decimal number; "" if there is none.
	Unreadable string
	SentAt     time.Duration // Now when the request was sent
}

// Record is what a server last said of its rate.
type Record struct {
	Server uint64        // hash of the incarnation
	Rate   float64       // requests per second from all processes; 0 after the server stopped naming one
	At     time.Duration // Now when the rate was named, or when the request was sent whose answer named none
}

const (
	// minRate bounds a rate from below, in requests per second. A server that names less, or 0,
	// still gets a request each ten seconds: only an answer tells that the limit has ended.
	minRate = 0.1
	// significantChange is the relative change of a rate that other processes are told at once.
	significantChange = 0.05
	// summaryInterval is the time between two log lines about the requests to a limited server.
	summaryInterval = 4 * time.Second
	// announceInterval is the least time between two announcements of the same server. Heartbeats
	// repeat them.
	announceInterval = 500 * time.Millisecond
	// shareAge is how long a share is used before it is computed again.
	shareAge = 500 * time.Millisecond
	// silentAfter is the time without an answer of the server after which the limit may be out of
	// date: all processes together then send probesPerSecond beside their shares, until an answer
	// confirms or ends it.
	silentAfter     = time.Minute
	probesPerSecond = 1.0
	// recentAge is how long a change is repeated with each heartbeat.
	recentAge = 3 * time.Second
	// forgetAfter is how long a record is kept without an answer of its server.
	forgetAfter = 10 * time.Minute
	// maxEntries bounds the servers that are known. It is twice the servers of the largest fleet.
	maxEntries = 8192
	// maxShared bounds the records in one message, 22 bytes each.
	maxShared = 400
)

// Config holds the dependencies of a Pacer.
type Config struct {
	// Fleet returns the processes that share the rates; nil for this process alone.
	Fleet func() Fleet
	// Announce tells the other processes at once; may be nil.
	Announce func(records []Record)
	Log      zerolog.Logger
}

// Pacer knows the rates that servers have named. It is safe for concurrent use.
type Pacer struct {
	cfg     Config
	limited atomic.Int32 // number of entries with a rate

	mu           sync.Mutex
	entries      map[uint64]*entry
	unreadableAt time.Duration // Now of the last log line about an unreadable value
}

// entry is a record, and what this process has sent and may send to the server. Times are those of
// Now.
type entry struct {
	Record
	id          string        // name of the server; "" if only other processes had an answer of it
	changedAt   time.Duration // last significant change
	ownAt       time.Duration // last significant change by an answer to this process
	announcedAt time.Duration

	available float64       // requests that may be sent now; negative while reserved ones wait
	filledAt  time.Duration // time up to which available was credited
	share     float64       // requests per second of this process
	sharedAt  time.Duration // when share was computed; 0 if it must be computed again

	first, repeated int // requests sent since summaryAt: first attempts and others
	summaryAt       time.Duration
}

// New returns a Pacer that knows of no rate.
func New(cfg Config) *Pacer {
	if cfg.Fleet == nil {
		cfg.Fleet = func() Fleet { return Fleet{Members: []string{""}, Domains: []string{""}, Size: 1} }
	}
	if cfg.Announce == nil {
		cfg.Announce = func([]Record) {}
	}
	return &Pacer{cfg: cfg, entries: map[uint64]*entry{}}
}

// Observe takes the statement of an answer. An answer without a rate ends the limit only if its
// request was sent after the rate was named last: it may have been on the way for long.
func (p *Pacer) Observe(s Statement) {
	if !s.Named && s.Unreadable == "" && p.limited.Load() == 0 {
		return
	}
	now := Now()
	p.mu.Lock()
	if s.Unreadable != "" && now-p.unreadableAt >= summaryInterval {
		p.unreadableAt = now
		p.cfg.Log.Warn().Str("server", s.ID).Str("value", s.Unreadable).Msg("backend server names a rate that is no decimal number")
	}
	var announce []Record
	if s.Named || s.Unreadable == "" {
		announce = p.observe(s, now)
	}
	p.mu.Unlock()
	if len(announce) > 0 {
		p.cfg.Announce(announce)
	}
}

// observe is Observe for a statement that can be read. It returns what the other processes must be
// told at once. The caller holds mu.
func (p *Pacer) observe(s Statement, now time.Duration) []Record {
	r := Record{Server: s.Server, At: s.SentAt}
	if s.Named {
		r.Rate, r.At = max(s.Rate, minRate), now
	}
	e := p.entries[s.Server]
	if e == nil && !s.Named {
		return nil
	}
	if e == nil {
		if e = p.add(s.Server, now); e == nil {
			return nil
		}
	}
	e.id = s.ID
	changed := p.apply(e, r, now, "answer")
	if s.Named && now-e.summaryAt >= summaryInterval {
		p.cfg.Log.Info().Str("server", e.id).Float64("rate", e.Rate).Float64("share", e.share).Int("first", e.first).Int("repeated", e.repeated).Dur("within", now-e.summaryAt).
			Msg("requests to a server that names a rate")
		e.first, e.repeated, e.summaryAt = 0, 0, now
	}
	if !changed {
		return nil
	}
	e.ownAt = now
	if now-e.announcedAt < announceInterval {
		return nil
	}
	e.announcedAt = now
	return []Record{e.Record}
}

// add adds an entry for a server, or returns nil if there are too many. The caller holds mu.
func (p *Pacer) add(server uint64, now time.Duration) *entry {
	if len(p.entries) >= maxEntries {
		p.forget(now)
	}
	if len(p.entries) >= maxEntries {
		return nil
	}
	e := &entry{Record: Record{Server: server}, summaryAt: now, filledAt: now}
	p.entries[server] = e
	return e
}

// forget removes the entries of servers that have not answered for long. The caller holds mu.
func (p *Pacer) forget(now time.Duration) {
	for server, e := range p.entries {
		if now-e.At > forgetAfter {
			p.setRate(e, 0)
			delete(p.entries, server)
		}
	}
}

// apply takes a record if it is newer than the known one, and reports whether that changed the rate
// significantly. The caller holds mu.
func (p *Pacer) apply(e *entry, r Record, now time.Duration, source string) (changed bool) {
	if r.At < e.At || (r.At == e.At && r.Rate == 0) {
		return false
	}
	was := e.Rate
	changed = math.Abs(r.Rate-was) > significantChange*was
	e.At = r.At
	p.setRate(e, r.Rate)
	if !changed {
		return false
	}
	e.changedAt, e.sharedAt = now, 0
	switch {
	case r.Rate == 0:
		p.cfg.Log.Info().Str("server", e.id).Uint64("run", e.Server).Float64("was", was).Str("source", source).Dur("age", now-r.At).Msg("backend server names no rate any more")
	default:
		if was == 0 {
			e.available, e.filledAt = 0, now
		}
		p.fill(e, now)
		p.cfg.Log.Info().Str("server", e.id).Uint64("run", e.Server).Float64("rate", r.Rate).Float64("was", was).Float64("share", e.share).Str("source", source).Dur("age", now-r.At).
			Msg("backend server names a rate")
	}
	return true
}

// setRate stores a rate and counts the limited servers. The caller holds mu.
func (p *Pacer) setRate(e *entry, rate float64) {
	switch {
	case e.Rate == 0 && rate > 0:
		p.limited.Add(1)
	case e.Rate > 0 && rate == 0:
		p.limited.Add(-1)
	}
	e.Rate = rate
}

// fill credits a server's entry for the time that has passed. The caller holds mu.
func (p *Pacer) fill(e *entry, now time.Duration) {
	if e.sharedAt == 0 || now-e.sharedAt >= shareAge {
		fleet := p.cfg.Fleet()
		e.share, e.sharedAt = fleet.Share(e.Server, e.Rate), now
		if now-e.At > silentAfter && fleet.Size > 0 {
			e.share = max(e.share, probesPerSecond/float64(fleet.Size))
		}
	}
	e.available = min(e.available+e.share*(now-e.filledAt).Seconds(), burst)
	e.filledAt = now
}

// waitFor returns how long a request would have to wait. The caller holds mu.
func (p *Pacer) waitFor(e *entry, now time.Duration) time.Duration {
	if e == nil || e.Rate == 0 {
		return 0
	}
	p.fill(e, now)
	missing := 1 - e.available
	switch {
	case missing <= roundingTolerance:
		return 0
	case e.share <= 0:
		return Never
	}
	if seconds := missing / e.share; seconds < forgetAfter.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return Never
}

// roundingTolerance absorbs rounding errors: ten additions of 0.1 must give one request.
const roundingTolerance = 1e-6

// Wait returns how long a request to a server would have to wait; 0 if it names no rate, and Never if
// this process has no share of it.
func (p *Pacer) Wait(server uint64) time.Duration {
	if p.limited.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitFor(p.entries[server], Now())
}

// Reserve takes the right to send one request to a server and returns how long to wait before. It
// takes none and returns false if that is longer than limit.
func (p *Pacer) Reserve(server uint64, limit time.Duration) (wait time.Duration, ok bool) {
	if p.limited.Load() == 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[server]
	wait = p.waitFor(e, Now())
	if wait > limit {
		return wait, false
	}
	if e != nil && e.Rate > 0 {
		e.available--
	}
	return wait, true
}

// CountSent counts a request that is sent to a server, for the log.
func (p *Pacer) CountSent(server uint64, repeated bool) {
	if p.limited.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[server]
	switch {
	case e == nil:
	case repeated:
		e.repeated++
	default:
		e.first++
	}
}

// Limited returns the number of servers that name a rate.
func (p *Pacer) Limited() int { return int(p.limited.Load()) }

// Merge takes what other processes know.
func (p *Pacer) Merge(records []Record) {
	if len(records) == 0 {
		return
	}
	now := Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		if math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) || r.Rate < 0 || now-r.At > forgetAfter {
			continue
		}
		r.At = min(r.At, now)
		e := p.entries[r.Server]
		if e == nil && r.Rate == 0 {
			continue // the end of a limit that this process did not know
		}
		if e == nil {
			if e = p.add(r.Server, now); e == nil {
				return
			}
		}
		p.apply(e, r, now, "peer")
	}
}

// Recent returns the records that changed lately, to be repeated with the next heartbeat: with own
// only those that changed by an answer to this process.
func (p *Pacer) Recent(own bool) []Record {
	now := Now()
	return p.list(func(e *entry) bool {
		at := e.changedAt
		if own {
			at = e.ownAt
		}
		return at > 0 && now-at < recentAge
	})
}

// Records returns the records that other processes should know.
func (p *Pacer) Records() []Record { return p.list(func(*entry) bool { return true }) }

// list returns at most maxShared records for which match returns true. The order of a map is random,
// so that each record is among them after some calls.
func (p *Pacer) list(match func(e *entry) bool) []Record {
	now := Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == 0 {
		return nil
	}
	p.forget(now)
	var out []Record
	for _, e := range p.entries {
		if match(e) {
			out = append(out, e.Record)
		}
		if len(out) == maxShared {
			break
		}
	}
	return out
}
