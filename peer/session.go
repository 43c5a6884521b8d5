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

	"github.com/cranberrybay/cranberrybay/socket"
	"github.com/cranberrybay/cranberrybay/wire"
)

// protocolVersion is the version of the message format.
const protocolVersion = 1

// session is a connection to one incarnation of a peer.
type session struct {
	remote   Remote
	outgoing bool // dialled by this process
	mux      *yamux.Session
	lastUsed atomic.Int64 // time of the last call in Unix nanoseconds
}

func (s *session) markUsed()               { s.lastUsed.Store(time.Now().UnixNano()) }
func (s *session) idleDeadline() time.Time { return time.Unix(0, s.lastUsed.Load()).Add(idleTime) }
func (s *session) close()                  { _ = s.mux.Close() }

// dialState holds the current dial to one address and the result of the last one.
type dialState struct {
	incarnation string        // target incarnation of the last dial, "" for any
	done        chan struct{} // closed when the current dial ends; nil when none is in progress
	session     *session      // from the last successful dial
	err         error         // of the last dial; nil when it succeeded
	notBefore   time.Time     // end of the back-off delay
	backoff     *backoff.ExponentialBackOff
}

func (d *dialState) inProgress() bool { return d.done != nil }

func newDialState() *dialState {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	b.Reset()
	return &dialState{backoff: b}
}

// sessionTo returns an open session to the target, and dials one when there is
// none.
func (tr *Transport) sessionTo(ctx context.Context, t Target) (*session, error) {
	tr.mu.Lock()
	if tr.closed {
		tr.mu.Unlock()
		return nil, ErrClosed
	}
	if s := tr.sessions[t.Incarnation]; t.Incarnation != "" && s != nil && !s.mux.IsClosed() {
		tr.mu.Unlock()
		return s, nil
	}
	d := tr.dials[t.Address]
	if d == nil {
		d = newDialState()
		tr.dials[t.Address] = d
	}
	if t.Incarnation == "" && d.session != nil && !d.session.mux.IsClosed() {
		tr.mu.Unlock()
		return d.session, nil
	}
	if !d.inProgress() {
		if t.Incarnation != d.incarnation {
			// The back-off applies to the incarnation that did not answer.
			// Calls to its successor at this address must not wait for it.
			d.incarnation, d.notBefore = t.Incarnation, time.Time{}
			d.backoff.Reset()
		}
		if time.Now().Before(d.notBefore) {
			err := d.err
			tr.mu.Unlock()
			return nil, fmt.Errorf("%w: %w", ErrBackoff, err)
		}
		d.done = make(chan struct{})
		tr.wg.Go(func() { tr.dial(d, t) })
	}
	done := d.done
	tr.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	if d.session == nil {
		return nil, ErrBackoff // another call has already unregistered the session
	}
	if t.Incarnation != "" && d.session.remote.Incarnation != t.Incarnation {
		return nil, &ReplacedError{Wanted: t.Incarnation, Found: d.session.remote.Incarnation}
	}
	return d.session, nil
}

