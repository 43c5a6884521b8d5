package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/socket"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// writeTimeout bounds each write to a caller, so that a caller that does not
	// read can neither hold slots of engines nor keep a draining process from
	// stopping. It does not bound the whole answer.
	writeTimeout = 10 * time.Second
	// writeDeadlineInterval is the time between two updates of a connection's
	// write deadline. Updating it for each token took 3 % of the processor time
	// of a token.
	writeDeadlineInterval = time.Second
)

// Listener returns a listener for callers. It bounds each write to a
// connection, and answers a header that arrives too slowly with status 408,
// where net/http closes the connection without an answer.
func (h *Handler) Listener(l net.Listener) net.Listener {
	return callerListener{l, h.conns, sync.OnceValue(l.Close)}
}

// Shutdown stops a drained server: it closes the listener once Accept has taken the
// connections that wait, and then each connection once the requests that were read
// from it are answered. net/http's own shutdown closes a connection without an answer
// when it reads the request meanwhile. When ctx ends first, the requests in flight get
// their final answer; that takes at most EndTimeout.
func (h *Handler) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	inner := l
	if callers, ok := l.(callerListener); ok {
		inner = callers.Listener
	}
	if refuses, err := socket.Drain(ctx, inner); err != nil || !refuses {
		h.cfg.Log.Warn().Err(err).Msg("the listener closes while the kernel accepts connections; some may be reset")
	}
	_ = l.Close()
	for h.conns.closeIdle() > 0 && ctx.Err() == nil {
		time.Sleep(connPollInterval)
	}
	h.endRequests()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), EndTimeout)
	defer cancel()
	for h.conns.closeIdle() > 0 && last.Err() == nil {
		time.Sleep(connPollInterval)
	}
	// A connection leaves conns before net/http takes it for closed, and ctx may have ended.
	return s.Shutdown(last)
}

const (
	// connPollInterval is the time between two checks in Shutdown for open
	// connections.
	connPollInterval = 5 * time.Millisecond
	// EndTimeout bounds the time for the final answers of the requests that are
	// in flight when a planned stop runs out of time: recordTimeout, a probe of a
	// server and the writing of the answers.
	EndTimeout = 3 * time.Second
	// lastReadTime is how long a connection is read once more before a timeout
	// closes it. A process that was paused finds the timeout passed and the
	// request still unread.
	lastReadTime = 50 * time.Millisecond
)

// connTracker holds the open connections of callers.
type connTracker struct {
	mu        sync.Mutex
	accepting int  // calls of Accept in progress, which may return one more
	closing   bool // connections close once they have no request
	conns     map[*callerConn]bool
}

// beginAccept records that a call of Accept begins.
func (t *connTracker) beginAccept() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting++
}

// endAccept records that a call of Accept has returned a connection, or nil.
func (t *connTracker) endAccept(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting--
	if c != nil {
		t.conns[c] = true
		c.closing = t.closing
	}
}

func (t *connTracker) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// closeIdle makes connections without a request close, now and later, and returns
// the number of connections that are open or may still be accepted.
func (t *connTracker) closeIdle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closing {
		t.closing = true
		for c := range t.conns {
			c.closeWhenIdle()
		}
	}
	return t.accepting + len(t.conns)
}

type callerListener struct {
	net.Listener
	conns *connTracker
	close func() error // closes Listener once; net/http closes it again
}

// Close stops accepting connections.
func (l callerListener) Close() error { return l.close() }

func (l callerListener) Accept() (net.Conn, error) {
	l.conns.beginAccept()
	c, err := l.Listener.Accept()
	if err != nil {
		l.conns.endAccept(nil)
		return nil, err
	}
	cc := &callerConn{Conn: c, conns: l.conns, pending: true}
	l.conns.endAccept(cc)
	return cc, nil
}

// callerConn is a connection of a caller. It is pending from its acceptance, or
// from the first byte of a further request, until a handler runs.
type callerConn struct {
	net.Conn
	conns              *connTracker
	nextDeadlineUpdate atomic.Int64 // when to update the write deadline, in Unix nanoseconds

	mu            sync.Mutex
	handling      bool // a handler runs
	headerStarted bool // part of a header has arrived and no handler runs
	pending       bool // a request has arrived, or the first is expected, and no handler has run for it
	closing       bool // closes once it is neither pending nor handling
	mayReadAgain  bool // a read that misses the present deadline is tried once more
}

// NetConn returns the connection below, for package heads.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// closeWhenIdle ends the wait for a further request.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.pending && !c.handling {
		c.mayReadAgain = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// SetReadDeadline sets the deadline of reads. The wait for a further request ends
// at once while the connection closes.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/http interrupts its own reads with a deadline that has passed.
	c.mayReadAgain = t.After(longAgo)
	if c.closing && !c.pending && !c.handling && c.mayReadAgain {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection and records whether the bytes belong to a
// header. A header that misses its deadline is answered with status 408.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	if c.handling {
		c.mu.Unlock()
		return n, err
	}
	if n > 0 {
		c.headerStarted, c.pending = true, true
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && c.headerStarted
	if late {
		c.headerStarted = false
	}
	c.mu.Unlock()
	if late {
		p, _ := json.Marshal(fault.ProblemOf(refusal(fault.RequestTooSlow, fmt.Sprintf("the header did not arrive within %s", headerTimeout), nil)))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/problem+json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(p), p)
		_ = c.Close() // otherwise net/http parses the partial line as a whole one
	}
	return n, err
}

// extendDeadline gives a read that missed its deadline lastReadTime more, and
// reports whether it may be tried again.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayReadAgain {
		return false
	}
	c.mayReadAgain = false
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// Write writes to the connection within writeTimeout. A write that ends long after
// its deadline is tried again: the process was paused, and the caller may read.
func (c *callerConn) Write(b []byte) (int, error) {
	c.extendWriteDeadline()
	n, err := c.Conn.Write(b)
	deadline := time.Unix(0, c.nextDeadlineUpdate.Load()).Add(writeTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(deadline) > lastReadTime {
		c.extendWriteDeadline()
		var more int
		more, err = c.Conn.Write(b[n:])
		n += more
	}
	return n, err
}

// extendWriteDeadline sets the deadline of writes, unless that was done within
// writeDeadlineInterval.
func (c *callerConn) extendWriteDeadline() {
	if now := time.Now(); now.UnixNano() >= c.nextDeadlineUpdate.Load() {
		c.nextDeadlineUpdate.Store(now.Add(writeDeadlineInterval).UnixNano())
		_ = c.SetWriteDeadline(now.Add(writeTimeout + writeDeadlineInterval))
	}
}

type connKey struct{}

// withCallerConn stores the connection in the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, cc)
	}
	return ctx
}

// markHandling is the middleware that marks the connection while a handler
// runs: bytes that are read then belong to a body. While the process drains,
// each answer is the last one of its connection.
func (h *Handler) markHandling(c *gin.Context) {
	if h.inflight.isDraining() {
		c.Header("Connection", "close")
	}
	cc, ok := c.Request.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	cc.setHandling(true)
	defer cc.setHandling(false)
	c.Next()
}

// setHandling records that a handler runs, or that it has ended.
func (c *callerConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
	if handling {
		c.pending = false
	} else {
		c.headerStarted = false
	}
}

// resetCaller makes the connection of the caller end with a reset. The end of the
// connection may be the only end that an answer has.
func resetCaller(c *gin.Context) {
	cc, ok := c.Request.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	if tcp, ok := cc.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended
	}
}
