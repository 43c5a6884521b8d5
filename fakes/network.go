package fakes

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects processes of one test over net.Pipe. Bytes pass a buffer
// without bound, as in the socket buffers of TCP, so that a cut link holds
// bytes and does not block the sender.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     map[*pipeConn]bool
	cuts      map[[2]string]bool
	changed   chan struct{} // closed when a cut starts or ends
	dial      time.Duration // latency of a dial, each way
	data      time.Duration // latency of data
}

// NewNetwork returns a network with one-way latencies of dials and of data. In
// a synctest bubble data must be 0, and cuts must start after synctest.Wait:
// yamux holds a mutex while it reads the rest of a message, and virtual time
// stands still while another goroutine waits for that mutex.
func NewNetwork(dial, data time.Duration) *Network {
	return &Network{
		listeners: map[string]*pipeListener{}, conns: map[*pipeConn]bool{}, cuts: map[[2]string]bool{},
		changed: make(chan struct{}), dial: dial, data: data,
	}
}

// Cut holds or releases the bytes that flow from one host to another.
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

// Listen opens the listener of a host; its name is its address.
func (n *Network) Listen(host string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{network: n, host: host, conns: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[host] = l
	return l
}

// Dial connects a host to another. Over a cut link it waits until ctx ends.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	if err := n.pass(ctx.Done(), from, to, n.dial); err != nil {
		return nil, ctx.Err()
	}
	if err := n.pass(ctx.Done(), to, from, n.dial); err != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	}
	a, b := n.pair(from, to)
	select {
	case l.conns <- b:
		return a, nil
	case <-l.done:
		_ = a.Close()
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	}
}

var errClosed = errors.New("connection was closed")

// pass waits for the latency and until the link is not cut.
func (n *Network) pass(done <-chan struct{}, from, to string, latency time.Duration) error {
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

func (n *Network) pair(from, to string) (net.Conn, net.Conn) {
	a, ai := net.Pipe()
	b, bi := net.Pipe()
	done := make(chan struct{})
	var once sync.Once
	end := func() {
		once.Do(func() {
			close(done)
			for _, c := range []net.Conn{a, ai, b, bi} {
				_ = c.Close()
			}
		})
	}
	ca := &pipeConn{Conn: a, network: n, from: from, to: to, end: end}
	cb := &pipeConn{Conn: b, network: n, from: to, to: from, end: end}
	n.mu.Lock()
	n.conns[ca], n.conns[cb] = true, true
	n.mu.Unlock()
	n.pump(ai, bi, from, to, done, end)
	n.pump(bi, ai, to, from, done, end)
	return ca, cb
}

// pump moves bytes of one direction through a queue.
func (n *Network) pump(src, dst net.Conn, from, to string, done chan struct{}, end func()) {
	var mu sync.Mutex
	var queue []byte
	more := make(chan struct{}, 1)
	go func() {
		buf := make([]byte, 4096)
		for {
			k, err := src.Read(buf)
			if err != nil {
				end()
				return
			}
			mu.Lock()
			queue = append(queue, buf[:k]...)
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
			if n.pass(done, from, to, n.data) != nil {
				return
			}
			mu.Lock()
			b := queue
			queue = nil
			mu.Unlock()
			if _, err := dst.Write(b); err != nil {
				end()
				return
			}
		}
	}()
}

type pipeConn struct {
	net.Conn
	network  *Network
	from, to string
	end      func()
}

func (c *pipeConn) Close() error {
	c.end()
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
