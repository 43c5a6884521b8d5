package peer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
)

// latency is the one-way latency between failure domains.
const latency = 500 * time.Microsecond

// cluster is a set of processes with transport and membership over net.Pipe.
type cluster struct {
	t     testing.TB
	net   *fakes.Network
	table *fakes.Table
	mu    sync.Mutex
	procs map[string]*proc
	cuts  map[[2]string]bool
	next  int
}

type proc struct {
	self    member.Member
	node    *peer.Transport
	table   *member.Membership
	mu      sync.Mutex
	resumed chan struct{}
	version uint64
	at      time.Time // when version was announced
}

func newCluster(t testing.TB, data time.Duration) *cluster {
	return &cluster{t: t, net: fakes.NewNetwork(data, data), table: fakes.NewTable(), procs: map[string]*proc{}, cuts: map[[2]string]bool{}}
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func to(m member.Member) peer.Target {
	return peer.Target{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress}
}

func (p *proc) gate() {
	for {
		p.mu.Lock()
		c := p.resumed
		p.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

func (p *proc) pause(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.resumed == nil:
		p.resumed = make(chan struct{})
	case !on && p.resumed != nil:
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// start runs a new incarnation of process i at its address.
func (c *cluster) start(i int) *proc {
	host := name(i)
	cert, key, err := authority.Issue(host)
	assert.NilError(c.t, err)
	tc, err := peer.TLSConfig(authority.PEM(), cert, key)
	assert.NilError(c.t, err)
	c.mu.Lock()
	c.next++
	p := &proc{self: member.Member{
		Name: host, Incarnation: fmt.Sprint(host, "/", c.next), Domain: fmt.Sprint(i % 3), Region: "r", CallerAddress: host, PeerAddress: host,
	}}
	p.node = peer.New(peer.Config{
		Name: host, Incarnation: p.self.Incarnation, TLS: tc,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return c.net.Dial(ctx, host, address) },
		Handlers: peer.Handlers{
			Ping: func(_ context.Context, from peer.Remote, h member.Health) (member.Health, error) {
				defer p.gate()
				return p.table.HandlePing(from.Name, from.Incarnation, h), nil
			},
			Events: func(ctx context.Context, from peer.Remote, n member.EventMessage) (member.EventReply, error) {
				defer p.gate()
				return p.table.HandleEvents(ctx, from.Name, from.Incarnation, n), nil
			},
			Announce: func(_ context.Context, _ peer.Remote, v peer.VersionAnnouncement) error {
				p.mu.Lock()
				if p.version < v.Version {
					p.version, p.at = v.Version, time.Now()
				}
				p.mu.Unlock()
				if v.RelayRange.Relay {
					go p.announce(v)
				}
				return nil
			},
		},
	})
	p.table = member.New(member.Config{
		Self: p.self, Table: c.table.Client(), BeforeStep: p.gate, Rand: rand.New(rand.NewSource(int64(c.next))),
		Ping: func(ctx context.Context, m member.Member, h member.Health) (member.Health, error) {
			p.gate()
			defer p.gate()
			out, err := p.node.Ping(ctx, to(m), h)
			return out, gone(err)
		},
		SendEvents: func(ctx context.Context, m member.Member, n member.EventMessage) (member.EventReply, error) {
			p.gate()
			defer p.gate()
			out, err := p.node.SendEvents(ctx, to(m), n)
			return out, gone(err)
		},
	})
	c.procs[host] = p
	c.mu.Unlock()
	p.node.Start(c.net.Listen(host))
	p.table.Start(context.Background())
	return p
}

func gone(err error) error {
	var g *peer.ReplacedError
	if errors.As(err, &g) {
		return fmt.Errorf("%w: %w", member.ErrReplaced, err)
	}
	return err
}

// announce spreads a version as package node does.
func (p *proc) announce(v peer.VersionAnnouncement) {
	p.table.Broadcast(context.Background(), func(ctx context.Context, m member.Member, r member.RelayRange) error {
		return p.node.Announce(ctx, to(m), peer.VersionAnnouncement{Version: v.Version, RelayRange: r})
	}, member.RelayRange{First: v.RelayRange.First, End: v.RelayRange.End})
}

func (c *cluster) kill(host string) {
	c.mu.Lock()
	p := c.procs[host]
	delete(c.procs, host)
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.net.Kill(host)
	p.pause(false)
	p.table.StopSilently()
	p.node.Close()
}

func (c *cluster) all() map[string]*proc {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]*proc{}
	for n, p := range c.procs {
		out[n] = p
	}
	return out
}

func (c *cluster) stop() {
	for n := range c.all() {
		c.kill(n)
	}
}

func (c *cluster) cut(from, to string, on bool) {
	c.net.Cut(from, to, on)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from, to}] = on
}

func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{a, b}] || c.cuts[[2]string{b, a}]
}

// check returns what is wrong with the lists of the processes that run.
func (c *cluster) check() error {
	all := c.all()
	for _, p := range all {
		if p.paused() {
			continue
		}
		has := map[string]bool{}
		for _, m := range p.table.Live() {
			has[m.Incarnation] = true
			if q := all[m.Name]; q == nil || q.self.Incarnation != m.Incarnation {
				return fmt.Errorf("%s lists %s, which is dead", p.self.Name, m.Incarnation)
			}
		}
		for _, q := range all {
			if !has[q.self.Incarnation] && !q.paused() && !c.isCut(p.self.Name, q.self.Name) {
				return fmt.Errorf("%s does not list %s, which is alive", p.self.Name, q.self.Incarnation)
			}
		}
	}
	return nil
}
