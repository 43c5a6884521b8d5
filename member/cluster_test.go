package member_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/member"
)

var domains = []string{"thamel", "patan", "bhaktapur"}

// cluster is a set of processes in virtual time. Calls between them go through
// links that can be cut, and processes can be paused.
type cluster struct {
	table       *fakes.Table
	mu          sync.Mutex
	processes   map[string]*process // latest incarnation of each name
	cuts        map[[2]string]bool
	started     int
	alterConfig func(*member.Config) // lets a test change the configuration of new processes
}

// process is one incarnation of an entry process.
type process struct {
	*member.Membership
	self    member.Member
	mu      sync.Mutex
	resumed chan struct{} // non-nil while paused
}

func newCluster() *cluster {
	return &cluster{table: fakes.NewTable(), processes: map[string]*process{}, cuts: map[[2]string]bool{}}
}

// waitWhilePaused blocks until the process is not paused.
func (p *process) waitWhilePaused() {
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

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *process) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

// start starts a new incarnation of process i, at the address of the old one.
func (c *cluster) start(i int) *process {
	c.mu.Lock()
	c.started++
	p := &process{self: member.Member{
		Name: name(i), Incarnation: fmt.Sprintf("%s/%d", name(i), c.started), Domain: domains[i%3], Region: "bagmati",
		CallerAddress: "callers-" + name(i), PeerAddress: name(i),
	}}
	cfg := member.Config{
		Self: p.self, Table: c.table.Client(), BeforeStep: p.waitWhilePaused, Rand: rand.New(rand.NewSource(int64(c.started))),
		Ping: func(ctx context.Context, to member.Member, h member.PingPayload) (member.PingPayload, error) {
			return call(ctx, c, p, to, func(q *process) member.PingPayload { return q.HandlePing(p.self.Name, p.self.Incarnation, h) })
		},
		SendEvents: func(ctx context.Context, to member.Member, n member.EventMessage) (member.EventReply, error) {
			return call(ctx, c, p, to, func(q *process) member.EventReply {
				return q.HandleEvents(ctx, p.self.Name, p.self.Incarnation, n)
			})
		},
	}
	if c.alterConfig != nil {
		c.alterConfig(&cfg)
	}
	p.Membership = member.New(cfg)
	c.processes[p.self.Name] = p
	c.mu.Unlock()
	p.Start(context.Background())
	return p
}

// latency is the time that a call takes to arrive.
const latency = time.Millisecond

// call calls a process. It blocks while a link is cut or a process is paused.
func call[T any](ctx context.Context, c *cluster, from *process, to member.Member, f func(*process) T) (T, error) {
	var none T
	from.waitWhilePaused()
	defer from.waitWhilePaused()
	time.Sleep(latency)
	if c.isCut(from.self.Name, to.Name) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	c.mu.Lock()
	q := c.processes[to.PeerAddress]
	c.mu.Unlock()
	if q == nil {
		return none, errors.New("connection refused")
	}
	if to.Incarnation != "" && q.self.Incarnation != to.Incarnation {
		return none, member.ErrReplaced
	}
	done := make(chan T, 1)
	go func() {
		q.waitWhilePaused() // a paused process reads its sockets when it resumes
		out := f(q)
		q.waitWhilePaused()
		done <- out
	}()
	select {
	case out := <-done:
		if c.isCut(to.Name, from.self.Name) {
			<-ctx.Done()
			return none, ctx.Err()
		}
		return out, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{from, to}]
}

// setCut cuts or restores the link in one direction.
func (c *cluster) setCut(from, to string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from, to}] = on
}

// kill ends a process without notice, as a crash does.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	p := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	if p != nil {
		p.resume()
		p.StopSilently()
	}
}

func (c *cluster) stopAll() {
	for _, p := range c.all() {
		c.kill(p.self.Name)
	}
}

// all returns the running processes, ordered by name.
func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*process
	for _, p := range c.processes {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *process) int { return slices.Compare([]byte(a.self.Name), []byte(b.self.Name)) })
	return out
}

// check returns the first error in the lists. A process must list every live
// process from which no cut separates it, and no dead one. The lists of paused
// processes are not checked.
func (c *cluster) check() error {
	alive := map[string]*process{}
	for _, p := range c.all() {
		alive[p.self.Name] = p
	}
	for _, p := range alive {
		if p.paused() {
			continue
		}
		has := map[string]bool{}
		for _, m := range p.Live() {
			has[m.Incarnation] = true
			if q := alive[m.Name]; q == nil || q.self.Incarnation != m.Incarnation {
				return fmt.Errorf("%s lists %s, which is dead", p.self.Name, m.Incarnation)
			}
		}
		addresses := p.Addresses("caller", "").Addresses
		for _, q := range alive {
			if q.paused() || c.isCut(p.self.Name, q.self.Name) || c.isCut(q.self.Name, p.self.Name) {
				continue
			}
			if !has[q.self.Incarnation] {
				return fmt.Errorf("%s does not list %s, which is alive", p.self.Name, q.self.Incarnation)
			}
			if !slices.Contains(addresses, q.self.CallerAddress) && len(alive) <= 16 && !q.Leaving() {
				return fmt.Errorf("addresses of %s lack %s", p.self.Name, q.self.Name)
			}
			if q.Leaving() && slices.Contains(addresses, q.self.CallerAddress) {
				return fmt.Errorf("addresses of %s hold %s, which is leaving", p.self.Name, q.self.Name)
			}
		}
	}
	return nil
}
