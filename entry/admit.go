package entry

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/stream"
)

// AdmissionControl holds the limits and queues that a request passes before it is sent. A
// nil AdmissionControl admits everything at once.
type AdmissionControl struct {
	Limits *limit.Keeper
	Queues *queue.Set
}

// pass is a request's permission to run. A nil pass is one without limits.
type pass struct {
	grant  *limit.Grant
	slot   *queue.Slot
	tokens int
	whole  bool
}

// plainCost is the cost of a call of a plain service, in tokens.
const plainCost = 1

// admit asks the account's limits and then waits in the service's queue. Its
// error is not run and carries the time at which to retry.
func (h *Handler) admit(c *gin.Context, svc *spec.Service, s queue.Shape, firstBy time.Time) (*pass, error) {
	g := h.cfg.Admission
	if g == nil {
		return nil, nil
	}
	q, name := g.Queues.Of(svc.Name()), accountOf(c).Name()
	cost := float64(plainCost)
	if svc.IsModel() {
		cost = q.Expect(name, s)
	}
	grant, err := g.Limits.Admit(name, cost)
	if err != nil {
		return nil, err
	}
	slot, err := q.Wait(c.Request.Context(), queue.Work{
		Account: name, Weight: g.Limits.Weight(name), Shape: s, FirstBy: firstBy, Plain: !svc.IsModel(),
	})
	if err != nil {
		grant.Done(0)
		return nil, err
	}
	return &pass{grant: grant, slot: slot}, nil
}

// sent tells the queue which server the request really went to.
func (p *pass) sent(server string) {
	if p != nil {
		p.slot.Sent(server)
	}
}

// done records a whole answer of some tokens.
func (p *pass) done(tokens int) {
	if p != nil {
		p.tokens, p.whole = tokens, true
	}
}

// end frees the slot and settles the account.
func (p *pass) end() {
	if p == nil {
		return
	}
	if p.whole {
		p.slot.Done(p.tokens)
	} else {
		p.slot.Drop()
	}
	p.grant.Done(float64(p.tokens))
}

// priority returns the priority of the request for the engines.
func (p *pass) priority() int {
	if p == nil {
		return 0
	}
	return p.slot.Priority()
}

// wrap returns a sink that reports the course of the answer to the queue.
func (p *pass) wrap(s stream.Sink) stream.Sink {
	if p == nil {
		return s
	}
	token := s.Token
	s.Token = func(t string) error {
		p.slot.Token()
		p.tokens++
		return token(t)
	}
	// The first stage of a route holds the slot.
	s.Route = func(r route.Route) { p.sent(r.Stages[0].Name) }
	return s
}
