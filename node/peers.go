package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/table"
)

// PeerSettings say how to reach other entry processes. Without Listen the
// process has no peers.
type PeerSettings struct {
	Listen      string            `toml:"listen"`      // IP:port
	Authority   string            `toml:"authority"`   // certificate of the authority, PEM
	Certificate string            `toml:"certificate"` // certificate that holds the name of this process, PEM
	Key         string            `toml:"key"`         // PEM
	Seeds       map[string]string `toml:"seeds"`       // name to IP:port, used when the table service is down at start
}

// peers joins the transport and the membership of this process.
type peers struct {
	node       *peer.Node // nil without peers
	members    *member.Membership
	config     *follower
	listen     string
	log        zerolog.Logger
	serving    atomic.Pointer[peerHandlers]
	superseded atomic.Bool
	sending    chan struct{} // one entry for each message of the limits under way
}

// writeMetrics returns a function that writes a set, and that of the transport
// when there are peers.
func (p *peers) writeMetrics(m *metrics.Set) func(io.Writer) {
	return func(w io.Writer) {
		m.WritePrometheus(w)
		if p.node != nil {
			p.node.Metrics().WritePrometheus(w)
		}
	}
}

// peerHandlers are the calls of other entry processes that other parts serve.
// A field that is nil is answered as not run.
type peerHandlers struct {
	Claim   func(ctx context.Context, from peer.Remote, id string) (claim.RunStatus, error)
	Forward func(ctx context.Context, from peer.Remote, w peer.Work) (peer.Answer, error)
	Report  func(ctx context.Context, from peer.Remote, r limit.Report) error
	Share   func(ctx context.Context, from peer.Remote, s limit.Share) error
}

type peerParts struct {
	fx.In
	Settings    Settings
	Incarnation incarnation
	Rows        *table.Client
	Follower    *follower
	Pulse       *member.PauseDetector
	Log         *logs.Factory
}

func target(m member.Member) peer.Target {
	return peer.Target{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress}
}

func newPeers(p peerParts) (*peers, error) {
	s := p.Settings
	out := &peers{listen: s.Peer.Listen, log: p.Log.Logger("peer"), sending: make(chan struct{}, maxSending)}
	out.serve(peerHandlers{})
	out.config = p.Follower
	cfg := member.Config{
		Self: member.Member{
			Name: s.Name, Incarnation: string(p.Incarnation), Domain: s.Domain, Region: s.Region,
			CallerAddress: s.Listen.Callers, PeerAddress: s.Peer.Listen,
		},
		Table: p.Rows, Seeds: s.Peer.Seeds, PauseDetector: p.Pulse, Log: p.Log.Logger("member"),
		Ping: out.ping, SendEvents: out.news, Version: out.config.version,
		OnHealth: out.config.pinged,
	}
	out.members = member.New(cfg)
	out.config.members = out.members
	if s.Peer.Listen == "" {
		return out, nil
	}
	tc, err := peer.TLSConfig([]byte(s.Peer.Authority), []byte(s.Peer.Certificate), []byte(s.Peer.Key))
	if err != nil {
		return nil, fmt.Errorf("settings of peers: %w", err)
	}
	out.node = peer.New(peer.Config{
		Name: s.Name, Incarnation: string(p.Incarnation), TLS: tc, Log: out.log,
		Handlers: peer.Handlers{
			Ping: func(_ context.Context, from peer.Remote, h member.Health) (member.Health, error) {
				return out.members.HandlePing(from.Name, from.Incarnation, h), nil
			},
			News: func(ctx context.Context, from peer.Remote, n member.EventMessage) (member.EventReply, error) {
				return out.members.HandleEvents(ctx, from.Name, from.Incarnation, n), nil
			},
			Announce: out.config.announced, Records: out.config.records,
			Claim: func(ctx context.Context, from peer.Remote, id string) (claim.RunStatus, error) {
				return served(ctx, from, id, out.serving.Load().Claim)
			},
			Forward: func(ctx context.Context, from peer.Remote, w peer.Work) (peer.Answer, error) {
				return served(ctx, from, w, out.serving.Load().Forward)
			},
			Report: func(ctx context.Context, from peer.Remote, r limit.Report) error {
				return taken(ctx, from, r, out.serving.Load().Report)
			},
			Share: func(ctx context.Context, from peer.Remote, s limit.Share) error {
				return taken(ctx, from, s, out.serving.Load().Share)
			},
		},
	})
	out.config.peers = out.node
	return out, nil
}

