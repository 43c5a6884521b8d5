package fakes

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrKilled reports that the process behind a Gate was killed.
var ErrKilled = errors.New("process was killed")

// Gate simulates a paused or killed process within a test: all external
// communication of the process passes through it. The zero value is open.
type Gate struct {
	mu          sync.Mutex
	pausedUntil time.Time // end of the pause
	killed      bool
}

// Wait blocks while the process is paused and returns ErrKilled if it was killed.
func (g *Gate) Wait() error {
	for {
		g.mu.Lock()
		wait, killed := time.Until(g.pausedUntil), g.killed
		g.mu.Unlock()
		if killed {
			return ErrKilled
		}
		if wait <= 0 {
			return nil
		}
		time.Sleep(wait)
	}
}

// Pause pauses the process for d from now.
func (g *Gate) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil = time.Now().Add(d)
}

// Kill marks the process as killed, for good.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// Killed reports whether the process was killed.
func (g *Gate) Killed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// Paused reports whether the process is paused.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.pausedUntil)
}

// Conn wraps a connection of the process. Data that arrives during a pause is read
// after it.
func (g *Gate) Conn(c net.Conn) net.Conn { return gatedConn{c, g} }

// Listener wraps a listener of the process, so that accepted connections are wrapped
// by Conn.
func (g *Gate) Listener(l net.Listener) net.Listener { return gatedListener{l, g} }

type gatedConn struct {
	net.Conn
	gate *Gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.gate.Wait() != nil {
		_ = c.Close()
		return 0, ErrKilled
	}
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	if c.gate.Wait() != nil {
		_ = c.Close()
		return 0, ErrKilled
	}
	return c.Conn.Write(b)
}

// SetLinger sets what a close does, as that of net.TCPConn, if the connection has that.
func (c gatedConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

type gatedListener struct {
	net.Listener
	gate *Gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.Conn(c), nil
}
