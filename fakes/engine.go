package fakes

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/engine"
)

// EngineConfig describes an engine stand-in.
type EngineConfig struct {
	Kind       string // accelerator kind
	Model      string
	Version    string
	First      int
	Last       int
	Slots      int           // requests that run at once, 8 when zero
	Queue      int           // requests that wait for a slot, 256 when zero
	Memory     int           // positions of KV cache, 1<<20 when zero
	Pace       time.Duration // time of one batch iteration on this stage
	Prefill    time.Duration // further time for each position of a prefill, Pace/50 when zero
	Import     time.Duration // time to import one position, Pace/200 when zero
	LoadMaxAge time.Duration // age that a load report may reach
	EventDelay time.Duration // time until a cache event is published
	Client     *http.Client  // for calls to other stages, nil for one of its own
	Exports    *ExportStore  // storage of exports, nil for one of its own
}

// StageLinkFault is a fault of the link to another stage, in that direction only.
type StageLinkFault struct {
	Delay time.Duration `json:"delay"` // added to each call
	Cut   bool          `json:"cut"`   // calls are lost without an error
}

// EngineFaults are the switches of an engine. The zero value is healthy.
type EngineFaults struct {
	Dead            bool                      `json:"dead"`      // drops every connection
	Stall           bool                      `json:"stall"`     // takes requests and never answers
	Slow            int                       `json:"slow"`      // multiplies the time of an iteration
	Links           map[string]StageLinkFault `json:"links"`     // by address of the other stage
	DuplicateFrames bool                      `json:"duplicate"` // sends each frame twice
	ReorderFrames   bool                      `json:"late"`      // sends each second frame after its successor
	ForeignFrames   bool                      `json:"crossed"`   // sends a frame of another request before each frame
	SkipLastLayer   bool                      `json:"skip"`      // leaves out the last layer
	RepeatLastLayer bool                      `json:"double"`    // runs the last layer twice
	Refuse          bool                      `json:"refuse"`    // refuses new work as leaving, its report does not say so
	LoseEvents      bool                      `json:"gaps"`      // loses each third cache event
}

// Engine holds a layer range. The first stage of a route drives the answer:
// for each token it runs its layers and forwards the hidden state to the next
// stage, which returns the token.
type Engine struct {
	cfg     EngineConfig
	http    *http.Client
	mu      sync.Mutex
	idle    bool          // serves no part; set by orders
	held    []engine.Held // set by orders; nil when there are none
	boot    string
	faults  EngineFaults
	leaving bool
	used    int // positions computed
	slots   slots
	batch   batch
	states  map[string]*state
	ended   map[string]ending
	ran     map[string]bool // requests that any position was computed for
	cache   prefixCache
	report  engine.Load // last load report, up to cfg.Lag old
	asOf    time.Time
}

// NewEngine returns an engine that has its weights loaded.
func NewEngine(cfg EngineConfig) *Engine {
	setDefault(&cfg.Slots, 8)
	setDefault(&cfg.Queue, 256)
	setDefault(&cfg.Memory, 1<<20)
	setDefault(&cfg.Prefill, cfg.Pace/50)
	setDefault(&cfg.Import, cfg.Pace/200)
	e := &Engine{cfg: cfg, http: cfg.Client}
	if e.http == nil {
		e.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	}
	if e.cfg.Exports == nil {
		e.cfg.Exports = NewExportStore()
	}
	e.reset()
	return e
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// reset starts a new incarnation without state. Callers hold e.mu or own e.
func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.slots = slots{free: e.cfg.Slots}
	e.batch = batch{}
	e.states, e.ended = map[string]*state{}, map[string]ending{}
	e.ran = map[string]bool{}
	e.cache = prefixCache{blocks: map[uint64]uint64{}}
	e.asOf = time.Time{}
}

// Restart replaces the engine by a new incarnation that has lost all state
// and all faults.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.slots.waiting {
		close(w.ready)
	}
	e.faults, e.leaving = EngineFaults{}, false
	e.reset()
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving starts or ends the engine's leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetParts sets the part that load reports name and new work goes to, and the parts
// that requests may still run on.
func (e *Engine) SetParts(serve *engine.Part, held []engine.Held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held, e.idle, e.asOf = held, serve == nil, time.Time{}
	if serve != nil {
		e.cfg.Model, e.cfg.Version, e.cfg.First, e.cfg.Last = serve.Model, serve.Version, serve.First, serve.Last
	}
}

// ComputedPositions returns the number of positions that this engine has computed.
func (e *Engine) ComputedPositions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used
}

// HasComputed tells whether this incarnation has computed anything for a request. Only
// the first maxRan requests are recorded.
func (e *Engine) HasComputed(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[request]
}

const maxRan = 64 << 10

// UsedSlots returns the number of requests that hold a slot.
func (e *Engine) UsedSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Slots - e.slots.free
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /generate", e.generate)
	m.HandleFunc("POST /forward", e.forward)
	m.HandleFunc("POST /cancel", e.cancel)
	m.HandleFunc("POST /export", e.export)
	m.HandleFunc("POST /import", e.importState)
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.load(e.cfg.LoadMaxAge)) })
	m.HandleFunc("GET /events", e.events)
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if accept(w, r, &f) {
			e.SetFaults(f)
			reply(w, f)
		}
	})
	m.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.SetLeaving(true)
		reply(w, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" {
			e.receive(r)
		}
		m.ServeHTTP(w, r)
	})
}

// receive drops the connection of a dead or stalled engine. It reads the body
// of a stalled request, since net/http notices a closed connection only then.
func (e *Engine) receive(r *http.Request) {
	e.mu.Lock()
	stall := e.faults.Stall
	e.mu.Unlock()
	if stall {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	e.must(r.Context())
}

// must drops the connection of a dead or stalled engine.
func (e *Engine) must(ctx context.Context) {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Stall {
		<-ctx.Done()
	}
	if f.Dead || f.Stall {
		panic(http.ErrAbortHandler)
	}
}

// load returns a load report that is at most lag old.
func (e *Engine) load(lag time.Duration) engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); lag == 0 || now.Sub(e.asOf) > lag {
		e.asOf = now
		e.report = engine.Load{
			Boot: e.boot, Kind: e.cfg.Kind, Model: e.cfg.Model, Version: e.cfg.Version, First: e.cfg.First, Last: e.cfg.Last,
			Slots: e.cfg.Slots, Running: e.cfg.Slots - e.slots.free, Waiting: len(e.slots.waiting),
			Ready: !e.idle, Leaving: e.leaving, Event: e.cache.published(e.cfg.EventDelay),
		}
	}
	return e.report
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := engine.Events{Boot: e.boot, Events: e.cache.after(after, e.cfg.EventDelay)}
	e.mu.Unlock()
	reply(w, out)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, text string) {
	w.Header().Set(engine.NotRunHeader, "true")
	http.Error(w, text, http.StatusServiceUnavailable)
}

// decline refuses with a word for the cause.
func decline(w http.ResponseWriter, reason, text string) {
	w.Header().Set(engine.ReasonHeader, reason)
	refuse(w, text)
}
