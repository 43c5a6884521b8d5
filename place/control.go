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

// Times and numbers of the controller.
const (
	Interval      = time.Second // between steps
	surveyTimeout = time.Second
	fastSurvey    = 64               // engines read at once in a step while some are not known
	slowSurvey    = 16               // engines read in a step afterwards, 16 a second
	silentAfter   = 10 * time.Second // an engine without an answer for so long is replaced
	rateInterval  = 10 * time.Second // between reads of the weight store's limits
)

// Listed is an engine of the VM list.
type Listed struct {
	Name    string
	Address string
	Domain  string
	Service string
	Leaving bool
}

// Config holds the parts of a Controller.
type Config struct {
	Lease  *lease.Holder
	Wishes func() []Wish
	// Fenced tells whether the engines of a service refuse an old fencing
	// number.
	Fenced func(service string) bool
	// Servers returns the engines of all model services.
	Servers func() []Listed
	Survey  func(ctx context.Context, address string) (engine.OrderStatus, error)
	// Send sends an order. It calls check when the order is about to be
	// written and sends nothing when check fails.
	Send func(ctx context.Context, address string, o engine.Order, check func() error) (engine.OrderStatus, error)
	// Limits returns rate in MB/s and burst in MB of the weight store.
	Limits      func(ctx context.Context) (rate, burst int, err error)
	SendTimeout time.Duration // as in the configuration of the lease
	Rand        *rand.Rand
	Violated    func(reason string) // called when an invariant does not hold; nil panics
	Log         zerolog.Logger
}

// view is what the controller knows of one engine.
type view struct {
	listed  Listed
	holding engine.OrderStatus
	asked   bool      // at least one answer or failure came
	known   bool      // holding was read at least once
	unsure  bool      // the answer to an order was lost
	failed  time.Time // first failure since the last answer; zero when it answered
	read    time.Time // last answer or failure
}

// Controller gives orders while its process holds the lease. Step is not
// called twice at once.
type Controller struct {
	cfg    Config
	fence  uint64 // number under which the views were read
	views  map[string]*view
	bucket bucket
	limits time.Time // next read of the limits
	last   State     // that gave an empty plan; no plan is made while it is unchanged

	mu    sync.Mutex
	short []string
	sent  int
}

// New returns a Controller.
func New(cfg Config) *Controller {
	if cfg.Violated == nil {
		cfg.Violated = func(reason string) { panic("place: " + reason) }
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Controller{cfg: cfg, views: map[string]*view{}}
}

// Short returns what the last plan could not provide.
func (c *Controller) Short() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.short...)
}

// Sent returns the number of orders that engines took.
func (c *Controller) Sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
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

// Step does one round: it reads engines, plans and sends orders. Without the
// lease it forgets what it knows, since others change the engines.
func (c *Controller) Step(ctx context.Context) {
	fence, _, held := c.cfg.Lease.Held()
	if !held {
		clear(c.views)
		return
	}
	if fence != c.fence {
		clear(c.views)
		c.fence = fence
		// The predecessor may just have used the whole burst.
		c.bucket = bucket{at: time.Now()}
		c.limits, c.last = time.Time{}, State{}
	}
	c.list()
	c.survey(ctx)
	c.readLimits(ctx)
	for _, v := range c.views {
		if !v.asked {
			return // engines that are not known yet may hold what seems to be missing
		}
	}
	state := c.state()
	if state.same(c.last) {
		return
	}
	r := Plan(state)
	if c.last = (State{}); len(r.Actions) == 0 {
		c.last = state
	}
	if err := Check(state, r); err != nil {
		c.cfg.Violated(err.Error())
		return
	}
	c.mu.Lock()
	c.short = r.Short
	c.mu.Unlock()
	blocked := false
	for _, a := range r.Actions {
		// Once one load has to wait for the bucket, later ones wait too, so
		// that a large load is not passed by small ones for ever.
		if a.Load > 0 && blocked {
			continue
		}
		if a.Load > 0 && !c.bucket.has(a.Load) {
			blocked = true
			continue
		}
		if !c.order(ctx, a) {
			return
		}
	}
}

// list takes over the VM list.
func (c *Controller) list() {
	now := map[string]bool{}
	for _, l := range c.cfg.Servers() {
		now[l.Name] = true
		v := c.views[l.Name]
		if v == nil || v.listed.Address != l.Address {
			v = &view{}
			c.views[l.Name] = v
		}
		v.listed = l
	}
	for n := range c.views {
		if !now[n] {
			delete(c.views, n)
		}
	}
}

// survey reads engines: those that matter now first, then those read longest
// ago.
func (c *Controller) survey(ctx context.Context) {
	var urgent, rest []*view
	for _, v := range c.views {
		if !v.asked || v.unsure || !v.failed.IsZero() || v.loading() {
			urgent = append(urgent, v)
		} else {
			rest = append(rest, v)
		}
	}
	oldest := func(vs []*view) func(i, j int) bool {
		return func(i, j int) bool {
			if !vs[i].read.Equal(vs[j].read) {
				return vs[i].read.Before(vs[j].read)
			}
			return vs[i].listed.Name < vs[j].listed.Name
		}
	}
	sort.Slice(urgent, oldest(urgent))
	sort.Slice(rest, oldest(rest))
	chosen := append(urgent[:min(fastSurvey, len(urgent))], rest[:min(slowSurvey, len(rest))]...)
	var wg sync.WaitGroup
	for _, v := range chosen {
		wg.Go(func() { c.read(ctx, v) })
	}
	wg.Wait()
}

