// Package heads bounds the memory and the connections that clients take before a request of theirs is handled, and what
// the kernel holds for these connections, answers included. An
// Account is charged for the head of each request while it is read, by what it costs in memory: its bytes and, above
// all, its header lines, which take a few hundred bytes each in maps, slices and the copy that is forwarded. The charge
// ends with the request. A head that the account can't hold is refused with status 503 before it is parsed, so the
// request has not run.
//
// Conn.mu is locked before Account.mu.
package heads

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/cranberrybay/cranberrybay/socket"
)

const (
	// lineCost is the memory of one header line in bytes, beside its text: an entry of the parsed map with its key
	// and slice (about 110 bytes for a line without a value), the same in the copy that is forwarded, and a margin.
	lineCost = 256
	// byteCost is the memory of a byte of a head: in the parsed head and in the one that is written to a server.
	byteCost = 2
	// smallHead is the cost up to which a head may use the whole account. Larger ones leave a part of it free, so
	// that clients with many header lines don't keep out ordinary ones, whose heads cost a tenth of this.
	smallHead = 64 << 10
	// reservedPart is the part of the account that only small heads may use.
	reservedPart = 4
	// logInterval is the least time between two log lines about refusals.
	logInterval = time.Second
)

// cost returns the memory that a head of the given size takes.
func cost(bytes, lines int) int64 { return int64(bytes)*byteCost + int64(lines)*lineCost }

const (
	// memoryShare is the share of a VM's memory that heads may take. With the garbage that is not collected yet it
	// is twice that.
	memoryShare = 0.1
	// MinBytes is the least size of an account for a process. Each of its two parts then holds the largest head that
	// is allowed, which may consist of lines of three bytes.
	MinBytes = 10 << 20
	// connShare and connBytes bound the connections by memory: an open connection takes 20 KB for the stacks of its
	// goroutines and its buffers, and up to 32 KB while it has a request.
	connShare = 0.15
	connBytes = 32 << 10
	// descriptorShare is the share of the process's descriptors that connections of clients may take. The others are
	// for its own connections: one to a backend server for each request, and some more.
	descriptorShare = 0.4
	// otherPart is the part of the limits that the listeners not meant for callers get.
	otherPart = 4
	// socketShare is the share of a VM's memory that the kernel may hold for sockets.
	socketShare = 0.2
	// bodyPart is the part of that for the larger receive buffers of connections that receive a long body or answer, and
	// the part for answers that clients have not taken.
	bodyPart = 6
	// buffersPerConn is the number of receive buffers of a caller's connection that fit into its part of the rest: two
	// for what is unread on it, one for what its client has not taken, and two for the connection to a backend server.
	buffersPerConn = 5
	// minReceive and maxReceive bound the receive buffer of a connection in bytes.
	minReceive, maxReceive = 4 << 10, 64 << 10
	// defaultDescriptors is used when the limit on descriptors can't be read.
	defaultDescriptors = 1024
)

// Config configures an Account.
type Config struct {
	Bytes int64 // memory for heads; 0 for no bound
	Conns int   // open connections; 0 for no bound
	// Receive is the receive buffer of a connection in bytes; 0 for that of the kernel.
	Receive int
	// Bodies is the memory for larger receive buffers, which connections get for long bodies, in bytes.
	Bodies int64
	// Answers is the memory for answers that clients have not taken, in bytes, beside as much as Receive for each
	// connection; 0 for no bound.
	Answers int64
	// BodyFirst means that handlers do nothing before they have read the whole body. Connections whose body takes long
	// then make room for others, too.
	BodyFirst bool
	// ContentType and Body are those of a refusal; empty for plain text.
	ContentType, Body string
	Log               zerolog.Logger
}

// Limits are the settings of a process.
type Limits struct {
	MemoryMB  int64 // of the VM
	HeadsMB   int64 // memory for heads; 0 for a tenth of the VM's, at least MinBytes
	Conns     int   // connections of clients; 0 for as many as memory and descriptors allow
	SocketsMB int64 // memory that the kernel may hold for sockets; 0 for a fifth of the VM's
}

