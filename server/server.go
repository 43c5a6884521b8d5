// Package server keeps the table of backend servers that the platform's registry lists,
// with what this process has observed of each: work in flight, answer times and failures.
//
// Lock order: Table.mu, then record.mu.
package server

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// epoch is the origin of now. It lies before the start of the virtual clock of tests, so
// that times are positive there as well.
var epoch = time.Now().AddDate(-50, 0, 0)

// now returns the monotonic time. Observations of a server are worth little after the
// machine was suspended, so the clock that includes suspensions, which takes a system
// call, is not needed.
func now() time.Duration { return time.Since(epoch) }

// Entry is the registry's description of one backend server.
type Entry struct {
	ID          string
	Service     string
	Address     string // IP:PORT
	Domain      string // failure domain
	Accelerator string // kind of accelerator; empty for plain services
	Slots       int    // concurrent requests
	Draining    bool
	From, To    int           // layers held, To exclusive
	Version     uint64        // of the weights
	Started     int64         // start of the incarnation, Unix milliseconds; 0 when unknown
	WarmUp      time.Duration // how much longer the server stays slow after its start
}

// Server is one backend server as last listed. Copies for the same incarnation share the
// record of what this process has observed.
type Server struct {
	entry Entry
	*record
}

// record is what this process has observed of one incarnation.
type record struct {
	incarnation uint64
	joined      time.Duration // now() when this process learned of the incarnation

	inflight       atomic.Int64 // requests of this process
	reservedTokens atomic.Int64 // layer tokens of KV cache of this process's streams
	avoidUntil     atomic.Int64 // now() until which the server gets work only if no other can take it
	progressAt     atomic.Int64 // now() of the last event that passed through the server
	deadAt         atomic.Int64 // now() when this or another process last found it dead
	leaving        atomic.Bool  // draining, removed from the registry, or said so itself
	saidLeaving    atomic.Bool  // said itself that it leaves, which is final
	saidLeavingAt  atomic.Int64 // now() when this process heard it; 0 if it was told so when the server joined

	mu          sync.Mutex
	meanSeconds float64       // smoothed time to an answer
	meanAt      time.Duration // now() of the last answer in the mean
	failures    int           // since the last success
	misdirected int           // requests since the last success that another server had to get
	waiting     int           // reported queue
	running     int           // reported work
	reportedAt  time.Duration // now() of the last reported load
}

// Entry returns the registry's description of the server.
func (s *Server) Entry() Entry { return s.entry }

// ID returns the name of the server in the registry.
func (s *Server) ID() string { return s.entry.ID }

// Incarnation returns a hash that identifies this run of the server in every entry process.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// incarnation returns the hash of the run of a server that an entry describes. Runs whose start is
// unknown differ by their address.
func (e *Entry) incarnation() uint64 {
	if e.Started == 0 {
		return xxhash.Sum64String(e.ID + " " + e.Address)
	}
	return xxhash.Sum64String(e.ID + " " + strconv.FormatInt(e.Started, 10))
}

// Address returns IP:PORT.
func (s *Server) Address() string { return s.entry.Address }

// Domain returns the failure domain.
func (s *Server) Domain() string { return s.entry.Domain }

// Holds reports whether the registry lists the server as holding a layer range.
func (s *Server) Holds(from, to int) bool { return s.entry.From <= from && s.entry.To >= to }

// KnownFor returns the time since this process learned of the server's incarnation.
func (s *Server) KnownFor() time.Duration { return now() - s.joined }

// Inflight returns the number of this process's requests at the server.
func (s *Server) Inflight() int { return int(s.inflight.Load()) }

// ReservedTokens returns the layer tokens of KV cache that this process's streams reserve.
func (s *Server) ReservedTokens() int64 { return s.reservedTokens.Load() }

// Begin counts a request in flight and its layer tokens of KV cache. The returned function
// ends it; further calls have no effect.
func (s *Server) Begin(tokens int64) (end func()) {
	s.inflight.Add(1)
	s.reservedTokens.Add(tokens)
	var once sync.Once
	return func() {
		once.Do(func() {
			s.inflight.Add(-1)
			s.reservedTokens.Add(-tokens)
		})
	}
}

// markLeaving records that the server said that it leaves.
func (s *record) markLeaving() {
	s.saidLeaving.Store(true)
	s.leaving.Store(true)
}

// Leaving reports whether the server is draining, was removed from the registry, or said itself that it
// leaves.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// SaidLeaving reports whether the server said itself that it leaves. The registry may still list it as
// in service.
func (s *Server) SaidLeaving() bool { return s.saidLeaving.Load() }

