package heads

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferSize is the size of the buffer with which net/http reads a connection.
const bufferSize = 4096 // bytes

const (
	// firstHeadTime is the time in which an ordinary client sends its first head. A connection that has waited for
	// less makes room only if no other is idle.
	firstHeadTime = 200 * time.Millisecond
	// bodyTime is the time in which the body of an ordinary request arrives. A connection whose request has waited
	// for less makes no room.
	bodyTime = time.Second
	// refusalWriteTime bounds the writing of a refusal.
	refusalWriteTime = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal. A connection that is closed with unread bytes
	// is reset, and the client may lose the refusal.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 64 << 10
	// lingerPart is the part of the connections that may linger.
	lingerPart = 8
)

// errRefused is the error of a read of a head that was refused. net/http answers nothing to errors of reads.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the account of heads is exhausted")}

// phase is what a connection does.
type phase int

const (
	phaseHead   phase = iota // it waits for a head, or reads one
	phaseServed              // a request is handled; bytes that are read are its body
	phaseEnded               // it is refused or closed
)

// Listener returns a listener whose connections are charged to the account. The server that accepts from it must have
// been passed to Attach. A connection over the bound on connections takes the place of the one that has waited longest
// for a request, or is closed.
func (a *Account) Listener(ln net.Listener) net.Listener { return listener{ln, a} }

type listener struct {
	net.Listener
	account *Account
}

// SyscallConn returns the socket of the listener, as that of net.TCPListener.
func (l listener) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.Listener.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Accept waits for the next connection that the account admits.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k := &Conn{Conn: c, account: l.account}
		victim, ok := l.account.add(k)
		switch {
		case ok && (victim == nil || victim.evict()):
			return k, nil
		case ok: // a request began on the victim meanwhile
			_ = k.Close()
		default:
			_ = c.Close()
		}
		l.account.recordRefusal(indexConns)
	}
}

// add adds a connection, and reports whether there is room for it. victim is to be closed for it.
func (a *Account) add(c *Conn) (victim *Conn, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Conns > 0 && a.conns >= a.cfg.Conns {
		if victim = a.victim(); victim == nil {
			return nil, false
		}
		victim.unlink()
	}
	a.conns++
	c.since = time.Now()
	a.fresh.push(c)
	return victim, true
}

// victim returns the connection that makes room for another one, nil if a request is handled on each whose client reads
// its answer. The caller holds mu.
func (a *Account) victim() *Conn {
	fresh, body, idle := a.fresh.first(), a.bodies.first(), a.idle.first()
	switch {
	case fresh != nil && time.Since(fresh.since) > firstHeadTime:
		return fresh
	case body != nil && time.Since(body.since) > bodyTime:
		return body
	}
	if stalled := a.stalledWriter(); stalled != nil {
		return stalled
	}
	switch {
	case idle != nil:
		return idle
	}
	return fresh
}

// Conn is a connection that is charged to an account.
type Conn struct {
	net.Conn
	account    *Account
	prev, next *Conn     // in a waitingList; Account.mu guards them, and since
	since      time.Time // begin of the wait for the first head, or for a body

	mu     sync.Mutex
	phase  phase
	closed bool
	// waits means that the request that is handled has not been passed on, since its body has not arrived.
	waits bool
	held  int64 // bytes charged for the request in progress
	// bytes and lines are at least what net/http's buffer holds.
	bytes, lines int
	// tail is the end of what was read of the head.
	tail [2]byte
	// ended means that the end of the head was read, and after is the number of bytes that were read since.
	ended  bool
	after  int64
	length int64 // of the body; negative if it is not known
	wide   bool  // the connection has a larger receive buffer, for a long body
	// writeDeadline is that of the handler; zero if there is none.
	writeDeadline time.Time
	unsent        unsentState // Account.mu guards it
	// drops means that the close of the connection drops what its client has not taken.
	drops atomic.Bool
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the socket of the connection, as that of net.TCPConn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite ends the sending side, which net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if k, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return k.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close does, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if k, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return k.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close closes the connection and ends its charge, once its client has taken what was written.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.end()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return nil
	}
	a := c.account
	a.mu.Lock()
	slow := c.unsent.charged > 0
	a.mu.Unlock()
	if slow && !c.drops.Load() {
		go c.closeSent()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and ends what is charged for it. It is called once.
func (c *Conn) closeNow() error {
	if c.drops.Load() {
		_ = c.SetLinger(0) // fails for a connection that is not a socket
	}
	err := c.Conn.Close()
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.setCharge(0)
	a.conns--
	return err
}

// end ends the charge of a connection, and reports whether it had not ended. The caller holds mu.
func (c *Conn) end() bool {
	if c.phase == phaseEnded {
		return false
	}
	a := c.account
	a.acquire(-c.held, 0)
	c.phase, c.held = phaseEnded, 0
	c.endLoan()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.unlink()
	return true
}

// evict closes the connection unless a request is handled on it whose body has arrived, and whose client reads its
// answer. It reports whether it is closed.
func (c *Conn) evict() bool {
	c.account.mu.Lock()
	stalled := c.isStalled()
	c.account.mu.Unlock()
	c.mu.Lock()
	served := c.phase == phaseServed && !c.waits && !stalled
	if !served {
		c.end()
	}
	c.mu.Unlock()
	if served {
		return false
	}
	c.account.recordRefusal(indexEvicted)
	if stalled {
		c.drops.Store(true)
	}
	_ = c.Close() // net/http's read, or the handler's write, ends
	return true
}

// Read reads from the connection and charges the bytes of a head. A head that the account can't hold is refused.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.charge(b[:n], len(b)) {
		c.refuse(b)
		return 0, errRefused
	}
	return n, err
}

