package place

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/lease"
)

// Intervals, timeouts and limits of the controller.
const (
	Interval        = time.Second // between steps
	readTimeout     = time.Second
	maxUrgentReads  = 64               // engines read in one step whose state is uncertain or about to change
	maxRoutineReads = 16               // other engines read in one step, 16 a second
	silentTimeout   = 10 * time.Second // an engine that has not answered for this time is replaced
	limitsInterval  = 10 * time.Second // between reads of the weight store's limits
)

// ListedEngine is an engine as described by the VM list.
type ListedEngine struct {
	Name    string
	Address string
	Domain  string
	Service string
	Leaving bool
}

// Config holds the dependencies of a Controller.
type Config struct {
	Lease  *lease.Holder
	Wishes func() []Wish
	// ChecksFencing reports whether the engines of a service refuse orders with
	// an old fencing number.
	ChecksFencing func(service string) bool
	// Servers returns the engines of all model services.
	Servers func() []ListedEngine
	// ReadHolding reads the parts that the engine at an address holds.
	ReadHolding func(ctx context.Context, address string) (engine.OrderStatus, error)
	// Send sends an order. It calls check right before it writes the order and
	// sends nothing if check fails.
	Send func(ctx context.Context, address string, o engine.Order, check func() error) (engine.OrderStatus, error)
	// Limits returns the rate in MB/s and the burst in MB of the weight store.
	Limits      func(ctx context.Context) (rate, burst int, err error)
	SendTimeout time.Duration // the same value as in the configuration of the lease
	Rand        *rand.Rand
	OnViolation func(reason string) // called when an invariant is violated; if nil, the controller panics
	Log         zerolog.Logger
}

// engineView is the controller's knowledge of one engine.
type engineView struct {
	listed       ListedEngine
	holding      engine.OrderStatus
	contacted    bool      // the engine answered or failed to answer at least once
	known        bool      // holding was read at least once
	orderUnknown bool      // the answer to an order was lost, so the state is unknown
	failedSince  time.Time // first failure since the last answer; zero after an answer
	lastContact  time.Time // last answer or failure
}

// Controller sends placement orders to engines while its process holds the lease.
// Calls of Step must not overlap.
type Controller struct {
	cfg        Config
	fence      uint64 // fencing number under which the views were read
	views      map[string]*engineView
	bucket     bucket
	nextLimits time.Time // next read of the limits
	settled    State     // state with an empty plan; no plan is computed while it is unchanged

	mu         sync.Mutex
	shortfalls []string
	accepted   int
}

// New returns a Controller.
func New(cfg Config) *Controller {
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(reason string) { panic("place: " + reason) }
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Controller{cfg: cfg, views: map[string]*engineView{}}
}

// Shortfalls describes the copies that the last plan could not place.
func (c *Controller) Shortfalls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.shortfalls...)
}

// AcceptedOrders returns the number of orders that engines accepted.
func (c *Controller) AcceptedOrders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// Run calls Step until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(Interval):
		}
	}
}

// Step reads engines, computes a plan and sends its orders. Without the lease it
// discards the views, since another controller may change the engines.
func (c *Controller) Step(ctx context.Context) {
	fence, _, held := c.cfg.Lease.Held()
	if !held {
		clear(c.views)
		return
	}
	if fence != c.fence {
		clear(c.views)
		c.fence = fence
		// The previous holder may just have used the whole burst.
		c.bucket = bucket{updated: time.Now()}
		c.nextLimits, c.settled = time.Time{}, State{}
	}
	c.updateList()
	c.readEngines(ctx)
	c.readLimits(ctx)
	for _, v := range c.views {
		if !v.contacted {
			return // an engine that was not read yet may hold a copy that seems to be missing
		}
	}
	state := c.state()
	if state.samePlan(c.settled) {
		return
	}
	r := Plan(state)
	if c.settled = (State{}); len(r.Actions) == 0 {
		c.settled = state
	}
	if err := Check(state, r); err != nil {
		c.cfg.OnViolation(err.Error())
		return
	}
	c.mu.Lock()
	c.shortfalls = r.Shortfalls
	c.mu.Unlock()
	waiting := false
	for _, a := range r.Actions {
		// Once one load has to wait for the bucket, later ones wait too, so
		// that small loads do not starve a large one.
		if a.LoadMB > 0 && waiting {
			continue
		}
		if a.LoadMB > 0 && !c.bucket.canTake(a.LoadMB) {
			waiting = true
			continue
		}
		if !c.sendOrder(ctx, a) {
			return
		}
	}
}

