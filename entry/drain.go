package entry

import (
	"context"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
)

// flow counts the requests in flight and refuses new ones while the process
// drains. Both are under one lock, so that no request slips in after the last
// one was seen to end.
type flow struct {
	mu       sync.Mutex
	draining bool
	count    int
	idle     chan struct{} // closed when draining and no request is in flight
}

func newFlow() *flow { return &flow{idle: make(chan struct{})} }

func (f *flow) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.count++
	return true
}

// enterLate counts a request that only this process can serve. It is accepted
// as long as other requests keep a draining process from stopping.
func (f *flow) enterLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining && f.count == 0 {
		return false
	}
	f.count++
	return true
}

func (f *flow) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.draining && f.count == 0 {
		close(f.idle)
	}
}

func (f *flow) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	if f.count == 0 {
		close(f.idle)
	}
}

func (f *flow) left() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// Drain makes the process leave: readyz fails, new requests are refused as not
// run with the addresses of other processes, and requests in flight go on.
func (h *Handler) Drain() { h.flow.drain() }

// Inflight returns the number of requests in flight.
func (h *Handler) Inflight() int {
	h.flow.mu.Lock()
	defer h.flow.mu.Unlock()
	return h.flow.count
}

// WaitDrained waits until no request is in flight after Drain, and the given time
// has passed in which callers with an old address list still get an answer. It
// returns early when ctx ends.
func (h *Handler) WaitDrained(ctx context.Context, until time.Time) {
	select {
	case <-h.flow.idle:
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// accepting counts a request, or refuses it while the process drains.
func (h *Handler) accepting(c *gin.Context) {
	if !h.flow.enter() {
		h.refuseLeaving(c)
		return
	}
	defer h.flow.leave()
	c.Next()
}

func (h *Handler) refuseLeaving(c *gin.Context) {
	err := fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: "this entry process is leaving, ask another address", RetryAt: time.Now()})
	p := fault.ProblemOf(err)
	for _, a := range h.cfg.Addresses(c.RemoteIP(), c.Query("domain")).Addresses {
		if a != h.cfg.Self {
			p.Addresses = append(p.Addresses, a)
		}
	}
	c.Header("Connection", "close")
	sendProblem(c, err, p)
}
