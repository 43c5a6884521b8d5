package socket

import (
	"net"
	"sync/atomic"
)

// LongReceive is the receive buffer of a connection that receives a long message, in bytes.
const LongReceive = 64 << 10

// Loans is memory for the larger receive buffers of connections that receive long messages. Without it they arrive
// more slowly. It is safe for concurrent use; a nil Loans lends nothing.
type Loans struct {
	limit int64 // bytes
	lent  atomic.Int64
}

// NewLoans returns memory of the given size in bytes.
func NewLoans(bytes int64) *Loans { return &Loans{limit: bytes} }

// Lent returns the memory that is in use, in bytes.
func (l *Loans) Lent() int64 { return l.lent.Load() }

// Widen gives a connection a larger receive buffer, and reports whether there was memory for it. The caller calls
// Narrow, or Return once the connection is closed.
func (l *Loans) Widen(c net.Conn) bool {
	if l == nil {
		return false
	}
	if l.lent.Add(Held(LongReceive)) > l.limit || SetReceive(c, LongReceive) != nil {
		l.Return()
		return false
	}
	return true
}

// Narrow sets the receive buffer of a connection back to a size in bytes and reports whether the memory was returned. A
// connection on which more has arrived than that buffer holds keeps it.
func (l *Loans) Narrow(c net.Conn, receive int) bool {
	if SetReceive(c, receive) != nil {
		return false
	}
	if n, err := Unread(c); err != nil || int64(n) > Held(receive) {
		return false
	}
	l.Return()
	return true
}

// Return returns the memory of a connection that Widen returned true for.
func (l *Loans) Return() { l.lent.Add(-Held(LongReceive)) }
