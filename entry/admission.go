package entry

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/stream"
)

// AdmissionControl holds the account limits and service queues that a request
// passes before it is sent to a backend server. A nil AdmissionControl admits
// every request at once.
type AdmissionControl struct {
	Limits *limit.Limiter
	Queues *queue.Set
}

// permit is the admission of one request: a grant of its account's limits and a
// slot of its service's queue. The methods of a nil permit do nothing.
type permit struct {
	grant     *limit.Grant
	slot      *queue.Slot
	tokens    int  // tokens delivered so far
	completed bool // the whole answer was delivered
}

// plainCallCost is the cost of a call of a plain service, in tokens.
const plainCallCost = 1

// admit checks the limits of the account and then waits in the queue of the
// service. A request that is refused has not run; the error carries the time at
// which to retry.
func (h *Handler) admit(c *gin.Context, svc *spec.Service, shape queue.Shape, deadline time.Time) (*permit, error) {
	ac := h.cfg.Admission
	if ac == nil {
		return nil, nil
	}
	q, account := ac.Queues.Queue(svc.Name()), accountOf(c).Name()
	cost := float64(plainCallCost)
	if svc.IsModel() {
		cost = q.ExpectedTokens(account, shape)
	}
	grant, err := ac.Limits.Admit(account, cost)
	if err != nil {
		return nil, err
	}
	slot, err := q.Wait(c.Request.Context(), queue.Request{
		Account: account, Weight: ac.Limits.Weight(account), Shape: shape, Deadline: deadline, Plain: !svc.IsModel(),
	})
	if err != nil {
		grant.Done(0)
		return nil, err
	}
	if h.ending.Err() != nil {
		// The slot is that of a request which the end of the stop has ended just now.
		slot.Drop()
		grant.Done(0)
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: reasonLeaving, RetryAt: time.Now(), Cause: errStopping})
	}
	return &permit{grant: grant, slot: slot}, nil
}

// sentTo tells the queue which server the request was sent to, which may be
// another one than the queue expected.
func (p *permit) sentTo(server string) {
	if p != nil {
		p.slot.SetServer(server)
	}
}

// complete records that the whole answer was delivered, and its length.
func (p *permit) complete(tokens int) {
	if p != nil {
		p.tokens, p.completed = tokens, true
	}
}

// release frees the slot and charges the account for the tokens delivered.
func (p *permit) release() {
	if p == nil {
		return
	}
	if p.completed {
		p.slot.Done(p.tokens)
	} else {
		p.slot.Drop()
	}
	p.grant.Done(float64(p.tokens))
}

// priority returns the priority of the request for the engines.
func (p *permit) priority() int {
	if p == nil {
		return 0
	}
	return p.slot.Priority()
}

// wrapSink returns a sink that also reports tokens and the first stage of each
// route to the queue.
func (p *permit) wrapSink(s stream.Sink) stream.Sink {
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
	s.Route = func(r route.Route) { p.sentTo(r.Stages[0].Name) }
	return s
}
