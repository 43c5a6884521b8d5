// Package peer carries calls between entry processes: protobuf messages over
// yamux streams over mutually authenticated TLS. There is one session for each
// pair of processes; it is opened by the first call and closed when it has
// been idle for a while.
//
// Node has one lock, which is held for table changes only and never during
// network calls.
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
)

// Limits and times of the transport.
const (
	dialTimeout = 2 * time.Second  // TCP, TLS and hello together
	callTimeout = 2 * time.Second  // of a call whose context has no deadline
	maxCallTime = 10 * time.Minute // of a forwarded request, the longest call
	// idleTime is when an unused session is closed. A process that joins calls
	// 16 others a second; with a minute it would hold 960 sessions of 38 KB.
	idleTime       = 20 * time.Second
	retireTime     = 2 * time.Second // between GoAway and the close of a session
	sweepInterval  = 5 * time.Second
	writeTimeout   = 2 * time.Second // of one frame on the connection
	firstBackoff   = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	maxHandshakes  = 64  // at once; a TLS handshake takes about 1 ms of processor time
	maxForwards    = 256 // forwarded requests that run here at once
	defaultWorkers = 16
)

var (
	// ErrBackoff reports that the last dial failed and the next one is not
	// due yet. Nothing was sent.
	ErrBackoff = errors.New("peer is in back-off after a failed dial")
	// ErrClosed reports that this Node was closed.
	ErrClosed = errors.New("peer node is closed")
)

// ReplacedError reports that another incarnation than the wanted one answered at
// an address. The wanted one was not reached.
type ReplacedError struct {
	Wanted string
	Found  string
}

// Error names both incarnations.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("incarnation %q was replaced by %q", e.Wanted, e.Found)
}

// Target says whom to call.
type Target struct {
	Name        string // name in the certificate
	Incarnation string // "" for whichever incarnation answers
	Address     string // IP:port
}

// Remote is the authenticated sender of an incoming call.
type Remote struct {
	Name        string
	Incarnation string
}

// Config holds the parts of a Node.
type Config struct {
	Name        string
	Incarnation string
	TLS         *tls.Config // made by TLSConfig
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Handlers    Handlers
	Workers     int        // goroutines that serve incoming calls; 0 for 16
	Rand        *rand.Rand // nil for a seed of the process
	Log         zerolog.Logger
}

// Transport is the transport of one entry process.
type Transport struct {
	cfg     Config
	counts  *counts
	jobs    chan job
	shakes  chan struct{}
	forward chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*session // by incarnation of the peer
	links    map[string]*link    // by address
	closed   bool
}

// New returns a Node. Start runs it.
func New(cfg Config) *Transport {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	n := &Transport{
		cfg: cfg, counts: newCounts(), jobs: make(chan job, 4*cfg.Workers),
		shakes: make(chan struct{}, maxHandshakes), forward: make(chan struct{}, maxForwards),
		sessions: map[string]*session{}, links: map[string]*link{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Start begins to serve incoming calls. A nil listener serves only calls on
// sessions that this Node dials.
func (n *Transport) Start(l net.Listener) {
	for range n.cfg.Workers {
		n.wg.Go(n.work)
	}
	n.wg.Go(n.sweep)
	if l != nil {
		n.wg.Go(func() { n.accept(l) })
		context.AfterFunc(n.ctx, func() { _ = l.Close() })
	}
}

// Close ends all sessions and waits for the workers.
func (n *Transport) Close() {
	n.mu.Lock()
	n.closed = true
	all := make([]*session, 0, len(n.sessions))
	for _, s := range n.sessions {
		all = append(all, s)
	}
	n.mu.Unlock()
	n.cancel()
	for _, s := range all {
		s.close()
	}
	n.wg.Wait()
}

// Sessions returns the number of open sessions.
func (n *Transport) Sessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// Metrics returns the counters of the Node.
func (n *Transport) Metrics() *metrics.Set { return n.counts.set }

func (n *Transport) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.cfg.Log.Warn().Err(err).Msg("accept failed")
			select {
			case <-time.After(firstBackoff):
				continue
			case <-n.ctx.Done():
				return
			}
		}
		select {
		case n.shakes <- struct{}{}:
		default: // over the bound: the peer backs off and dials again
			_ = c.Close()
			continue
		}
		n.wg.Go(func() {
			defer func() { <-n.shakes }()
			ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
			defer cancel()
			if _, err := n.open(ctx, c, ""); err != nil && n.ctx.Err() == nil {
				n.cfg.Log.Info().Err(err).Msg("incoming connection was refused")
			}
		})
	}
}

// sweep closes sessions that were idle for long.
func (n *Transport) sweep() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(sweepInterval):
		}
		now := time.Now()
		n.mu.Lock()
		var idle []*session
		for _, s := range n.sessions {
			// The dialler closes, so that both sides do not do it at once.
			if s.dialled && s.mux.NumStreams() == 0 && now.After(s.idleAt()) {
				idle = append(idle, s)
			}
		}
		for a, l := range n.links {
			if !l.busy() && now.After(l.next.Add(idleTime)) {
				delete(n.links, a)
			}
		}
		n.mu.Unlock()
		for _, s := range idle {
			n.retire(s, true)
		}
	}
}
