package bench

import (
	"time"
)

// plan is a schedule made with full knowledge: one scheduler in place of the
// entry processes, with the true lengths, no latency and no lag, over the same
// engine models.
type plan struct {
	clock   clock
	lanes   []*lane
	rank    func(*request) float64 // lower starts earlier
	pending []*request
	waits   map[int]float64 // seconds from arrival to the start, by number
	served  map[int]bool    // numbers of requests whose first token came in time
}

// urgent is the slack below which a long request of the plan is started before
// short ones, so that the plan carries the long work that the policy carried.
const urgent = 500 * time.Millisecond

// schedule plays the requests. Rank orders those that wait; a request whose
// first token can no longer be in time is left out.
func (s Deployment) schedule(plain bool, requests []*request, rank func(*request) float64) map[int]bool {
	return s.newPlan(plain, requests, rank).served
}

func (s Deployment) newPlan(plain bool, requests []*request, rank func(*request) float64) *plan {
	p := &plan{rank: rank, served: map[int]bool{}, waits: map[int]float64{}}
	p.lanes = s.newLanes(&p.clock, plain)
	end := time.Duration(0)
	for _, q := range requests {
		end = max(end, q.by)
		p.clock.at(q.at, func() {
			p.pending = append(p.pending, q)
			p.dispatch()
		})
	}
	p.clock.run(end)
	return p
}

// dispatch starts requests while a slot is free.
func (p *plan) dispatch() {
	for len(p.pending) > 0 {
		l := p.fastest()
		if l == nil {
			return
		}
		best := -1
		keep := p.pending[:0]
		step := l.next()
		for _, q := range p.pending {
			need := time.Duration((q.prefill + 1) * step * float64(time.Second))
			if p.clock.now+need > q.by {
				continue
			}
			keep = append(keep, q)
			if best < 0 || p.before(q, keep[best]) {
				best = len(keep) - 1
			}
		}
		p.pending = keep
		if best < 0 {
			return
		}
		q := p.pending[best]
		p.pending = append(p.pending[:best], p.pending[best+1:]...)
		p.start(q, l)
	}
}

// before orders two waiting requests.
func (p *plan) before(a, b *request) bool {
	ua, ub := p.urgent(a), p.urgent(b)
	if ua != ub {
		return ua
	}
	if a.long != b.long {
		return !a.long
	}
	ra, rb := p.rank(a), p.rank(b)
	if ra != rb {
		return ra < rb
	}
	return a.number < b.number
}

func (p *plan) urgent(q *request) bool {
	return q.long && q.by-p.clock.now < urgent+time.Duration(q.prefill*0.05*float64(time.Second))
}

// fastest returns the server with a free slot on which the next request would
// run fastest, or nil.
func (p *plan) fastest() *lane {
	var best *lane
	pace := 0.0
	for _, l := range p.lanes {
		if l.free() <= 0 {
			continue
		}
		if v := l.next(); best == nil || v < pace {
			best, pace = l, v
		}
	}
	return best
}

func (p *plan) start(q *request, l *lane) {
	p.waits[q.number] = (p.clock.now - q.at).Seconds()
	j := &job{rq: q, begun: func() {}, lost: func() {}}
	seen := false
	first := func(int) {
		if !seen {
			seen = true
			p.served[q.number] = p.clock.now <= q.by
		}
	}
	j.token = first
	j.done = func() {
		first(0)
		p.dispatch()
	}
	l.add(j)
}

// Ranks of a plan.
func byDeadline(q *request) float64 { return q.by.Seconds() }
func byLength(q *request) float64   { return q.steps() }

// bound returns how many of the short requests that arrive in a window the
// hardware could have served in time while it also served the long requests
// that a run served: the better of two schedules with full knowledge, earliest
// deadline first and shortest first.
func (m *sim) bound(plain bool, in func(*request) bool) (deadline, shortest int) {
	var all []*request
	for _, q := range m.requests {
		if q.plain == plain && (!q.long || q.inTime()) {
			all = append(all, q)
		}
	}
	count := func(served map[int]bool) int {
		n := 0
		for _, q := range all {
			if !q.long && in(q) && served[q.number] {
				n++
			}
		}
		return n
	}
	return count(m.shape.schedule(plain, all, byDeadline)), count(m.shape.schedule(plain, all, byLength))
}

// needless counts rejected short requests that a schedule with full knowledge
// serves in time in addition to everything that the run served in time. A
// request of the run that the addition makes late is taken off again.
func (m *sim) needless(in func(*request) bool) int {
	var all []*request
	extra := map[int]bool{}
	for _, q := range m.requests {
		if q.plain {
			continue
		}
		if q.inTime() {
			all = append(all, q)
		} else if !q.long && q.rejected != "" {
			extra[q.number] = true
			all = append(all, q)
		}
	}
	rank := func(q *request) float64 {
		if extra[q.number] {
			return 1e9 + q.by.Seconds()
		}
		return q.by.Seconds()
	}
	var base []*request
	for _, q := range all {
		if !extra[q.number] {
			base = append(base, q)
		}
	}
	// The plan itself may miss some of what the run served; only what the
	// addition makes late counts against it.
	before, after := m.shape.schedule(false, base, rank), m.shape.schedule(false, all, rank)
	n := 0
	for _, q := range all {
		switch {
		case !in(q) || q.long:
		case extra[q.number] && after[q.number]:
			n++
		case !extra[q.number] && before[q.number] && !after[q.number]:
			n--
		}
	}
	return max(0, n)
}

const (
	idlePart  = 0.02 // of all slots
	idleSince = 250 * time.Millisecond
)

// passed counts rejected short requests during whose time budget at least
// idlePart of the slots were idle for idleSince in the run itself.
func (m *sim) passed(in func(*request) bool) int {
	need := int(idlePart*float64(m.shape.pipelines()*m.shape.Slots)) + 1
	row := make([]int, len(m.idle)) // consecutive idle samples up to each sample
	for i, f := range m.idle {
		if f >= need {
			row[i] = 1
			if i > 0 {
				row[i] += row[i-1]
			}
		}
	}
	n := 0
	for _, q := range m.requests {
		if q.plain || q.long || q.rejected == "" || !in(q) {
			continue
		}
		from, to := int(q.at/sampleInterval)+1, int(q.by/sampleInterval)
		for i := from; i <= to && i < len(row); i++ {
			if min(row[i], i-from+1) >= int(idleSince/sampleInterval) {
				n++
				break
			}
		}
	}
	return n
}
