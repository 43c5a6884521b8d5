package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var j engine.Job
	if !accept(w, r, &j) {
		return
	}
	if len(j.Route) == 0 {
		http.Error(w, "route is empty", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	leaving := e.leaving || e.faults.Refuse
	known := e.states[j.Request] != nil
	full := !known && len(e.slots.waiting) >= e.cfg.Queue
	e.mu.Unlock()
	f := Forward{
		Request: j.Request, Attempt: j.Attempt, Model: j.Model, Version: j.Version, Route: j.Route,
		Prompt: j.Prompt, Priority: j.Priority, Keep: promptTokens(j.Prompt) + len(j.Accepted) - 1,
	}
	switch {
	case leaving && !known:
		decline(w, engine.ReasonLeaving, "engine is leaving")
		return
	case full:
		decline(w, engine.ReasonFull, errFull.Error())
		return
	}
	if err := e.holds(f, j.Route[0]); err != nil {
		decline(w, engine.ReasonVersion, err.Error())
		return
	}
	out := &frames{w: w, flush: http.NewResponseController(w), engine: e, job: j}
	defer func() {
		if !out.ended {
			e.linger(j)
		}
	}()
	out.open()
	f.Prepare = true
	got, err := e.pass(r.Context(), f)
	if err != nil {
		out.fail(0, err)
		return
	}
	f.Prepare, f.Prompt = false, ""
	e.answer(r.Context(), out, f, got.Need)
}

// answer computes the tokens from the accepted ones on.
func (e *Engine) answer(ctx context.Context, out *frames, f Forward, need int) {
	j := out.job
	prompt := promptTokens(j.Prompt)
	total := min(AnswerLength(j.Prompt), j.Limit)
	begin := len(j.Accepted)
	for p := begin; p < total; p++ {
		f.Start, f.Position, f.Hidden = prompt+p-1, prompt+p-1, hidden(j.Model, j.Prompt, p)
		if p == begin {
			f.Start = need // prefill of what a stage lacks
		}
		got, err := e.pass(ctx, f)
		if err != nil {
			out.fail(p, err)
			return
		}
		fr := engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: p, Token: got.Token, Ranges: got.Ranges}
		if p == begin {
			fr.Prompt, fr.Cached = prompt, min(need, prompt)
		}
		if (p-begin)%timedFrames == 0 {
			fr.Took, fr.Hops = got.Took, got.Hops
		}
		if !out.send(fr) {
			return
		}
	}
	stop := "end"
	if total < AnswerLength(j.Prompt) {
		stop = "limit"
	}
	out.ended = true
	out.send(engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: total, Stop: stop, Loads: e.end(ctx, j)})
	out.release()
}

const timedFrames = 8 // each eighth frame carries the times of stages and hops

// lingerTime is how long an attempt that broke off keeps its state, so that
// the next attempt can resume from it.
const lingerTime = 800 * time.Millisecond

// linger releases an attempt that broke off unless a later one has taken over.
func (e *Engine) linger(j engine.Job) {
	time.AfterFunc(lingerTime, func() { e.end(context.Background(), j) })
}

// end releases the attempt on every stage and returns their loads.
func (e *Engine) end(ctx context.Context, j engine.Job) []engine.Load {
	e.release(j.Request, j.Attempt)
	own := e.load(0)
	own.Address = j.Route[0].Address
	loads := []engine.Load{own}
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Dead || f.Stall {
		return loads
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	body, _ := json.Marshal(engine.Release{Request: j.Request, Attempt: j.Attempt})
	for _, s := range j.Route[1:] {
		if f.Links[s.Address].Cut {
			continue
		}
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/cancel", bytes.NewReader(body))
		if err != nil {
			continue
		}
		rs, err := e.http.Do(rq)
		if err != nil {
			continue
		}
		l := engine.Load{Address: s.Address}
		if json.NewDecoder(rs.Body).Decode(&l) == nil {
			l.Address = s.Address
			loads = append(loads, l)
		}
		_ = rs.Body.Close()
	}
	return loads
}

// frames writes the frames of an answer, with the faults that are set.
type frames struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	engine *Engine
	job    engine.Job
	held   *engine.Frame // a frame that is sent after its successor
	sent   int
	ended  bool // the attempt was released on every stage
}

// open sends the status line, so that the caller knows that the job started.
func (o *frames) open() {
	o.w.Header().Set("Content-Type", "application/x-ndjson")
	_ = o.flush.Flush()
}

func (o *frames) fail(position int, err error) {
	f := engine.Frame{Tag: o.job.Tag, Attempt: o.job.Attempt, Position: position, Fault: err.Error(), Failed: o.job.Route[0].Address, From: o.job.Route[0].Address}
	var se *engine.StageError
	if errors.As(err, &se) {
		f.Fault, f.Failed, f.From, f.Reason = se.Text, se.Failed, se.From, se.Reason
	}
	o.write(f)
}

// send writes a frame and tells whether the connection still stands.
func (o *frames) send(f engine.Frame) bool {
	o.engine.mu.Lock()
	x := o.engine.faults
	o.engine.mu.Unlock()
	o.sent++
	if x.ForeignFrames {
		o.write(engine.Frame{Tag: f.Tag + 1, Attempt: f.Attempt, Position: f.Position, Token: "crossed ", Ranges: f.Ranges})
	}
	if x.ReorderFrames && o.held == nil && f.Stop == "" && o.sent%2 == 0 {
		o.held = &f
		return true
	}
	ok := o.write(f)
	if x.DuplicateFrames && f.Stop == "" {
		ok = o.write(f)
	}
	if o.held != nil && f.Stop == "" {
		h := *o.held
		o.held = nil
		ok = o.write(h)
	}
	return ok
}

// release writes the frame that is still held.
func (o *frames) release() {
	if o.held != nil {
		o.write(*o.held)
	}
}

func (o *frames) write(f engine.Frame) bool {
	b, err := json.Marshal(f)
	if err != nil {
		return false
	}
	if _, err := o.w.Write(append(b, '\n')); err != nil {
		return false
	}
	return o.flush.Flush() == nil
}
