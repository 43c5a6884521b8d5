package edge

import (
	"context"
	"errors"
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
	leaseTerm    = 4 * time.Second         // the store answers within milliseconds; a successor needs no more
	orderTimeout = 800 * time.Millisecond  // of one order to an engine
	renewEvery   = 1200 * time.Millisecond // three tries within a term
	observeEvery = 2 * time.Second         // of processes that do not hold the lease
	stepTimeout  = 1200 * time.Millisecond // of a look at the lease or a renewal with its repeat; a slow store takes 0.5 s
	// yieldAfter is how long renewals fail until a holder asks whether others still
	// reach the store.
	yieldAfter = 1500 * time.Millisecond
	// yieldBehind is how much newer the knowledge of others must be for that: they
	// poll each second.
	yieldBehind = 1200 * time.Millisecond
	planEvery   = 300 * time.Millisecond // reading the table costs microseconds
	// loadSlack is added to the expected time of a load before the order is
	// given again; an order may be carried out seconds late.
	loadSlack    = 3 * time.Second
	minOrderWait = 2 * time.Second // until an order that takes no load is given again
	// doubtLeft is the time that a holder's word leaves below which the hubs look at the
	// lease's row: a renewal is half a second overdue. A holder that was killed between a
	// renewal and its next heartbeat leaves a row that is newer than its word, and a
	// successor counts the term from its first look at that row.
	doubtLeft = leaseTerm - renewEvery - 600*time.Millisecond
	// hubSteady is how long a process is the hub before it looks at the lease: at the
	// start each one takes itself for the hub until it has heard of others.
	hubSteady = time.Second
	// firstStep bounds the time from the start to the first look at the lease.
	firstStep = 800 * time.Millisecond
	// shiftAfter is how long a failure domain lacks layers until all its engines
	// move: an engine that crashed is back within some seconds.
	shiftAfter = 2500 * time.Millisecond
	// freshTime is how long a new engine waits for an old one to leave before it
	// becomes a spare copy.
	freshTime = 4 * time.Second
	// settleTime without a new engine begins the first layout. Engines write
	// their first entries within one heartbeat.
	settleTime = 1500 * time.Millisecond
)

// Placer gives orders to engines while this process holds the lease.
type Placer struct {
	lease  *lease.Holder
	others func() bool // tells whether the lease is left to other processes
	// behind returns how much newer what other processes know is than what this
	// one's own polls of the platform showed; nil for never.
	behind  func() time.Duration
	holder  *config.Holder
	servers *server.Table
	place   func(ctx context.Context, address string, r shard.Range, fence, accepted uint64) error
	// streams returns the streams of all entry processes that pass through an engine.
	streams func(s *server.Server) int
	// accepted returns the number of orders that an engine has accepted, and whether
	// one of them is in progress.
	accepted func(ctx context.Context, address string) (orders uint64, busy bool, err error)
	log      zerolog.Logger
	count    *counters

	pending map[string]*pending // by server; used by Run only
	orders  map[string]accepted // by server, the orders that it has accepted; used by Run only
	done    chan ordered
	held    bool
	renewed time.Duration // clock.Now of the last step that the store answered; used by Run only
	sending atomic.Int32  // orders under way
	leaving atomic.Bool   // the process stops
	short   time.Time     // since when a failure domain lacks layers; zero when none does
	seen    int           // engines at the last look, before any holds layers
	since   time.Duration // clock.Now since when there are as many
}

// pending is an order that an engine has not finished.
type pending struct {
	want  shard.Range
	born  int64
	until time.Duration // clock.Now at which the order is given again
}

// accepted is a number of orders of one incarnation of an engine.
type accepted struct {
	born   int64
	orders uint64
}

// ordered is the answer to an order.
type ordered struct {
	id    string
	known accepted // as far as the answer tells
	err   error
}