// charge notes bytes that were read into a buffer of a size. It reports whether the account can hold them.
func (c *Conn) charge(b []byte, size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := 0
	if c.phase == phaseHead || size <= bufferSize {
		lines = bytes.Count(b, newline)
	}
	switch {
	case size > bufferSize: // past the buffer, which is empty
		c.bytes, c.lines = 0, 0
	case size == bufferSize: // into the empty buffer
		c.bytes, c.lines = len(b), lines
	default:
		c.bytes, c.lines = min(c.bytes+len(b), bufferSize), min(c.lines+lines, bufferSize)
	}
	if c.ended {
		c.after += int64(len(b))
	}
	if c.phase != phaseHead {
		return c.phase != phaseEnded
	}
	if !c.ended {
		c.findEnd(b)
	}
	n := cost(len(b), lines)
	if !c.account.acquire(n, c.held+n) {
		return false
	}
	c.held += n
	return true
}

var (
	newline   = []byte("\n")
	emptyLine = []byte("\n\r\n")
	emptyText = []byte("\n\n")
)

// findEnd looks for the end of the head in the bytes that were read. The caller holds mu.
func (c *Conn) findEnd(b []byte) {
	end := -1
	switch {
	case c.tail == [2]byte{'\n', '\r'} && b[0] == '\n', c.tail[1] == '\n' && b[0] == '\n':
		end = 1
	case c.tail[1] == '\n' && len(b) > 1 && b[0] == '\r' && b[1] == '\n':
		end = 2
	default:
		if i := bytes.Index(b, emptyLine); i >= 0 {
			end = i + len(emptyLine)
		}
		if i := bytes.Index(b, emptyText); i >= 0 && (end < 0 || i+len(emptyText) < end) {
			end = i + len(emptyText)
		}
	}
	if end >= 0 {
		c.ended, c.after = true, int64(len(b)-end)
		return
	}
	if len(b) > 1 {
		c.tail[0] = b[len(b)-2]
	} else {
		c.tail[0] = c.tail[1]
	}
	c.tail[1] = b[len(b)-1]
}

// refuse answers the request whose head is being read with status 503, and closes the connection. Before the first
// byte of a head no response is in progress on it. b is scratch space.
func (c *Conn) refuse(b []byte) {
	c.mu.Lock()
	first := c.end()
	c.mu.Unlock()
	if !first {
		return
	}
	defer func() { _ = c.Close() }()
	a := c.account
	a.recordRefusal(indexMemory)
	kind, retry, body := a.refusal()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nRetry-After: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", kind, retry, len(body), body)
	// Few connections linger at the same time, as they count until they are closed.
	defer a.lingering.Add(-1)
	if int(a.lingering.Add(1)) > a.cfg.Conns/lingerPart {
		return
	}
	if err == nil && c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		for left := lingerBytes; left > 0 && err == nil; {
			var n int
			n, err = c.Conn.Read(b)
			left -= n
		}
	}
}

// begin replaces the charge for the bytes of a head by that for the parsed head, as a request begins. It reports
// whether the request may be handled; refused means that the account can't hold it.
func (c *Conn) begin(n, length int64, hasBody bool) (ok, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseEnded {
		return false, false
	}
	a := c.account
	if !a.acquire(n-c.held, n) {
		return false, true
	}
	c.held, c.phase, c.length = n, phaseServed, length
	c.waits = hasBody && a.cfg.BodyFirst
	if hasBody {
		c.widen(length)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.unlink()
	if c.waits {
		c.since = time.Now()
		a.bodies.push(c)
	}
	return true, false
}

// bodyRead notes that the whole body was read, or that it failed. The request may be passed on from then.
func (c *Conn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waits {
		return
	}
	c.waits = false
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.unlink()
}

// finish ends the charge of a request whose response was sent. It reports whether the account can hold what the
// client may have sent ahead of it.
func (c *Conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseEnded {
		return false
	}
	a := c.account
	ahead := int64(0)
	if known := c.ended && c.length >= 0; !known || c.after > c.length {
		ahead = cost(c.bytes, c.lines)
	}
	ok := a.acquire(ahead-c.held, ahead)
	if ok {
		c.held = ahead
	}
	c.phase, c.waits, c.ended, c.after, c.tail = phaseHead, false, false, 0, [2]byte{}
	c.narrow()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.unlink()
	a.idle.push(c)
	return ok
}