// SocketBytes returns the memory that the kernel may hold for sockets.
func (l Limits) SocketBytes() int64 {
	if l.SocketsMB > 0 {
		return l.SocketsMB << 20
	}
	return int64(socketShare * float64(l.MemoryMB<<20))
}

// conns returns the number of connections of clients.
func (l Limits) conns() int {
	if l.Conns > 0 {
		return l.Conns
	}
	return max(min(int(connShare*float64(l.MemoryMB<<20))/connBytes, int(descriptorShare*float64(descriptors()))), 2)
}

// ServerLoans returns the memory for larger receive buffers of connections to backend servers.
func (l Limits) ServerLoans() *socket.Loans { return socket.NewLoans(l.serverLoanBytes()) }

func (l Limits) serverLoanBytes() int64 { return l.SocketBytes() / bodyPart / otherPart }

// Receive returns the receive buffer of a connection of a caller, or to a backend server, in bytes.
func (l Limits) Receive() int {
	rest := l.SocketBytes() - 2*(l.SocketBytes()/bodyPart)
	return int(min(max(rest/int64(l.conns())/buffersPerConn, minReceive), maxReceive))
}

// Split returns the configurations of the accounts for callers and for the other listeners of a process. They are
// separate, so that callers can't keep a readiness check or an operator out.
func (l Limits) Split() (callers, others Config) {
	bytes := l.HeadsMB << 20
	if bytes == 0 {
		bytes = max(int64(memoryShare*float64(l.MemoryMB<<20)), MinBytes)
	}
	conns := l.conns()
	others = Config{Bytes: bytes / otherPart, Conns: max(conns/otherPart, 1), Receive: minReceive, Bodies: l.SocketBytes() / bodyPart / otherPart}
	callers = Config{Bytes: bytes - others.Bytes, Conns: max(conns-others.Conns, 1), BodyFirst: true, Receive: l.Receive()}
	callers.Bodies = l.SocketBytes()/bodyPart - others.Bodies - l.serverLoanBytes()
	callers.Answers, others.Answers = l.SocketBytes()/bodyPart-others.Bodies, others.Bodies
	return callers, others
}

// Check returns an error for limits with which a process can't serve. It names the setting.
func (l Limits) Check() error {
	switch {
	case l.HeadsMB != 0 && l.HeadsMB < MinBytes>>20:
		return fmt.Errorf("heads is %d, want 0 or at least %d", l.HeadsMB, MinBytes>>20)
	case l.Conns < 0:
		return fmt.Errorf("conns is %d, want 0 or more", l.Conns)
	case l.SocketsMB < 0:
		return fmt.Errorf("sockets is %d, want 0 or more", l.SocketsMB)
	}
	return nil
}

// descriptors returns the number of descriptors that the process may open.
func descriptors() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return defaultDescriptors
	}
	return int(min(r.Cur, 1<<30))
}

// Bounds by which requests are refused and connections closed.
const (
	BoundMemory  = "memory"      // Config.Bytes
	BoundConns   = "connections" // Config.Conns
	BoundEvicted = "evicted"     // Config.Conns: a connection that waited for a request, or its body, made room for another one
)

// bounds are all bounds, in the order of Account.refused.
var bounds = [...]string{BoundMemory, BoundConns, BoundEvicted}

// Account counts the memory of heads and the connections of clients. It is safe for concurrent use.
type Account struct {
	cfg     Config
	held    atomic.Int64  // bytes
	loans   *socket.Loans // larger receive buffers for long bodies
	refused [len(bounds)]atomic.Uint64
	// lingering is the number of refused connections that are read for a moment before they are closed.
	lingering atomic.Int32

	mu      sync.Mutex
	conns   int
	fresh   waitingList        // connections without a whole head so far
	idle    waitingList        // connections that wait for a further request
	bodies  waitingList        // connections whose request waits for its body, with Config.BodyFirst
	writers map[*Conn]struct{} // connections that are charged for what their client has not taken
	unsent  int64              // bytes charged for answers that writers have not taken
	looked  time.Time          // when writers were last looked at
	logged  time.Time          // last log line
	skipped int                // refusals that were not logged since
}

