package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fault of a link.
type linkFault int

const (
	linkSound   linkFault = iota
	linkDelayed           // each piece takes linkDelay longer
	linkReset             // connections are reset as soon as something passes
	linkOneWay            // what the server answers does not arrive
	linkSilent            // nothing arrives either way
	linkFaults
)

const linkDelay = 60 * time.Millisecond

// link is a proxy on the loopback interface before one backend server. Bytes that
// a silenced link holds are never delivered: its connections end with the fault.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	open  map[*net.TCPConn]struct{}
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: ln, target: target, open: map[*net.TCPConn]struct{}{}}
	go l.run()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) run() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c.(*net.TCPConn))
	}
}

func (l *link) state() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// set changes the fault. The connections of the one before are reset.
func (l *link) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == linkOneWay || l.fault == linkSilent {
		l.resetAll()
	}
	l.fault = f
}

// close ends the link as the crash of its server does.
func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// resetAll needs the lock.
func (l *link) resetAll() {
	for c := range l.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(l.open)
}

func (l *link) keep(all ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		l.open[c] = struct{}{}
	}
}

func (l *link) drop(all ...*net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range all {
		delete(l.open, c)
		_ = c.Close()
	}
}

func (l *link) carry(caller *net.TCPConn) {
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := c.(*net.TCPConn)
	l.keep(caller, server)
	defer l.drop(caller, server)
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, caller, linkSilent) })
	both.Go(func() { l.copy(caller, server, linkOneWay, linkSilent) })
	both.Wait()
}

// copy passes bytes on until one side ends. Under the faults that hold, it drops
// them.
func (l *link) copy(to, from *net.TCPConn, hold ...linkFault) {
	buf := make([]byte, 4<<10)
	held := false
	for {
		n, err := from.Read(buf)
		fault := l.state()
		for _, f := range hold {
			held = held || fault == f
		}
		switch {
		case n == 0 || held:
		case fault == linkReset:
			l.mu.Lock()
			l.resetAll()
			l.mu.Unlock()
			return
		default:
			if fault == linkDelayed {
				time.Sleep(linkDelay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			return
		}
	}
}

// TestLink shows what each fault of a link does to an exchange.
func TestLink(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	var got sync.Map // what the server received
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 16)
				n, _ := c.Read(b)
				got.Store(string(b[:n]), true)
				_, _ = c.Write(b[:n])
				_ = c.Close()
			}()
		}
	}()
	l := newLink(t, ln.Addr().String())
	defer l.close()
	for f, want := range map[linkFault]struct{ arrives, answered bool }{
		linkSound: {true, true}, linkDelayed: {true, true}, linkReset: {false, false}, linkOneWay: {true, false}, linkSilent: {false, false},
	} {
		l.set(f)
		text := string(rune('a' + f))
		c, err := net.Dial("tcp", l.address())
		assert.NilError(t, err)
		_, err = c.Write([]byte(text))
		assert.NilError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		b := make([]byte, 16)
		n, _ := c.Read(b)
		assert.Equal(t, string(b[:n]) == text, want.answered, "fault %d", f)
		_, arrived := got.Load(text)
		assert.Equal(t, arrived, want.arrives, "fault %d", f)
		_ = c.Close()
	}
}
