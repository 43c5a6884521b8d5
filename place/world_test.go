package place_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/place"
	"github.com/cranberrybay/cranberrybay/table"
)

const (
	term    = 8 * time.Second
	sendFor = time.Second
)

// machine is a VM with an engine.
type machine struct {
	listed place.Listed
	orders *fakes.Orders
	dead   bool
}

// world is a fleet of engines and some controllers in virtual time.
type world struct {
	ctx     context.Context
	table   *fakes.Table
	weights *fakes.Weights
	fenced  bool
	broken  func(*controller) // deliberate fault of a test

	mu      sync.Mutex
	wishes  []place.Wish
	vms     map[string]*machine
	highest uint64 // fencing number of the latest order that took effect
	killed  time.Time
	lose    int // so many answers to orders are lost
	err     error
}

type controller struct {
	*place.Controller
	lease   *lease.Holder
	mu      sync.Mutex
	resumed chan struct{}
	check   func(func() error) error // runs the check before a send
}

func (c *controller) gate() {
	for {
		c.mu.Lock()
		ch := c.resumed
		c.mu.Unlock()
		if ch == nil {
			return
		}
		<-ch
	}
}

func (c *controller) pause(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case on && c.resumed == nil:
		c.resumed = make(chan struct{})
	case !on && c.resumed != nil:
		close(c.resumed)
		c.resumed = nil
	}
}

func newWorld(ctx context.Context, engines int) *world {
	w := &world{ctx: ctx, table: fakes.NewTable(), weights: fakes.NewWeights(50, 200), vms: map[string]*machine{}, wishes: []place.Wish{wish("1", 2)}}
	for i := range engines {
		w.vm(i)
	}
	return w
}

func vmName(i int) string { return fmt.Sprintf("e%02d", i) }

// vm starts an engine without weights under the name of index i.
func (w *world) vm(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := vmName(i)
	m := &machine{listed: place.Listed{Name: name, Address: fmt.Sprint(name, "/", time.Now().UnixNano()), Domain: domains[i%3], Service: "s"}}
	m.orders = fakes.NewOrders(fakes.OrdersConfig{
		Memory: 100 + 100*(i%2), Fenced: w.fenced, Weights: w.weights,
		Changed: func(what string, p engine.Part, fence uint64) { w.changed(m, what, p, fence) },
	})
	w.vms[name] = m
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// changed checks what an engine did: nothing under an old number, and no
// unload of the last ready copy of a layer. An unload within a moment of the
// death of another engine does not count, since nobody could know of it.
func (w *world) changed(m *machine, what string, p engine.Part, fence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if what == "unloaded" && !m.dead && time.Since(w.killed) > 2*time.Second {
		for i := p.First; i < p.Last; i++ {
			if !w.holds(p.Model, i) {
				w.fail("%s unloaded the last ready copy of layer %d", m.listed.Name, i)
			}
		}
	}
}

func (w *world) holds(model string, layer int) bool {
	for _, m := range w.vms {
		for _, h := range m.orders.Holding().Parts {
			if !m.dead && h.Ready && h.Model == model && h.First <= layer && layer < h.Last {
				return true
			}
		}
	}
	return false
}

func (w *world) kill(i int) {
	w.mu.Lock()
	m := w.vms[vmName(i)]
	delete(w.vms, vmName(i))
	w.killed = time.Now()
	if m != nil {
		m.dead = true
	}
	w.mu.Unlock()
	if m != nil {
		m.orders.Close()
	}
}

func (w *world) find(address string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.vms {
		if m.listed.Address == address {
			return m
		}
	}
	return nil
}

var errRefused = fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "connection refused"})

// send delivers an order. The check runs right before the bytes leave.
func (w *world) send(ctx context.Context, c *controller, address string, o engine.Order, check func() error) (engine.OrderStatus, error) {
	time.Sleep(5 * time.Millisecond)
	c.gate()
	if err := c.check(check); err != nil {
		return engine.OrderStatus{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "held back", Cause: err})
	}
	m := w.find(address)
	if m == nil {
		return engine.OrderStatus{}, errRefused
	}
	h, err := m.orders.Apply(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, fakes.ErrFenced):
		return h, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: "old number"})
	case err != nil:
		w.fail("engine refused an order: %v", err)
		return h, err
	}
	if o.Fence < w.highest {
		w.fail("order with number %d took effect after %d", o.Fence, w.highest)
	}
	w.highest = max(w.highest, o.Fence)
	if w.lose > 0 {
		w.lose--
		return engine.OrderStatus{}, context.DeadlineExceeded
	}
	return h, ctx.Err()
}

// control starts a process that wants to be the controller.
func (w *world) control(name string) *controller {
	c := &controller{check: func(f func() error) error { return f() }}
	tc := w.table.Client()
	c.lease = lease.New(lease.Config{
		Name: "place", Holder: name, Term: term, SendTimeout: sendFor, OnViolation: w.violated,
		Table: table.New(table.Config{
			Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
				c.gate()
				defer c.gate()
				return tc.Get(ctx, keys...)
			},
			Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
				c.gate()
				defer c.gate()
				return tc.Commit(ctx, b)
			},
		}),
	})
	c.Controller = place.New(place.Config{
		Lease: c.lease, SendTimeout: sendFor, Rand: rand.New(rand.NewSource(1)), Violated: w.violated,
		Fenced: func(string) bool { return w.fenced },
		Wishes: func() []place.Wish {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.wishes
		},
		Servers: func() []place.Listed {
			c.gate()
			w.mu.Lock()
			defer w.mu.Unlock()
			var out []place.Listed
			for _, m := range w.vms {
				out = append(out, m.listed)
			}
			return out
		},
		Survey: func(_ context.Context, address string) (engine.OrderStatus, error) {
			c.gate()
			defer c.gate()
			time.Sleep(2 * time.Millisecond)
			if m := w.find(address); m != nil {
				return m.orders.Holding(), nil
			}
			return engine.OrderStatus{}, errRefused
		},
		Send: func(ctx context.Context, address string, o engine.Order, check func() error) (engine.OrderStatus, error) {
			return w.send(ctx, c, address, o, check)
		},
		Limits: func(context.Context) (int, int, error) { l := w.weights.Limits(); return l.Rate, l.Burst, nil },
	})
	if w.broken != nil {
		w.broken(c)
	}
	go func() {
		for w.ctx.Err() == nil {
			c.gate()
			_ = c.lease.Step(w.ctx)
			time.Sleep(term / 4)
		}
	}()
	go func() {
		for w.ctx.Err() == nil {
			c.gate()
			c.Step(w.ctx)
			time.Sleep(place.Interval)
		}
	}()
	return c
}

func (w *world) violated(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail("invariant: %s", reason)
}

// fulfilled returns what the wishes lack in service.
func (w *world) fulfilled() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	if err := w.weights.Err(); err != nil {
		return err
	}
	for r := range 2 {
		want, n := part(w.wishes[0].Version, r), 0
		for _, m := range w.vms {
			if s := m.orders.Holding().Serve; s != nil && s.Key() == want.Key() {
				n++
			}
		}
		if n != w.wishes[0].Copies {
			return fmt.Errorf("range %d of version %s has %d copies in service, want %d", r, w.wishes[0].Version, n, w.wishes[0].Copies)
		}
	}
	return nil
}
