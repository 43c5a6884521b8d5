package queue

import (
	"math"
	"time"
)

// Report is the load of one backend server as it last told it.
type Report struct {
	Name       string
	Slots      int // requests that it runs at once
	Running    int
	Waiting    int
	MeasuredAt time.Time // when the server took the figures, zero when not known
}

// Option is a server that may take the next request, as a balancing choice
// sees it.
type Option struct {
	Name          string
	Slots         int
	Load          float64       // requests on it, estimated
	OwnRequests   int           // requests of this process on it
	TokenInterval time.Duration // observed time between tokens, zero when not observed
}

// change is one request that this process sent (1) or saw end (-1).
type change struct {
	at    time.Time
	delta int
}

// history is how long changes are kept; a report is never older than that.
const history = 3 * time.Second

// server is what this process knows of one backend server.
type server struct {
	report  Report
	own     int
	changes []change
	fresh   float64 // requests of other processes at the last report
	other   float64 // requests of other processes now, estimated
	over    int     // requests beyond the slots that it may be sent
	every   mean    // seconds between reports
	others  mean    // requests of other processes, by past reports
	pace    mean    // seconds between tokens
	first   mean    // seconds from dispatch to the first token
}

// mean is a running mean that follows changes.
type mean struct {
	n     int
	value float64
}

const follow = 0.05 // weight of the newest observation

func (m *mean) add(v float64) {
	m.n++
	m.value += max(1/float64(m.n), follow) * (v - m.value)
}

// or returns the mean, or d before the first observation.
func (m *mean) or(d float64) float64 {
	if m.n == 0 {
		return d
	}
	return m.value
}

func (s *server) count(now time.Time, delta int) {
	s.own += delta
	keep := 0
	for keep < len(s.changes) && now.Sub(s.changes[keep].at) > history {
		keep++
	}
	s.changes = append(s.changes[keep:], change{now, delta})
}

// ownAt returns the requests that this process had on the server at a time.
func (s *server) ownAt(t time.Time) int {
	n := s.own
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].at.After(t); i-- {
		n -= s.changes[i].delta
	}
	return n
}

// load estimates the requests on the server: what others had on it at the time
// of the report, and what this process has on it now.
func (s *server) load() int { return int(math.Round(s.other)) + s.own }

// reported returns the requests of other processes by the last report.
func (s *server) reported() float64 {
	return float64(max(0, s.report.Running+s.report.Waiting-s.ownAt(s.report.MeasuredAt)))
}

// refresh renews the estimate of other processes' requests. A report loses its
// weight as the requests that it counted end.
func (s *server) refresh(now time.Time, p Policy, service float64) {
	s.other, s.over = s.fresh, p.Overcommit
	if p.ScaleOvercommit {
		more := float64(s.report.Slots) * s.every.or(0) / service
		s.over = min(max(p.Overcommit, int(more)), s.report.Slots)
	}
	if p.DecayReports {
		w := math.Exp(-now.Sub(s.report.MeasuredAt).Seconds() / service)
		s.other = w*s.fresh + (1-w)*s.others.or(s.fresh)
	}
}

// part is the number of slots of a server that are one process's equal part.
func (s *server) part(peers int) int {
	return int(math.Ceil(float64(s.report.Slots) / float64(max(peers, 1))))
}

// room tells whether the server may be sent a request now.
func (s *server) room(p Policy, peers int) bool {
	load := s.load()
	switch {
	case load < s.report.Slots:
		return true
	case load >= s.report.Slots+s.over:
		return false
	case p.FairShare:
		return s.own < s.part(peers)
	default:
		return true
	}
}

// free returns how many requests the server may be sent now.
func (s *server) free() int {
	return max(0, s.report.Slots+s.over-s.load())
}

func (s *server) option(name string) Option {
	return Option{Name: name, Slots: s.report.Slots, Load: s.other + float64(s.own), OwnRequests: s.own, TokenInterval: time.Duration(s.pace.or(0) * float64(time.Second))}
}

// LeastLoaded is the balancing choice used when none is configured: the server with
// the lowest load for its slots; among equals the faster one.
func LeastLoaded(all []Option) int {
	best := 0
	for i, o := range all {
		b := all[best]
		l, m := o.Load/float64(max(o.Slots, 1)), b.Load/float64(max(b.Slots, 1))
		if l < m || l == m && o.TokenInterval < b.TokenInterval {
			best = i
		}
	}
	return best
}
