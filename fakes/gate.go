package fakes

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrKilled reports that the process behind a gate was killed.
var ErrKilled = errors.New("process was killed")

// Gate stands in front of everything that a process does with the outside. It
// shows how a process that is paused or killed looks from there. Its zero value
// is open.
type Gate struct {
	mu     sync.Mutex
	until  time.Time // paused until then
	killed bool
}

// Wait waits while the process is paused and fails when it was killed.
func (g *Gate) Wait() error {
	for {
		g.mu.Lock()
		wait, killed := time.Until(g.until), g.killed
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

// Pause pauses the process for a time.
func (g *Gate) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(d)
}

// Kill kills the process.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// Killed tells whether the process was killed.
func (g *Gate) Killed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// Paused tells whether the process is paused now.
func (g *Gate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.until)
}

// Conn returns a connection of the process. What arrives while it is paused is
// read when it continues.
func (g *Gate) Conn(c net.Conn) net.Conn { return gatedConn{c, g} }

// Listener returns a listener of the process.
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
