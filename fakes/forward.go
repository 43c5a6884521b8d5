package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Forward is the body of POST /forward between stages. It either prepares an
// attempt on the rest of the route or computes positions.
type Forward struct {
	Request  string         `json:"request"`
	Attempt  int            `json:"attempt"`
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Route    []engine.Stage `json:"route"`              // the first stage is the receiver
	Prepare  bool           `json:"prepare,omitempty"`  // acquire a slot, truncate the KV cache, report missing positions
	Prompt   string         `json:"prompt,omitempty"`   // with Prepare
	Keep     int            `json:"keep,omitempty"`     // with Prepare: number of leading positions that stay valid
	Priority int            `json:"priority,omitempty"` // with Prepare
	Start    int            `json:"start"`              // first position that this call computes
	Position int            `json:"position"`           // last position that this call computes
	Hidden   uint64         `json:"hidden"`
}

// ForwardReply is the reply to a Forward.
type ForwardReply struct {
	Need   int      `json:"need,omitempty"` // after Prepare: first position missing on this or a later stage
	Token  string   `json:"token,omitempty"`
	Ranges [][2]int `json:"ranges,omitempty"`
	Took   []int    `json:"took,omitempty"` // µs for each stage
	Hops   []int    `json:"hops,omitempty"` // µs for each hop
}

// errAttemptEnded reports that the attempt was cancelled or replaced by a later
// one.
var errAttemptEnded = errors.New("attempt has ended")

var errLeaving = errors.New("engine is leaving")

// refusalReason returns the value of engine.ReasonHeader for an error.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, errLeaving):
		return engine.ReasonLeaving
	case errors.Is(err, errQueueFull):
		return engine.ReasonFull
	}
	return ""
}

// runStages runs a call on this stage and on the rest of the route.
func (e *Engine) runStages(ctx context.Context, f Forward) (ForwardReply, error) {
	e.abortIfDown(ctx)
	self := f.Route[0]
	fail := func(err error) (ForwardReply, error) {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, Observer: self.Address, Text: err.Error(), Reason: refusalReason(err)}
	}
	if err := e.checkPart(f, self); err != nil {
		return fail(err)
	}
	if f.Prepare {
		return e.prepare(ctx, f)
	}
	started := time.Now()
	downstream, err := e.advanceCache(f)
	if err != nil {
		return fail(err)
	}
	if err := e.compute(ctx, f.Position-f.Start+1); err != nil {
		return fail(err)
	}
	if e.isDeadly(f.Request) {
		e.crash()
	}
	e.abortIfDown(ctx)
	var ranges [][2]int
	f.Hidden, ranges = e.runLayers(f.Hidden, self)
	took := int(time.Since(started).Microseconds())
	if len(f.Route) == 1 {
		return ForwardReply{Token: tokenText(f.Hidden), Ranges: ranges, Took: []int{took}}, nil
	}
	f.Route, f.Start = f.Route[1:], downstream
	started = time.Now()
	got, err := e.callNext(ctx, self.Address, f)
	if err != nil {
		return got, err
	}
	hop := int(time.Since(started).Microseconds()) - sum(got.Took) - sum(got.Hops)
	got.Ranges = append(ranges, got.Ranges...)
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

