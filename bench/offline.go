package bench

import (
	"time"
)

// offlineScheduler is the reference that variants are compared with. It takes the
// place of all entry processes, knows the true lengths of the requests, and sends
// them to the same server models without latency and with current load reports.
type offlineScheduler struct {
	clock   clock
	servers []*server
	rank    func(*request) float64 // requests of lower rank start earlier
	pending []*request
	waits   map[int]float64 // seconds from arrival to start, by request number
	served  map[int]bool    // whether the first token was in time, by request number
}

// urgentSlack is the time to the deadline, less an allowance for the prefill,
// below which the offline scheduler starts a long request before short ones.
// Without it the schedule would not serve the long work that the simulated run
// served.
const urgentSlack = 500 * time.Millisecond

// offlineServed runs the requests under an offline scheduler and returns which
// were served in time, by request number. Rank orders the waiting requests; a
// request whose first token can no longer be in time is dropped.
func (d Deployment) offlineServed(plain bool, requests []*request, rank func(*request) float64) map[int]bool {
	return d.runOffline(plain, requests, rank).served
}

// runOffline runs the requests up to their last deadline and returns the
// scheduler with its results.
func (d Deployment) runOffline(plain bool, requests []*request, rank func(*request) float64) *offlineScheduler {
	s := &offlineScheduler{rank: rank, served: map[int]bool{}, waits: map[int]float64{}}
	s.servers = d.newServers(&s.clock, plain)
	end := time.Duration(0)
	for _, req := range requests {
		end = max(end, req.deadline)
		s.clock.at(req.arrival, func() {
			s.pending = append(s.pending, req)
			s.dispatch()
		})
	}
	s.clock.run(end)
	return s
}

// dispatch starts waiting requests while a slot is free.
func (s *offlineScheduler) dispatch() {
	for len(s.pending) > 0 {
		srv := s.fastestFree()
		if srv == nil {
			return
		}
		best := -1
		feasible := s.pending[:0]
		step := srv.nextStepSeconds()
		for _, req := range s.pending {
			need := time.Duration((req.prefill + 1) * step * float64(time.Second))
			if s.clock.now+need > req.deadline {
				continue
			}
			feasible = append(feasible, req)
			if best < 0 || s.before(req, feasible[best]) {
				best = len(feasible) - 1
			}
		}
		s.pending = feasible
		if best < 0 {
			return
		}
		req := s.pending[best]
		s.pending = append(s.pending[:best], s.pending[best+1:]...)
		s.start(req, srv)
	}
}

// before reports whether request a starts before request b: urgent long
// requests first, then short before long, then by rank.
func (s *offlineScheduler) before(a, b *request) bool {
	urgentA, urgentB := s.isUrgent(a), s.isUrgent(b)
	if urgentA != urgentB {
		return urgentA
	}
	if a.long != b.long {
		return !a.long
	}
	rankA, rankB := s.rank(a), s.rank(b)
	if rankA != rankB {
		return rankA < rankB
	}
	return a.number < b.number
}

// isUrgent reports whether a long request has to start before short ones. The
// allowance for its prefill is 50 ms per step, more than any accelerator takes.
func (s *offlineScheduler) isUrgent(req *request) bool {
	return req.long && req.deadline-s.clock.now < urgentSlack+time.Duration(req.prefill*0.05*float64(time.Second))
}

// fastestFree returns the server with a free slot on which one more request
// would run fastest, or nil when no slot is free.
func (s *offlineScheduler) fastestFree() *server {
	var best *server
	bestStep := 0.0
	for _, srv := range s.servers {
		if srv.freeSlots() <= 0 {
			continue
		}
		if step := srv.nextStepSeconds(); best == nil || step < bestStep {
			best, bestStep = srv, step
		}
	}
	return best
}

