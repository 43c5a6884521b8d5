// Package pacer keeps the requests to backend servers within the rates that these name. A server in
// need names the requests per second that it takes from all entry processes together, in each of
// its answers, for as long as that holds.
//
// A Pacer has one lock. Config.Share is called while it is held; nothing else is.
package pacer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
)

// origin keeps the times of events before the start of this process positive.
const origin = 24 * time.Hour

// Now returns the time on the clock of records, which includes suspensions of the VM.
func Now() time.Duration { return clock.Now() + origin }

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

const (
	// minRate bounds a rate from below, in requests per second. A server that names less, or 0,
	// still gets a request each ten seconds: only an answer tells that the limit has ended.
	minRate = 0.1
	// significantChange is the relative change of a rate that other processes are told at once.
	significantChange = 0.05
	// summaryInterval is the time between two log lines about the requests to a limited server.
	summaryInterval = 4 * time.Second
)

// Config holds the dependencies of a Pacer.
type Config struct {
	Log zerolog.Logger
}

// Pacer knows the rates that servers have named. It is safe for concurrent use.
type Pacer struct {
	cfg     Config
	limited atomic.Int32 // number of entries with a rate

	mu           sync.Mutex
	entries      map[uint64]*entry
	unreadableAt time.Duration // Now of the last log line about an unreadable value
}

// entry is what is known of one incarnation of a server.
type entry struct {
	id   string
	rate float64       // requests per second from all processes; 0 after the server stopped naming one
	at   time.Duration // Now when the rate was named, or when the request was sent whose answer named none

	first, repeated int           // requests sent since summaryAt: first attempts and others
	summaryAt       time.Duration // Now of the last summary
}

// New returns a Pacer that knows of no rate.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, entries: map[uint64]*entry{}} }

// Observe takes the statement of an answer. An answer without a rate ends the limit only if its
// request was sent after the rate was named last: it may have been on the way for long.
func (p *Pacer) Observe(s Statement) {
	if !s.Named && s.Unreadable == "" && p.limited.Load() == 0 {
		return
	}
	now := Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Unreadable != "" && now-p.unreadableAt >= summaryInterval {
		p.unreadableAt = now
		p.cfg.Log.Warn().Str("server", s.ID).Str("value", s.Unreadable).Msg("backend server names a rate that is no decimal number")
	}
	if !s.Named && s.Unreadable != "" {
		return
	}
	e := p.entries[s.Server]
	if e == nil {
		if !s.Named {
			return
		}
		e = &entry{summaryAt: now}
		p.entries[s.Server] = e
	}
	e.id = s.ID
	if !s.Named {
		if e.rate > 0 && s.SentAt > e.at {
			p.cfg.Log.Info().Str("server", e.id).Float64("was", e.rate).Dur("age", now-e.at).Msg("backend server names no rate any more")
			p.set(e, 0, s.SentAt)
		}
		return
	}
	rate := max(s.Rate, minRate)
	if math.Abs(rate-e.rate) > significantChange*e.rate {
		p.cfg.Log.Info().Str("server", e.id).Float64("rate", rate).Float64("was", e.rate).Msg("backend server names a rate")
	}
	p.set(e, rate, now)
	if now-e.summaryAt >= summaryInterval {
		p.cfg.Log.Info().Str("server", e.id).Float64("rate", rate).Int("first", e.first).Int("repeated", e.repeated).Dur("within", now-e.summaryAt).
			Msg("requests to a server that names a rate")
		e.first, e.repeated, e.summaryAt = 0, 0, now
	}
}

// set stores a rate. The caller holds mu.
func (p *Pacer) set(e *entry, rate float64, at time.Duration) {
	switch {
	case e.rate == 0 && rate > 0:
		p.limited.Add(1)
	case e.rate > 0 && rate == 0:
		p.limited.Add(-1)
	}
	e.rate, e.at = rate, at
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
