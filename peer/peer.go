// Package peer implements remote calls between entry processes. Messages are
// encoded with protobuf and sent over yamux streams on a TLS connection on
// which both sides authenticate. Each pair of processes shares one session. The
// first call opens it, and it is closed after idleTime without calls.
//
// Transport.mu guards the maps of sessions and dials. It is never held during
// network I/O.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/socket"
)

// Limits and timeouts of the transport.
const (
	dialTimeout = 2 * time.Second  // TCP connect, TLS handshake and hello exchange together
	callTimeout = 2 * time.Second  // default for a call whose context has no deadline
	maxCallTime = 10 * time.Minute // upper bound for the deadline of an incoming call; forwarded requests take longest
	// idleTime is how long a session stays open without calls. A process that
	// joins calls 16 others a second, so with one minute it would hold 960
	// sessions of 38 KB each.
	idleTime      = 20 * time.Second
	drainInterval = 2 * time.Second // between GoAway and the first check for open streams, and between checks
	sweepInterval = 5 * time.Second
	writeTimeout  = 2 * time.Second // for one write on the connection and for the close of a stream
	firstBackoff  = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
	maxHandshakes = 64 // concurrent; a TLS handshake takes about 1 ms of CPU time
	// handshakeReceive and sessionReceive are the receive buffers of an incoming connection before and after its peer
	// is authenticated, in bytes.
	handshakeReceive, sessionReceive = 16 << 10, 256 << 10
	maxForwards                      = 256 // forwarded requests handled concurrently
	defaultWorkers                   = 16
)

var (
	// ErrBackoff reports that the last dial failed and the back-off delay has
	// not passed yet, or that the dialled session went out of use before the
	// call got it. Nothing was sent.
	ErrBackoff = errors.New("peer is in back-off after a failed dial")
	// ErrClosed reports that the Transport is closed.
	ErrClosed = errors.New("peer transport is closed")
)

// ReplacedError reports that the process at an address is another incarnation
// than the target. The target did not receive the call.
type ReplacedError struct {
	Wanted string
	Found  string
}

// Error returns a message with both incarnations.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("incarnation %q was replaced by %q", e.Wanted, e.Found)
}

// Target identifies the process to call.
type Target struct {
	Name        string // DNS name in the certificate of the process
	Incarnation string // "" for any incarnation
	Address     string // IP:port
}

// Remote identifies the authenticated process at the other end of a session.
type Remote struct {
	Name        string // one of the DNS names in its certificate
	Incarnation string // as stated in its hello message
}

// Config configures a Transport.
type Config struct {
	Name        string
	Incarnation string
	TLS         *tls.Config // as returned by TLSConfig
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Handlers    Handlers
	Workers     int        // goroutines that handle incoming calls; 0 means 16
	Rand        *rand.Rand // unused
	Log         zerolog.Logger
}

// Transport makes calls to other entry processes and handles the calls that
// they make to this one.
type Transport struct {
	cfg        Config
	counters   *counters
	incoming   chan incomingStream // streams that wait for a worker
	handshakes chan struct{}       // semaphore for incoming handshakes
	forwards   chan struct{}       // semaphore for forwarded requests
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*session   // by incarnation of the peer
	dials    map[string]*dialState // by address
	closed   bool
}

// New returns a Transport. It handles no incoming calls until Start is called.
func New(cfg Config) *Transport {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, Control: socket.Receive(sessionReceive)}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	tr := &Transport{
		cfg: cfg, counters: newCounters(), incoming: make(chan incomingStream, 4*cfg.Workers),
		handshakes: make(chan struct{}, maxHandshakes), forwards: make(chan struct{}, maxForwards),
		sessions: map[string]*session{}, dials: map[string]*dialState{},
	}
	tr.ctx, tr.cancel = context.WithCancel(context.Background())
	return tr
}

// Listen listens for peers on an IP:port. The kernel holds little for a connection before its peer is authenticated.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return socket.Listen(ctx, "tcp", address, socket.Config{Receive: handshakeReceive, Queue: maxHandshakes})
}

// Start starts the workers and accepts connections on the listener. With a nil
// listener it handles only the calls that peers make on sessions dialled by
// this process.
func (tr *Transport) Start(l net.Listener) {
	for range tr.cfg.Workers {
		tr.wg.Go(tr.runWorker)
	}
	tr.wg.Go(tr.closeIdleSessions)
	if l != nil {
		tr.wg.Go(func() { tr.acceptConnections(l) })
		context.AfterFunc(tr.ctx, func() { _ = l.Close() })
	}
}

// Close closes all sessions and waits until all goroutines of the Transport have
// ended.
func (tr *Transport) Close() {
	tr.mu.Lock()
	tr.closed = true
	all := make([]*session, 0, len(tr.sessions))
	for _, s := range tr.sessions {
		all = append(all, s)
	}
	tr.mu.Unlock()
	tr.cancel()
	for _, s := range all {
		s.close()
	}
	tr.wg.Wait()
}

// Sessions returns the number of open sessions.
func (tr *Transport) Sessions() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.sessions)
}

// Metrics returns the counters of messages and bytes.
func (tr *Transport) Metrics() *metrics.Set { return tr.counters.set }

func (tr *Transport) acceptConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if tr.ctx.Err() != nil {
				return
			}
			tr.cfg.Log.Warn().Err(err).Msg("accept failed")
			select {
			case <-time.After(firstBackoff):
				continue
			case <-tr.ctx.Done():
				return
			}
		}
		select {
		case tr.handshakes <- struct{}{}:
		default: // over maxHandshakes; the peer backs off and dials again
			_ = c.Close()
			continue
		}
		tr.wg.Go(func() {
			defer func() { <-tr.handshakes }()
			ctx, cancel := context.WithTimeout(tr.ctx, dialTimeout)
			defer cancel()
			if _, err := tr.openSession(ctx, c, ""); err != nil && tr.ctx.Err() == nil {
				tr.cfg.Log.Info().Err(err).Msg("incoming connection was rejected")
			}
		})
	}
}

// closeIdleSessions closes sessions that had no calls for idleTime, and deletes
// the dial state of addresses that are no longer dialled.
func (tr *Transport) closeIdleSessions() {
	for {
		select {
		case <-tr.ctx.Done():
			return
		case <-time.After(sweepInterval):
		}
		now := time.Now()
		tr.mu.Lock()
		var idle []*session
		for _, s := range tr.sessions {
			// Only the side that dialled closes an idle session, so that the
			// two sides do not both close it.
			if s.outgoing && s.mux.NumStreams() == 0 && now.After(s.idleDeadline()) {
				idle = append(idle, s)
			}
		}
		for address, d := range tr.dials {
			if !d.inProgress() && now.After(d.notBefore.Add(idleTime)) {
				delete(tr.dials, address)
			}
		}
		tr.mu.Unlock()
		for _, s := range idle {
			tr.drain(s, true)
		}
	}
}
