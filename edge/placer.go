package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/shard"
)

const (
	leaseTerm       = 4 * time.Second         // the store answers within milliseconds, so a successor needs no longer term
	orderTimeout    = 800 * time.Millisecond  // of one order to an engine
	renewInterval   = 1200 * time.Millisecond // allows three attempts within a term
	observeInterval = 2 * time.Second         // between reads of the lease by a process that doesn't hold it
	stepTimeout     = 1200 * time.Millisecond // of a read or a renewal of the lease with its retry; a slow store takes 0.5 s
	// yieldAfter is how long renewals must fail before a holder checks whether other
	// processes still reach the store.
	yieldAfter = 1500 * time.Millisecond
	// yieldLag is by how much the others' knowledge must be newer for the holder to
	// give up the lease. They poll every second.
	yieldLag     = 1200 * time.Millisecond
	planInterval = 300 * time.Millisecond // planning reads the server table, which costs microseconds
	// loadSlack is added to the expected time of a load before the order is sent
	// again. An order may be executed seconds late.
	loadSlack       = 3 * time.Second
	minOrderTimeout = 2 * time.Second // until an order that needs no load is sent again
	// overdueRemaining is the remaining lease time, as announced by the holder, below
	// which hubs start to read the lease's row: a renewal is then 0.6 s overdue.
	// A holder that was killed between a renewal and its next heartbeat leaves a row
	// that is newer than its announcement, and a successor counts the term from its
	// first read of that row.
	overdueRemaining = leaseTerm - renewInterval - 600*time.Millisecond
	// hubMinAge is how long a process must be the hub before it reads the lease's row:
	// at the start, every process takes itself for the hub until it hears of others.
	hubMinAge = time.Second
	// maxFirstStepDelay bounds the time from the start to the first read of the lease.
	maxFirstStepDelay = 800 * time.Millisecond
	// shiftAfter is how long a failure domain must lack layers before the layer ranges
	// of all its engines are moved: an engine that crashed is back within seconds.
	shiftAfter = 2500 * time.Millisecond
	// freshAge is the age below which an engine doesn't become a spare copy yet: an
	// older engine may be about to leave, and the new one replaces it.
	freshAge = 4 * time.Second
	// layoutSettle is how long no new engine must have joined before the first
	// layout is made. Engines write their first entries within one heartbeat.
	layoutSettle = 1500 * time.Millisecond
)

// Placer assigns layer ranges to engines and sends them orders while this process holds
// the placement lease.
type Placer struct {
	lease         *lease.Holder
	leaveToOthers func() bool // reports whether other processes should take the lease
	// behind returns by how much the other processes' knowledge is newer than this
	// process's own last poll of the platform; nil for never.
	behind  func() time.Duration
	tracker *config.Tracker
	servers *server.Table
	place   func(ctx context.Context, e server.Entry, r shard.Range, fence, accepted uint64) error
	// streams returns the number of streams of all entry processes that pass through
	// an engine.
	streams func(s *server.Server) int
	// acceptedOrders returns the number of orders that an engine has accepted, and
	// whether one of them is in progress.
	acceptedOrders func(ctx context.Context, address string) (orders uint64, busy bool, err error)
	// rests reports whether an engine asked this process for a pause, which holds for orders as well.
	rests    func(s *server.Server) bool
	log      zerolog.Logger
	counters *counters

	// The fields below are used by Run only, except results and the atomic ones.
	pending     map[string]*pendingOrder // by server
	failures    map[string]orderFailures // by server
	orders      map[string]orderCount    // by server
	results     chan orderResult
	held        bool
	renewed     time.Duration // clock.Now of the last step that the store answered
	sending     atomic.Int32  // orders whose answer is outstanding
	leaving     atomic.Bool   // the process stops
	shortSince  time.Time     // when a failure domain began to lack layers; zero if none does
	engineCount int           // engines at the last check, before any of them holds layers
	countSince  time.Duration // clock.Now when engineCount last changed
}

// pendingOrder is an order that an engine has not finished.
type pendingOrder struct {
	want    shard.Range
	born    int64         // incarnation of the engine
	retryAt time.Duration // clock.Now at which the order is sent again
}

