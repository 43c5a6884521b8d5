package fakes

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/cranberrybay/cranberrybay/engine"
)

// ErrStaleFence reports an order with an outdated fencing number.
var ErrStaleFence = errors.New("fencing number is old")

// ErrOutOfMemory reports an order whose parts do not fit in memory.
var ErrOutOfMemory = errors.New("parts do not fit in memory")

// PartManagerConfig configures a PartManager.
type PartManagerConfig struct {
	Memory        int // memory for weights in MB
	Fenced        bool
	Weights       *WeightStore // nil if loading takes no time
	Parts         []engine.Part
	FirstPartSize int // size in MB of the first part of NewManagedEngine
	// OnChange is called for each event of a part: "ready", "unloaded", "serves" or
	// "stopped". The manager's lock is not held during the call. May be nil.
	OnChange func(event string, p engine.Part, fence uint64)
}

// PartManager applies orders to hold and serve model parts and tracks the parts of
// one engine.
type PartManager struct {
	cfg    PartManagerConfig
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	parts   []engine.PartState
	loading map[engine.Part]context.CancelFunc
	wanted  *engine.Part // to be served as soon as it is ready
	serve   *engine.Part
	fence   uint64
	applied int
}

// NewPartManager returns the manager of an engine that holds cfg.Parts and serves
// the first of them.
func NewPartManager(cfg PartManagerConfig) *PartManager {
	if cfg.OnChange == nil {
		cfg.OnChange = func(string, engine.Part, uint64) {}
	}
	m := &PartManager{cfg: cfg, loading: map[engine.Part]context.CancelFunc{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Parts {
		m.parts = append(m.parts, engine.PartState{Part: p, Ready: true})
	}
	if len(cfg.Parts) > 0 {
		p := cfg.Parts[0]
		m.serve, m.wanted = &p, &p
	}
	return m
}

// Close cancels the loads in progress.
func (m *PartManager) Close() { m.cancel() }

// Holding returns the parts that the engine holds and serves.
func (m *PartManager) Holding() engine.OrderStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holding()
}

func (m *PartManager) holding() engine.OrderStatus {
	return engine.OrderStatus{Memory: m.cfg.Memory, Parts: append([]engine.PartState(nil), m.parts...), Serve: m.serve, Fence: m.fence}
}

// AppliedOrders returns the number of orders that were applied.
func (m *PartManager) AppliedOrders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// partChange is an event of a part, reported to OnChange.
type partChange struct {
	event string
	part  engine.Part
}

// Apply applies an order: it unloads parts, starts to load others and selects the
// part to serve. It rejects an outdated fencing number and parts that do not fit.
func (m *PartManager) Apply(order engine.Order) (engine.OrderStatus, error) {
	m.mu.Lock()
	if m.cfg.Fenced && order.Fence < m.fence {
		defer m.mu.Unlock()
		return m.holding(), ErrStaleFence
	}
	total := 0
	for _, p := range order.Hold {
		total += p.Size
	}
	if total > m.cfg.Memory {
		defer m.mu.Unlock()
		return m.holding(), ErrOutOfMemory
	}
	m.fence = max(m.fence, order.Fence)
	m.applied++
	changes := m.unload(order.Hold)
	if m.wanted = order.Serve; m.wanted == nil && m.serve != nil {
		changes = append(changes, partChange{"stopped", *m.serve})
		m.serve = nil
	}
	for _, p := range order.Hold {
		m.load(p)
	}
	changes = append(changes, m.serveWanted()...)
	holding := m.holding()
	m.mu.Unlock()
	for _, c := range changes {
		m.cfg.OnChange(c.event, c.part, order.Fence)
	}
	return holding, nil
}

// unload drops the parts that are not in hold. The caller holds m.mu.
func (m *PartManager) unload(hold []engine.Part) []partChange {
	keep := map[engine.Part]bool{}
	for _, p := range hold {
		keep[p.Key()] = true
	}
	var changes []partChange
	remaining := m.parts[:0:0]
	for _, h := range m.parts {
		k := h.Key()
		if keep[k] {
			remaining = append(remaining, h)
			continue
		}
		if cancel := m.loading[k]; cancel != nil {
			cancel()
			delete(m.loading, k)
		}
		if m.serve != nil && m.serve.Key() == k {
			m.serve = nil
		}
		if h.Ready {
			changes = append(changes, partChange{"unloaded", h.Part})
		}
	}
	m.parts = remaining
	return changes
}

// load starts to load a part unless it is held already. The caller holds m.mu.
func (m *PartManager) load(p engine.Part) {
	for _, h := range m.parts {
		if h.Key() == p.Key() {
			return
		}
	}
	m.parts = append(m.parts, engine.PartState{Part: p})
	ctx, cancel := context.WithCancel(m.ctx)
	m.loading[p.Key()] = cancel
	go func() {
		defer cancel()
		var err error
		if m.cfg.Weights != nil {
			err = m.cfg.Weights.Load(ctx, p.Size)
		}
		m.finishLoad(ctx, p, err)
	}()
}

// finishLoad marks a part as ready, or removes it if its load failed.
func (m *PartManager) finishLoad(ctx context.Context, p engine.Part, err error) {
	m.mu.Lock()
	if ctx.Err() != nil {
		m.mu.Unlock()
		return // the part was unloaded during the load
	}
	delete(m.loading, p.Key())
	var changes []partChange
	for i, h := range m.parts {
		switch {
		case h.Key() != p.Key():
		case err != nil:
			m.parts = append(m.parts[:i:i], m.parts[i+1:]...)
		default:
			m.parts[i].Ready = true
			changes = append([]partChange{{"ready", p}}, m.serveWanted()...)
		}
		if h.Key() == p.Key() {
			break
		}
	}
	fence := m.fence
	m.mu.Unlock()
	for _, c := range changes {
		m.cfg.OnChange(c.event, c.part, fence)
	}
}

// serveWanted serves the wanted part if it is ready. The caller holds m.mu.
func (m *PartManager) serveWanted() []partChange {
	if m.wanted == nil || m.serve != nil && m.serve.Key() == m.wanted.Key() {
		return nil
	}
	for _, h := range m.parts {
		if h.Ready && h.Key() == m.wanted.Key() {
			p := h.Part
			m.serve = &p
			return []partChange{{"serves", p}}
		}
	}
	return nil
}

// ServeHTTP serves /order: GET returns the holding, POST applies an order.
func (m *PartManager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, m.Holding())
		return
	}
	var order engine.Order
	if !decodeBody(w, r, &order) {
		return
	}
	h, err := m.Apply(order)
	switch {
	case errors.Is(err, ErrStaleFence):
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		w.Header().Set(engine.NotRunHeader, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		writeJSON(w, h)
	}
}

// NewManagedEngine returns an engine whose parts are controlled by orders, its
// PartManager, and the HTTP handler of both. The layer range in cfg is its first
// part. A loaded part continues to serve the requests that started on it until it
// is unloaded.
func NewManagedEngine(cfg EngineConfig, config PartManagerConfig) (*Engine, *PartManager, http.Handler) {
	e := NewEngine(cfg)
	first := engine.Part{Model: cfg.Model, Version: cfg.Version, First: cfg.First, Last: cfg.Last, Size: config.FirstPartSize}
	config.Parts = []engine.Part{first}
	changed := config.OnChange
	var manager *PartManager
	config.OnChange = func(event string, p engine.Part, fence uint64) {
		h := manager.Holding()
		e.SetParts(h.Serve, h.Parts)
		if changed != nil {
			changed(event, p, fence)
		}
	}
	manager = NewPartManager(config)
	mux := http.NewServeMux()
	mux.Handle("/order", manager)
	mux.Handle("/", e.Handler())
	return e, manager, mux
}
