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
	term        = 8 * time.Second
	sendTimeout = time.Second
)

// fakeEngine is a VM that runs an engine.
type fakeEngine struct {
	listed place.ListedEngine
	orders *fakes.PartManager
	dead   bool // killed; its further changes are ignored
}

// simulation holds engines and controllers that run in virtual time.
type simulation struct {
	ctx             context.Context
	table           *fakes.Table
	weights         *fakes.WeightStore
	fenced          bool
	breakController func(*controller) // applied to each controller to inject a fault; may be nil

	mu           sync.Mutex
	wishes       []place.Wish
	engines      map[string]*fakeEngine
	highestFence uint64 // highest fencing number of the orders that took effect
	lastKill     time.Time
	loseAnswers  int // number of answers to orders that are still to be lost
	err          error
}

// controller is a placement controller that can be paused. A paused controller stops
// at its next call, like a process that is not scheduled.
type controller struct {
	*place.Controller
	lease   *lease.Holder
	mu      sync.Mutex
	resumed chan struct{}            // closed when the controller resumes; nil if it is not paused
	check   func(func() error) error // runs the check before a send
}

// waitResumed returns once the controller is not paused.
func (c *controller) waitResumed() {
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

func newSimulation(ctx context.Context, engines int) *simulation {
	sim := &simulation{ctx: ctx, table: fakes.NewTable(), weights: fakes.NewWeightStore(50, 200), engines: map[string]*fakeEngine{}, wishes: []place.Wish{wish("1", 2)}}
	for i := range engines {
		sim.startEngine(i)
	}
	return sim
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// startEngine starts an empty engine with the name of index i.
func (sim *simulation) startEngine(i int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	name := engineName(i)
	e := &fakeEngine{listed: place.ListedEngine{Name: name, Address: fmt.Sprint(name, "/", time.Now().UnixNano()), Domain: domains[i%3], Service: "s"}}
	e.orders = fakes.NewPartManager(fakes.PartManagerConfig{
		Memory: 100 + 100*(i%2), Fenced: sim.fenced, Weights: sim.weights,
		OnChange: func(what string, p engine.Part, fence uint64) { sim.checkChange(e, what, p, fence) },
	})
	sim.engines[name] = e
}

// recordError keeps the first error. The caller holds sim.mu.
func (sim *simulation) recordError(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// checkChange records an error if an engine unloaded the last ready copy of a layer.
// Within 2 s after the loss of another engine this is no error, since the controller
// may not have noticed the loss yet.
func (sim *simulation) checkChange(e *fakeEngine, what string, p engine.Part, fence uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if what == "unloaded" && !e.dead && time.Since(sim.lastKill) > 2*time.Second {
		for i := p.First; i < p.Last; i++ {
			if !sim.hasReadyLayer(p.Model, i) {
				sim.recordError("%s unloaded the last ready copy of layer %d", e.listed.Name, i)
			}
		}
	}
}

// hasReadyLayer reports whether a running engine holds a layer ready. The caller holds
// sim.mu.
func (sim *simulation) hasReadyLayer(model string, layer int) bool {
	for _, e := range sim.engines {
		for _, h := range e.orders.Holding().Parts {
			if !e.dead && h.Ready && h.Model == model && h.First <= layer && layer < h.Last {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) kill(i int) {
	sim.mu.Lock()
	e := sim.engines[engineName(i)]
	delete(sim.engines, engineName(i))
	sim.lastKill = time.Now()
	if e != nil {
		e.dead = true
	}
	sim.mu.Unlock()
	if e != nil {
		e.orders.Close()
	}
}

func (sim *simulation) find(address string) *fakeEngine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, e := range sim.engines {
		if e.listed.Address == address {
			return e
		}
	}
	return nil
}

var errRefused = fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "connection refused"})

// send delivers an order. The check runs right before the order is written.
func (sim *simulation) send(ctx context.Context, c *controller, address string, o engine.Order, check func() error) (engine.OrderStatus, error) {
	time.Sleep(5 * time.Millisecond)
	c.waitResumed()
	if err := c.check(check); err != nil {
		return engine.OrderStatus{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "order not sent", Cause: err})
	}
	e := sim.find(address)
	if e == nil {
		return engine.OrderStatus{}, errRefused
	}
	h, err := e.orders.Apply(o)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case errors.Is(err, fakes.ErrStaleFence):
		return h, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Conflict, Reason: "old fencing number"})
	case err != nil:
		sim.recordError("engine refused an order: %v", err)
		return h, err
	}
	if o.Fence < sim.highestFence {
		sim.recordError("order with fencing number %d took effect after number %d", o.Fence, sim.highestFence)
	}
	sim.highestFence = max(sim.highestFence, o.Fence)
	if sim.loseAnswers > 0 {
		sim.loseAnswers--
		return engine.OrderStatus{}, context.DeadlineExceeded
	}
	return h, ctx.Err()
}

