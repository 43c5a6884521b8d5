package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/link"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout hold while there is no configuration, or one that states
	// none.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// idleMargin is added to the time that callers may stay idle, so that they close first: a request that
	// crosses the close is lost. headerMargin is added to the time that a header may take, for its way.
	idleMargin   = 5 * time.Second
	headerMargin = 500 * time.Millisecond
	// connCheckInterval is the time between two looks at the connections of callers.
	connCheckInterval = 500 * time.Millisecond
)

// connPhase is what a connection of a caller waits for.
type connPhase int

const (
	phaseIdle   connPhase = iota // the next request
	phaseHeader                  // the rest of a header
	phaseServed                  // the answer
	phaseClosed                  // nothing: this process has closed it
)

// callerConns closes connections of callers that are idle, or that take over a header, for longer than the
// configuration allows. The timeouts of net/http are fixed when a server starts, and net/http takes a
// connection for idle until it has read the whole header of the next request.
type callerConns struct {
	limits func() config.Limits
	count  func(event string) // counts closed connections

	mu    sync.Mutex
	conns map[net.Conn]*connState
	ln    *connListener // nil before listener is called
}

// connState is what is known of a connection. callerConns.mu guards it.
type connState struct {
	phase connPhase
	since time.Time // begin of the phase
	// idleUntil is the time until which the caller may leave the connection idle, by the configuration that
	// was in effect when it became idle. A later one can only prolong it.
	idleUntil time.Time
}

func newCallerConns(limits func() config.Limits, count func(event string)) *callerConns {
	return &callerConns{limits: limits, count: count, conns: map[net.Conn]*connState{}}
}

// Events of connections that this process closed, or was about to close.
const (
	eventIdleClosed    = "idle closed"    // no request came in time
	eventHeaderClosed  = "header closed"  // a header did not end in time
	eventCloseCrossed  = "close crossed"  // a request was read from a connection that this process had closed
	eventCloseDeferred = "close deferred" // bytes had arrived that were not read yet
	eventStopCut       = "stop cut"       // an answer did not end before the process had to
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connListener accepts connections whose reads callerConns observes.
type connListener struct {
	net.Listener
	conns *callerConns
	close func() error // closes Listener once; net/http closes it again
}

// listener returns a listener that accepts the connections of another one and has their reads observed.
func (x *callerConns) listener(ln net.Listener) net.Listener {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ln = &connListener{Listener: ln, conns: x, close: sync.OnceValue(ln.Close)}
	return x.ln
}

// Close stops accepting connections.
func (l *connListener) Close() error { return l.close() }

// Accept waits for the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, conns: l.conns}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	conns *callerConns
}

// Read reads from the connection. The first bytes after an answer begin the header of a request.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.conns.received(c)
	}
	return n, err
}

// CloseWrite ends the sending side, which net/http does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// observe follows the states that net/http reports.
func (x *callerConns) observe(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateIdle:
		x.set(c, phaseIdle)
	case http.StateActive:
		x.set(c, phaseHeader)
	case http.StateClosed, http.StateHijacked:
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.conns, c)
	}
}

// set begins a phase, and reports whether the connection is open. A header that has begun goes on.
func (x *callerConns) set(c net.Conn, p connPhase) bool {
	now := time.Now()
	idle, _ := x.timeouts()
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.conns[c]
	switch {
	case s == nil:
		s = &connState{}
		x.conns[c] = s
	case s.phase == phaseClosed:
		return false
	case s.phase == p:
		return true
	}
	s.phase, s.since = p, now
	if p == phaseIdle {
		s.idleUntil = now.Add(idle)
	}
	return true
}

// received notes that bytes arrived on a connection.
func (x *callerConns) received(c net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.conns[c]; s != nil && s.phase == phaseIdle {
		s.phase, s.since = phaseHeader, time.Now()
	}
}

// handler returns a handler that notes the connections whose requests are served. A request that crossed
// the close of its connection is not served: its answer would be lost.
func (x *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !x.set(c, phaseServed) {
			x.count(eventCloseCrossed)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// timeouts returns how long connections may be idle and how long a header may take, by the configuration in
// effect.
func (x *callerConns) timeouts() (idle, header time.Duration) {
	l := x.limits()
	idle, header = l.IdleTimeout, l.HeaderTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	return idle, header
}

// closeExpired closes the connections that wait for too long.
func (x *callerConns) closeExpired(context.Context) {
	idle, header := x.timeouts()
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, s := range x.conns {
		switch {
		case s.phase == phaseIdle && now.After(s.idleUntil.Add(idleMargin)) && now.After(s.since.Add(idle+idleMargin)):
			x.close(c, s, eventIdleClosed)
		case s.phase == phaseHeader && now.After(s.since.Add(header+headerMargin)):
			x.close(c, s, eventHeaderClosed)
		}
	}
}

// close closes a connection, which net/http then reports, unless bytes have arrived that this process has not
// read yet: it may have been slow or paused. It reports whether the connection is closed. The caller holds mu.
func (x *callerConns) close(c net.Conn, s *connState, event string) bool {
	raw := c
	if k, ok := c.(*callerConn); ok {
		raw = k.Conn
	}
	if link.HasUnread(raw) {
		x.count(eventCloseDeferred)
		return false
	}
	x.count(event)
	s.phase = phaseClosed
	_ = c.Close()
	return true
}

// closeIdle closes the connections on which no request has begun and returns the number of those that are
// left.
func (x *callerConns) closeIdle() (left int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, s := range x.conns {
		switch s.phase {
		case phaseClosed:
		case phaseIdle:
			if !x.close(c, s, eventIdleClosed) {
				left++
			}
		case phaseHeader, phaseServed:
			left++
		}
	}
	return left
}

// shutdown accepts no more connections and closes those of callers once they are idle. It returns the number
// of those that are not at a time. net/http would also close the ones on which it has read a part of a header.
func (x *callerConns) shutdown(until time.Time) (left int, err error) {
	x.mu.Lock()
	ln := x.ln
	x.mu.Unlock()
	if ln != nil {
		err = ln.Close()
	}
	for {
		left = x.closeIdle()
		if left == 0 || !time.Now().Before(until) {
			return left, err
		}
		time.Sleep(drainPollInterval)
	}
}
