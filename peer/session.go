package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"

	"github.com/cranberrybay/cranberrybay/wire"
)

// protocol is the number of the message format.
const protocol = 1

// session is a connection to one incarnation of a peer.
type session struct {
	remote  Remote
	dialled bool // by this process
	mux     *yamux.Session
	used    atomic.Int64 // time of the last call in nanoseconds, for idleAt
}

func (s *session) touch()            { s.used.Store(time.Now().UnixNano()) }
func (s *session) idleAt() time.Time { return time.Unix(0, s.used.Load()).Add(idleTime) }
func (s *session) close()            { _ = s.mux.Close() }

// link is the state of dialling one address.
type link struct {
	wanted   string        // incarnation of the last dial
	dialling chan struct{} // closed when the dial ends; nil when none runs
	last     *session      // result of the last dial that worked
	err      error         // result of the last dial
	next     time.Time     // no dial before this time
	wait     *backoff.ExponentialBackOff
}

func (l *link) busy() bool { return l.dialling != nil }

func newLink() *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	b.Reset()
	return &link{wait: b}
}

// session returns an open session to the target, and dials when there is none.
func (n *Transport) session(ctx context.Context, t Target) (*session, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	if s := n.sessions[t.Incarnation]; t.Incarnation != "" && s != nil && !s.mux.IsClosed() {
		n.mu.Unlock()
		return s, nil
	}
	l := n.links[t.Address]
	if l == nil {
		l = newLink()
		n.links[t.Address] = l
	}
	if t.Incarnation == "" && l.last != nil && !l.last.mux.IsClosed() {
		n.mu.Unlock()
		return l.last, nil
	}
	if !l.busy() {
		if t.Incarnation != l.wanted {
			// The back-off is for the incarnation that did not answer. News
			// for its successor at this address must not wait for it.
			l.wanted, l.next = t.Incarnation, time.Time{}
			l.wait.Reset()
		}
		if time.Now().Before(l.next) {
			err := l.err
			n.mu.Unlock()
			return nil, fmt.Errorf("%w: %w", ErrBackoff, err)
		}
		l.dialling = make(chan struct{})
		n.wg.Go(func() { n.dial(l, t) })
	}
	wait := l.dialling
	n.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	if l.last == nil {
		return nil, ErrBackoff // another call forgot the session already
	}
	if t.Incarnation != "" && l.last.remote.Incarnation != t.Incarnation {
		return nil, &ReplacedError{Wanted: t.Incarnation, Found: l.last.remote.Incarnation}
	}
	return l.last, nil
}

// dial opens a session and records the result in the link.
func (n *Transport) dial(l *link, t Target) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	var s *session
	c, err := n.cfg.Dial(ctx, t.Address)
	if err == nil {
		s, err = n.open(ctx, c, t.Name)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(l.dialling)
	l.dialling, l.err = nil, err
	if err != nil {
		l.next = time.Now().Add(l.wait.NextBackOff())
		return
	}
	l.wait.Reset()
	l.last, l.next = s, time.Time{}
}

