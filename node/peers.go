package node

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/table"
)

// PeerSettings configure the connections between entry processes. With an empty
// Listen the process has no peers.
type PeerSettings struct {
	Listen      string            `toml:"listen"`      // IP:port
	Authority   string            `toml:"authority"`   // certificate of the certificate authority, PEM
	Certificate string            `toml:"certificate"` // certificate issued to the name of this process, PEM
	Key         string            `toml:"key"`         // private key of the certificate, PEM
	Seeds       map[string]string `toml:"seeds"`       // IP:port by process name, used when the table service is down at start
}

// peers connects this process with the other entry processes: it combines the
// transport, the membership and the exchange of configuration versions.
type peers struct {
	transport  *peer.Transport // nil without peers
	members    *member.Membership
	configSync *configSync
	listen     string
	log        zerolog.Logger
	handlers   atomic.Pointer[peerHandlers]
	superseded atomic.Bool
	limitSends chan struct{} // semaphore, one slot for each limit message being sent
}

// writeMetrics returns a function that writes a metrics set, followed by the set
// of the transport when there are peers.
func (p *peers) writeMetrics(m *metrics.Set) func(io.Writer) {
	return func(w io.Writer) {
		m.WritePrometheus(w)
		if p.transport != nil {
			p.transport.Metrics().WritePrometheus(w)
		}
	}
}

// peerHandlers holds the handlers of calls that peers make to parts of this
// process. A call whose handler is nil is answered as not run.
type peerHandlers struct {
	Claim   func(ctx context.Context, from peer.Remote, id string) (claim.RunStatus, error)
	Forward func(ctx context.Context, from peer.Remote, w peer.ForwardRequest) (peer.ForwardResponse, error)
	Report  func(ctx context.Context, from peer.Remote, r limit.Report) error
	Share   func(ctx context.Context, from peer.Remote, s limit.Share) error
	// Suspects returns the evidence of this process.
	Suspects func(ctx context.Context, from peer.Remote, m peer.SuspectMessage) ([]poison.Record, error)
}

type peersParams struct {
	fx.In
	Settings    Settings
	Incarnation incarnation
	Table       *table.Client
	ConfigSync  *configSync
	Pauses      *member.PauseDetector
	Log         *logs.Factory
}

// target returns the address of a member for calls over the transport.
func target(m member.Member) peer.Target {
	return peer.Target{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress}
}

// newPeers returns the peers of the process. Without a listen address it has a
// membership but no transport.
func newPeers(p peersParams) (*peers, error) {
	s := p.Settings
	out := &peers{listen: s.Peer.Listen, log: p.Log.ClientLogger("peer"), limitSends: make(chan struct{}, maxLimitSends)}
	out.setHandlers(peerHandlers{})
	out.configSync = p.ConfigSync
	cfg := member.Config{
		Self: member.Member{
			Name: s.Name, Incarnation: string(p.Incarnation), Domain: s.Domain, Region: s.Region,
			CallerAddress: s.Listen.Callers, PeerAddress: s.Peer.Listen,
		},
		Table: p.Table, Seeds: s.Peer.Seeds, PauseDetector: p.Pauses, Log: p.Log.Logger("member"),
		Ping: out.sendPing, SendEvents: out.sendEvents, Version: out.configSync.effectiveVersion,
		OnPingPayload: out.configSync.handlePingPayload,
	}
	out.members = member.New(cfg)
	out.configSync.members = out.members
	if s.Peer.Listen == "" {
		return out, nil
	}
	tc, err := peer.TLSConfig([]byte(s.Peer.Authority), []byte(s.Peer.Certificate), []byte(s.Peer.Key))
	if err != nil {
		return nil, fmt.Errorf("settings of peers: %w", err)
	}
	out.transport = peer.New(peer.Config{
		Name: s.Name, Incarnation: string(p.Incarnation), TLS: tc, Log: out.log,
		Handlers: peer.Handlers{
			Ping: func(_ context.Context, from peer.Remote, h member.PingPayload) (member.PingPayload, error) {
				return out.members.HandlePing(from.Name, from.Incarnation, h), nil
			},
			Events: func(ctx context.Context, from peer.Remote, n member.EventMessage) (member.EventReply, error) {
				return out.members.HandleEvents(ctx, from.Name, from.Incarnation, n), nil
			},
			Announce: out.configSync.handleAnnouncement, Records: out.configSync.handleRecords,
			ClaimStatus: func(ctx context.Context, from peer.Remote, id string) (claim.RunStatus, error) {
				return dispatch(ctx, from, id, out.handlers.Load().Claim)
			},
			Forward: func(ctx context.Context, from peer.Remote, w peer.ForwardRequest) (peer.ForwardResponse, error) {
				return dispatch(ctx, from, w, out.handlers.Load().Forward)
			},
			Report: func(ctx context.Context, from peer.Remote, r limit.Report) error {
				return dispatchNoReply(ctx, from, r, out.handlers.Load().Report)
			},
			Share: func(ctx context.Context, from peer.Remote, s limit.Share) error {
				return dispatchNoReply(ctx, from, s, out.handlers.Load().Share)
			},
			Suspects: func(ctx context.Context, from peer.Remote, m peer.SuspectMessage) ([]poison.Record, error) {
				return dispatch(ctx, from, m, out.handlers.Load().Suspects)
			},
		},
	})
	out.configSync.transport = out.transport
	return out, nil
}

