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
	// writeTimeout bounds each write to a caller, so that one that does not
	// read can neither hold slots of engines nor keep a leaving process from
	// stopping. It is not a bound on the whole answer.
	writeTimeout = 10 * time.Second
	// writeStep is the time between two moves of the deadline of writes. A move
	// for each token took 3 % of the processor time of a token.
	writeStep = time.Second
)

// Listener returns a listener for callers. Its connections bound each write,
// and answer a header that arrives too slowly with 408, where net/http closes
// the connection without a word.
func (h *Handler) Listener(l net.Listener) net.Listener { return callerListener{l, &h.unread} }

// Shutdown stops a drained server. net/http closes a connection without an
// answer when it has read the request during its own shutdown, so that the
// listener closes first and requests that have arrived are answered before.
func (h *Handler) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	_ = l.Close()
	for end := time.Now().Add(headerTimeout); ; {
		time.Sleep(unreadInterval)
		if h.unread.Load() == 0 || ctx.Err() != nil || time.Now().After(end) {
			return s.Shutdown(ctx)
		}
	}
}

// unreadInterval is the time between two looks at connections with a request
// that no handler has seen.
const unreadInterval = 5 * time.Millisecond

type callerListener struct {
	net.Listener
	unread *atomic.Int64
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c, unread: l.unread}
	cc.expect()
	return cc, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	busy    atomic.Bool   // a handler runs
	header  atomic.Bool   // a part of a header has arrived and no handler runs
	waiting atomic.Bool   // a request has arrived, or the first is expected, and no handler has seen it
	unread  *atomic.Int64 // connections that are waiting
	extend  atomic.Int64  // when to move the deadline of writes next, Unix nanoseconds
}

func (c *callerConn) expect() {
	if !c.waiting.Swap(true) {
		c.unread.Add(1)
	}
}

func (c *callerConn) seen() {
	if c.waiting.Swap(false) {
		c.unread.Add(-1)
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.seen()
	return c.Conn.Close()
}

// Read reads and notes whether the bytes belong to a header.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.busy.Load() {
		return n, err
	}
	if n > 0 {
		c.header.Store(true)
		c.expect()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.header.Swap(false) {
		p, _ := json.Marshal(fault.ProblemOf(refusal(fault.RequestTooSlow, fmt.Sprintf("the header did not arrive within %s", headerTimeout), nil)))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/problem+json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(p), p)
		_ = c.Close() // net/http would take what it has read for a whole line
	}
	return n, err
}

// Write writes within a bounded time.
func (c *callerConn) Write(b []byte) (int, error) {
	if now := time.Now(); now.UnixNano() >= c.extend.Load() {
		c.extend.Store(now.Add(writeStep).UnixNano())
		_ = c.SetWriteDeadline(now.Add(writeTimeout + writeStep))
	}
	return c.Conn.Write(b)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, cc)
	}
	return ctx
}

// handling marks the connection while a handler runs: what is read then belongs
// to a body.
func (h *Handler) handling(c *gin.Context) {
	cc, ok := c.Request.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	cc.busy.Store(true)
	cc.seen()
	defer func() {
		cc.header.Store(false)
		cc.busy.Store(false)
	}()
	c.Next()
}
