package fakes

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/cranberrybay/cranberrybay/engine"
)

// ErrStaleFence reports an order with an old fencing number.
var ErrStaleFence = errors.New("fencing number is old")

// ErrOutOfMemory reports an order that does not fit.
var ErrOutOfMemory = errors.New("parts do not fit in memory")

// PartManagerConfig describes the order side of an engine stand-in.
type PartManagerConfig struct {
	Memory        int // MB for weights
	Fenced        bool
	Weights       *WeightStore // nil for loads that take no time
	Parts         []engine.Part
	FirstPartSize int // MB of the first part of NewOrdered
	// OnChange is called, without the lock, with each part that became
	// ready, was unloaded or is served from now on; may be nil.
	OnChange func(what string, p engine.Part, fence uint64)
}

// PartManager takes orders for one engine and keeps what the engine holds.
type PartManager struct {
	cfg    PartManagerConfig
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	parts   []engine.Held
	loading map[engine.Part]context.CancelFunc
	wanted  *engine.Part // to serve once it is ready
	serve   *engine.Part
	fence   uint64
	taken   int
}

// NewPartManager returns the order side of an engine that holds cfg.Parts and
// serves the first of them.
func NewPartManager(cfg PartManagerConfig) *PartManager {
	if cfg.OnChange == nil {
		cfg.OnChange = func(string, engine.Part, uint64) {}
	}
	o := &PartManager{cfg: cfg, loading: map[engine.Part]context.CancelFunc{}}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Parts {
		o.parts = append(o.parts, engine.Held{Part: p, Ready: true})
	}
	if len(cfg.Parts) > 0 {
		p := cfg.Parts[0]
		o.serve, o.wanted = &p, &p
	}
	return o
}

// Close ends loads that run.
func (o *PartManager) Close() { o.cancel() }

// Holding returns what the engine holds.
func (o *PartManager) Holding() engine.Holding {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holding()
}

func (o *PartManager) holding() engine.Holding {
	return engine.Holding{Memory: o.cfg.Memory, Parts: append([]engine.Held(nil), o.parts...), Serve: o.serve, Fence: o.fence}
}

// AppliedOrders returns the number of orders that took effect.
func (o *PartManager) AppliedOrders() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.taken
}

type change struct {
	what string
	part engine.Part
}

// Apply takes an order.
func (o *PartManager) Apply(rq engine.Order) (engine.Holding, error) {
	o.mu.Lock()
	if o.cfg.Fenced && rq.Fence < o.fence {
		defer o.mu.Unlock()
		return o.holding(), ErrStaleFence
	}
	total := 0
	for _, p := range rq.Hold {
		total += p.Size
	}
	if total > o.cfg.Memory {
		defer o.mu.Unlock()
		return o.holding(), ErrOutOfMemory
	}
	o.fence = max(o.fence, rq.Fence)
	o.taken++
	changes := o.unload(rq.Hold)
	if o.wanted = rq.Serve; o.wanted == nil && o.serve != nil {
		changes = append(changes, change{"stopped", *o.serve})
		o.serve = nil
	}
	for _, p := range rq.Hold {
		o.load(p)
	}
	changes = append(changes, o.switchTo()...)
	h := o.holding()
	o.mu.Unlock()
	for _, c := range changes {
		o.cfg.OnChange(c.what, c.part, rq.Fence)
	}
	return h, nil
}

// unload drops the parts that are not to be held. It needs the lock.
func (o *PartManager) unload(hold []engine.Part) []change {
	keep := map[engine.Part]bool{}
	for _, p := range hold {
		keep[p.Key()] = true
	}
	var changes []change
	left := o.parts[:0:0]
	for _, h := range o.parts {
		k := h.Key()
		if keep[k] {
			left = append(left, h)
			continue
		}
		if stop := o.loading[k]; stop != nil {
			stop()
			delete(o.loading, k)
		}
		if o.serve != nil && o.serve.Key() == k {
			o.serve = nil
		}
		if h.Ready {
			changes = append(changes, change{"unloaded", h.Part})
		}
	}
	o.parts = left
	return changes
}

// load starts the load of a part that is not held. It needs the lock.
func (o *PartManager) load(p engine.Part) {
	for _, h := range o.parts {
		if h.Key() == p.Key() {
			return
		}
	}
	o.parts = append(o.parts, engine.Held{Part: p})
	ctx, cancel := context.WithCancel(o.ctx)
	o.loading[p.Key()] = cancel
	go func() {
		defer cancel()
		var err error
		if o.cfg.Weights != nil {
			err = o.cfg.Weights.Load(ctx, p.Size)
		}
		o.loaded(ctx, p, err)
	}()
}

func (o *PartManager) loaded(ctx context.Context, p engine.Part, err error) {
	o.mu.Lock()
	if ctx.Err() != nil {
		o.mu.Unlock()
		return // unloaded in the meantime
	}
	delete(o.loading, p.Key())
	var changes []change
	for i, h := range o.parts {
		switch {
		case h.Key() != p.Key():
		case err != nil:
			o.parts = append(o.parts[:i:i], o.parts[i+1:]...)
		default:
			o.parts[i].Ready = true
			changes = append([]change{{"ready", p}}, o.switchTo()...)
		}
		if h.Key() == p.Key() {
			break
		}
	}
	fence := o.fence
	o.mu.Unlock()
	for _, c := range changes {
		o.cfg.OnChange(c.what, c.part, fence)
	}
}

// switchTo serves the wanted part when it is ready. It needs the lock.
func (o *PartManager) switchTo() []change {
	if o.wanted == nil || o.serve != nil && o.serve.Key() == o.wanted.Key() {
		return nil
	}
	for _, h := range o.parts {
		if h.Ready && h.Key() == o.wanted.Key() {
			p := h.Part
			o.serve = &p
			return []change{{"serves", p}}
		}
	}
	return nil
}

// ServeHTTP answers /order.
func (o *PartManager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		reply(w, o.Holding())
		return
	}
	var rq engine.Order
	if !accept(w, r, &rq) {
		return
	}
	h, err := o.Apply(rq)
	switch {
	case errors.Is(err, ErrStaleFence):
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		reply(w, h)
	}
}

// NewManagedEngine returns an engine that serves what its orders say, and the HTTP
// interface of both. The engine's layer range is its first part. A part that
// was loaded goes on to serve the requests that began on it until it is
// unloaded.
func NewManagedEngine(cfg EngineConfig, oc PartManagerConfig) (*Engine, *PartManager, http.Handler) {
	e := NewEngine(cfg)
	first := engine.Part{Model: cfg.Model, Version: cfg.Version, First: cfg.First, Last: cfg.Last, Size: oc.FirstPartSize}
	oc.Parts = []engine.Part{first}
	changed := oc.OnChange
	var o *PartManager
	oc.OnChange = func(what string, p engine.Part, fence uint64) {
		h := o.Holding()
		e.SetParts(h.Serve, h.Parts)
		if changed != nil {
			changed(what, p, fence)
		}
	}
	o = NewPartManager(oc)
	m := http.NewServeMux()
	m.Handle("/order", o)
	m.Handle("/", e.Handler())
	return e, o, m
}