// setHandlers sets the handlers of calls from peers. It is separate from newPeers
// because the parts that serve these calls depend on peers themselves.
func (p *peers) setHandlers(h peerHandlers) { p.handlers.Store(&h) }

// dispatch calls a handler, or returns a not-run error when it is nil.
func dispatch[Q, A any](ctx context.Context, from peer.Remote, request Q, handle func(context.Context, peer.Remote, Q) (A, error)) (A, error) {
	if handle == nil {
		var zero A
		return zero, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: "entry process does not serve this call"})
	}
	return handle(ctx, from, request)
}

// dispatchNoReply is dispatch for a handler that returns only an error.
func dispatchNoReply[Q any](ctx context.Context, from peer.Remote, request Q, handle func(context.Context, peer.Remote, Q) error) error {
	var withReply func(context.Context, peer.Remote, Q) (struct{}, error)
	if handle != nil {
		withReply = func(ctx context.Context, from peer.Remote, request Q) (struct{}, error) {
			return struct{}{}, handle(ctx, from, request)
		}
	}
	_, err := dispatch(ctx, from, request, withReply)
	return err
}

var errNoPeers = errors.New("this process has no peers")

func (p *peers) sendPing(ctx context.Context, to member.Member, h member.PingPayload) (member.PingPayload, error) {
	if p.transport == nil {
		return member.PingPayload{}, errNoPeers
	}
	out, err := p.transport.Ping(ctx, target(to), h)
	return out, asReplaced(err)
}

func (p *peers) sendEvents(ctx context.Context, to member.Member, message member.EventMessage) (member.EventReply, error) {
	if p.transport == nil {
		return member.EventReply{}, errNoPeers
	}
	out, err := p.transport.SendEvents(ctx, target(to), message)
	return out, asReplaced(err)
}

// asReplaced adds member.ErrReplaced to a transport error that proves that the
// called incarnation no longer runs.
func asReplaced(err error) error {
	var gone *peer.ReplacedError
	if errors.As(err, &gone) {
		return fmt.Errorf("%w: %w", member.ErrReplaced, err)
	}
	return err
}

// leaveTimeout bounds how long this process spends on telling the others that it
// leaves.
const leaveTimeout = 3 * time.Second

// leaveMembership removes this process from the address lists that callers get.
func (p *peers) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.members.Leave(ctx)
}

// startPeers opens the listener for peers before the process joins the
// membership, so that the others can reach it as soon as they learn of it.
func startPeers(lc fx.Lifecycle, p *peers) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if p.transport != nil {
				l, err := peer.Listen(ctx, p.listen)
				if err != nil {
					return fmt.Errorf("listen for peers on %s: %w", p.listen, err)
				}
				p.transport.Start(l)
			}
			p.members.Start(ctx)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			p.members.Stop(bounded)
			if p.transport != nil {
				p.transport.Close()
			}
			return nil
		},
	})
}

// drainIfSuperseded drains the process once a newer incarnation uses its name.
func (p *peers) drainIfSuperseded(e *entry.Handler) {
	if p.members.Superseded() && !p.superseded.Swap(true) {
		p.log.Error().Msg("another incarnation uses the name of this process, draining")
		e.Drain()
	}
}

// addresses returns the reply to GET /addresses.
func (p *peers) addresses(caller, domain string) entry.Addresses {
	l := p.members.Addresses(caller, domain)
	return entry.Addresses{Addresses: l.Addresses, Until: l.Expires.UTC()}
}
