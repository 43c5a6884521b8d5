// Package server is the table of backend servers as the platform's registry
// lists them, with what this process has seen of each: work in flight, answer
// times and failures.
//
// Lock order: Table.mu, then record.mu.
package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// epoch is the zero of now. It lies before the start of the virtual clock of
// tests, so that times are positive there too.
var epoch = time.Now().AddDate(-50, 0, 0)

// now returns the monotonic time. What this process has seen of a server is
// worth little after a suspension in any case, so that the clock that counts
// suspensions, which takes a system call, is not needed.
func now() time.Duration { return time.Since(epoch) }

// Entry is what the registry says of one backend server.
type Entry struct {
	ID          string
	Service     string
	Address     string // IP:PORT
	Domain      string // failure domain
	Accelerator string // kind of accelerator; empty for plain services
	Slots       int    // requests at once
	Draining    bool
	From, To    int           // layers held, To exclusive
	Version     uint64        // of the weights
	Started     int64         // start of the incarnation, Unix milliseconds; 0 when not told
	WarmUp      time.Duration // how much longer the server stays slow after its start
}

// Server is one backend server at one moment. Copies share the record of what
// this process has seen of it.
type Server struct {
	entry Entry
	*record
}

// record is what this process has seen of one incarnation.
type record struct {
	joined time.Duration // now() when this process first heard of the incarnation

	inflight atomic.Int64 // requests of this process
	claimed  atomic.Int64 // layer tokens of KV cache of this process's streams
	suspect  atomic.Int64 // now() until which the server is avoided
	moved    atomic.Int64 // now() of the last sign of life
	told     atomic.Int64 // now() when it was last found dead, here or by another process
	leaving  atomic.Bool  // drains, or has left the registry

	mu       sync.Mutex
	seconds  float64 // smoothed time to an answer
	at       time.Duration
	failures int // since the last success
	waiting  int // reported queue
	running  int // reported work
	reported time.Duration
}

// Entry returns what the registry says.
func (s *Server) Entry() Entry { return s.entry }

// ID returns the name of the server in the registry.
func (s *Server) ID() string { return s.entry.ID }

// Address returns IP:PORT.
func (s *Server) Address() string { return s.entry.Address }

// Domain returns the failure domain.
func (s *Server) Domain() string { return s.entry.Domain }

// Holds tells whether the server holds layers, by what the registry says.
func (s *Server) Holds(from, to int) bool { return s.entry.From <= from && s.entry.To >= to }

// KnownFor returns the time since this process first heard of the server's incarnation.
func (s *Server) KnownFor() time.Duration { return now() - s.joined }

// Inflight returns the requests of this process at the server.
func (s *Server) Inflight() int { return int(s.inflight.Load()) }

// ReservedTokens returns the layer tokens of KV cache that this process's streams take.
func (s *Server) ReservedTokens() int64 { return s.claimed.Load() }

// Begin counts a request in flight and its layer tokens of KV cache. The
// function that it returns ends it.
func (s *Server) Begin(tokens int64) (end func()) {
	s.inflight.Add(1)
	s.claimed.Add(tokens)
	var once sync.Once
	return func() {
		once.Do(func() {
			s.inflight.Add(-1)
			s.claimed.Add(-tokens)
		})
	}
}

// Leaving tells whether the server drains or has left the registry.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// RecordProgress records a sign of life: an event passed through the server.
func (s *Server) RecordProgress() { s.moved.Store(int64(now())) }

// SilentFor returns the time since the last sign of life.
func (s *Server) SilentFor() time.Duration { return now() - time.Duration(s.moved.Load()) }

// MarkDead records that the server was found dead.
func (s *Server) MarkDead() { s.told.Store(int64(now())) }

// FoundDead tells whether the server was found dead within a time and has shown
// no sign of life since.
func (s *Server) FoundDead(within time.Duration) bool {
	at := s.told.Load()
	return at > 0 && at > s.moved.Load() && now()-time.Duration(at) < within
}

// Suspected tells whether the server is avoided now.
func (s *Server) Suspected() bool { return int64(now()) < s.suspect.Load() }

const (
	firstAvoidance   = 300 * time.Millisecond // after one failure: most are of a single request
	longestAvoidance = 5 * time.Second        // the registry drops a dead server sooner
)

// RecordFailure records a failure and avoids the server for a time that doubles with
// each failure in a row.
func (s *Server) RecordFailure() time.Duration {
	s.mu.Lock()
	s.failures++
	avoid := min(firstAvoidance<<min(s.failures-1, 5), longestAvoidance)
	s.mu.Unlock()
	s.Avoid(avoid)
	return avoid
}

// Avoid keeps new work away from the server for a time.
func (s *Server) Avoid(d time.Duration) {
	until := int64(now() + d)
	for {
		old := s.suspect.Load()
		if old >= until || s.suspect.CompareAndSwap(old, until) {
			return
		}
	}
}

const (
	riseWeight = 0.5             // of a time above the mean; a server that turns slow loses work at once
	fallWeight = 0.25            // of a time below the mean
	fading     = 4 * time.Second // a mean fades, so that a server that was slow is tried again
)

// RecordAnswer records the time to a good answer.
func (s *Server) RecordAnswer(took time.Duration) {
	at := now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	x := took.Seconds()
	mean := s.faded(at)
	if x > mean {
		mean += riseWeight * (x - mean)
	} else {
		mean += fallWeight * (x - mean)
	}
	s.seconds, s.at = mean, at
}

// RecordLoad records the load that came with an answer.
func (s *Server) RecordLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.waiting, s.reported = running, waiting, now()
}

func (s *record) faded(at time.Duration) float64 {
	age := at - s.at
	if s.at == 0 || age > 3*fading {
		return 0
	}
	return s.seconds * (1 - float64(age)/float64(3*fading))
}

// reportAge bounds how long a reported load counts.
const reportAge = 500 * time.Millisecond

// Cost returns a measure of the time that one more request takes, for the
// comparison of servers of a plain service.
func (s *Server) Cost() float64 {
	at := now()
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.inflight.Load())
	if at-s.reported < reportAge && s.reported > 0 {
		load = max(load, float64(s.running+s.waiting))
	}
	const unmeasured = 1e-3 // seconds: a server without a time is tried early
	return (load + 1) / float64(max(s.entry.Slots, 1)) * (unmeasured + s.faded(at))
}
