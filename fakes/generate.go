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

// generate serves POST /generate: it prepares the stages of the route and streams
// the frames of the answer.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var j engine.Job
	if !decodeBody(w, r, &j) {
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
		refuseWithReason(w, engine.ReasonLeaving, "engine is leaving")
		return
	case full:
		refuseWithReason(w, engine.ReasonFull, errQueueFull.Error())
		return
	}
	if err := e.checkPart(f, j.Route[0]); err != nil {
		refuseWithReason(w, engine.ReasonVersion, err.Error())
		return
	}
	out := &frameWriter{w: w, flush: http.NewResponseController(w), engine: e, job: j}
	defer func() {
		if !out.released {
			e.releaseLater(j)
		}
	}()
	out.writeHeader()
	f.Prepare = true
	got, err := e.runStages(r.Context(), f)
	if err != nil {
		out.writeFault(0, err)
		return
	}
	f.Prepare, f.Prompt = false, ""
	e.streamAnswer(r.Context(), out, f, got.Need)
}

// streamAnswer computes the tokens after the accepted ones and sends their frames.
func (e *Engine) streamAnswer(ctx context.Context, out *frameWriter, f Forward, firstMissing int) {
	j := out.job
	prompt := promptTokens(j.Prompt)
	total := min(AnswerLength(j.Prompt), j.Limit)
	begin := len(j.Accepted)
	for p := begin; p < total; p++ {
		f.Start, f.Position, f.Hidden = prompt+p-1, prompt+p-1, hiddenState(j.Model, j.Prompt, p)
		if p == begin {
			f.Start = firstMissing // prefills the positions that a stage is missing
		}
		got, err := e.runStages(ctx, f)
		if err != nil {
			out.writeFault(p, err)
			return
		}
		frame := engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: p, Token: got.Token, Ranges: got.Ranges}
		if p == begin {
			frame.Prompt, frame.Cached = prompt, min(firstMissing, prompt)
		}
		if (p-begin)%timingInterval == 0 {
			frame.Took, frame.Hops = got.Took, got.Hops
		}
		if !out.send(frame) {
			return
		}
	}
	stop := "end"
	if total < AnswerLength(j.Prompt) {
		stop = "limit"
	}
	out.released = true
	out.send(engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: total, Stop: stop, Loads: e.releaseRoute(ctx, j)})
	out.flushDelayed()
}

const timingInterval = 8 // every eighth frame carries the times of stages and hops

// releaseDelay is how long the state of an interrupted attempt is kept, so that
// the next attempt can resume from it.
const releaseDelay = 800 * time.Millisecond

// releaseLater releases an interrupted attempt after releaseDelay, unless a later
// attempt has taken over its state.
func (e *Engine) releaseLater(j engine.Job) {
	time.AfterFunc(releaseDelay, func() { e.releaseRoute(context.Background(), j) })
}

// releaseRoute releases the attempt on every stage of the route and returns the
// load reports of the stages that answered.
func (e *Engine) releaseRoute(ctx context.Context, j engine.Job) []engine.LoadReport {
	e.release(j.Request, j.Attempt)
	own := e.load(0)
	own.Address = j.Route[0].Address
	loads := []engine.LoadReport{own}
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Dead || f.Stall {
		return loads
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	body, _ := json.Marshal(engine.AttemptID{Request: j.Request, Attempt: j.Attempt})
	for _, s := range j.Route[1:] {
		if f.Links[s.Address].Cut {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/cancel", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp, err := e.http.Do(req)
		if err != nil {
			continue
		}
		l := engine.LoadReport{Address: s.Address}
		if json.NewDecoder(resp.Body).Decode(&l) == nil {
			l.Address = s.Address
			loads = append(loads, l)
		}
		_ = resp.Body.Close()
	}
	return loads
}

// frameWriter writes the frames of an answer and applies the frame faults.
type frameWriter struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	engine   *Engine
	job      engine.Job
	delayed  *engine.Frame // frame to send after its successor
	sent     int
	released bool // the attempt was released on every stage
}

// writeHeader sends the status line, which tells the client that the job started.
func (fw *frameWriter) writeHeader() {
	fw.w.Header().Set("Content-Type", "application/x-ndjson")
	_ = fw.flush.Flush()
}

// writeFault sends the frame that reports a failure, with the stage that failed.
func (fw *frameWriter) writeFault(position int, err error) {
	f := engine.Frame{Tag: fw.job.Tag, Attempt: fw.job.Attempt, Position: position, Fault: err.Error(), Failed: fw.job.Route[0].Address, From: fw.job.Route[0].Address}
	var se *engine.StageError
	if errors.As(err, &se) {
		f.Fault, f.Failed, f.From, f.Reason = se.Text, se.Failed, se.Observer, se.Reason
	}
	fw.write(f)
}

// send writes a frame, with the faults that are set, and reports whether the
// connection is still usable.
func (fw *frameWriter) send(f engine.Frame) bool {
	fw.engine.mu.Lock()
	x := fw.engine.faults
	fw.engine.mu.Unlock()
	fw.sent++
	if x.ForeignFrames {
		fw.write(engine.Frame{Tag: f.Tag + 1, Attempt: f.Attempt, Position: f.Position, Token: "crossed ", Ranges: f.Ranges})
	}
	if x.ReorderFrames && fw.delayed == nil && f.Stop == "" && fw.sent%2 == 0 {
		fw.delayed = &f
		return true
	}
	ok := fw.write(f)
	if x.DuplicateFrames && f.Stop == "" {
		ok = fw.write(f)
	}
	if fw.delayed != nil && f.Stop == "" {
		h := *fw.delayed
		fw.delayed = nil
		ok = fw.write(h)
	}
	return ok
}

// flushDelayed writes the delayed frame, if there is one.
func (fw *frameWriter) flushDelayed() {
	if fw.delayed != nil {
		fw.write(*fw.delayed)
	}
}

// write encodes and flushes a frame and reports whether that succeeded.
func (fw *frameWriter) write(f engine.Frame) bool {
	b, err := json.Marshal(f)
	if err != nil {
		return false
	}
	if _, err := fw.w.Write(append(b, '\n')); err != nil {
		return false
	}
	return fw.flush.Flush() == nil
}
