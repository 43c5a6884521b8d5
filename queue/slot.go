package queue

import (
	"sync/atomic"
	"time"
)

// Slot is the permission to send one request to a backend server. Its holder
// reports the progress of the answer with Token and ends the slot with Done or
// Drop. Token must not be called concurrently.
type Slot struct {
	q             *Queue
	entry         *Entry
	server        *server
	name          string
	startedAt     time.Time
	firstAt       time.Time
	class         int
	longThreshold float64
	tokens        atomic.Int64
	ended         bool // guarded by Queue.mu
}

// Server returns the name of the server that the request is assigned to.
func (s *Slot) Server() string { return s.name }

// Priority returns the priority of the request in the engine's own queue. Higher
// values run earlier.
func (s *Slot) Priority() int {
	if s.class == classLong {
		return 0
	}
	return 1
}

// Long reports whether the request counts as long, either by prediction or because
// it has produced more tokens than the threshold.
func (s *Slot) Long() bool {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	return s.class == classLong
}

// Waited returns the time that the request spent in the queue.
func (s *Slot) Waited() time.Duration { return s.startedAt.Sub(s.entry.enqueuedAt) }

// SetServer assigns the slot to the server that the request was actually sent to,
// if the route or a retry chose another one.
func (s *Slot) SetServer(name string) {
	s.q.mu.Lock()
	defer s.q.unlockAndNotify()
	other := s.q.servers[name]
	if s.ended || other == nil || other == s.server {
		return
	}
	now := s.q.cfg.Now()
	s.server.recordChange(now, -1)
	other.recordChange(now, 1)
	s.server, s.name = other, name
	s.q.dispatch(now)
}

// Reassign chooses another server for a request whose server has failed. Servers
// with room are preferred. It returns false if there is no other server.
func (s *Slot) Reassign() (string, bool) {
	q := s.q
	q.mu.Lock()
	defer q.unlockAndNotify()
	var candidates, withRoom []Candidate
	peers := q.cfg.Peers()
	for _, n := range q.serverNames {
		o := q.servers[n]
		if n == s.name {
			continue
		}
		candidates = append(candidates, o.candidate(n))
		if o.hasRoom(q.cfg.Policy, peers) {
			withRoom = append(withRoom, o.candidate(n))
		}
	}
	if len(withRoom) > 0 {
		candidates = withRoom
	}
	if s.ended || len(candidates) == 0 {
		return "", false
	}
	now := q.cfg.Now()
	s.server.recordChange(now, -1)
	s.name = q.balance(candidates).Name
	s.server = q.servers[s.name]
	s.server.recordChange(now, 1)
	return s.name, true
}

// Token counts one token of the answer. A request that exceeds the threshold of
// long answers is reclassified as long while it runs, so that it counts against
// the slots of long work.
func (s *Slot) Token() {
	n := s.tokens.Add(1)
	if n == 1 {
		s.recordFirstToken()
	}
	if n == int64(s.longThreshold)+1 {
		s.reclassify()
	}
}

// recordFirstToken records the time from dispatch to the first token.
func (s *Slot) recordFirstToken() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.firstAt = s.q.cfg.Now()
	d := s.firstAt.Sub(s.startedAt).Seconds()
	s.q.firstTokenSeconds.add(d)
	s.server.firstTokenSeconds.add(d)
}

// reclassify moves a running short request to the long class.
func (s *Slot) reclassify() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if s.class == classLong || s.ended || s.entry.request.Plain {
		return
	}
	s.class = classLong
	s.q.running[classShort]--
	s.q.running[classLong]++
	s.q.cfg.Predictor.ObserveLong(s.entry.request.Account, s.entry.request.Shape)
	s.q.cfg.Metrics.countReclassified()
}

// Done ends the slot after a complete answer and updates the predictor and the
// service times.
func (s *Slot) Done(tokens int) {
	e := s.entry
	if !e.request.Plain {
		s.q.cfg.Predictor.Observe(e.request.Account, e.request.Shape, e.prediction, tokens)
		s.q.cfg.Metrics.observePrediction(e.prediction, tokens, float64(tokens) >= s.longThreshold)
	}
	s.finish(tokens, true)
}

// Drop ends the slot of a request that failed or was cancelled.
func (s *Slot) Drop() { s.finish(int(s.tokens.Load()), false) }

// finish releases the slot, corrects the charge of the account to the actual cost
// and dispatches waiting requests. Only complete answers update the service times.
func (s *Slot) finish(tokens int, whole bool) {
	q := s.q
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.unlockAndNotify()
	if s.ended {
		return
	}
	s.ended = true
	q.refreshEstimates(now)
	s.server.recordChange(now, -1)
	q.running[s.class]--
	if whole {
		q.serviceTime[s.class].add(now.Sub(s.startedAt).Seconds())
		if tokens > 1 && !s.firstAt.IsZero() {
			s.server.tokenInterval.add(now.Sub(s.firstAt).Seconds() / float64(tokens-1))
		}
	}
	if !s.entry.request.Plain {
		q.chargeAccount(s.entry, float64(tokens)-s.entry.cost, now)
	}
	q.dispatch(now)
}
