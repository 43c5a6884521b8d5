package main

import (
	"fmt"
	"net"
	"sync"
)

// proxy forwards the connections of one entry process to the store. While it is cut, it accepts nothing and
// forwards nothing, so that connections and calls hang.
type proxy struct {
	address, target string

	mu    sync.Mutex
	open  chan struct{} // closed while the proxy forwards
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &proxy{address: ln.Addr().String(), target: target, open: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(p.open)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// wait blocks while the proxy is cut.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	p.wait()
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	go p.copy(d, c)
	p.copy(c, d)
}

// copy copies until one side ends, and holds what arrives during a cut.
func (p *proxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut begins or ends a silent partition.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open = make(chan struct{})
	} else {
		close(p.open)
	}
}