// serve connects the parts that answer calls of peers. It may be called after
// newPeers, since these parts call peers themselves.
func (p *peers) serve(h peerHandlers) { p.serving.Store(&h) }

// served calls a handler, or answers that there is none.
func served[Q, A any](ctx context.Context, from peer.Remote, q Q, handle func(context.Context, peer.Remote, Q) (A, error)) (A, error) {
	if handle == nil {
		var none A
		return none, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "entry process does not serve this call"})
	}
	return handle(ctx, from, q)
}

// taken is served for a call without an answer.
func taken[Q any](ctx context.Context, from peer.Remote, q Q, handle func(context.Context, peer.Remote, Q) error) error {
	var with func(context.Context, peer.Remote, Q) (struct{}, error)
	if handle != nil {
		with = func(ctx context.Context, from peer.Remote, q Q) (struct{}, error) {
			return struct{}{}, handle(ctx, from, q)
		}
	}
	_, err := served(ctx, from, q, with)
	return err
}

var errNoPeers = errors.New("this process has no peers")

func (p *peers) ping(ctx context.Context, to member.Member, h member.Health) (member.Health, error) {
	if p.node == nil {
		return member.Health{}, errNoPeers
	}
	out, err := p.node.Ping(ctx, target(to), h)
	return out, goneError(err)
}

func (p *peers) news(ctx context.Context, to member.Member, n member.EventMessage) (member.EventReply, error) {
	if p.node == nil {
		return member.EventReply{}, errNoPeers
	}
	out, err := p.node.News(ctx, target(to), n)
	return out, goneError(err)
}

// goneError translates the transport's proof that an incarnation is dead.
func goneError(err error) error {
	var gone *peer.GoneError
	if errors.As(err, &gone) {
		return fmt.Errorf("%w: %w", member.ErrReplaced, err)
	}
	return err
}

// leaveTimeout bounds the time in which the other processes learn that this
// one leaves.
const leaveTimeout = 3 * time.Second

// leave takes this process off the address lists.
func (p *peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.members.Leave(ctx)
}

// startPeers opens the listener for peers before it joins the membership, so
// that the others reach this process as soon as they know it.
func startPeers(lc fx.Lifecycle, p *peers) {
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			if p.node != nil {
				var c net.ListenConfig
				l, err := c.Listen(start, "tcp", p.listen)
				if err != nil {
					return fmt.Errorf("listen for peers on %s: %w", p.listen, err)
				}
				p.node.Start(l)
			}
			p.members.Start(start)
			return nil
		},
		OnStop: func(stop context.Context) error {
			bounded, done := context.WithTimeout(stop, leaveTimeout)
			defer done()
			p.members.Stop(bounded)
			if p.node != nil {
				p.node.Close()
			}
			return nil
		},
	})
}

// guard stops serving when a newer incarnation has taken this process's name.
func (p *peers) guard(e *entry.Handler) {
	if p.members.Superseded() && !p.superseded.Swap(true) {
		p.log.Error().Msg("another incarnation has this name, this process serves no more")
		e.Drain()
	}
}

// addresses answers GET /addresses.
func (p *peers) addresses(caller, domain string) entry.Addresses {
	l := p.members.Addresses(caller, domain)
	return entry.Addresses{Addresses: l.Addresses, Until: l.Expires.UTC()}
}
