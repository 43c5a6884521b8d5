package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Forward is the body of POST /forward between stages.
type Forward struct {
	Request  string         `json:"request"`
	Attempt  int            `json:"attempt"`
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Route    []engine.Stage `json:"route"`              // the first stage is the receiver
	Prepare  bool           `json:"prepare,omitempty"`  // take a slot, truncate, report what is missing
	Prompt   string         `json:"prompt,omitempty"`   // with Prepare
	Keep     int            `json:"keep,omitempty"`     // with Prepare: positions that stay valid
	Priority int            `json:"priority,omitempty"` // with Prepare
	Start    int            `json:"start"`              // first position that this call computes
	Position int            `json:"position"`           // last position that this call computes
	Hidden   uint64         `json:"hidden"`
}

// ForwardReply is the answer to a Forward.
type ForwardReply struct {
	Need   int      `json:"need,omitempty"` // after Prepare: first position missing at this or a later stage
	Token  string   `json:"token,omitempty"`
	Ranges [][2]int `json:"ranges,omitempty"`
	Took   []int    `json:"took,omitempty"` // µs of each stage
	Hops   []int    `json:"hops,omitempty"` // µs of each hop
}

// errEnded says that a later attempt or a cancellation fenced this one.
var errEnded = errors.New("attempt has ended")

var errLeaving = errors.New("engine is leaving")

// reasonOf returns the word of engine.ReasonHeader for an error.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, errLeaving):
		return engine.ReasonLeaving
	case errors.Is(err, errFull):
		return engine.ReasonFull
	}
	return ""
}

// pass runs a call on this stage and the rest of the route.
func (e *Engine) pass(ctx context.Context, f Forward) (ForwardReply, error) {
	e.must(ctx)
	self := f.Route[0]
	fail := func(err error) (ForwardReply, error) {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, From: self.Address, Text: err.Error(), Reason: reasonOf(err)}
	}
	if err := e.holds(f, self); err != nil {
		return fail(err)
	}
	if f.Prepare {
		return e.prepare(ctx, f)
	}
	begun := time.Now()
	down, err := e.advance(f)
	if err != nil {
		return fail(err)
	}
	if err := e.compute(ctx, f.Position-f.Start+1); err != nil {
		return fail(err)
	}
	e.must(ctx)
	var mine [][2]int
	f.Hidden, mine = e.layers(f.Hidden, self)
	took := int(time.Since(begun).Microseconds())
	if len(f.Route) == 1 {
		return ForwardReply{Token: token(f.Hidden), Ranges: mine, Took: []int{took}}, nil
	}
	f.Route, f.Start = f.Route[1:], down
	begun = time.Now()
	got, err := e.call(ctx, self.Address, f)
	if err != nil {
		return got, err
	}
	hop := int(time.Since(begun).Microseconds()) - sum(got.Took) - sum(got.Hops)
	got.Ranges = append(mine, got.Ranges...)
	got.Took = append([]int{took}, got.Took...)
	got.Hops = append([]int{max(hop, 0)}, got.Hops...)
	return got, nil
}

func sum(v []int) (n int) {
	for _, x := range v {
		n += x
	}
	return n
}

// holds checks that this engine is the stage that the route names.
func (e *Engine) holds(f Forward, self engine.Stage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.cfg
	for _, h := range e.held {
		if h.Ready && self.First == h.First && self.Last == h.Last && f.Model == h.Model && f.Version == h.Version {
			return nil
		}
	}
	if self.First != c.First || self.Last != c.Last || f.Model != c.Model || f.Version != c.Version {
		return fmt.Errorf("holds layers %d to %d of %s version %s, asked for %d to %d of %s version %s",
			c.First, c.Last, c.Model, c.Version, self.First, self.Last, f.Model, f.Version)
	}
	return nil
}

// layers runs the layers of this stage, or others when a fault says so.
func (e *Engine) layers(h uint64, self engine.Stage) (uint64, [][2]int) {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	switch {
	case f.SkipLastLayer:
		return through(h, self.First, self.Last-1), [][2]int{{self.First, self.Last - 1}}
	case f.RepeatLastLayer:
		h = through(through(h, self.First, self.Last), self.Last-1, self.Last)
		return h, [][2]int{{self.First, self.Last}, {self.Last - 1, self.Last}}
	}
	return through(h, self.First, self.Last), [][2]int{{self.First, self.Last}}
}

