package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

func seeded(a, b uint64) *rand.Rand { return rand.New(rand.NewPCG(a, b+1000)) }

// arrive handles one request of a caller, as package entry does.
func (p *Process) arrive(q *request) {
	s := p.model
	if q.plain {
		s = p.plain
	}
	a := &attempt{service: s, rq: q}
	if s.queue == nil {
		a.push()
		return
	}
	acc := p.sim.shape.Accounts[q.account]
	if p.keeper != nil {
		g, err := p.keeper.Admit(acc.Name, p.expect(q))
		if err != nil {
			a.refused(err)
			return
		}
		a.grant = g
		acc.Weight = p.keeper.Weight(acc.Name)
	}
	w := queue.Request{Account: acc.Name, Weight: acc.Weight, Shape: q.shape, Deadline: epoch.Add(q.by), Plain: q.plain}
	e, err := s.queue.Enqueue(w, func(slot *queue.Slot, err error) {
		if err != nil {
			a.refused(err)
			return
		}
		a.slot = slot
		q.queued = slot.Waited()
		a.send(p.sim.laneOf(slot.Server()), slot.Priority())
	})
	if err != nil {
		a.refused(err)
		return
	}
	a.entry = e
	a.watch()
}

// expect returns the cost that a request is expected to have.
func (p *Process) expect(q *request) float64 {
	if q.plain {
		return plainCost
	}
	return p.model.queue.ExpectedTokens(p.sim.shape.Accounts[q.account].Name, q.shape)
}

// plainCost is the cost of a plain call in tokens.
const plainCost = 1

func (m *sim) laneOf(name string) *lane {
	for _, l := range m.lanes {
		if l.name == name {
			return l
		}
	}
	return nil
}

// attempt is the course of one request in its entry process.
type attempt struct {
	service *service
	rq      *request
	entry   *queue.Entry
	slot    *queue.Slot
	grant   *limit.Grant
	job     *job
	tokens  int // received
	over    bool
}

func (a *attempt) clock() *clock { return &a.service.process.sim.clock }

func (a *attempt) refused(err error) {
	a.over = true
	a.pay(0)
	a.rq.ended = a.clock().now
	a.rq.rejected = string(fault.CodeOf(err))
}

// push sends a request at once, as the variants without a queue do.
func (a *attempt) push() {
	i, ok := a.choose(-1)
	if !ok {
		a.over, a.rq.ended, a.rq.rejected = true, a.clock().now, string(fault.Unavailable)
		return
	}
	a.watch()
	a.send(a.service.process.sim.lanes[i], 0)
}

// choose applies the balancing choice to the servers that the process knows.
func (a *attempt) choose(avoid int) (int, bool) {
	s, m := a.service, a.service.process.sim
	var all []queue.Option
	var at []int
	for _, i := range s.lanes {
		if s.known[i] && i != avoid {
			r := m.published[i]
			all = append(all, queue.Option{Name: m.lanes[i].name, Slots: m.lanes[i].slots, OwnRequests: s.own[i], Load: float64(r.running + r.waiting)})
			at = append(at, i)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	return at[m.variant.Choose(s.process, all)], true
}

// watch makes the caller leave when the first token is late.
func (a *attempt) watch() {
	a.clock().at(a.rq.by+time.Nanosecond, func() {
		if a.over || a.rq.first >= 0 {
			return
		}
		a.over, a.rq.ended = true, a.clock().now
		switch {
		case a.entry != nil && a.entry.Cancel():
			a.rq.rejected = "expired"
			a.pay(0)
		case a.job != nil:
			a.job.lane.cancel(a.job)
			a.end(false)
		}
	})
}

// send sends the request to a server.
func (a *attempt) send(l *lane, priority int) {
	c, d := a.clock(), a.service.process.latency(l)
	j := &job{rq: a.rq, priority: priority, from: a.tokens, lane: l}
	a.job = j
	a.service.own[l.number]++
	j.begun = func() {
		if a.rq.begun < 0 {
			a.rq.begun = c.now
		}
	}
	j.token = func(n int) { c.after(d, func() { a.received(n) }) }
	j.done = func() {
		c.after(d, func() {
			a.received(a.rq.tokens)
			if !a.over {
				a.over, a.rq.done = true, c.now
				a.end(true)
			}
		})
	}
	j.lost = func() { a.lost(l) }
	c.after(d, func() {
		if !j.over && !a.over {
			l.add(j)
		}
	})
}

// received counts the tokens of the answer up to n.
func (a *attempt) received(n int) {
	if a.over {
		return
	}
	if a.rq.first < 0 {
		a.rq.first = a.clock().now
	}
	for ; a.tokens < n; a.tokens++ {
		if a.slot != nil {
			a.slot.Token()
		}
	}
}

// end frees what the request held.
func (a *attempt) end(whole bool) {
	a.service.own[a.job.lane.number]--
	a.pay(a.tokens)
	switch {
	case a.slot == nil:
	case whole:
		a.slot.Done(a.rq.tokens)
	default:
		a.slot.Drop()
	}
}

// pay ends the account's grant.
func (a *attempt) pay(tokens int) {
	if a.grant != nil {
		a.grant.Done(float64(tokens))
	}
}

// lost replaces a server that has stopped answering and replays the tokens
// received, as package stream does.
func (a *attempt) lost(l *lane) {
	if a.over {
		return
	}
	a.service.forget(l.number)
	a.service.own[l.number]--
	next, priority, ok := a.replace(l)
	if !ok {
		a.service.own[l.number]++
		a.over, a.rq.ended, a.rq.rejected = true, a.clock().now, string(fault.Unavailable)
		a.end(false)
		return
	}
	a.send(next, priority)
}

// replace chooses the server after a lost one.
func (a *attempt) replace(l *lane) (next *lane, priority int, ok bool) {
	m := a.service.process.sim
	if a.slot != nil {
		name, ok := a.slot.Reassign()
		return m.laneOf(name), 1, ok
	}
	i, ok := a.choose(l.number)
	return m.lanes[i], 0, ok
}