// dial opens a session and records the result in d.
func (tr *Transport) dial(d *dialState, t Target) {
	ctx, cancel := context.WithTimeout(tr.ctx, dialTimeout)
	defer cancel()
	var s *session
	c, err := tr.cfg.Dial(ctx, t.Address)
	if err == nil {
		s, err = tr.openSession(ctx, c, t.Name)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	close(d.done)
	d.done, d.err = nil, err
	if err != nil {
		d.notBefore = time.Now().Add(d.backoff.NextBackOff())
		return
	}
	d.backoff.Reset()
	d.session, d.notBefore = s, time.Time{}
}

// openSession authenticates the peer on a connection and starts a session. The
// name is that of the process that was dialled, or empty for an incoming
// connection.
func (tr *Transport) openSession(ctx context.Context, c net.Conn, name string) (*session, error) {
	counted := &countingConn{Conn: c, counters: tr.counters}
	var tc *tls.Conn
	if name != "" {
		cfg := tr.cfg.TLS.Clone()
		cfg.ServerName = name
		tc = tls.Client(counted, cfg)
	} else {
		tc = tls.Server(counted, tr.cfg.TLS)
	}
	hello, err := tr.authenticate(ctx, tc, name != "")
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	if name == "" {
		_ = socket.SetReceive(c, sessionReceive) // without it the session is slower
	}
	mc := yamux.DefaultConfig()
	// Keep-alives are not needed: the membership pings the peers, and idle
	// sessions are closed.
	mc.EnableKeepAlive, mc.LogOutput = false, io.Discard
	mc.ConnectionWriteTimeout, mc.StreamOpenTimeout = writeTimeout, 0
	mc.StreamCloseTimeout = writeTimeout
	s := &session{remote: Remote{Name: hello.GetName(), Incarnation: hello.GetIncarnation()}, outgoing: name != ""}
	s.markUsed()
	if s.outgoing {
		s.mux, err = yamux.Client(tc, mc)
	} else {
		s.mux, err = yamux.Server(tc, mc)
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("start yamux: %w", err)
	}
	if err := tr.register(s); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// authenticate performs the TLS handshake and the exchange of hello messages. It
// returns the hello of the peer.
func (tr *Transport) authenticate(ctx context.Context, tc *tls.Conn, outgoing bool) (*wire.Hello, error) {
	if err := tc.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := tc.SetDeadline(deadline); err != nil {
			return nil, fmt.Errorf("set deadline: %w", err)
		}
	}
	hello, err := tr.exchangeHello(tc, outgoing)
	if err != nil {
		return nil, err
	}
	// The name in the hello message must match the certificate, which is what
	// authenticates the peer.
	cert := tc.ConnectionState().PeerCertificates[0]
	if !slices.Contains(cert.DNSNames, hello.GetName()) {
		return nil, fmt.Errorf("peer states the name %q, its certificate holds %q", hello.GetName(), cert.DNSNames)
	}
	if hello.GetIncarnation() == "" || hello.GetIncarnation() == tr.cfg.Incarnation {
		return nil, errors.New("peer states no incarnation, or that of this process")
	}
	return hello, tc.SetDeadline(time.Time{})
}

// exchangeHello sends the hello of this process and returns that of the peer. The
// side that dialled sends first: on an unbuffered connection two writers would
// block each other.
func (tr *Transport) exchangeHello(tc *tls.Conn, outgoing bool) (*wire.Hello, error) {
	local := &wire.Hello{Protocol: protocolVersion, Name: tr.cfg.Name, Incarnation: tr.cfg.Incarnation}
	if outgoing {
		if err := writeFrame(tc, kindHello, 0, local); err != nil {
			return nil, fmt.Errorf("send hello: %w", err)
		}
	}
	h, payload, err := readFrame(tc)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	hello := &wire.Hello{}
	if h.kind != kindHello || decode(payload, hello) != nil || hello.GetProtocol() != protocolVersion {
		return nil, errors.New("peer uses another protocol version or sent no valid hello")
	}
	if !outgoing {
		if err := writeFrame(tc, kindHello, 0, local); err != nil {
			return nil, fmt.Errorf("send hello: %w", err)
		}
	}
	return hello, nil
}

// register adds a session. When there is already a session to the incarnation,
// one of the two is drained. If different sides dialled them, the one dialled by
// the process with the lower name is kept, so that both sides keep the same one.
// If the same side dialled both, the newer one is kept.
func (tr *Transport) register(s *session) error {
	tr.mu.Lock()
	if tr.closed {
		tr.mu.Unlock()
		return ErrClosed
	}
	old := tr.sessions[s.remote.Incarnation]
	redundant := s
	if old == nil || old.mux.IsClosed() || old.outgoing == s.outgoing || s.outgoing == (tr.cfg.Name < s.remote.Name) {
		tr.sessions[s.remote.Incarnation] = s
		redundant = old
	}
	tr.wg.Go(func() { tr.acceptStreams(s) })
	tr.mu.Unlock()
	if redundant != nil {
		tr.drain(redundant, false)
	}
	return nil
}

// drain removes a session from use and closes it when its streams have ended, at
// the latest after maxCallTime. With sendGoAway it tells the peer to open no more
// streams on it. register does without the message: both sides drain the same one
// of two sessions, and the message would reset the call for which the peer
// dialled.
func (tr *Transport) drain(s *session, sendGoAway bool) {
	tr.mu.Lock()
	if tr.sessions[s.remote.Incarnation] == s {
		delete(tr.sessions, s.remote.Incarnation)
	}
	closed := tr.closed
	if !closed {
		tr.wg.Go(func() {
			defer s.close()
			deadline := time.Now().Add(maxCallTime)
			for time.Now().Before(deadline) {
				select {
				case <-time.After(drainInterval):
				case <-s.mux.CloseChan():
					return
				case <-tr.ctx.Done():
					return
				}
				if s.mux.NumStreams() == 0 {
					return
				}
			}
		})
	}
	tr.mu.Unlock()
	if closed {
		s.close()
		return
	}
	if sendGoAway {
		_ = s.mux.GoAway()
	}
}

// unregister removes a session from use. It does not close the session, which
// the peer closes.
func (tr *Transport) unregister(s *session) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.sessions[s.remote.Incarnation] == s {
		delete(tr.sessions, s.remote.Incarnation)
	}
	for _, d := range tr.dials {
		if d.session == s {
			d.session = nil
		}
	}
}

// acceptStreams queues incoming streams for the workers until the session ends.
func (tr *Transport) acceptStreams(s *session) {
	for {
		st, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		s.markUsed()
		select {
		case tr.incoming <- incomingStream{stream: st, session: s}:
		default: // all workers are busy and the queue is full
			tr.rejectStream(st)
		}
	}
	s.close()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.sessions[s.remote.Incarnation] == s {
		delete(tr.sessions, s.remote.Incarnation)
	}
}