// New returns an account.
func New(cfg Config) *Account {
	a := &Account{cfg: cfg, loans: socket.NewLoans(cfg.Bodies), writers: map[*Conn]struct{}{}}
	a.fresh.init()
	a.idle.init()
	a.bodies.init()
	return a
}

// Held returns the memory that is charged, in bytes.
func (a *Account) Held() int64 { return a.held.Load() }

// Conns returns the number of open connections.
func (a *Account) Conns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns
}

// Refused returns how many requests were refused, or connections closed, by a bound.
func (a *Account) Refused(bound string) uint64 {
	for i, b := range bounds {
		if b == bound {
			return a.refused[i].Load()
		}
	}
	return 0
}

// Gauges calls register with the name of each metric and a function that returns its value. part distinguishes the
// accounts of a process.
func (a *Account) Gauges(part string, register func(name string, f func() float64)) {
	register(fmt.Sprintf("head_bytes{part=%q}", part), func() float64 { return float64(a.Held()) })
	register(fmt.Sprintf("client_connections{part=%q}", part), func() float64 { return float64(a.Conns()) })
	register(fmt.Sprintf("body_buffer_bytes{part=%q}", part), func() float64 { return float64(a.loans.Lent()) })
	register(fmt.Sprintf("unsent_bytes{part=%q}", part), func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.unsent)
	})
	for i, b := range bounds {
		register(fmt.Sprintf("heads_refused_total{part=%q,bound=%q}", part, b), func() float64 { return float64(a.refused[i].Load()) })
	}
}

// acquire charges n bytes to a request that is charged total bytes then, and reports whether the account has them.
func (a *Account) acquire(n, total int64) bool {
	limit := a.cfg.Bytes
	if total > smallHead {
		limit -= limit / reservedPart
	}
	for {
		held := a.held.Load()
		if n > 0 && a.cfg.Bytes > 0 && held+n > limit {
			return false
		}
		if a.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// recordRefusal counts a refusal and logs it, unless another one was logged just before.
func (a *Account) recordRefusal(bound int) {
	a.refused[bound].Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.logged) < logInterval {
		a.skipped++
		return
	}
	limit := int64(a.cfg.Conns)
	if bound == indexMemory {
		limit = a.cfg.Bytes
	}
	a.cfg.Log.Warn().Str("bound", bounds[bound]).Int64("limit", limit).Int64("held", a.held.Load()).Int("connections", a.conns).
		Int("unlogged", a.skipped).Msg("clients are refused")
	a.logged, a.skipped = time.Now(), 0
}

// Indexes of bounds.
const (
	indexMemory = iota
	indexConns
	indexEvicted
)

// maxRetryAfter is the largest Retry-After of a refusal in seconds. It is spread, so that the clients don't return
// all at once.
const maxRetryAfter = 3

// refusal returns the response to a request that is refused.
func (a *Account) refusal() (contentType, retryAfter, body string) {
	contentType, body = a.cfg.ContentType, a.cfg.Body
	if contentType == "" {
		contentType, body = "text/plain; charset=utf-8", "the heads of other requests take the memory for them\n"
	}
	return contentType, fmt.Sprint(1 + rand.N(maxRetryAfter)), body
}

// waitingList is a list of connections, the one that has waited longest first. Account.mu guards it.
type waitingList struct{ root Conn }

func (l *waitingList) init() { l.root.next, l.root.prev = &l.root, &l.root }

// push appends a connection that is in no list.
func (l *waitingList) push(c *Conn) {
	c.prev, c.next = l.root.prev, &l.root
	c.prev.next, l.root.prev = c, c
}

// first returns the connection that has waited longest, nil if there is none.
func (l *waitingList) first() *Conn {
	if l.root.next == &l.root {
		return nil
	}
	return l.root.next
}

// unlink removes a connection from its list, if it is in one.
func (c *Conn) unlink() {
	if c.next != nil {
		c.prev.next, c.next.prev = c.next, c.prev
		c.prev, c.next = nil, nil
	}
}
