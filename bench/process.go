package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

// newRand returns a generator for a seed and a stream.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream+1000)) }

// arrive handles the request of a caller, as package entry does.
func (p *Process) arrive(req *request) {
	s := p.model
	if req.plain {
		s = p.plain
	}
	a := &activeRequest{service: s, request: req}
	if s.queue == nil {
		a.sendUnqueued()
		return
	}
	account := p.sim.deployment.Accounts[req.account]
	if p.limiter != nil {
		grant, err := p.limiter.Admit(account.Name, p.expectedCost(req))
		if err != nil {
			a.reject(err)
			return
		}
		a.grant = grant
		account.Weight = p.limiter.Weight(account.Name)
	}
	queueRequest := queue.Request{Account: account.Name, Weight: account.Weight, Shape: req.shape, Deadline: epoch.Add(req.deadline), Plain: req.plain}
	entry, err := s.queue.Enqueue(queueRequest, func(slot *queue.Slot, err error) {
		if err != nil {
			a.reject(err)
			return
		}
		a.slot = slot
		req.queueTime = slot.Waited()
		a.send(p.sim.serverNamed(slot.Server()), slot.Priority())
	})
	if err != nil {
		a.reject(err)
		return
	}
	a.entry = entry
	a.cancelAtDeadline()
}

// expectedCost returns the expected cost of a request in tokens.
func (p *Process) expectedCost(req *request) float64 {
	if req.plain {
		return plainCost
	}
	return p.model.queue.ExpectedTokens(p.sim.deployment.Accounts[req.account].Name, req.shape)
}

// plainCost is the cost of a plain call, in tokens.
const plainCost = 1

// serverNamed returns the server with a name, or nil.
func (m *sim) serverNamed(name string) *server {
	for _, srv := range m.servers {
		if srv.name == name {
			return srv
		}
	}
	return nil
}

// activeRequest is the state of a request in its entry process.
type activeRequest struct {
	service  *service
	request  *request
	entry    *queue.Entry
	slot     *queue.Slot
	grant    *limit.Grant
	job      *job
	received int // tokens of the answer that arrived
	ended    bool
}

// clock returns the clock of the simulation.
func (a *activeRequest) clock() *clock { return &a.service.process.sim.clock }

// reject ends a request that was not sent to a server.
func (a *activeRequest) reject(err error) {
	a.ended = true
	a.endGrant(0)
	a.request.endedAt = a.clock().now
	a.request.rejected = string(fault.CodeOf(err))
}

// sendUnqueued sends a request immediately, in the variants without a queue.
func (a *activeRequest) sendUnqueued() {
	i, ok := a.chooseServer(-1)
	if !ok {
		a.ended, a.request.endedAt, a.request.rejected = true, a.clock().now, string(fault.Unavailable)
		return
	}
	a.cancelAtDeadline()
	a.send(a.service.process.sim.servers[i], 0)
}

// chooseServer applies the load balancing strategy of a variant without a queue
// to the servers that the process knows. Exclude is the index of a server to
// leave out, or -1. The result is false when there is no server.
func (a *activeRequest) chooseServer(exclude int) (int, bool) {
	s, m := a.service, a.service.process.sim
	var all []queue.Candidate
	var indexes []int
	for _, i := range s.servers {
		if s.known[i] && i != exclude {
			r := m.published[i]
			all = append(all, queue.Candidate{Name: m.servers[i].name, Slots: m.servers[i].slots, OwnRequests: s.ownRequests[i], Load: float64(r.running + r.waiting)})
			indexes = append(indexes, i)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	return indexes[m.variant.Choose(s.process, all)], true
}

// cancelAtDeadline makes the caller cancel the request if the first token has not
// arrived by the deadline.
func (a *activeRequest) cancelAtDeadline() {
	a.clock().at(a.request.deadline+time.Nanosecond, func() {
		if a.ended || a.request.firstTokenAt >= 0 {
			return
		}
		a.ended, a.request.endedAt = true, a.clock().now
		switch {
		case a.entry != nil && a.entry.Cancel():
			a.request.rejected = "expired"
			a.endGrant(0)
		case a.job != nil:
			a.job.server.cancel(a.job)
			a.release(false)
		}
	})
}

// send sends the request to a server as a new job.
func (a *activeRequest) send(srv *server, priority int) {
	c, d := a.clock(), a.service.process.latency(srv)
	j := &job{request: a.request, priority: priority, resumeFrom: a.received, server: srv}
	a.job = j
	a.service.ownRequests[srv.index]++
	j.onStart = func() {
		if a.request.startedAt < 0 {
			a.request.startedAt = c.now
		}
	}
	j.onToken = func(n int) { c.after(d, func() { a.receiveTokens(n) }) }
	j.onDone = func() {
		c.after(d, func() {
			a.receiveTokens(a.request.tokens)
			if !a.ended {
				a.ended, a.request.doneAt = true, c.now
				a.release(true)
			}
		})
	}
	j.onLost = func() { a.handleLoss(srv) }
	c.after(d, func() {
		if !j.ended && !a.ended {
			srv.add(j)
		}
	})
}

// receiveTokens counts the tokens of the answer up to n and reports them to the
// queue.
func (a *activeRequest) receiveTokens(n int) {
	if a.ended {
		return
	}
	if a.request.firstTokenAt < 0 {
		a.request.firstTokenAt = a.clock().now
	}
	for ; a.received < n; a.received++ {
		if a.slot != nil {
			a.slot.Token()
		}
	}
}

// release releases the queue slot and the grant of the request. Complete means
// that the whole answer arrived.
func (a *activeRequest) release(complete bool) {
	a.service.ownRequests[a.job.server.index]--
	a.endGrant(a.received)
	switch {
	case a.slot == nil:
	case complete:
		a.slot.Done(a.request.tokens)
	default:
		a.slot.Drop()
	}
}

// endGrant ends the grant of the account and charges the tokens used.
func (a *activeRequest) endGrant(tokens int) {
	if a.grant != nil {
		a.grant.Done(float64(tokens))
	}
}

// handleLoss moves the request from a server that has stopped answering to
// another, which continues after the tokens received, as package stream does.
func (a *activeRequest) handleLoss(srv *server) {
	if a.ended {
		return
	}
	a.service.removeServer(srv.index)
	a.service.ownRequests[srv.index]--
	next, priority, ok := a.replacementServer(srv)
	if !ok {
		a.service.ownRequests[srv.index]++
		a.ended, a.request.endedAt, a.request.rejected = true, a.clock().now, string(fault.Unavailable)
		a.release(false)
		return
	}
	a.send(next, priority)
}

// replacementServer chooses the server that continues the request after the loss
// of another. Replays have priority 1 in the variants with a queue.
func (a *activeRequest) replacementServer(srv *server) (next *server, priority int, ok bool) {
	m := a.service.process.sim
	if a.slot != nil {
		name, ok := a.slot.Reassign()
		return m.serverNamed(name), 1, ok
	}
	i, ok := a.chooseServer(srv.index)
	return m.servers[i], 0, ok
}