// startController starts a process that competes for the lease and runs a controller.
func (sim *simulation) startController(name string) *controller {
	c := &controller{check: func(f func() error) error { return f() }}
	tc := sim.table.Client()
	c.lease = lease.New(lease.Config{
		Name: "place", Holder: name, Term: term, SendTimeout: sendTimeout, OnViolation: sim.recordViolation,
		Table: table.New(table.Config{
			Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
				c.waitResumed()
				defer c.waitResumed()
				return tc.Get(ctx, keys...)
			},
			Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
				c.waitResumed()
				defer c.waitResumed()
				return tc.Commit(ctx, b)
			},
		}),
	})
	c.Controller = place.New(place.Config{
		Lease: c.lease, SendTimeout: sendTimeout, Rand: rand.New(rand.NewSource(1)), OnViolation: sim.recordViolation,
		ChecksFencing: func(string) bool { return sim.fenced },
		Wishes: func() []place.Wish {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			return sim.wishes
		},
		Servers: func() []place.ListedEngine {
			c.waitResumed()
			sim.mu.Lock()
			defer sim.mu.Unlock()
			var out []place.ListedEngine
			for _, e := range sim.engines {
				out = append(out, e.listed)
			}
			return out
		},
		ReadHolding: func(_ context.Context, address string) (engine.OrderStatus, error) {
			c.waitResumed()
			defer c.waitResumed()
			time.Sleep(2 * time.Millisecond)
			if e := sim.find(address); e != nil {
				return e.orders.Holding(), nil
			}
			return engine.OrderStatus{}, errRefused
		},
		Send: func(ctx context.Context, address string, o engine.Order, check func() error) (engine.OrderStatus, error) {
			return sim.send(ctx, c, address, o, check)
		},
		Limits: func(context.Context) (int, int, error) { l := sim.weights.Limits(); return l.Rate, l.Burst, nil },
	})
	if sim.breakController != nil {
		sim.breakController(c)
	}
	go func() {
		for sim.ctx.Err() == nil {
			c.waitResumed()
			_ = c.lease.Step(sim.ctx)
			time.Sleep(term / 4)
		}
	}()
	go func() {
		for sim.ctx.Err() == nil {
			c.waitResumed()
			c.Step(sim.ctx)
			time.Sleep(place.Interval)
		}
	}()
	return c
}

func (sim *simulation) recordViolation(reason string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.recordError("invariant: %s", reason)
}

// checkWishes returns an error if an invariant was violated or a wish does not have the
// number of copies that it asks for.
func (sim *simulation) checkWishes() error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.err != nil {
		return sim.err
	}
	if err := sim.weights.Err(); err != nil {
		return err
	}
	for r := range 2 {
		want, n := part(sim.wishes[0].Version, r), 0
		for _, e := range sim.engines {
			if s := e.orders.Holding().Serve; s != nil && s.Key() == want.Key() {
				n++
			}
		}
		if n != sim.wishes[0].Copies {
			return fmt.Errorf("range %d of version %s has %d copies in service, want %d", r, sim.wishes[0].Version, n, sim.wishes[0].Copies)
		}
	}
	return nil
}
