package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
)

// inflightTracker counts the requests in flight and refuses new ones while the
// process drains. One lock guards both, so that no request can begin after the
// last one was seen to end.
type inflightTracker struct {
	mu       sync.Mutex
	draining bool
	count    int
	idle     chan struct{} // closed when draining and no request is in flight
}

func newInflightTracker() *inflightTracker { return &inflightTracker{idle: make(chan struct{})} }

// begin counts a new request. It returns false while the process drains.
func (t *inflightTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.count++
	return true
}

// beginWhileDraining counts a request that only this process can serve. A
// draining process accepts it as long as other requests are in flight.
func (t *inflightTracker) beginWhileDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && t.count == 0 {
		return false
	}
	t.count++
	return true
}

// end counts the end of a request.
func (t *inflightTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.draining && t.count == 0 {
		close(t.idle)
	}
}

func (t *inflightTracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return
	}
	t.draining = true
	if t.count == 0 {
		close(t.idle)
	}
}

func (t *inflightTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// Drain begins a graceful shutdown: /readyz fails, new requests are refused as
// not run with the addresses of other processes, and requests in flight go on.
func (h *Handler) Drain() { h.inflight.drain() }

// Inflight returns the number of requests in flight.
func (h *Handler) Inflight() int {
	h.inflight.mu.Lock()
	defer h.inflight.mu.Unlock()
	return h.inflight.count
}

// WaitDrained waits after Drain until no request is in flight and the given
// time has passed. Until that time, callers with an old address list still get
// an answer. It returns early when ctx ends.
func (h *Handler) WaitDrained(ctx context.Context, until time.Time) {
	select {
	case <-h.inflight.idle:
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// reasonLeaving is the reason that callers get who ask a process that stops.
const reasonLeaving = "this entry process is leaving, ask another address"

// errStopping is the cause of a request that ends with its process.
var errStopping = errors.New("the entry process stops")

// trackInflight is the middleware that counts a request, or refuses it while
// the process drains. It ends the request when a planned stop runs out of time.
func (h *Handler) trackInflight(c *gin.Context) {
	if !h.inflight.begin() {
		h.refuseDraining(c)
		return
	}
	defer h.inflight.end()
	ctx, cancel := context.WithCancelCause(c.Request.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.ending, func() { cancel(errStopping) })()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

// finalError returns the error that a caller gets: that of the planned stop for a
// request that ended with the process, with the verdict of err.
func finalError(c *gin.Context, err error) error {
	if !errors.Is(context.Cause(c.Request.Context()), errStopping) {
		return err
	}
	return fault.New(fault.Config{Verdict: fault.VerdictOf(err), Code: fault.Leaving, Reason: "this entry process stopped before the request ended, ask another address", RetryAt: time.Now(), Cause: err})
}

// refuseDraining refuses a request and lists the addresses of other processes.
func (h *Handler) refuseDraining(c *gin.Context) {
	err := fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: reasonLeaving, RetryAt: time.Now()})
	p := fault.ProblemOf(err)
	for _, a := range h.cfg.Addresses(c.RemoteIP(), c.Query("domain")).Addresses {
		if a != h.cfg.Self {
			p.Addresses = append(p.Addresses, a)
		}
	}
	c.Header("Connection", "close")
	writeProblemDocument(c, err, p)
}