// updateList updates the views from the VM list.
func (c *Controller) updateList() {
	listed := map[string]bool{}
	for _, l := range c.cfg.Servers() {
		listed[l.Name] = true
		v := c.views[l.Name]
		if v == nil || v.listed.Address != l.Address {
			v = &engineView{}
			c.views[l.Name] = v
		}
		v.listed = l
	}
	for n := range c.views {
		if !listed[n] {
			delete(c.views, n)
		}
	}
}

// readEngines reads the state of engines: those whose state is uncertain or about
// to change, and some of the others. Engines whose last contact is longest ago come
// first.
func (c *Controller) readEngines(ctx context.Context) {
	var urgent, routine []*engineView
	for _, v := range c.views {
		if !v.contacted || v.orderUnknown || !v.failedSince.IsZero() || v.loading() {
			urgent = append(urgent, v)
		} else {
			routine = append(routine, v)
		}
	}
	byLastContact := func(vs []*engineView) func(i, j int) bool {
		return func(i, j int) bool {
			if !vs[i].lastContact.Equal(vs[j].lastContact) {
				return vs[i].lastContact.Before(vs[j].lastContact)
			}
			return vs[i].listed.Name < vs[j].listed.Name
		}
	}
	sort.Slice(urgent, byLastContact(urgent))
	sort.Slice(routine, byLastContact(routine))
	chosen := append(urgent[:min(maxUrgentReads, len(urgent))], routine[:min(maxRoutineReads, len(routine))]...)
	var wg sync.WaitGroup
	for _, v := range chosen {
		wg.Go(func() { c.readEngine(ctx, v) })
	}
	wg.Wait()
}

// loading reports whether the engine holds a part that is not ready yet.
func (v *engineView) loading() bool {
	for _, h := range v.holding.Parts {
		if !h.Ready {
			return true
		}
	}
	return false
}

// readEngine reads the parts that one engine holds.
func (c *Controller) readEngine(ctx context.Context, v *engineView) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	h, err := c.cfg.ReadHolding(ctx, v.listed.Address)
	v.contacted, v.lastContact = true, time.Now()
	if err != nil {
		if v.failedSince.IsZero() {
			v.failedSince = v.lastContact
		}
		return false
	}
	v.holding, v.known, v.orderUnknown, v.failedSince = h, true, false, time.Time{}
	return true
}

// readLimits updates the bucket from the limits of the weight store.
func (c *Controller) readLimits(ctx context.Context) {
	if time.Now().Before(c.nextLimits) {
		return
	}
	rate, burst, err := c.cfg.Limits(ctx)
	if err != nil {
		c.cfg.Log.Info().Err(err).Msg("cannot read the limits of the weight store")
		return
	}
	c.bucket.setLimits(rate, burst)
	c.nextLimits = time.Now().Add(limitsInterval)
}

// state returns the input for the next plan.
func (c *Controller) state() State {
	s := State{Wishes: c.cfg.Wishes()}
	for _, v := range c.views {
		s.Servers = append(s.Servers, v.server())
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Name < s.Servers[j].Name })
	return s
}

// server returns the engine as input for a plan.
func (v *engineView) server() Server {
	sv := Server{
		Name: v.listed.Name, Domain: v.listed.Domain, Service: v.listed.Service, Status: Known,
		Memory: v.holding.Memory, Parts: v.holding.Parts, Serve: v.holding.Serve, Running: v.holding.Running,
	}
	switch {
	case v.listed.Leaving || !v.known || !v.failedSince.IsZero() && time.Since(v.failedSince) > silentTimeout:
		sv.Status = Gone
	case v.orderUnknown || !v.failedSince.IsZero():
		sv.Status = Uncertain
	}
	return sv
}

