package heads

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/cranberrybay/cranberrybay/socket"
)

const (
	// stallTime is how long a client may take no byte of its answer while others need the memory or the connection.
	stallTime = 2 * time.Second
	// maxStall is how long a client may take no byte of its answer in any case.
	maxStall = 10 * time.Second
	// unsentInterval is the time between two looks at what clients have not taken, while there is no memory for more.
	unsentInterval = 20 * time.Millisecond
	// pauseTime is how late a deadline passes only in a process that was paused.
	pauseTime = 50 * time.Millisecond
)

// errStalled is the error of a write to a client that does not read.
var errStalled = &net.OpError{Op: "write", Net: "tcp", Err: errors.New("the client takes no bytes of its answer")}

// unsentState is what is known of the bytes that a client has not taken. Account.mu guards it.
type unsentState struct {
	charged  int64 // bytes charged; 0 if Account.writers does not hold the connection
	written  int64 // all bytes that were written
	taken    int64 // how many of them the client had taken at the last look
	progress time.Time
	unknown  int64 // bytes written since the last look
}

// Write writes to the connection. The kernel holds what the client has not taken: a little of it is free for each
// connection, more is charged to the account. A client that does not read loses its connection after maxStall, or after
// stallTime if the account has no memory for another one.
func (c *Conn) Write(b []byte) (n int, err error) {
	size := len(b)
	if c.account.cfg.Answers > 0 {
		size = max(c.account.cfg.Receive, minReceive)
	}
	for {
		piece := b[n:min(len(b), n+size)] // in pieces, so that the account knows of each
		slow, err := c.reserve(int64(len(piece)))
		if err != nil {
			return n, err
		}
		m, err := c.writePiece(piece, slow)
		n += m
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// writePiece writes within maxStall if the client is slow to read, else without a deadline of its own.
func (c *Conn) writePiece(b []byte, slow bool) (n int, err error) {
	if !slow {
		return c.Conn.Write(b)
	}
	deadline := time.Now().Add(maxStall)
	c.mu.Lock()
	outer := c.writeDeadline
	c.mu.Unlock()
	if !outer.IsZero() && outer.Before(deadline) {
		return c.Conn.Write(b) // the deadline of the handler comes first
	}
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err = c.Conn.Write(b)
	if resetErr := c.Conn.SetWriteDeadline(outer); err == nil && resetErr != nil {
		return n, resetErr
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(deadline) > pauseTime {
		c.unsent.progress = time.Now()
	}
	c.look()
	if n > 0 || time.Since(c.unsent.progress) < maxStall {
		return n, nil
	}
	return n, c.stall()
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// reserve waits until the account has the memory for n more bytes to a client. slow means that the client has not taken
// all that was written before.
func (c *Conn) reserve(n int64) (slow bool, err error) {
	a := c.account
	if a.cfg.Answers == 0 {
		return false, nil
	}
	for {
		a.mu.Lock()
		slow, ok := c.chargeUnsent(n)
		if ok {
			a.mu.Unlock()
			return slow, nil
		}
		if time.Since(c.unsent.progress) > maxStall {
			defer a.mu.Unlock()
			return slow, c.stall()
		}
		victim := a.stalledWriter()
		a.mu.Unlock()
		if victim != nil && victim.evict() {
			continue
		}
		time.Sleep(unsentInterval)
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return slow, net.ErrClosed
		}
	}
}

// chargeUnsent charges n more bytes and reports whether the account has memory for them. The caller holds Account.mu.
func (c *Conn) chargeUnsent(n int64) (slow, ok bool) {
	u := &c.unsent
	free := int64(c.account.cfg.Receive)
	if u.charged == 0 && u.unknown+n <= free {
		u.unknown += n
		u.written += n
		return false, true
	}
	held, known := c.look()
	if !known || held+n <= free {
		c.setCharge(0)
		u.unknown = held + n
		u.written += n
		return false, true
	}
	if c.isOver(held + n) {
		if c.account.lookAtWriters(); c.isOver(held + n) {
			return held > 0, false
		}
	}
	c.setCharge(held + n)
	u.written += n
	return held > 0, true
}

// isOver reports whether the account has no memory for a charge. The caller holds Account.mu.
func (c *Conn) isOver(charge int64) bool {
	return c.account.unsent-c.unsent.charged+charge > c.account.cfg.Answers
}

// look measures how many bytes the client has not taken. known is false for a connection that is not a socket. The
// caller holds Account.mu.
func (c *Conn) look() (held int64, known bool) {
	n, err := socket.Unsent(c.Conn)
	if err != nil {
		return 0, false
	}
	u := &c.unsent
	if taken := u.written - int64(n); taken > u.taken || u.progress.IsZero() || n == 0 {
		u.taken, u.progress = taken, time.Now()
	}
	return int64(n), true
}

// setCharge sets what is charged for unsent bytes. The caller holds Account.mu.
func (c *Conn) setCharge(bytes int64) {
	a := c.account
	a.unsent += bytes - c.unsent.charged
	c.unsent.charged = bytes
	if bytes > 0 {
		a.writers[c] = struct{}{}
	} else {
		delete(a.writers, c)
	}
}

// stall marks the connection, whose close then drops what its client has not taken, and returns errStalled. The caller
// holds Account.mu.
func (c *Conn) stall() error {
	c.drops.Store(true)
	return errStalled
}

// lookAtWriters corrects what is charged for clients that have read since, unless it did so just before. The caller
// holds mu.
func (a *Account) lookAtWriters() {
	if time.Since(a.looked) < unsentInterval {
		return
	}
	a.looked = time.Now()
	for c := range a.writers {
		if held, known := c.look(); known {
			c.setCharge(min(held, c.unsent.charged))
		}
	}
}

// stalledWriter returns the connection whose client has taken no byte for the longest time, over stallTime, or nil. The
// caller holds mu.
func (a *Account) stalledWriter() *Conn {
	var victim *Conn
	for c := range a.writers {
		if !c.drops.Load() && c.isStalled() && (victim == nil || c.unsent.progress.Before(victim.unsent.progress)) {
			victim = c
		}
	}
	return victim
}

// isStalled reports whether the client has taken no byte for stallTime. The caller holds Account.mu.
func (c *Conn) isStalled() bool {
	if c.unsent.charged == 0 || time.Since(c.unsent.progress) <= stallTime {
		return false
	}
	c.look()
	return time.Since(c.unsent.progress) > stallTime
}

// closeSent closes a connection once its client has taken what was written, and drops the rest if it takes none for
// maxStall. The kernel would hold it for minutes after a close, beyond the account.
func (c *Conn) closeSent() {
	a := c.account
	_ = c.CloseWrite()
	for !c.drops.Load() {
		a.mu.Lock()
		held, known := c.look()
		if known && held > 0 {
			c.setCharge(held)
		}
		idle := time.Since(c.unsent.progress)
		a.mu.Unlock()
		if !known || held == 0 {
			break
		}
		if idle > maxStall {
			c.drops.Store(true)
		}
		time.Sleep(unsentInterval)
	}
	_ = c.closeNow()
}
