package fakes

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects the processes of one test over net.Pipe, with latencies and cut
// links. Each direction of a connection has an unbounded buffer in place of the
// socket buffers of TCP, so a cut link holds bytes back without blocking the sender.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	conns       map[*pipeConn]bool
	cuts        map[[2]string]bool
	changed     chan struct{} // closed when a cut starts or ends
	dialLatency time.Duration // one-way latency of a dial
	dataLatency time.Duration // one-way latency of data
}

// NewNetwork returns a network with the given one-way latencies of dials and data.
// In a synctest bubble dataLatency must be 0 and cuts must start after
// synctest.Wait: yamux holds a mutex while it reads the rest of a message, and
// virtual time does not advance while another goroutine waits for that mutex.
func NewNetwork(dialLatency, dataLatency time.Duration) *Network {
	return &Network{
		listeners: map[string]*pipeListener{}, conns: map[*pipeConn]bool{}, cuts: map[[2]string]bool{},
		changed: make(chan struct{}), dialLatency: dialLatency, dataLatency: dataLatency,
	}
}

// Cut starts or ends a cut of the link from one host to another. Bytes sent in that
// direction are held back until the cut ends.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Kill closes the listener and all connections of a host.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var all []*pipeConn
	for c := range n.conns {
		if c.from == host || c.to == host {
			all = append(all, c)
		}
	}
	l := n.listeners[host]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range all {
		_ = c.Close()
	}
}

// Listen opens the listener of a host. The name of the host is its address.
func (n *Network) Listen(host string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{network: n, host: host, conns: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[host] = l
	return l
}

// Dial connects one host to another. While the link is cut in either direction, it
// waits until the cut or ctx ends.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	if err := n.waitUncut(ctx.Done(), from, to, n.dialLatency); err != nil {
		return nil, ctx.Err()
	}
	if err := n.waitUncut(ctx.Done(), to, from, n.dialLatency); err != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	}
	a, b := n.connect(from, to)
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		_ = a.Close()
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	}
}

var errClosed = errors.New("connection was closed")

// waitUncut waits for the latency and then until the link is not cut.
func (n *Network) waitUncut(done <-chan struct{}, from, to string, latency time.Duration) error {
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-done:
			return errClosed
		}
	}
	for {
		n.mu.Lock()
		cut, changed := n.cuts[[2]string{from, to}], n.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return errClosed
		}
	}
}

// connect returns both ends of a new connection. Closing one end closes both.
func (n *Network) connect(from, to string) (net.Conn, net.Conn) {
	a, aInner := net.Pipe()
	b, bInner := net.Pipe()
	done := make(chan struct{})
	var once sync.Once
	closeAll := func() {
		once.Do(func() {
			close(done)
			for _, c := range []net.Conn{a, aInner, b, bInner} {
				_ = c.Close()
			}
		})
	}
	connA := &pipeConn{Conn: a, network: n, from: from, to: to, closeAll: closeAll}
	connB := &pipeConn{Conn: b, network: n, from: to, to: from, closeAll: closeAll}
	n.mu.Lock()
	n.conns[connA], n.conns[connB] = true, true
	n.mu.Unlock()
	n.relay(aInner, bInner, from, to, done, closeAll)
	n.relay(bInner, aInner, to, from, done, closeAll)
	return connA, connB
}

// relay copies the bytes of one direction through an unbounded queue.
func (n *Network) relay(src, dst net.Conn, from, to string, done chan struct{}, closeAll func()) {
	var mu sync.Mutex
	var queue []byte
	more := make(chan struct{}, 1)
	go func() {
		buf := make([]byte, 4096)
		for {
			count, err := src.Read(buf)
			if err != nil {
				closeAll()
				return
			}
			mu.Lock()
			queue = append(queue, buf[:count]...)
			mu.Unlock()
			select {
			case more <- struct{}{}:
			default:
			}
		}
	}()
	go func() {
		for {
			select {
			case <-more:
			case <-done:
				return
			}
			if n.waitUncut(done, from, to, n.dataLatency) != nil {
				return
			}
			mu.Lock()
			b := queue
			queue = nil
			mu.Unlock()
			if _, err := dst.Write(b); err != nil {
				closeAll()
				return
			}
		}
	}()
}

type pipeConn struct {
	net.Conn
	network  *Network
	from, to string
	closeAll func()
}

func (c *pipeConn) Close() error {
	c.closeAll()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

type pipeListener struct {
	network *Network
	host    string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.host] == l {
			delete(l.network.listeners, l.host)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.host, Net: "pipe"} }
