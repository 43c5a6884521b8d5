package queue

import (
	"sync/atomic"
	"time"
)

// Slot is the permission to send one request to a backend server. Its holder
// reports the course of the answer and ends it with Done or Drop. First and
// Token may be called from one goroutine at a time.
type Slot struct {
	q        *Queue
	entry    *Entry
	server   *server
	name     string
	began    time.Time
	firstAt  time.Time
	class    int
	longFrom float64
	tokens   atomic.Int64
	ended    bool // guarded by Queue.mu
}

// Server returns the name of the server that the queue chose.
func (s *Slot) Server() string { return s.name }

// Priority returns the priority for the engine's own queue; higher runs
// earlier.
func (s *Slot) Priority() int {
	if s.class == classLong {
		return 0
	}
	return 1
}

// Long tells whether the request counts as long, by prediction or because it
// has outlived its prediction.
func (s *Slot) Long() bool {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	return s.class == classLong
}

// Waited returns the time in the queue.
func (s *Slot) Waited() time.Duration { return s.began.Sub(s.entry.entered) }

// SetServer moves the slot to the server that the request was really sent to, when
// the route or a retry chose another one.
func (s *Slot) SetServer(name string) {
	s.q.mu.Lock()
	defer s.q.unlock()
	other := s.q.servers[name]
	if s.ended || other == nil || other == s.server {
		return
	}
	now := s.q.cfg.Now()
	s.server.count(now, -1)
	other.count(now, 1)
	s.server, s.name = other, name
	s.q.dispatch(now)
}

// Reassign chooses another server for a request whose server has failed, by the
// same estimates as a new request. It returns false when there is none.
func (s *Slot) Reassign() (string, bool) {
	q := s.q
	q.mu.Lock()
	defer q.unlock()
	var all, room []Option
	peers := q.cfg.Peers()
	for _, n := range q.names {
		o := q.servers[n]
		if n == s.name {
			continue
		}
		all = append(all, o.option(n))
		if o.room(q.cfg.Policy, peers) {
			room = append(room, o.option(n))
		}
	}
	if len(room) > 0 {
		all = room
	}
	if s.ended || len(all) == 0 {
		return "", false
	}
	now := q.cfg.Now()
	s.server.count(now, -1)
	s.name = q.choose(all).Name
	s.server = q.servers[s.name]
	s.server.count(now, 1)
	return s.name, true
}

// Token counts one token of the answer. A request that outlives its prediction
// is reclassified as long while it runs, so that it counts against the slots
// that long work may use.
func (s *Slot) Token() {
	n := s.tokens.Add(1)
	if n == 1 {
		s.first()
	}
	if n == int64(s.longFrom)+1 {
		s.reclassify()
	}
}

func (s *Slot) first() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.firstAt = s.q.cfg.Now()
	d := s.firstAt.Sub(s.began).Seconds()
	s.q.first.add(d)
	s.server.first.add(d)
}

func (s *Slot) reclassify() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if s.class == classLong || s.ended || s.entry.work.Plain {
		return
	}
	s.class = classLong
	s.q.running[classShort]--
	s.q.running[classLong]++
	s.q.cfg.Predictor.ObserveLong(s.entry.work.Account, s.entry.work.Shape)
	s.q.cfg.Metrics.outlived()
}

// Done ends the slot after a whole answer and learns from it.
func (s *Slot) Done(tokens int) {
	e := s.entry
	if !e.work.Plain {
		s.q.cfg.Predictor.Observe(e.work.Account, e.work.Shape, e.predict, tokens)
		s.q.cfg.Metrics.predicted(e.predict, tokens, float64(tokens) >= s.longFrom)
	}
	s.end(tokens, true)
}

// Drop ends the slot of a request that failed or was cancelled.
func (s *Slot) Drop() { s.end(int(s.tokens.Load()), false) }

func (s *Slot) end(tokens int, whole bool) {
	q := s.q
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.unlock()
	if s.ended {
		return
	}
	s.ended = true
	q.refresh(now)
	s.server.count(now, -1)
	q.running[s.class]--
	if whole {
		q.service[s.class].add(now.Sub(s.began).Seconds())
		if tokens > 1 && !s.firstAt.IsZero() {
			s.server.pace.add(now.Sub(s.firstAt).Seconds() / float64(tokens-1))
		}
	}
	if !s.entry.work.Plain {
		q.charge(s.entry, float64(tokens)-s.entry.cost, now)
	}
	q.dispatch(now)
}