func (v *view) loading() bool {
	for _, h := range v.holding.Parts {
		if !h.Ready {
			return true
		}
	}
	return false
}

// read asks one engine what it holds.
func (c *Controller) read(ctx context.Context, v *view) bool {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	h, err := c.cfg.Survey(ctx, v.listed.Address)
	v.asked, v.read = true, time.Now()
	if err != nil {
		if v.failed.IsZero() {
			v.failed = v.read
		}
		return false
	}
	v.holding, v.known, v.unsure, v.failed = h, true, false, time.Time{}
	return true
}

func (c *Controller) readLimits(ctx context.Context) {
	if time.Now().Before(c.limits) {
		return
	}
	rate, burst, err := c.cfg.Limits(ctx)
	if err != nil {
		c.cfg.Log.Info().Err(err).Msg("limits of the weight store were not read")
		return
	}
	c.bucket.set(rate, burst)
	c.limits = time.Now().Add(rateInterval)
}

// state returns the input of a plan.
func (c *Controller) state() State {
	s := State{Wishes: c.cfg.Wishes()}
	for _, v := range c.views {
		s.Servers = append(s.Servers, v.server())
	}
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Name < s.Servers[j].Name })
	return s
}

func (v *view) server() Server {
	sv := Server{
		Name: v.listed.Name, Domain: v.listed.Domain, Service: v.listed.Service, Sight: Known,
		Memory: v.holding.Memory, Parts: v.holding.Parts, Serve: v.holding.Serve, Running: v.holding.Running,
	}
	switch {
	case v.listed.Leaving || !v.known || !v.failed.IsZero() && time.Since(v.failed) > silentAfter:
		sv.Sight = Gone
	case v.unsure || !v.failed.IsZero():
		sv.Sight = Unsure
	}
	return sv
}

// same tells whether a plan for s is the same as for o. The requests that run
// only decide between equal engines.
func (s State) same(o State) bool {
	if len(s.Servers) != len(o.Servers) || !reflect.DeepEqual(s.Wishes, o.Wishes) {
		return false
	}
	for i, a := range s.Servers {
		b := o.Servers[i]
		if a.Name != b.Name || a.Domain != b.Domain || a.Service != b.Service || a.Sight != b.Sight || a.Memory != b.Memory ||
			!slices.Equal(a.Parts, b.Parts) || (a.Serve == nil) != (b.Serve == nil) || a.Serve != nil && *a.Serve != *b.Serve {
			return false
		}
	}
	return true
}

// errLease reports that the lease does not allow a send any more.
var errLease = errors.New("lease has ended or ends before the send could")

// may tells whether an order may be sent now. Engines that ignore fencing
// numbers get one only while the send timeout fits before the deadline.
func (c *Controller) may(service string) error {
	fence, ok := c.cfg.Lease.MaySend()
	if c.cfg.Fenced(service) {
		fence, _, ok = c.cfg.Lease.Held()
	}
	if !ok || fence != c.fence {
		return errLease
	}
	return nil
}

// order sends one action. It returns false when the round must end.
func (c *Controller) order(ctx context.Context, a Action) bool {
	v := c.views[a.Server]
	if v == nil || !c.needsHold(ctx, a.Needs) {
		return true
	}
	check := func() error { return c.may(v.listed.Service) }
	if check() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SendTimeout)
	defer cancel()
	c.bucket.take(a.Load)
	h, err := c.cfg.Send(ctx, v.listed.Address, engine.Order{Fence: c.fence, Hold: a.Hold, Serve: a.Serve}, check)
	log := c.cfg.Log.Info().Str("server", a.Server).Uint64("fence", c.fence).Int("load", a.Load).Int("drops", len(a.Drops))
	if err != nil {
		log.Err(err).Msg("order failed")
		// A lost answer leaves the engine's state open until it is read.
		v.unsure = fault.VerdictOf(err) != fault.NotRun
		if fault.VerdictOf(err) == fault.NotRun {
			c.bucket.back(a.Load)
		}
		return !errors.Is(err, errLease) && fault.CodeOf(err) != fault.Conflict
	}
	log.Msg("order taken")
	v.holding, v.read = h, time.Now()
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	return true
}

// needsHold reads the engines whose copies make an action safe, since the
// state of the plan may be a while old.
func (c *Controller) needsHold(ctx context.Context, needs []Need) bool {
	ask := map[string]*view{}
	for _, n := range needs {
		v := c.views[n.Server]
		if v == nil {
			return false
		}
		ask[n.Server] = v
	}
	var wg sync.WaitGroup
	for _, v := range ask {
		wg.Go(func() { c.read(ctx, v) })
	}
	wg.Wait()
	for _, n := range needs {
		v := ask[n.Server]
		if !v.failed.IsZero() || v.listed.Leaving || v.holding.Serve == nil || v.holding.Serve.Key() != n.Part {
			return false
		}
	}
	return true
}

// String describes an action for people.
func (a Action) String() string {
	return fmt.Sprintf("%s: hold %d parts, load %d MB, drop %d", a.Server, len(a.Hold), a.Load, len(a.Drops))
}