// open authenticates both sides of a connection and starts a session on it.
// An empty name marks an incoming connection.
func (n *Transport) open(ctx context.Context, c net.Conn, name string) (*session, error) {
	counted := &countedConn{Conn: c, counts: n.counts}
	var tc *tls.Conn
	if name != "" {
		cfg := n.cfg.TLS.Clone()
		cfg.ServerName = name
		tc = tls.Client(counted, cfg)
	} else {
		tc = tls.Server(counted, n.cfg.TLS)
	}
	hello, err := n.greet(ctx, tc, name != "")
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	mc := yamux.DefaultConfig()
	// Pings of the membership take the place of keep-alives, and idle
	// sessions are closed.
	mc.EnableKeepAlive, mc.LogOutput = false, io.Discard
	mc.ConnectionWriteTimeout, mc.StreamOpenTimeout = writeTimeout, 0
	mc.StreamCloseTimeout = writeTimeout
	s := &session{remote: Remote{Name: hello.GetName(), Incarnation: hello.GetIncarnation()}, dialled: name != ""}
	s.touch()
	if s.dialled {
		s.mux, err = yamux.Client(tc, mc)
	} else {
		s.mux, err = yamux.Server(tc, mc)
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("start yamux: %w", err)
	}
	if err := n.add(s); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// greet does the TLS handshake and exchanges hello messages.
func (n *Transport) greet(ctx context.Context, tc *tls.Conn, dialled bool) (*wire.Hello, error) {
	if err := tc.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	if d, ok := ctx.Deadline(); ok {
		if err := tc.SetDeadline(d); err != nil {
			return nil, fmt.Errorf("set deadline: %w", err)
		}
	}
	hello, err := n.swapHello(tc, dialled)
	if err != nil {
		return nil, err
	}
	// The certificate, not the message, says who the peer is.
	cert := tc.ConnectionState().PeerCertificates[0]
	if !slices.Contains(cert.DNSNames, hello.GetName()) {
		return nil, fmt.Errorf("peer calls itself %q, its certificate names %q", hello.GetName(), cert.DNSNames)
	}
	if hello.GetIncarnation() == "" || hello.GetIncarnation() == n.cfg.Incarnation {
		return nil, errors.New("peer has no incarnation of its own")
	}
	return hello, tc.SetDeadline(time.Time{})
}

// swapHello sends and reads a hello. The dialler sends first, since a
// connection without a buffer would block two senders.
func (n *Transport) swapHello(tc *tls.Conn, dialled bool) (*wire.Hello, error) {
	mine := &wire.Hello{Protocol: protocol, Name: n.cfg.Name, Incarnation: n.cfg.Incarnation}
	if dialled {
		if err := writeFrame(tc, kindHello, 0, mine); err != nil {
			return nil, fmt.Errorf("send hello: %w", err)
		}
	}
	h, payload, err := readFrame(tc)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	hello := &wire.Hello{}
	if h.kind != kindHello || decode(payload, hello) != nil || hello.GetProtocol() != protocol {
		return nil, errors.New("peer speaks another protocol")
	}
	if !dialled {
		if err := writeFrame(tc, kindHello, 0, mine); err != nil {
			return nil, fmt.Errorf("send hello: %w", err)
		}
	}
	return hello, nil
}

// add registers a session. Of two sessions to the same incarnation the one
// dialled by the process with the lower name stays, so that both sides keep
// the same one; of two that the same side dialled, the newer one stays.
func (n *Transport) add(s *session) error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return ErrClosed
	}
	old := n.sessions[s.remote.Incarnation]
	lose := s
	if old == nil || old.mux.IsClosed() || old.dialled == s.dialled || s.dialled == (n.cfg.Name < s.remote.Name) {
		n.sessions[s.remote.Incarnation] = s
		lose = old
	}
	n.wg.Go(func() { n.serve(s) })
	n.mu.Unlock()
	if lose != nil {
		n.retire(lose, false)
	}
	return nil
}

// retire closes the session when its streams have ended. With away it tells
// the peer to open no more of them. Of two sessions of a pair both sides
// choose the same one to retire, so that it needs no such message, and a
// message would reset the call for which the peer dialled.
func (n *Transport) retire(s *session, away bool) {
	n.mu.Lock()
	if n.sessions[s.remote.Incarnation] == s {
		delete(n.sessions, s.remote.Incarnation)
	}
	closed := n.closed
	if !closed {
		n.wg.Go(func() {
			defer s.close()
			deadline := time.Now().Add(maxCallTime)
			for time.Now().Before(deadline) {
				select {
				case <-time.After(retireTime):
				case <-s.mux.CloseChan():
					return
				case <-n.ctx.Done():
					return
				}
				if s.mux.NumStreams() == 0 {
					return
				}
			}
		})
	}
	n.mu.Unlock()
	if closed {
		s.close()
		return
	}
	if away {
		_ = s.mux.GoAway()
	}
}

// forget keeps a session from being used for further calls. It is closed by
// the peer, or when it is idle.
func (n *Transport) forget(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.remote.Incarnation] == s {
		delete(n.sessions, s.remote.Incarnation)
	}
	for _, l := range n.links {
		if l.last == s {
			l.last = nil
		}
	}
}

// serve takes incoming streams until the session ends.
func (n *Transport) serve(s *session) {
	for {
		st, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		s.touch()
		select {
		case n.jobs <- job{stream: st, session: s}:
		default: // all workers are busy and the queue is full
			n.refuse(st)
		}
	}
	s.close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[s.remote.Incarnation] == s {
		delete(n.sessions, s.remote.Incarnation)
	}
}