// prepare takes a slot for the attempt on each stage, truncates the KV cache
// to the positions that stay valid, and finds the first position to compute.
func (e *Engine) prepare(ctx context.Context, f Forward) (ForwardReply, error) {
	self := f.Route[0]
	if err := e.enter(ctx, f); err != nil {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, From: self.Address, Text: err.Error(), Reason: reasonOf(err)}
	}
	down := f.Keep
	if len(f.Route) > 1 {
		next := f
		next.Route = f.Route[1:]
		got, err := e.call(ctx, self.Address, next)
		if err != nil {
			return got, err
		}
		down = got.Need
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[f.Request]
	if s == nil || s.attempt != f.Attempt {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, From: self.Address, Text: errEnded.Error()}
	}
	s.down = down
	return ForwardReply{Need: min(s.held, down)}, nil
}

// enter makes the state of an attempt, with a slot.
func (e *Engine) enter(ctx context.Context, f Forward) error {
	e.mu.Lock()
	e.expire()
	s := e.states[f.Request]
	leaving := s == nil && (e.leaving || e.faults.Refuse)
	e.mu.Unlock()
	if leaving {
		return errLeaving
	}
	if s == nil || !s.slot {
		if err := e.acquire(ctx, f.Priority); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	took := s == nil || !s.slot
	s = e.states[f.Request]
	if f.Attempt <= e.ended[f.Request].attempt || s != nil && s.attempt > f.Attempt {
		if took {
			e.slots.give()
		}
		return errEnded
	}
	if s == nil {
		blocks := engine.Blocks(f.Model, f.Prompt)
		n := e.cache.match(blocks)
		s = &state{blocks: blocks, held: min(promptTokens(f.Prompt[:n*engine.BlockBytes]), n*engine.BlockBytes)}
		e.states[f.Request] = s
	} else if took && s.slot {
		e.slots.give() // another call of this request took one too
	}
	if s.blocks == nil {
		s.blocks = engine.Blocks(f.Model, f.Prompt)
	}
	s.attempt, s.slot, s.prompt, s.touched = f.Attempt, true, promptTokens(f.Prompt), time.Now()
	s.held = min(s.held, f.Keep)
	return nil
}

// advance moves the KV cache of the request to the position. It refuses an
// attempt that was fenced and a position whose predecessors are missing.
func (e *Engine) advance(f Forward) (down int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[f.Request]
	if s == nil || f.Attempt != s.attempt {
		return 0, errEnded
	}
	if f.Start > s.held {
		return 0, fmt.Errorf("holds %d positions, asked to start at %d", s.held, f.Start)
	}
	down = min(s.down, f.Position)
	if len(e.ran) < maxRan {
		e.ran[f.Request] = true
	}
	s.held, s.down, s.touched = f.Position+1, f.Position+1, time.Now()
	return down, nil
}

func (e *Engine) forward(w http.ResponseWriter, r *http.Request) {
	var f Forward
	if !accept(w, r, &f) {
		return
	}
	got, err := e.pass(r.Context(), f)
	if err != nil {
		var se *engine.StageError
		if errors.As(err, &se) {
			w.Header().Set(engine.FailedHeader, se.Failed)
			w.Header().Set(engine.FromHeader, se.From)
			w.Header().Set(engine.ReasonHeader, se.Reason)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	reply(w, got)
}

// call sends a call to the next stage.
func (e *Engine) call(ctx context.Context, self string, f Forward) (ForwardReply, error) {
	next := f.Route[0].Address
	fail := func(err error) (ForwardReply, error) {
		return ForwardReply{}, &engine.StageError{Failed: next, From: self, Text: err.Error()}
	}
	e.mu.Lock()
	link := e.faults.Links[next]
	e.mu.Unlock()
	if link.Cut {
		<-ctx.Done()
	}
	if err := sleep(ctx, link.Delay); err != nil {
		return fail(err)
	}
	body, err := json.Marshal(f)
	if err != nil {
		return fail(err)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next+"/forward", bytes.NewReader(body))
	if err != nil {
		return fail(err)
	}
	rs, err := e.http.Do(rq)
	if err != nil {
		return fail(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		if failed := rs.Header.Get(engine.FailedHeader); failed != "" {
			return ForwardReply{}, &engine.StageError{Failed: failed, From: rs.Header.Get(engine.FromHeader), Reason: rs.Header.Get(engine.ReasonHeader), Text: string(bytes.TrimSpace(text))}
		}
		return fail(fmt.Errorf("stage answered %d: %s", rs.StatusCode, bytes.TrimSpace(text)))
	}
	var got ForwardReply
	if err := json.NewDecoder(rs.Body).Decode(&got); err != nil {
		return fail(err)
	}
	return got, nil
}