// orderCount is the number of orders that one incarnation of an engine has accepted.
type orderCount struct {
	born   int64
	orders uint64
}

// orderFailures holds the failed orders to one incarnation of an engine since the last one that it accepted.
type orderFailures struct {
	born        int64
	count       int
	pauses      int
	pausedUntil time.Duration // clock.Now until which the engine is not planned if it holds no layers
}

const (
	// maxOrderFailures is the number of failed orders after which an engine that holds no layers is
	// not planned for a while: its entry may name no engine, and nobody would load its layers.
	maxOrderFailures = 5
	// firstOrderPause and longestOrderPause bound that while, which doubles with each further failure. It
	// begins short because an engine may also be out of reach of this process only.
	firstOrderPause   = 2 * time.Second
	longestOrderPause = 30 * time.Second
)

// orderResult is the result of sending an order.
type orderResult struct {
	id       string
	accepted orderCount // as far as the answer tells
	err      error
}

// Run takes and renews the lease, and places layers while it is held, until the context
// ends.
func (p *Placer) Run(ctx context.Context) {
	p.pending, p.orders, p.results = map[string]*pendingOrder{}, map[string]orderCount{}, make(chan orderResult, 64)
	p.failures = map[string]orderFailures{}
	// By then a holder has announced its lease.
	next := clock.Now() + rand.N(maxFirstStepDelay)
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		if clock.Now() >= next || p.vacant() {
			next = clock.Now() + p.step(ctx)
		}
		if p.held && !p.leaving.Load() {
			p.plan(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case o := <-p.results:
			p.handleResult(o)
		case <-tick.C:
		}
	}
}

// release hands over the lease, which this process doesn't take again. It is called
// first when the process stops, because it takes one send timeout.
func (p *Placer) release(ctx context.Context) {
	p.leaving.Store(true)
	if err := p.lease.Release(ctx); err != nil {
		p.log.Warn().Err(err).Msg("failed to release the lease; a successor waits until it expires")
	}
}

// vacant reports whether the holder announced that the lease is free, so that this
// process may take it without waiting for the next step.
func (p *Placer) vacant() bool { return !p.held && !p.leaving.Load() && p.lease.Vacant() }

// step takes or renews the lease and returns the time to the next step.
func (p *Placer) step(ctx context.Context) time.Duration {
	if p.leaving.Load() || (!p.held && p.leaveToOthers()) {
		return planInterval // the row need not be read
	}
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := p.lease.Step(stepCtx); err != nil {
		p.log.Warn().Err(err).Msg("lease step failed")
		p.yieldIfIsolated()
	} else {
		p.renewed = clock.Now()
	}
	fence, deadline, held := p.lease.Held()
	if held != p.held {
		p.held = held
		clear(p.pending)
		clear(p.orders)
		if held {
			p.log.Info().Uint64("fence", fence).Time("until", deadline).Msg("lease taken")
			p.counters.event("lease")
		} else {
			p.log.Info().Uint64("fence", fence).Msg("lease lost")
		}
	}
	if held {
		return renewInterval
	}
	return observeInterval
}

// yieldIfIsolated gives up the lease if only this process has lost the store. The others
// take the lease as soon as they hear that it has ended.
func (p *Placer) yieldIfIsolated() {
	if !p.held || p.behind == nil || clock.Now()-p.renewed < yieldAfter {
		return
	}
	if lag := p.behind(); lag >= yieldLag {
		p.log.Warn().Dur("failing", clock.Now()-p.renewed).Dur("behind", lag).Msg("other processes reach the store; giving up the lease")
		p.lease.Drop()
	}
}

// plan sends the orders that are needed in the present state of the engines.
func (p *Placer) plan(ctx context.Context) {
	conf := p.tracker.Current()
	if conf == nil {
		return
	}
	byService := map[string][]*server.Server{}
	listed := map[string]bool{}
	for _, s := range p.servers.All() {
		listed[s.ID()] = true
		byService[s.Entry().Service] = append(byService[s.Entry().Service], s)
	}
	for id := range p.pending {
		if !listed[id] {
			delete(p.pending, id) // the engine left before it finished the order
		}
	}
	maps.DeleteFunc(p.failures, func(id string, _ orderFailures) bool { return !listed[id] })
	for name, servers := range byService {
		service, ok := conf.Service(name)
		if !ok || service.Engine == nil || service.Engine.Layers == 0 {
			continue
		}
		p.planService(ctx, service, servers)
	}
}