// Run steps the lease and places layers until the context ends.
func (p *Placer) Run(ctx context.Context) {
	p.pending, p.orders, p.done = map[string]*pending{}, map[string]accepted{}, make(chan ordered, 64)
	// By then a holder has told that it has the lease.
	next := clock.Now() + rand.N(firstStep)
	tick := time.NewTicker(planEvery)
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
		case o := <-p.done:
			p.answered(o)
		case <-tick.C:
		}
	}
}

// release hands the lease on; this process takes it no more. It takes a send
// timeout, so that it is begun first when the process stops.
func (p *Placer) release(ctx context.Context) {
	p.leaving.Store(true)
	if err := p.lease.Release(ctx); err != nil {
		p.log.Warn().Err(err).Msg("lease not released; a successor waits for its end")
	}
}

// vacant tells whether the holder said that the lease is free, so that the next look
// need not wait.
func (p *Placer) vacant() bool { return !p.held && !p.leaving.Load() && p.lease.Vacant() }

// step takes or renews the lease and returns the time to the next step.
func (p *Placer) step(ctx context.Context) time.Duration {
	if p.leaving.Load() || (!p.held && p.others()) {
		return planEvery // the row need not be read
	}
	sctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := p.lease.Step(sctx); err != nil {
		p.log.Warn().Err(err).Msg("lease step failed")
		p.yield()
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
			p.count.event("lease")
		} else {
			p.log.Info().Uint64("fence", fence).Msg("lease lost")
		}
	}
	if held {
		return renewEvery
	}
	return observeEvery
}

// yield gives the lease up when this process alone has lost the store: the others
// take it as soon as they hear so.
func (p *Placer) yield() {
	if !p.held || p.behind == nil || clock.Now()-p.renewed < yieldAfter {
		return
	}
	if newer := p.behind(); newer >= yieldBehind {
		p.log.Warn().Dur("failing", clock.Now()-p.renewed).Dur("behind", newer).Msg("other processes reach the store; giving up the lease")
		p.lease.Drop()
	}
}

// plan gives the orders that the state of the engines asks for.
func (p *Placer) plan(ctx context.Context) {
	conf := p.holder.Current()
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
			delete(p.pending, id) // it left before its order was done
		}
	}
	for name, all := range byService {
		service, ok := conf.Service(name)
		if !ok || service.Engine == nil || service.Engine.Layers == 0 {
			continue
		}
		p.planService(ctx, service.Engine, all)
	}
}

func (p *Placer) planService(ctx context.Context, e *config.Engine, all []*server.Server) {
	model := shard.Model{Layers: e.Layers, LayerMB: e.LayerMemory, TokenMB: e.TokenMemory / float64(e.Layers) / 1e6}
	var engines []shard.Engine
	byID := map[string]*server.Server{}
	empty := true
	for _, s := range all {
		entry := s.Entry()
		card, ok := e.Cards[entry.Card]
		if !ok || entry.Draining {
			continue
		}
		byID[entry.ID] = s
		engines = append(engines, shard.Engine{
			ID: entry.ID, Domain: entry.Domain, Memory: card.Memory, StepFactor: card.Pace, Assigned: p.holds(entry),
			JustJoined: s.Known() < freshTime, Streams: p.streams(s),
		})
	}
	for _, x := range engines {
		empty = empty && x.Assigned.Len() == 0
	}
	if empty && !p.settled(len(engines)) {
		return
	}
	loading := 0
	shift := !p.short.IsZero() && time.Since(p.short) > shiftAfter && len(p.pending) == 0
	plan, short := shard.Plan(model, engines, shift)
	switch {
	case !short:
		p.short = time.Time{}
	case p.short.IsZero():
		p.short = time.Now()
		p.log.Warn().Int("engines", len(engines)).Msg("a failure domain lacks layers")
	}
	for id, want := range plan {
		entry := byID[id].Entry()
		if entry.From == want.From && entry.To == want.To {
			continue
		}
		if x := p.pending[id]; x != nil && x.want == want && x.born == entry.Born && clock.Now() < x.until {
			loading++
			continue
		}
		p.order(ctx, e, entry, want, loading)
		loading++
	}
}