// samePlan reports whether s and o lead to the same plan. Running requests are
// ignored: they only break ties between engines.
func (s State) samePlan(o State) bool {
	if len(s.Servers) != len(o.Servers) || !reflect.DeepEqual(s.Wishes, o.Wishes) {
		return false
	}
	for i, a := range s.Servers {
		b := o.Servers[i]
		if a.Name != b.Name || a.Domain != b.Domain || a.Service != b.Service || a.Status != b.Status || a.Memory != b.Memory ||
			!slices.Equal(a.Parts, b.Parts) || (a.Serve == nil) != (b.Serve == nil) || a.Serve != nil && *a.Serve != *b.Serve {
			return false
		}
	}
	return true
}

// errLeaseEnded reports that the lease no longer allows sending an order.
var errLeaseEnded = errors.New("lease has ended or would end before the order is sent")

// checkLease returns an error if no order may be sent now. Engines that ignore
// fencing numbers get an order only if the send timeout ends before the lease does.
func (c *Controller) checkLease(service string) error {
	fence, ok := c.cfg.Lease.MaySend()
	if c.cfg.ChecksFencing(service) {
		fence, _, ok = c.cfg.Lease.Held()
	}
	if !ok || fence != c.fence {
		return errLeaseEnded
	}
	return nil
}

// sendOrder sends the order for one action. It returns false if no further orders
// of the plan may be sent.
func (c *Controller) sendOrder(ctx context.Context, a Action) bool {
	v := c.views[a.Server]
	if v == nil || !c.preconditionsHold(ctx, a.Preconditions) {
		return true
	}
	check := func() error { return c.checkLease(v.listed.Service) }
	if check() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SendTimeout)
	defer cancel()
	c.bucket.withdraw(a.LoadMB)
	h, err := c.cfg.Send(ctx, v.listed.Address, engine.Order{Fence: c.fence, Hold: a.Hold, Serve: a.Serve}, check)
	log := c.cfg.Log.Info().Str("server", a.Server).Uint64("fence", c.fence).Int("load", a.LoadMB).Int("drops", len(a.Unloads))
	if err != nil {
		log.Err(err).Msg("order failed")
		// After a lost answer, the state of the engine is unknown until it is read.
		v.orderUnknown = fault.VerdictOf(err) != fault.NotRun
		if fault.VerdictOf(err) == fault.NotRun {
			c.bucket.refund(a.LoadMB)
		}
		return !errors.Is(err, errLeaseEnded) && fault.CodeOf(err) != fault.Conflict
	}
	log.Msg("order accepted")
	v.holding, v.lastContact = h, time.Now()
	c.mu.Lock()
	c.accepted++
	c.mu.Unlock()
	return true
}

// preconditionsHold reads the engines named by the conditions again, since the
// state behind the plan may be outdated, and reports whether all conditions hold.
func (c *Controller) preconditionsHold(ctx context.Context, conditions []Precondition) bool {
	holders := map[string]*engineView{}
	for _, n := range conditions {
		v := c.views[n.Server]
		if v == nil {
			return false
		}
		holders[n.Server] = v
	}
	var wg sync.WaitGroup
	for _, v := range holders {
		wg.Go(func() { c.readEngine(ctx, v) })
	}
	wg.Wait()
	for _, n := range conditions {
		v := holders[n.Server]
		if !v.failedSince.IsZero() || v.listed.Leaving || v.holding.Serve == nil || v.holding.Serve.Key() != n.Part {
			return false
		}
	}
	return true
}

// String returns a readable summary of the action.
func (a Action) String() string {
	return fmt.Sprintf("%s: hold %d parts, load %d MB, drop %d", a.Server, len(a.Hold), a.LoadMB, len(a.Unloads))
}
