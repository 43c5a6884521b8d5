package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/socket"
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

	mu        sync.Mutex
	conns     map[net.Conn]*connState
	accepting int           // connections that were accepted and that net/http has not reported yet
	ln        *connListener // nil before listener is called
}

// connState is what is known of a connection. callerConns.mu guards it.
type connState struct {
	phase connPhase
	since time.Time // begin of the phase
	// until is the time until which the caller may leave the connection idle, or write the header, by the
	// configuration that was in effect when the phase began. A later one can only prolong it.
	until    time.Time
	lastRead time.Time // last bytes of a header
	ahead    bool      // bytes of the next request may have been read while the one before it was served
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
	eventStopCut       = "stop cut"       // answers did not end before the process had to
	eventCloseUnsafe   = "close unsafe"   // connections that wait for Accept may be reset as the listener closes
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
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.accepting++
	return &callerConn{Conn: c, conns: l.conns}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	conns *callerConns
	// closing means that the connection closes unless a request has arrived. The read of the next request
	// decides, so that none is read from a connection that is closed. conns.mu guards it.
	closing bool
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// backgroundRead is the size of the reads with which net/http notices, while a request is served, that the
// caller has left.
const backgroundRead = 1 // byte

// NetConn returns the connection below, for package heads.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the deadline of reads, which has passed while the connection closes.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closing {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection. The first bytes after an answer begin the header of a request.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.conns.keep(c) {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.conns.received(c, len(b))
	}
	return n, err
}

// CloseWrite ends the sending side, which net/http does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does, as that of net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// observe follows the states that net/http reports.
func (x *callerConns) observe(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		x.set(c, phaseIdle)
		if _, ok := c.(*callerConn); ok {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.accepting--
		}
	case http.StateIdle:
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
	idle, header := x.timeouts()
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
	s.begin(p, idle, header)
	return true
}

// begin begins a phase, for which the caller has the given times.
func (s *connState) begin(p connPhase, idle, header time.Duration) {
	s.phase, s.since = p, time.Now()
	switch p {
	case phaseIdle:
		s.until = s.since.Add(idle)
	case phaseHeader:
		s.until, s.lastRead = s.since.Add(header), s.since
	case phaseServed:
		s.ahead = false
	case phaseClosed:
	}
}

// received notes that bytes arrived on a connection, by a read into a buffer of a size.
func (x *callerConns) received(c *callerConn, size int) {
	idle, header := x.timeouts()
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.conns[c]
	switch {
	case s == nil:
	case s.phase == phaseIdle:
		s.begin(phaseHeader, idle, header)
		x.stay(c)
	case s.phase == phaseHeader:
		s.lastRead = time.Now()
	case s.phase == phaseServed && size == backgroundRead:
		s.ahead = true
	}
}

// keep reports whether a connection that closes stays open, since bytes have arrived on it.
func (x *callerConns) keep(c *callerConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !c.closing || !link.HasUnread(c.Conn) {
		return false
	}
	x.count(eventCloseDeferred)
	return x.stay(c)
}

// stay ends the closing of a connection, and reports whether it can be read. The caller holds mu.
func (x *callerConns) stay(c *callerConn) bool {
	if !c.closing {
		return true
	}
	c.closing = false
	return c.Conn.SetReadDeadline(time.Time{}) == nil
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
		switch s.phase {
		case phaseIdle:
			if now.After(s.until.Add(idleMargin)) && now.After(s.since.Add(idle+idleMargin)) {
				x.closeIdle(c, s)
			}
		case phaseHeader:
			// The rest of a header may have been read just now, after a pause of this process. A caller that
			// goes on writing gets twice the time.
			end := s.until.Add(headerMargin)
			if later := s.since.Add(header + headerMargin); later.After(end) {
				end = later
			}
			if now.After(end) && (now.After(s.lastRead.Add(headerMargin)) || now.After(end.Add(end.Sub(s.since)))) {
				x.closeHeader(c, s)
			}
		case phaseServed, phaseClosed:
		}
	}
}

// closeIdle makes an idle connection close unless a request has arrived. The caller holds mu.
func (x *callerConns) closeIdle(c net.Conn, s *connState) {
	k, ok := c.(*callerConn)
	switch {
	case !ok:
		s.phase = phaseClosed
		_ = c.Close()
	case k.closing:
		return
	default:
		k.closing = true
		_ = k.Conn.SetReadDeadline(longAgo) // net/http closes the connection when its read ends
	}
	x.count(eventIdleClosed)
}

// closeHeader closes a connection inside a header, unless bytes have arrived that this process has not read
// yet: it may have been slow or paused. The caller holds mu.
func (x *callerConns) closeHeader(c net.Conn, s *connState) {
	if k, ok := c.(*callerConn); ok && link.HasUnread(k.Conn) {
		x.count(eventCloseDeferred)
		return
	}
	x.count(eventHeaderClosed)
	s.phase = phaseClosed
	_ = c.Close() // net/http reports it as closed
}

// closeAllIdle makes the connections close on which no request has begun and returns the number of those that
// are open.
func (x *callerConns) closeAllIdle() (open int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, s := range x.conns {
		if s.phase == phaseIdle && !s.ahead {
			x.closeIdle(c, s)
		}
		if s.phase != phaseClosed {
			open++
		}
	}
	return open + x.accepting
}

// shutdown accepts the connections that wait and no more, and closes those of callers once they are idle. It
// returns the number of those that are not at a time. net/http would also close the ones on which it has read a part of a header.
func (x *callerConns) shutdown(until time.Time) (left int, err error) {
	x.mu.Lock()
	ln := x.ln
	x.mu.Unlock()
	if ln != nil {
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		if refuses, drainErr := socket.Drain(ctx, ln.Listener); drainErr != nil || !refuses {
			x.count(eventCloseUnsafe)
		}
		err = ln.Close()
	}
	for {
		left = x.closeAllIdle()
		if left == 0 || !time.Now().Before(until) {
			return left, err
		}
		time.Sleep(drainPollInterval)
	}
}
