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

// latency is the one-way network latency between failure domains.
const latency = 500 * time.Microsecond

// cluster runs processes with a real transport and membership over net.Pipe.
type cluster struct {
	t         testing.TB
	net       *fakes.Network
	table     *fakes.Table
	mu        sync.Mutex
	procs     map[string]*proc   // running processes by host
	cuts      map[[2]string]bool // network cuts by sender and receiver
	lastStart int                // number of the last incarnation
}

// proc is one incarnation of a process.
type proc struct {
	self      member.Member
	transport *peer.Transport
	members   *member.Membership
	mu        sync.Mutex
	resumed   chan struct{} // closed when the process resumes; nil when it is not paused
	version   uint64        // highest announced version
	at        time.Time     // when the announcement of version arrived
}

func newCluster(t testing.TB, latency time.Duration) *cluster {
	return &cluster{t: t, net: fakes.NewNetwork(latency, latency), table: fakes.NewTable(), procs: map[string]*proc{}, cuts: map[[2]string]bool{}}
}

func hostName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func targetOf(m member.Member) peer.Target {
	return peer.Target{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress}
}

// waitWhilePaused blocks until the process is not paused.
func (p *proc) waitWhilePaused() {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

func (p *proc) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused && p.resumed == nil:
		p.resumed = make(chan struct{})
	case !paused && p.resumed != nil:
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// start starts a new incarnation of process i at the address of the process.
func (c *cluster) start(i int) *proc {
	host := hostName(i)
	cert, key, err := authority.Issue(host)
	assert.NilError(c.t, err)
	tc, err := peer.TLSConfig(authority.PEM(), cert, key)
	assert.NilError(c.t, err)
	c.mu.Lock()
	c.lastStart++
	p := &proc{self: member.Member{
		Name: host, Incarnation: fmt.Sprint(host, "/", c.lastStart), Domain: fmt.Sprint(i % 3), Region: "r", CallerAddress: host, PeerAddress: host,
	}}
	p.transport = peer.New(peer.Config{
		Name: host, Incarnation: p.self.Incarnation, TLS: tc,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return c.net.Dial(ctx, host, address) },
		Handlers: peer.Handlers{
			Ping: func(_ context.Context, from peer.Remote, h member.PingPayload) (member.PingPayload, error) {
				defer p.waitWhilePaused()
				return p.members.HandlePing(from.Name, from.Incarnation, h), nil
			},
			Events: func(ctx context.Context, from peer.Remote, n member.EventMessage) (member.EventReply, error) {
				defer p.waitWhilePaused()
				return p.members.HandleEvents(ctx, from.Name, from.Incarnation, n), nil
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
	p.members = member.New(member.Config{
		Self: p.self, Table: c.table.Client(), BeforeStep: p.waitWhilePaused, Rand: rand.New(rand.NewSource(int64(c.lastStart))),
		Ping: func(ctx context.Context, m member.Member, h member.PingPayload) (member.PingPayload, error) {
			p.waitWhilePaused()
			defer p.waitWhilePaused()
			out, err := p.transport.Ping(ctx, targetOf(m), h)
			return out, asReplaced(err)
		},
		SendEvents: func(ctx context.Context, m member.Member, n member.EventMessage) (member.EventReply, error) {
			p.waitWhilePaused()
			defer p.waitWhilePaused()
			out, err := p.transport.SendEvents(ctx, targetOf(m), n)
			return out, asReplaced(err)
		},
	})
	c.procs[host] = p
	c.mu.Unlock()
	p.transport.Start(c.net.Listen(host))
	p.members.Start(context.Background())
	return p
}

// asReplaced wraps member.ErrReplaced around a peer.ReplacedError.
func asReplaced(err error) error {
	var replaced *peer.ReplacedError
	if errors.As(err, &replaced) {
		return fmt.Errorf("%w: %w", member.ErrReplaced, err)
	}
	return err
}

// announce broadcasts a version in the way of package node.
func (p *proc) announce(v peer.VersionAnnouncement) {
	p.members.Broadcast(context.Background(), func(ctx context.Context, m member.Member, r member.RelayRange) error {
		return p.transport.Announce(ctx, targetOf(m), peer.VersionAnnouncement{Version: v.Version, RelayRange: r})
	}, member.RelayRange{First: v.RelayRange.First, End: v.RelayRange.End})
}

// kill ends a process without a notice to the others.
func (c *cluster) kill(host string) {
	c.mu.Lock()
	p := c.procs[host]
	delete(c.procs, host)
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.net.Kill(host)
	p.setPaused(false)
	p.members.StopSilently()
	p.transport.Close()
}

func (c *cluster) running() map[string]*proc {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]*proc{}
	for n, p := range c.procs {
		out[n] = p
	}
	return out
}

func (c *cluster) killAll() {
	for n := range c.running() {
		c.kill(n)
	}
}

func (c *cluster) setCut(from, to string, cut bool) {
	c.net.Cut(from, to, cut)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from, to}] = cut
}

func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{a, b}] || c.cuts[[2]string{b, a}]
}

// checkLists returns an error when the member list of a running process has a dead
// incarnation or lacks one that it can reach.
func (c *cluster) checkLists() error {
	all := c.running()
	for _, p := range all {
		if p.paused() {
			continue
		}
		listed := map[string]bool{}
		for _, m := range p.members.Live() {
			listed[m.Incarnation] = true
			if q := all[m.Name]; q == nil || q.self.Incarnation != m.Incarnation {
				return fmt.Errorf("%s lists %s, which is dead", p.self.Name, m.Incarnation)
			}
		}
		for _, q := range all {
			if !listed[q.self.Incarnation] && !q.paused() && !c.isCut(p.self.Name, q.self.Name) {
				return fmt.Errorf("%s does not list %s, which is alive", p.self.Name, q.self.Incarnation)
			}
		}
	}
	return nil
}
