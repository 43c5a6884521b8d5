package queue

import (
	"math"
	"time"
)

// Report is a load report of one backend server.
type Report struct {
	Name       string
	Slots      int // requests that the server runs concurrently
	Running    int
	Waiting    int
	MeasuredAt time.Time // when the server measured its load; zero if unknown
}

// Candidate describes a server that may take the next request, as input to
// Config.Choose.
type Candidate struct {
	Name          string
	Slots         int
	Load          float64       // estimated number of requests on the server
	OwnRequests   int           // requests of this process on the server
	TokenInterval time.Duration // observed time between tokens; zero if not observed
}

// change records that this process sent a request to a server (1) or that one
// ended (-1).
type change struct {
	at    time.Time
	delta int
}

// changeHistory is how long changes are kept. Reports are never older than that.
const changeHistory = 3 * time.Second

// server holds the state of one backend server as seen by this process.
type server struct {
	report            Report
	ownRequests       int
	changes           []change
	othersAtReport    float64 // requests of other processes at the time of the last report
	othersNow         float64 // estimated requests of other processes now
	overcommit        int     // current number of requests allowed beyond the slots
	reportInterval    mean    // seconds between reports
	othersMean        mean    // mean of othersAtReport over past reports
	tokenInterval     mean    // seconds between tokens
	firstTokenSeconds mean    // seconds from dispatch to the first token
}

// mean is a running mean: an arithmetic mean at first, then an exponentially
// weighted one.
type mean struct {
	n     int
	value float64
}

const meanWeight = 0.05 // minimum weight of the newest value

func (m *mean) add(v float64) {
	m.n++
	m.value += max(1/float64(m.n), meanWeight) * (v - m.value)
}

// valueOr returns the mean, or fallback before the first observation.
func (m *mean) valueOr(fallback float64) float64 {
	if m.n == 0 {
		return fallback
	}
	return m.value
}

// recordChange updates the number of requests of this process on the server.
func (s *server) recordChange(now time.Time, delta int) {
	s.ownRequests += delta
	keep := 0
	for keep < len(s.changes) && now.Sub(s.changes[keep].at) > changeHistory {
		keep++
	}
	s.changes = append(s.changes[keep:], change{now, delta})
}

// ownAt returns the number of requests that this process had on the server at time
// t.
func (s *server) ownAt(t time.Time) int {
	n := s.ownRequests
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].at.After(t); i-- {
		n -= s.changes[i].delta
	}
	return n
}

// load estimates the number of requests on the server: the estimate of other
// processes' requests plus the current number of this process.
func (s *server) load() int { return int(math.Round(s.othersNow)) + s.ownRequests }

// othersByReport returns the number of requests of other processes according to
// the last report.
func (s *server) othersByReport() float64 {
	return float64(max(0, s.report.Running+s.report.Waiting-s.ownAt(s.report.MeasuredAt)))
}

// updateEstimate updates the estimate of other processes' requests and the allowed
// overcommit. With Policy.DecayReports a report loses weight as the requests
// counted in it end.
func (s *server) updateEstimate(now time.Time, policy Policy, serviceSeconds float64) {
	s.othersNow, s.overcommit = s.othersAtReport, policy.Overcommit
	if policy.ScaleOvercommit {
		perReport := float64(s.report.Slots) * s.reportInterval.valueOr(0) / serviceSeconds
		s.overcommit = min(max(policy.Overcommit, int(perReport)), s.report.Slots)
	}
	if policy.DecayReports {
		weight := math.Exp(-now.Sub(s.report.MeasuredAt).Seconds() / serviceSeconds)
		s.othersNow = weight*s.othersAtReport + (1-weight)*s.othersMean.valueOr(s.othersAtReport)
	}
}

// fairShare returns the equal share of one process of the slots, rounded up.
func (s *server) fairShare(peers int) int {
	return int(math.Ceil(float64(s.report.Slots) / float64(max(peers, 1))))
}

// hasRoom reports whether the server may be sent another request now.
func (s *server) hasRoom(p Policy, peers int) bool {
	load := s.load()
	switch {
	case load < s.report.Slots:
		return true
	case load >= s.report.Slots+s.overcommit:
		return false
	case p.FairShare:
		return s.ownRequests < s.fairShare(peers)
	default:
		return true
	}
}

// freeSlots returns how many more requests the server may be sent now, including
// the overcommit.
func (s *server) freeSlots() int {
	return max(0, s.report.Slots+s.overcommit-s.load())
}

// candidate describes the server for Config.Choose.
func (s *server) candidate(name string) Candidate {
	return Candidate{Name: name, Slots: s.report.Slots, Load: s.othersNow + float64(s.ownRequests), OwnRequests: s.ownRequests, TokenInterval: time.Duration(s.tokenInterval.valueOr(0) * float64(time.Second))}
}

// LeastLoaded is the default of Config.Choose. It returns the index of the server
// with the lowest load per slot; among equals, of the one with the shorter time
// between tokens.
func LeastLoaded(candidates []Candidate) int {
	best := 0
	for i, o := range candidates {
		b := candidates[best]
		load, bestLoad := o.Load/float64(max(o.Slots, 1)), b.Load/float64(max(b.Slots, 1))
		if load < bestLoad || load == bestLoad && o.TokenInterval < b.TokenInterval {
			best = i
		}
	}
	return best
}
