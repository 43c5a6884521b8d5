package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
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
func (h *Handler) Listener(l net.Listener) net.Listener { return callerListener{l, &h.pendingConns} }

// Shutdown stops a drained server. It closes the listener first and waits until
// the requests that have arrived have reached a handler: net/http closes a
// connection without an answer when it reads the request during its own
// shutdown.
func (h *Handler) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	_ = l.Close()
	for end := time.Now().Add(headerTimeout); ; {
		time.Sleep(pendingPollInterval)
		if h.pendingConns.Load() == 0 || ctx.Err() != nil || time.Now().After(end) {
			return s.Shutdown(ctx)
		}
	}
}

// pendingPollInterval is the time between two checks in Shutdown for pending
// connections.
const pendingPollInterval = 5 * time.Millisecond

type callerListener struct {
	net.Listener
	pendingConns *atomic.Int64
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c, pendingConns: l.pendingConns}
	cc.markPending()
	return cc, nil
}

// callerConn is a connection of a caller. It is pending from its acceptance, or
// from the first byte of a further request, until a handler runs.
type callerConn struct {
	net.Conn
	handling           atomic.Bool   // a handler runs
	headerStarted      atomic.Bool   // part of a header has arrived and no handler runs
	pending            atomic.Bool   // a request has arrived, or the first is expected, and no handler has run for it
	pendingConns       *atomic.Int64 // number of pending connections of the listener
	nextDeadlineUpdate atomic.Int64  // when to update the write deadline, in Unix nanoseconds
}

func (c *callerConn) markPending() {
	if !c.pending.Swap(true) {
		c.pendingConns.Add(1)
	}
}

func (c *callerConn) clearPending() {
	if c.pending.Swap(false) {
		c.pendingConns.Add(-1)
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.clearPending()
	return c.Conn.Close()
}

// Read reads from the connection and records whether the bytes belong to a
// header. A header that misses its deadline is answered with status 408.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.handling.Load() {
		return n, err
	}
	if n > 0 {
		c.headerStarted.Store(true)
		c.markPending()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headerStarted.Swap(false) {
		p, _ := json.Marshal(fault.ProblemOf(refusal(fault.RequestTooSlow, fmt.Sprintf("the header did not arrive within %s", headerTimeout), nil)))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/problem+json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(p), p)
		_ = c.Close() // otherwise net/http parses the partial line as a whole one
	}
	return n, err
}

// Write writes to the connection within writeTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	if now := time.Now(); now.UnixNano() >= c.nextDeadlineUpdate.Load() {
		c.nextDeadlineUpdate.Store(now.Add(writeDeadlineInterval).UnixNano())
		_ = c.SetWriteDeadline(now.Add(writeTimeout + writeDeadlineInterval))
	}
	return c.Conn.Write(b)
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
// runs: bytes that are read then belong to a body.
func (h *Handler) markHandling(c *gin.Context) {
	cc, ok := c.Request.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	cc.handling.Store(true)
	cc.clearPending()
	defer func() {
		cc.headerStarted.Store(false)
		cc.handling.Store(false)
	}()
	c.Next()
}
