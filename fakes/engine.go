package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// EngineConfig describes an engine stand-in.
type EngineConfig struct {
	Kind    string // accelerator kind
	Model   string
	Version string
	First   int
	Last    int
	Slots   int
	Pace    time.Duration // time for one token on this stage
}

// EngineFaults are the switches of an engine. The zero value is healthy.
type EngineFaults struct {
	Dead  bool `json:"dead"`  // drops every connection
	Stall bool `json:"stall"` // takes requests and never answers
}

// Engine holds a layer range. The first stage of a route drives the answer:
// for each token it runs its layers and forwards the hidden state to the next
// stage, which returns the token.
type Engine struct {
	cfg     EngineConfig
	mu      sync.Mutex
	faults  EngineFaults
	leaving bool
	running int
	waiting int
	used    int           // tokens computed
	free    chan struct{} // one entry for each free slot
	states  map[string]*state
	http    *http.Client
}

// state is the KV cache of one request on one stage.
type state struct {
	attempt  int
	position int // positions held
}

// NewEngine returns an engine that has its weights loaded.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	e := &Engine{cfg: cfg, free: make(chan struct{}, cfg.Slots), states: map[string]*state{}}
	for range cfg.Slots {
		e.free <- struct{}{}
	}
	e.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	return e
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

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /generate", e.generate)
	m.HandleFunc("POST /forward", e.forward)
	m.HandleFunc("POST /cancel", e.cancel)
	m.HandleFunc("GET /load", e.load)
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
		if r.URL.Path != "/faults" && !e.healthy(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		m.ServeHTTP(w, r)
	})
}

// healthy applies the fault switches; false means that the connection drops.
func (e *Engine) healthy(ctx context.Context) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Stall {
		<-ctx.Done()
	}
	return !f.Dead && !f.Stall
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engine.Load{
		Kind: e.cfg.Kind, Model: e.cfg.Model, Version: e.cfg.Version, First: e.cfg.First, Last: e.cfg.Last,
		Slots: e.cfg.Slots, Running: e.running, Waiting: e.waiting, Ready: true, Leaving: e.leaving,
	})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Request string `json:"request"`
	}
	if !accept(w, r, &q) {
		return
	}
	e.mu.Lock()
	delete(e.states, q.Request)
	e.mu.Unlock()
	reply(w, struct{}{})
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(engine.NotRunHeader, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var j engine.Job
	if !accept(w, r, &j) {
		return
	}
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		refuse(w, "engine is leaving")
		return
	}
	e.count(0, 1)
	select {
	case <-e.free:
	case <-r.Context().Done():
		e.count(0, -1)
		return
	}
	e.count(1, -1)
	defer func() {
		e.count(-1, 0)
		e.free <- struct{}{}
	}()
	e.answer(r.Context(), w, j)
}

func (e *Engine) answer(ctx context.Context, w http.ResponseWriter, j engine.Job) {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	total := min(AnswerLength(j.Prompt), j.Limit)
	for p := len(j.Accepted); p < total; p++ {
		if !e.healthy(ctx) {
			panic(http.ErrAbortHandler)
		}
		start := p
		if p == len(j.Accepted) {
			start = 0 // prefill of prompt and accepted tokens
		}
		f := Forward{Request: j.Request, Attempt: j.Attempt, Start: start, Position: p, Hidden: hidden(j.Model, j.Prompt, p), Route: j.Route}
		got, failed, err := e.step(ctx, f)
		if err != nil {
			_ = out.Encode(engine.Frame{Attempt: j.Attempt, Position: p, Fault: err.Error(), Failed: failed})
			return
		}
		if err := out.Encode(engine.Frame{Attempt: j.Attempt, Position: p, Token: got.Token, Ranges: got.Ranges}); err != nil {
			return
		}
		_ = flush.Flush()
	}
	stop := "end"
	if total < AnswerLength(j.Prompt) {
		stop = "limit"
	}
	_ = out.Encode(engine.Frame{Attempt: j.Attempt, Position: total, Stop: stop})
}

// Forward is the body of POST /forward between stages.
type Forward struct {
	Request  string         `json:"request"`
	Attempt  int            `json:"attempt"`
	Start    int            `json:"start"`    // first position that this call computes
	Position int            `json:"position"` // last position that this call computes
	Hidden   uint64         `json:"hidden"`
	Route    []engine.Stage `json:"route"` // the first stage is the receiver
}

// Forwarded is the answer to a Forward.
type Forwarded struct {
	Token  string   `json:"token"`
	Ranges [][2]int `json:"ranges"`
}

func (e *Engine) forward(w http.ResponseWriter, r *http.Request) {
	var f Forward
	if !accept(w, r, &f) {
		return
	}
	got, failed, err := e.step(r.Context(), f)
	if err != nil {
		w.Header().Set("X-Failed", failed)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	reply(w, got)
}

// step runs this stage's layers and the rest of the route. On failure it
// returns the address of the stage that failed.
func (e *Engine) step(ctx context.Context, f Forward) (Forwarded, string, error) {
	self := f.Route[0]
	if self.First != e.cfg.First || self.Last != e.cfg.Last {
		return Forwarded{}, self.Address, fmt.Errorf("holds layers %d to %d, asked for %d to %d", e.cfg.First, e.cfg.Last, self.First, self.Last)
	}
	if err := e.advance(f); err != nil {
		return Forwarded{}, self.Address, err
	}
	select {
	case <-time.After(e.cfg.Pace):
	case <-ctx.Done():
		return Forwarded{}, self.Address, ctx.Err()
	}
	f.Hidden = through(f.Hidden, self.First, self.Last)
	mine := [2]int{self.First, self.Last}
	if len(f.Route) == 1 {
		return Forwarded{Token: token(f.Hidden), Ranges: [][2]int{mine}}, "", nil
	}
	f.Route = f.Route[1:]
	got, failed, err := e.send(ctx, f)
	if err != nil {
		return got, failed, err
	}
	got.Ranges = append([][2]int{mine}, got.Ranges...)
	return got, "", nil
}

// advance moves the KV cache of the request to the position, and refuses an
// older attempt and a position whose predecessors are missing.
func (e *Engine) advance(f Forward) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[f.Request]
	if s == nil {
		s = &state{}
		e.states[f.Request] = s
	}
	if f.Attempt < s.attempt {
		return fmt.Errorf("attempt %d is older than %d", f.Attempt, s.attempt)
	}
	if f.Start > s.position {
		return fmt.Errorf("holds %d positions, asked to start at %d", s.position, f.Start)
	}
	s.attempt, s.position = f.Attempt, f.Position+1
	e.used++
	return nil
}

func (e *Engine) send(ctx context.Context, f Forward) (Forwarded, string, error) {
	next := f.Route[0].Address
	body, err := json.Marshal(f)
	if err != nil {
		return Forwarded{}, next, err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next+"/forward", bytes.NewReader(body))
	if err != nil {
		return Forwarded{}, next, err
	}
	rs, err := e.http.Do(rq)
	if err != nil {
		return Forwarded{}, next, err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		failed := rs.Header.Get("X-Failed")
		if failed == "" {
			failed = next
		}
		return Forwarded{}, failed, fmt.Errorf("stage answered %d: %s", rs.StatusCode, bytes.TrimSpace(text))
	}
	var got Forwarded
	if err := json.NewDecoder(rs.Body).Decode(&got); err != nil {
		return Forwarded{}, next, err
	}
	return got, "", nil
}

// Used returns the number of tokens that this engine has computed.
func (e *Engine) Used() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used
}