// copyTokens returns the context that copies of the model of a service need: more where streams compete
// for the engines, and the same on all layers where the engines differ widely. 0 for the default.
func copyTokens(s config.Service) float64 {
	switch {
	case s.Competing():
		return shard.LargeCopyTokens
	case s.Uneven():
		return shard.EqualCopyTokens
	default:
		return 0
	}
}

func (p *Placer) planService(ctx context.Context, service config.Service, servers []*server.Server) {
	e := service.Engine
	model := shard.Model{Layers: e.Layers, LayerMB: e.LayerMemory, TokenMB: e.TokenMemory / float64(e.Layers) / 1e6, CopyTokens: copyTokens(service)}
	var engines []shard.Engine
	byID := map[string]*server.Server{}
	empty := true
	for _, s := range servers {
		entry := s.Entry()
		accelerator, ok := e.Accelerators[entry.Accelerator]
		if !ok || s.Leaving() || p.isPaused(entry) {
			continue
		}
		byID[entry.ID] = s
		engines = append(engines, shard.Engine{
			ID: entry.ID, Domain: entry.Domain, Memory: accelerator.Memory, StepFactor: accelerator.StepFactor, Assigned: p.assignedRange(entry),
			JustJoined: s.KnownFor() < freshAge, Streams: p.streams(s),
		})
	}
	for _, x := range engines {
		empty = empty && x.Assigned.Len() == 0
	}
	if empty && !p.settled(len(engines)) {
		return
	}
	loading := 0
	shift := !p.shortSince.IsZero() && time.Since(p.shortSince) > shiftAfter && len(p.pending) == 0
	plan, short := shard.Plan(model, engines, shift)
	switch {
	case !short:
		p.shortSince = time.Time{}
	case p.shortSince.IsZero():
		p.shortSince = time.Now()
		p.log.Warn().Int("engines", len(engines)).Msg("a failure domain lacks layers")
	}
	for id, want := range plan {
		entry := byID[id].Entry()
		if entry.From == want.From && entry.To == want.To {
			continue
		}
		if o := p.pending[id]; o != nil && o.want == want && o.born == entry.Started && clock.Now() < o.retryAt {
			loading++
			continue
		}
		if p.rests(byID[id]) {
			continue
		}
		p.order(ctx, e, entry, want, loading)
		loading++
	}
}

// isPaused reports whether an engine is not planned because it has taken no order.
func (p *Placer) isPaused(e server.Entry) bool {
	x := p.failures[e.ID]
	if x.born != e.Started || e.From < e.To || clock.Now() >= x.pausedUntil {
		return false
	}
	delete(p.pending, e.ID)
	return true
}

// recordFailure records a failed order.
func (p *Placer) recordFailure(id string, born int64, err error) {
	x := p.failures[id]
	if x.born != born {
		x = orderFailures{born: born}
	}
	x.count++
	if x.count >= maxOrderFailures || errors.Is(err, shard.ErrMisdirected) {
		pause := min(firstOrderPause<<min(x.pauses, 4), longestOrderPause)
		x.pauses++
		x.pausedUntil = clock.Now() + pause
		p.log.Warn().Str("server", id).Int("failures", x.count).Dur("pause", pause).Msg("engine takes no orders, not planned unless it holds layers")
	}
	p.failures[id] = x
}

// settled reports whether the number of engines has stopped changing. The first layout
// is made for all engines at once, but they register one after the other at the start.
func (p *Placer) settled(engines int) bool {
	if engines != p.engineCount {
		p.engineCount, p.countSince = engines, clock.Now()
	}
	return engines > 0 && clock.Now()-p.countSince >= layoutSettle
}

// assignedRange returns the layers that an engine holds or was ordered to hold.
func (p *Placer) assignedRange(e server.Entry) shard.Range {
	r := shard.Range{From: e.From, To: e.To}
	o := p.pending[e.ID]
	switch {
	case o == nil:
		return r
	case o.born != e.Started || r == o.want:
		delete(p.pending, e.ID) // the engine restarted, or has finished the order
		return r
	default:
		return o.want
	}
}

