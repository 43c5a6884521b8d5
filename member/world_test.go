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

// world is a set of processes in virtual time whose calls go through function
// fields, with links that can be cut and processes that can be paused.
type world struct {
	table *fakes.Table
	mu    sync.Mutex
	procs map[string]*proc // by name, the latest incarnation
	cuts  map[[2]string]bool
	next  int
	fault func(*member.Config) // deliberate fault of a test
}

type proc struct {
	*member.Membership
	self    member.Member
	mu      sync.Mutex
	resumed chan struct{} // non-nil while paused
}

func newWorld() *world {
	return &world{table: fakes.NewTable(), procs: map[string]*proc{}, cuts: map[[2]string]bool{}}
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

func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

// start runs a new incarnation of process i, at the same address.
func (w *world) start(i int) *proc {
	w.mu.Lock()
	w.next++
	p := &proc{self: member.Member{
		Name: name(i), Incarnation: fmt.Sprintf("%s/%d", name(i), w.next), Domain: domains[i%3], Region: "bagmati",
		CallerAddress: "callers-" + name(i), PeerAddress: name(i),
	}}
	cfg := member.Config{
		Self: p.self, Table: w.table.Client(), BeforeStep: p.gate, Rand: rand.New(rand.NewSource(int64(w.next))),
		Ping: func(ctx context.Context, to member.Member, h member.Health) (member.Health, error) {
			return call(ctx, w, p, to, func(q *proc) member.Health { return q.HandlePing(p.self.Name, p.self.Incarnation, h) })
		},
		SendEvents: func(ctx context.Context, to member.Member, n member.EventMessage) (member.EventReply, error) {
			return call(ctx, w, p, to, func(q *proc) member.EventReply {
				return q.HandleEvents(ctx, p.self.Name, p.self.Incarnation, n)
			})
		},
	}
	if w.fault != nil {
		w.fault(&cfg)
	}
	p.Membership = member.New(cfg)
	w.procs[p.self.Name] = p
	w.mu.Unlock()
	p.Start(context.Background())
	return p
}

const latency = time.Millisecond

// call passes a message to a process, as far as links and pauses let it.
func call[T any](ctx context.Context, w *world, from *proc, to member.Member, f func(*proc) T) (T, error) {
	var none T
	from.gate()
	defer from.gate()
	time.Sleep(latency)
	if w.isCut(from.self.Name, to.Name) {
		<-ctx.Done()
		return none, ctx.Err()
	}
	w.mu.Lock()
	q := w.procs[to.PeerAddress]
	w.mu.Unlock()
	if q == nil {
		return none, errors.New("connection refused")
	}
	if to.Incarnation != "" && q.self.Incarnation != to.Incarnation {
		return none, member.ErrReplaced
	}
	done := make(chan T, 1)
	go func() {
		q.gate() // a paused process reads its sockets when it wakes
		out := f(q)
		q.gate()
		done <- out
	}()
	select {
	case out := <-done:
		if w.isCut(to.Name, from.self.Name) {
			<-ctx.Done()
			return none, ctx.Err()
		}
		return out, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

func (w *world) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = on
}

// kill ends a process as a crash does.
func (w *world) kill(name string) {
	w.mu.Lock()
	p := w.procs[name]
	delete(w.procs, name)
	w.mu.Unlock()
	if p != nil {
		p.resume()
		p.StopSilently()
	}
}

func (w *world) stopAll() {
	for _, p := range w.all() {
		w.kill(p.self.Name)
	}
}

func (w *world) all() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proc
	for _, p := range w.procs {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *proc) int { return slices.Compare([]byte(a.self.Name), []byte(b.self.Name)) })
	return out
}

// check returns what is wrong with the lists now: a live process that no cut
// separates from another one must be in its lists, and a dead one must not.
// The lists of paused processes are not looked at.
func (w *world) check() error {
	alive := map[string]*proc{}
	for _, p := range w.all() {
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
			if q.paused() || w.isCut(p.self.Name, q.self.Name) || w.isCut(q.self.Name, p.self.Name) {
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