// checkPart checks that this engine holds the part that the route names.
func (e *Engine) checkPart(f Forward, self engine.Stage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.cfg
	for _, h := range e.heldParts {
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

// runLayers runs the layers of this stage and returns the ranges that were run. The
// layer faults skip or repeat the last layer.
func (e *Engine) runLayers(h uint64, self engine.Stage) (uint64, [][2]int) {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	switch {
	case f.SkipLastLayer:
		return applyLayers(h, self.First, self.Last-1), [][2]int{{self.First, self.Last - 1}}
	case f.RepeatLastLayer:
		h = applyLayers(applyLayers(h, self.First, self.Last), self.Last-1, self.Last)
		return h, [][2]int{{self.First, self.Last}, {self.Last - 1, self.Last}}
	}
	return applyLayers(h, self.First, self.Last), [][2]int{{self.First, self.Last}}
}

// prepare acquires a slot for the attempt on each stage, truncates the KV caches to
// the positions that stay valid, and returns the first position to compute.
func (e *Engine) prepare(ctx context.Context, f Forward) (ForwardReply, error) {
	self := f.Route[0]
	if err := e.beginAttempt(ctx, f); err != nil {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, Observer: self.Address, Text: err.Error(), Reason: refusalReason(err)}
	}
	downstream := f.Keep
	if len(f.Route) > 1 {
		next := f
		next.Route = f.Route[1:]
		got, err := e.callNext(ctx, self.Address, next)
		if err != nil {
			return got, err
		}
		downstream = got.Need
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[f.Request]
	if s == nil || s.attempt != f.Attempt {
		return ForwardReply{}, &engine.StageError{Failed: self.Address, Observer: self.Address, Text: errAttemptEnded.Error()}
	}
	s.downstream = downstream
	return ForwardReply{Need: min(s.held, downstream)}, nil
}

// beginAttempt acquires a slot and creates the state of an attempt, or takes over
// the state of an earlier attempt.
func (e *Engine) beginAttempt(ctx context.Context, f Forward) error {
	e.mu.Lock()
	e.expireStates()
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
	acquired := s == nil || !s.slot
	s = e.states[f.Request]
	if f.Attempt <= e.ended[f.Request].attempt || s != nil && s.attempt > f.Attempt {
		if acquired {
			e.slots.release()
		}
		return errAttemptEnded
	}
	if s == nil {
		blocks := engine.BlockHashes(f.Model, f.Prompt)
		n := e.cache.match(blocks)
		s = &requestState{blocks: blocks, held: min(promptTokens(f.Prompt[:n*engine.BlockBytes]), n*engine.BlockBytes)}
		e.states[f.Request] = s
	} else if acquired && s.slot {
		e.slots.release() // a concurrent call of this request acquired one too
	}
	if s.blocks == nil {
		s.blocks = engine.BlockHashes(f.Model, f.Prompt)
	}
	s.deadly = s.deadly || e.cfg.Deadly != "" && strings.Contains(f.Prompt, e.cfg.Deadly)
	s.attempt, s.slot, s.prompt, s.touched = f.Attempt, true, promptTokens(f.Prompt), time.Now()
	s.held = min(s.held, f.Keep)
	return nil
}

// isDeadly reports whether the prompt of a request crashes this engine.
func (e *Engine) isDeadly(request string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[request]
	return s != nil && s.deadly
}

// advanceCache extends the KV cache of the request to f.Position and returns the
// first position that the later stages must compute. It rejects an ended attempt
// and a start position whose predecessors are missing.
func (e *Engine) advanceCache(f Forward) (downstream int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[f.Request]
	if s == nil || f.Attempt != s.attempt {
		return 0, errAttemptEnded
	}
	if f.Start > s.held {
		return 0, fmt.Errorf("holds %d positions, asked to start at %d", s.held, f.Start)
	}
	downstream = min(s.downstream, f.Position)
	if len(e.recorded) < maxRecordedRequests {
		e.recorded[f.Request] = true
	}
	s.held, s.downstream, s.touched = f.Position+1, f.Position+1, time.Now()
	return downstream, nil
}

// forward serves POST /forward.
func (e *Engine) forward(w http.ResponseWriter, r *http.Request) {
	var f Forward
	if !decodeBody(w, r, &f) {
		return
	}
	got, err := e.runStages(r.Context(), f)
	if err != nil {
		var se *engine.StageError
		if errors.As(err, &se) {
			w.Header().Set(engine.FailedHeader, se.Failed)
			w.Header().Set(engine.ObserverHeader, se.Observer)
			w.Header().Set(engine.ReasonHeader, se.Reason)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, got)
}

// callNext sends f to the next stage of the route.
func (e *Engine) callNext(ctx context.Context, self string, f Forward) (ForwardReply, error) {
	next := f.Route[0].Address
	fail := func(err error) (ForwardReply, error) {
		return ForwardReply{}, &engine.StageError{Failed: next, Observer: self, Text: err.Error()}
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next+"/forward", bytes.NewReader(body))
	if err != nil {
		return fail(err)
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		if failed := resp.Header.Get(engine.FailedHeader); failed != "" {
			return ForwardReply{}, &engine.StageError{Failed: failed, Observer: resp.Header.Get(engine.ObserverHeader), Reason: resp.Header.Get(engine.ReasonHeader), Text: string(bytes.TrimSpace(message))}
		}
		return fail(fmt.Errorf("stage answered %d: %s", resp.StatusCode, bytes.TrimSpace(message)))
	}
	var got ForwardReply
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return fail(err)
	}
	return got, nil
}