// start runs a request on a server and records its wait and whether its first
// token was in time.
func (s *offlineScheduler) start(req *request, srv *server) {
	s.waits[req.number] = (s.clock.now - req.arrival).Seconds()
	j := &job{request: req, onStart: func() {}, onLost: func() {}}
	seen := false
	firstToken := func(int) {
		if !seen {
			seen = true
			s.served[req.number] = s.clock.now <= req.deadline
		}
	}
	j.onToken = firstToken
	j.onDone = func() {
		firstToken(0)
		s.dispatch()
	}
	srv.add(j)
}

// byDeadline and byLength are ranks for earliest deadline first (EDF) and
// shortest job first.
func byDeadline(req *request) float64 { return req.deadline.Seconds() }
func byLength(req *request) float64   { return req.steps() }

// offlineBounds returns how many of the included short requests two offline
// schedules serve in time, earliest deadline first and shortest job first, while
// they also serve the long requests that the run served in time. The larger of
// the two estimates what the hardware could have served.
func (m *sim) offlineBounds(plain bool, include func(*request) bool) (byEDF, byShortest int) {
	var all []*request
	for _, req := range m.requests {
		if req.plain == plain && (!req.long || req.inTime()) {
			all = append(all, req)
		}
	}
	count := func(served map[int]bool) int {
		n := 0
		for _, req := range all {
			if !req.long && include(req) && served[req.number] {
				n++
			}
		}
		return n
	}
	return count(m.deployment.offlineServed(plain, all, byDeadline)), count(m.deployment.offlineServed(plain, all, byLength))
}

// needlessRejections counts the rejected short requests that an offline schedule
// serves in time in addition to all requests that the run served in time. A
// served request that these additions make late is subtracted.
func (m *sim) needlessRejections(include func(*request) bool) int {
	var all []*request
	rejected := map[int]bool{}
	for _, req := range m.requests {
		if req.plain {
			continue
		}
		if req.inTime() {
			all = append(all, req)
		} else if !req.long && req.rejected != "" {
			rejected[req.number] = true
			all = append(all, req)
		}
	}
	rank := func(req *request) float64 {
		if rejected[req.number] {
			return 1e9 + req.deadline.Seconds()
		}
		return req.deadline.Seconds()
	}
	var served []*request
	for _, req := range all {
		if !rejected[req.number] {
			served = append(served, req)
		}
	}
	// The offline schedule may miss some requests that the run served even
	// without the additions. Only those that the additions make late are
	// subtracted.
	before, after := m.deployment.offlineServed(false, served, rank), m.deployment.offlineServed(false, all, rank)
	n := 0
	for _, req := range all {
		switch {
		case !include(req) || req.long:
		case rejected[req.number] && after[req.number]:
			n++
		case !rejected[req.number] && before[req.number] && !after[req.number]:
			n--
		}
	}
	return max(0, n)
}

const (
	idleFraction = 0.02 // fraction of the pipeline slots
	minIdleTime  = 250 * time.Millisecond
)

// idleRejections counts the rejected short requests that could have used an idle
// slot of the run itself: between their arrival and their deadline, more than
// idleFraction of the slots were idle for minIdleTime without a break.
func (m *sim) idleRejections(include func(*request) bool) int {
	need := int(idleFraction*float64(m.deployment.pipelines()*m.deployment.Slots)) + 1
	idleRun := make([]int, len(m.idleSlots)) // consecutive samples with enough idle slots, up to each sample
	for i, free := range m.idleSlots {
		if free >= need {
			idleRun[i] = 1
			if i > 0 {
				idleRun[i] += idleRun[i-1]
			}
		}
	}
	n := 0
	for _, req := range m.requests {
		if req.plain || req.long || req.rejected == "" || !include(req) {
			continue
		}
		from, to := int(req.arrival/sampleInterval)+1, int(req.deadline/sampleInterval)
		for i := from; i <= to && i < len(idleRun); i++ {
			if min(idleRun[i], i-from+1) >= int(minIdleTime/sampleInterval) {
				n++
				break
			}
		}
	}
	return n
}