// isPlanned reports whether the end of the server was announced.
func (s *Server) isPlanned() bool { return s.entry.Draining || s.SaidLeaving() }

// RecordProgress records that an event passed through the server, a sign that it is alive. If the
// server was found dead since the last event, it returns the time between the two events.
func (s *Server) RecordProgress() (silence time.Duration, wasDead bool) {
	at := now()
	last := s.progressAt.Swap(int64(at))
	return at - time.Duration(last), last > 0 && s.deadAt.Load() > last
}

// SilentFor returns the time since the last event passed through the server.
func (s *Server) SilentFor() time.Duration { return now() - time.Duration(s.progressAt.Load()) }

// MarkDead records that the server was found dead.
func (s *Server) MarkDead() { s.deadAt.Store(int64(now())) }

// FoundDead reports whether the server was found dead within a time and no event passed
// through it since.
func (s *Server) FoundDead(within time.Duration) bool {
	at := s.deadAt.Load()
	return at > 0 && at > s.progressAt.Load() && now()-time.Duration(at) < within
}

// IsAvoided reports whether the server is avoided now.
func (s *Server) IsAvoided() bool { return int64(now()) < s.avoidUntil.Load() }

const (
	firstAvoidance   = 300 * time.Millisecond // after one failure; most failures affect a single request
	longestAvoidance = 5 * time.Second        // the registry removes a dead server sooner
)

// RecordFailure records a failure and avoids the server for a time that doubles with each
// consecutive failure. It returns that time.
func (s *Server) RecordFailure() time.Duration {
	s.mu.Lock()
	s.failures++
	avoid := min(firstAvoidance<<min(s.failures-1, 5), longestAvoidance)
	s.mu.Unlock()
	s.Avoid(avoid)
	return avoid
}

// Avoid keeps new work away from the server for a time. It does not shorten the time of an earlier
// call.
func (s *Server) Avoid(d time.Duration) {
	until := int64(now() + d)
	for {
		old := s.avoidUntil.Load()
		if old >= until || s.avoidUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

const (
	riseWeight = 0.5             // weight of a time above the mean; a server that becomes slow loses work at once
	fallWeight = 0.25            // weight of a time below the mean
	decayTime  = 4 * time.Second // the mean decays, so that a server that was slow is tried again
)

// RecordMisdirected records that the machine at the address of the server answered that it is another
// server, or lacks the layers.
func (s *Server) RecordMisdirected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misdirected++
}

// IsBelieved reports whether this entry rather than another one with the same address is taken for that of
// the server there: the one with fewer misdirected requests since its last success, or else the one that
// started later.
func (s *Server) IsBelieved(other *Server) bool {
	a, b := s.misdirections(), other.misdirections()
	switch {
	case a != b:
		return a < b
	case s.entry.Started != other.entry.Started:
		return s.entry.Started > other.entry.Started
	default:
		return s.entry.ID < other.entry.ID
	}
}

// misdirections returns the number of misdirected requests since the last success.
func (s *Server) misdirections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misdirected
}

// RecordAnswer records the time to a successful answer.
func (s *Server) RecordAnswer(took time.Duration) {
	at := now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.misdirected = 0, 0
	x := took.Seconds()
	mean := s.decayedMean(at)
	if x > mean {
		mean += riseWeight * (x - mean)
	} else {
		mean += fallWeight * (x - mean)
	}
	s.meanSeconds, s.meanAt = mean, at
}

// RecordLoad records the load that the server reported with an answer.
func (s *Server) RecordLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.waiting, s.reportedAt = running, waiting, now()
}

// decayedMean returns the mean answer time in seconds, which decays linearly to 0 within
// three decay times. The caller holds mu.
func (s *record) decayedMean(at time.Duration) float64 {
	age := at - s.meanAt
	if s.meanAt == 0 || age > 3*decayTime {
		return 0
	}
	return s.meanSeconds * (1 - float64(age)/float64(3*decayTime))
}

// maxReportAge bounds how long a reported load counts.
const maxReportAge = 500 * time.Millisecond

// Cost returns a measure of the time that one more request would take, for comparing
// servers of a plain service.
func (s *Server) Cost() float64 {
	at := now()
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.inflight.Load())
	if at-s.reportedAt < maxReportAge && s.reportedAt > 0 {
		load = max(load, float64(s.running+s.waiting))
	}
	const unmeasuredSeconds = 1e-3 // low, so that a server without a measured time is tried early
	return (load + 1) / float64(max(s.entry.Slots, 1)) * (unmeasuredSeconds + s.decayedMean(at))
}