// order records an order as pending and sends it on a goroutine. The expected load time
// grows with the number of engines that load already.
func (p *Placer) order(ctx context.Context, e *config.Engine, entry server.Entry, want shard.Range, loading int) {
	fence, ok := p.lease.MaySend()
	if !ok {
		return
	}
	loadTime := time.Duration(float64(e.LoadTime) * float64(want.Len()) / float64(max(e.Layers, 1)))
	slowdown := 1 + loading/max(e.LoadsAtOnce, 1)
	timeout := max(loadTime*time.Duration(slowdown)+loadSlack, minOrderTimeout)
	resent := p.pending[entry.ID] != nil
	p.pending[entry.ID] = &pendingOrder{want: want, born: entry.Started, retryAt: clock.Now() + timeout}
	p.log.Info().Str("server", entry.ID).Str("address", entry.Address).Int("from", want.From).Int("to", want.To).
		Int("heldfrom", entry.From).Int("heldto", entry.To).Uint64("fence", fence).Dur("load", loadTime).Msg("order sent")
	p.counters.event("order")
	accepted, ok := p.orders[entry.ID]
	if resent {
		accepted.born = unknownBorn // the earlier order may have been executed late
	}
	switch {
	case ok && accepted.born == unknownBorn:
		accepted, ok = orderCount{born: entry.Started}, false
	case !ok || accepted.born != entry.Started:
		// An engine without layers has most likely accepted no order.
		accepted, ok = orderCount{born: entry.Started}, entry.From == entry.To
	}
	p.sending.Add(1)
	go func() {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		o := p.send(orderCtx, entry, want, fence, accepted, ok)
		p.sending.Add(-1)
		select {
		case p.results <- o:
		case <-ctx.Done():
		}
	}()
}

// send sends an order. If the number of orders that the engine has accepted is not
// known, send reads it first: the engine rejects an order with another number, so an
// older order that arrives late has no effect.
func (p *Placer) send(ctx context.Context, entry server.Entry, want shard.Range, fence uint64, accepted orderCount, known bool) orderResult {
	o := orderResult{id: entry.ID, accepted: accepted}
	if !known {
		n, busy, err := p.acceptedOrders(ctx, entry.Address)
		if err == nil && busy {
			err = errBusy
		}
		if err != nil {
			o.err = err
			return o
		}
		o.accepted.orders = n
		if _, ok := p.lease.MaySend(); !ok {
			o.err = errLeaseEnded
			return o
		}
	}
	o.err = p.place(ctx, entry, want, fence, o.accepted.orders)
	if o.err == nil {
		o.accepted.orders++
	}
	return o
}

var (
	errLeaseEnded = errors.New("the lease ended before the order was sent")
	// errBusy: an engine that gives up layers waits for the streams that pass through
	// them, which can take longer than any load. Another order would restart that
	// wait.
	errBusy = errors.New("the engine is executing an order")
)

// unknownBorn marks an engine whose number of accepted orders is not known.
const unknownBorn = -1

// orderRetryDelay is the pause before a failed order is sent again.
const orderRetryDelay = 700 * time.Millisecond

// handleResult records the result of an order and schedules the retry of a failed one.
func (p *Placer) handleResult(o orderResult) {
	pending := p.pending[o.id]
	if o.err == nil {
		p.orders[o.id] = o.accepted
		delete(p.failures, o.id)
		return
	}
	if !errors.Is(o.err, errBusy) && !errors.Is(o.err, errLeaseEnded) {
		p.recordFailure(o.id, o.accepted.born, o.err)
	}
	// The engine may have accepted the failed order, so the number is read again.
	p.orders[o.id] = orderCount{born: unknownBorn}
	if pending == nil {
		return
	}
	p.log.Warn().Err(o.err).Str("server", o.id).Msg("order failed")
	if errors.Is(o.err, shard.ErrFenced) {
		p.log.Warn().Str("server", o.id).Msg("fencing number refused; giving up the lease")
		p.lease.Drop()
		p.held = false
		clear(p.pending)
		return
	}
	pending.retryAt = min(pending.retryAt, clock.Now()+orderRetryDelay)
}