// settled tells whether the list of engines has stopped growing. The first
// layout is made for all engines at once, and they register one after the other
// at the start.
func (p *Placer) settled(engines int) bool {
	if engines != p.seen {
		p.seen, p.since = engines, clock.Now()
	}
	return engines > 0 && clock.Now()-p.since >= settleTime
}

// holds returns the layers that an engine holds or was ordered to hold.
func (p *Placer) holds(e server.Entry) shard.Range {
	r := shard.Range{From: e.From, To: e.To}
	x := p.pending[e.ID]
	switch {
	case x == nil:
		return r
	case x.born != e.Born || r == x.want:
		delete(p.pending, e.ID) // it started again, or the order is done
		return r
	default:
		return x.want
	}
}

func (p *Placer) order(ctx context.Context, e *config.Engine, entry server.Entry, want shard.Range, loading int) {
	fence, ok := p.lease.MaySend()
	if !ok {
		return
	}
	load := time.Duration(float64(e.Load) * float64(want.Len()) / float64(max(e.Layers, 1)))
	slower := 1 + loading/max(e.LoadsAtOnce, 1)
	wait := max(load*time.Duration(slower)+loadSlack, minOrderWait)
	again := p.pending[entry.ID] != nil
	p.pending[entry.ID] = &pending{want: want, born: entry.Born, until: clock.Now() + wait}
	p.log.Info().Str("server", entry.ID).Str("address", entry.Address).Int("from", want.From).Int("to", want.To).
		Int("heldfrom", entry.From).Int("heldto", entry.To).Uint64("fence", fence).Dur("load", load).Msg("order given")
	p.count.event("order")
	known, ok := p.orders[entry.ID]
	if again {
		known.born = unknownBorn // it may have been carried out late
	}
	switch {
	case ok && known.born == unknownBorn:
		known, ok = accepted{born: entry.Born}, false
	case !ok || known.born != entry.Born:
		// An engine without layers has most likely accepted no order.
		known, ok = accepted{born: entry.Born}, entry.From == entry.To
	}
	p.sending.Add(1)
	go func() {
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		o := p.send(octx, entry, want, fence, known, ok)
		p.sending.Add(-1)
		select {
		case p.done <- o:
		case <-ctx.Done():
		}
	}()
}

// send gives an order. When the number of orders that the engine has accepted is
// not known, it is read first, so that an older order that is carried out late
// finds another number.
func (p *Placer) send(ctx context.Context, entry server.Entry, want shard.Range, fence uint64, known accepted, sure bool) ordered {
	o := ordered{id: entry.ID, known: known}
	if !sure {
		n, busy, err := p.accepted(ctx, entry.Address)
		if err == nil && busy {
			err = errBusy
		}
		if err != nil {
			o.err = err
			return o
		}
		o.known.orders = n
		if _, ok := p.lease.MaySend(); !ok {
			o.err = errLease
			return o
		}
	}
	o.err = p.place(ctx, entry.Address, want, fence, o.known.orders)
	if o.err == nil {
		o.known.orders++
	}
	return o
}

var (
	errLease = errors.New("the lease ended before the order was sent")
	// errBusy: layers that an engine gives up wait for the streams that pass through
	// them, which can take longer than any load. Another order would begin that wait
	// again.
	errBusy = errors.New("the engine carries out an order")
)

// unknownBorn marks an engine whose number of orders is not known.
const unknownBorn = -1

// retryOrder is the pause before an order that was refused is given again.
const retryOrder = 700 * time.Millisecond

func (p *Placer) answered(o ordered) {
	x := p.pending[o.id]
	if o.err == nil {
		p.orders[o.id] = o.known
		return
	}
	// After a failed order the number is read again: the order may have been
	// accepted.
	p.orders[o.id] = accepted{born: unknownBorn}
	if x == nil {
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
	x.until = min(x.until, clock.Now()+retryOrder)
}
