package fakes

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrybay/cranberrybay/engine"
)

// EngineConfig configures an engine stand-in.
type EngineConfig struct {
	Kind       string // accelerator kind
	Model      string
	Version    string
	First      int
	Last       int
	Slots      int           // concurrent requests, 8 if zero
	Queue      int           // requests queued for a slot, 256 if zero
	Memory     int           // capacity of the KV cache in positions, 1<<20 if zero
	Pace       time.Duration // duration of one batch iteration on this stage
	Prefill    time.Duration // additional time per prefill position, Pace/50 if zero
	Import     time.Duration // time to import one position, Pace/200 if zero
	LoadMaxAge time.Duration // maximum age of a cached load report
	EventDelay time.Duration // delay before a cache event is published
	Client     *http.Client  // for calls to other stages, a private client if nil
	Deadly     string        // text of prompts that crash the engine, "" for none
	OnCrash    func()        // called when the engine crashes; may be nil
	Exports    *ExportStore  // storage of exported KV caches, a private store if nil
}

// StageLinkFault is a fault of the link to another stage, in that direction only.
type StageLinkFault struct {
	Delay time.Duration `json:"delay"` // added to each call
	Cut   bool          `json:"cut"`   // calls are lost without an error
}

// EngineFaults are the fault switches of an engine. The zero value is a healthy
// engine.
type EngineFaults struct {
	Dead            bool                      `json:"dead"`      // closes every connection
	Stall           bool                      `json:"stall"`     // accepts requests and never answers
	Slow            int                       `json:"slow"`      // factor on the time of an iteration
	Links           map[string]StageLinkFault `json:"links"`     // by address of the other stage
	DuplicateFrames bool                      `json:"duplicate"` // sends each frame twice
	ReorderFrames   bool                      `json:"late"`      // sends every second frame after its successor
	ForeignFrames   bool                      `json:"crossed"`   // sends a frame of another request before each frame
	SkipLastLayer   bool                      `json:"skip"`      // omits the last layer
	RepeatLastLayer bool                      `json:"double"`    // runs the last layer twice
	Refuse          bool                      `json:"refuse"`    // refuses new work as leaving; load reports do not show it
	LoseEvents      bool                      `json:"gaps"`      // loses every third cache event
}

// Engine is an engine stand-in that holds a layer range of a model. The first
// stage of a route drives the answer: for each token it runs its layers and
// forwards the hidden state to the next stage, which returns the token.
type Engine struct {
	cfg        EngineConfig
	http       *http.Client
	gate       Gate // pauses
	mu         sync.Mutex
	unassigned bool               // serves no part; set by SetParts
	heldParts  []engine.PartState // parts that requests may run on; nil if SetParts was not called
	boot       string
	faults     EngineFaults
	leaving    bool
	computed   int // positions computed so far
	slots      slotPool
	batch      batchClock
	states     map[string]*requestState
	ended      map[string]endedAttempt
	recorded   map[string]bool // requests for which a position was computed
	cache      prefixCache
	report     engine.LoadReport // last load report, reused for up to cfg.LoadMaxAge
	reportedAt time.Time
}

// NewEngine returns an engine whose weights are loaded.
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

// reset starts a new incarnation without state. The caller holds e.mu, or e is not
// shared yet.
func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.slots = slotPool{free: e.cfg.Slots}
	e.batch = batchClock{}
	e.states, e.ended = map[string]*requestState{}, map[string]endedAttempt{}
	e.recorded = map[string]bool{}
	e.cache = prefixCache{blocks: map[uint64]uint64{}}
	e.reportedAt = time.Time{}
}

// Restart starts a new incarnation of the engine: all state is lost and all faults
// are cleared.
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

// crash ends the process of the engine: each of its connections closes.
func (e *Engine) crash() {
	e.mu.Lock()
	e.faults.Dead = true
	e.mu.Unlock()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
}

// Pause makes the engine fall silent for d. It goes on with its requests afterwards.
func (e *Engine) Pause(d time.Duration) { e.gate.Pause(d) }

// SetLeaving sets whether the engine is leaving. A leaving engine refuses new
// requests and continues the ones that it holds.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetParts sets the part that load reports name and new work goes to, and the parts
// that requests may still run on.
func (e *Engine) SetParts(serve *engine.Part, held []engine.PartState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldParts, e.unassigned, e.reportedAt = held, serve == nil, time.Time{}
	if serve != nil {
		e.cfg.Model, e.cfg.Version, e.cfg.First, e.cfg.Last = serve.Model, serve.Version, serve.First, serve.Last
	}
}

// ComputedPositions returns the number of positions that this engine has computed.
func (e *Engine) ComputedPositions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed
}

// HasComputed reports whether this incarnation has computed a position for a request. Only
// the first maxRecordedRequests requests are recorded.
func (e *Engine) HasComputed(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorded[request]
}

const maxRecordedRequests = 64 << 10 // bounds the memory of HasComputed

// UsedSlots returns the number of requests that hold a slot.
func (e *Engine) UsedSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Slots - e.slots.free
}

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /generate", e.generate)
	m.HandleFunc("POST /forward", e.forward)
	m.HandleFunc("POST /cancel", e.cancel)
	m.HandleFunc("POST /export", e.export)
	m.HandleFunc("POST /import", e.importState)
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load(e.cfg.LoadMaxAge)) })
	m.HandleFunc("GET /events", e.events)
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if decodeBody(w, r, &f) {
			e.SetFaults(f)
			writeJSON(w, f)
		}
	})
	m.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.SetLeaving(true)
		writeJSON(w, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" {
			e.applyConnectionFaults(r)
		}
		m.ServeHTTP(w, r)
	})
}

// applyConnectionFaults closes the connection of a dead or stalled engine. It reads
// the body of a stalled request first, because net/http detects that the client
// closed the connection only after the body was read.
func (e *Engine) applyConnectionFaults(r *http.Request) {
	e.mu.Lock()
	stall := e.faults.Stall
	e.mu.Unlock()
	if stall || e.gate.Paused() {
		b, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(b))
	}
	e.abortIfDown(r.Context())
}

// abortIfDown waits for the end of a pause and aborts the request if the engine is
// dead. If the engine is stalled, it waits until ctx ends and aborts the request then.
func (e *Engine) abortIfDown(ctx context.Context) {
	_ = e.gate.Wait()
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

// load returns a load report that is at most maxAge old.
func (e *Engine) load(maxAge time.Duration) engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); maxAge == 0 || now.Sub(e.reportedAt) > maxAge {
		e.reportedAt = now
		e.report = engine.LoadReport{
			Boot: e.boot, Kind: e.cfg.Kind, Model: e.cfg.Model, Version: e.cfg.Version, First: e.cfg.First, Last: e.cfg.Last,
			Slots: e.cfg.Slots, Running: e.cfg.Slots - e.slots.free, Waiting: len(e.slots.waiting),
			Ready: !e.unassigned, Leaving: e.leaving, Event: e.cache.lastPublished(e.cfg.EventDelay),
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
	out := engine.CacheEvents{Boot: e.boot, Events: e.cache.eventsAfter(after, e.cfg.EventDelay)}
	e.mu.Unlock()
	writeJSON(w, out)
}

// refuse answers 503 and marks the request as not run.
func refuse(w http.ResponseWriter, text string) {
	w.Header().Set(engine.NotRunHeader, "true")
	http.Error(w, text, http.StatusServiceUnavailable)
}

// refuseWithReason refuses a request and names the reason in a header.
func refuseWithReason(w http.ResponseWriter, reason, text string) {
	w.Header().Set(engine.ReasonHeader, reason)
	refuse(w, text)
}
